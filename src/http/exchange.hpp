/// Sends a single HTTP request on a new connection.
#pragma once

#include <chrono>
#include <cstddef>
#include <string>

#include "http/http.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::http {

struct ExchangeResult {
    net::Error error;  ///< set if there is no complete response
    beast_http::response<beast_http::string_body> response;
};

/// Limit of a response's body unless the caller passes another limit.
constexpr std::size_t default_max_response_bytes = std::size_t{64} * 1024 * 1024;

/// Connects, sends the request and waits for the complete response, all within `timeout`, then closes the connection.
/// Fails with `asio::error::timed_out` after that time, with `asio::error::eof` if the connection ends before the
/// response is complete, and with an error of Beast's parser if the response is malformed or its body is too long.
net::Task<ExchangeResult> exchange(net::EventLoop& loop, net::Address address, std::string head, std::string body,
                                   std::chrono::microseconds timeout,
                                   std::size_t max_response_bytes = default_max_response_bytes);

}  // namespace plumkeel::http
