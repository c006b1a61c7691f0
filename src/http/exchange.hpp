// One question and its whole answer on a connection of its own.
#pragma once

#include <string>

#include "http/http.hpp"

namespace plumkeel::http {

struct ExchangeResult {
    net::Error error;  // no whole answer came
    bh::response<bh::string_body> response;
};

net::Task<ExchangeResult> exchange(net::EventLoop& loop, net::Address to, std::string head, std::string body,
                                   std::chrono::microseconds limit, std::size_t most = 64 * 1024 * 1024);

}  // namespace plumkeel::http
