#include "http/http.hpp"

#include <boost/url.hpp>

namespace plumkeel::http {

net::Task<net::Error> ReadBuffer::read_more() {
    const std::size_t left = buffer_.max_size() - buffer_.size();
    if (left == 0) co_return net::asio::error::no_buffer_space;
    const auto moved = co_await stream_->read(buffer_.prepare(std::min<std::size_t>(left, 16 * 1024)));
    buffer_.commit(moved.bytes);
    co_return moved.error;
}

std::string status_line(unsigned status) {
    return "HTTP/1.1 " + std::to_string(status) + " " +
           std::string(view(bh::obsolete_reason(bh::int_to_status(status))));
}

bool is_forwarded_header(std::string_view name) {
    static constexpr std::string_view kept_back[] = {
        "connection",        "keep-alive", "proxy-authenticate",    "proxy-authorization", "te",   "trailer",
        "transfer-encoding", "upgrade",    "endpoint-load-metrics", "content-length",      "host", "expect",
        "proxy-connection"};
    const beast::string_view own("plumkeel-"), given(name.data(), name.size());
    if (beast::iequals(given.substr(0, own.size()), own)) return false;
    for (const auto each : kept_back)
        if (beast::iequals(given, beast::string_view(each.data(), each.size()))) return false;
    return true;
}

std::vector<std::string> path_segments(std::string_view target) {
    std::vector<std::string> parts;
    const auto url = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!url) return parts;
    for (const auto part : url->segments()) parts.emplace_back(part);
    return parts;
}

std::string percent_encode(std::string_view part) {
    return boost::urls::encode(boost::urls::string_view(part.data(), part.size()), boost::urls::unreserved_chars);
}

std::vector<std::pair<std::string, std::string>> query_parameters(std::string_view target) {
    std::vector<std::pair<std::string, std::string>> pairs;
    const auto url = boost::urls::parse_origin_form({target.data(), target.size()});
    if (!url) return pairs;
    for (const auto& each : url->params()) pairs.emplace_back(std::string(each.key), std::string(each.value));
    return pairs;
}

}  // namespace plumkeel::http
