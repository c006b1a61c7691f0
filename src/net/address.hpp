/// Network addresses as they are written in configuration files and discovery data.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plumkeel::net {

/// A host, which SocketEventLoop requires to be a numeric IP address, and a TCP port.
struct Address {
    std::string host;
    std::uint16_t port{};

    /// Parses `host:port`, an IPv6 host in brackets; empty if the text is malformed.
    static std::optional<Address> parse(std::string_view text);

    /// The inverse of parse().
    std::string to_string() const;

    bool operator==(const Address&) const = default;
};

}  // namespace plumkeel::net
