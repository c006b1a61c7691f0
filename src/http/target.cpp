#include "http/target.hpp"

#include <boost/url.hpp>

namespace plumkeel::http {

std::vector<std::string> path_segments(std::string_view target) {
    std::vector<std::string> segments;
    const auto url = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!url) return segments;
    for (const auto segment : url->segments()) segments.emplace_back(segment);
    return segments;
}

std::string percent_encode(std::string_view text) {
    return boost::urls::encode(boost::urls::string_view(text.data(), text.size()), boost::urls::unreserved_chars);
}

std::vector<std::pair<std::string, std::string>> query_parameters(std::string_view target) {
    std::vector<std::pair<std::string, std::string>> parameters;
    const auto url = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!url) return parameters;
    for (const auto& parameter : url->params())
        parameters.emplace_back(std::string(parameter.key), std::string(parameter.value));
    return parameters;
}

}  // namespace plumkeel::http
