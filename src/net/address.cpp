#include "net/address.hpp"

#include <charconv>
#include <limits>

namespace plumkeel::net {

std::optional<Address> Address::parse(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) return {};
    std::string_view host = text.substr(0, colon);
    if (host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
    const std::string_view digits = text.substr(colon + 1);
    const char* const digits_end = digits.data() + digits.size();
    unsigned port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits_end, port);
    if (error != std::errc{} || end != digits_end) return {};
    if (port > std::numeric_limits<std::uint16_t>::max() || host.empty()) return {};
    return Address{std::string(host), static_cast<std::uint16_t>(port)};
}

std::string Address::to_string() const {
    const bool is_ipv6 = host.find(':') != std::string::npos;
    return (is_ipv6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

}  // namespace plumkeel::net
