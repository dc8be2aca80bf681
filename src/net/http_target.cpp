#include "net/http_target.h"

// Boost.URL is used as a header-only library; only one source file may include its implementation.
#include <boost/url/src.hpp>

namespace flamingotally
{

bool decodeTarget(std::string_view target, HttpRequest &request)
{
    const auto parsed = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!parsed) {
        return false;
    }
    request.path = parsed->path();
    for (const auto &it : parsed->params()) {
        request.query.push_back({std::string(it.key), std::string(it.value)});
    }
    return true;
}

std::string encodeTarget(std::string_view path, const std::vector<HttpField> &query)
{
    boost::urls::url url;
    url.set_path({path.data(), path.size()});
    for (const auto &[name, value] : query) {
        url.params().append({name, value});
    }
    return std::string(url.encoded_target());
}

} // namespace flamingotally
