#include "net/http_etag.h"

#include "core/digest.h"

#include <fmt/format.h>

#include <utility>

namespace flamingotally
{

namespace
{

constexpr unsigned statusOk = 200;

}

HttpResponder withEntityTag(const HttpRequest &request, HttpResponder responder)
{
    std::string knownTag(fieldValue(request.fields, "If-None-Match"));
    return [knownTag = std::move(knownTag), responder = std::move(responder)](HttpResponse response) {
        if (response.status == statusOk) {
            auto tag = fmt::format("\"{:016x}\"", digestOfBytes(response.body));
            if (tag == knownTag) {
                response.status = notModifiedStatus;
                response.body.clear();
            }
            response.fields.push_back({"ETag", std::move(tag)});
        }
        responder(std::move(response));
    };
}

} // namespace flamingotally
