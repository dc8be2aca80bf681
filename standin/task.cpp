#include "codec/json_field.h"
#include "field_table.h"
#include "task_type.h"

#include <algorithm>

namespace flamingotally::standin
{

Task parseTask(std::string_view payload)
{
    Task task;
    const auto object = parseJsonObject(payload);
    if (!object.ok()) {
        return task;
    }
    for (const auto &it : *object) {
        if (!readJsonField(taskFieldTable, task, std::string_view(it.key()), it.value()).ok()) {
            return {};
        }
    }
    return task;
}

std::string resultOf(const Task &task)
{
    if (task.resultBytes == 0 || task.result.empty()) {
        return task.result;
    }
    std::string bytes;
    bytes.reserve(task.resultBytes + task.result.size());
    while (bytes.size() < task.resultBytes) {
        bytes += task.result;
    }
    bytes.resize(task.resultBytes);
    return bytes;
}

} // namespace flamingotally::standin
