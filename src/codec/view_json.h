/** @file view_json.h Converts each kind of view to JSON. */
#pragma once

#include "view_type.h"

#include <boost/json.hpp>

namespace flamingotally
{

boost::json::object toJson(const Resources &resources);
boost::json::object toJson(const ViewAge &age);
boost::json::object toJson(const TaskView &task);
boost::json::object toJson(const JobView &job);
boost::json::object toJson(const ExplainView &explain);
boost::json::object toJson(const TeamView &team);
boost::json::object toJson(const KeyView &key);
boost::json::object toJson(const ProfileView &profile);
boost::json::object toJson(const DomainView &domain);
boost::json::object toJson(const WorkerView &worker);
boost::json::object toJson(const DaemonView &daemon);
boost::json::object toJson(const ConfigChange &change);

/** Converts a list of views to a JSON array. */
template<typename View>
boost::json::array toJsonArray(const std::vector<View> &views)
{
    boost::json::array array;
    array.reserve(views.size());
    for (const auto &it : views) {
        array.push_back(toJson(it));
    }
    return array;
}

} // namespace flamingotally
