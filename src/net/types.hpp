/// Basic types of the asynchronous I/O layer.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>

namespace plumkeel::net {

namespace asio = boost::asio;

/// A point in time as the duration since the event loop's start, or a duration.
using Time = std::chrono::microseconds;

/// Result of an I/O operation: no error, a system error or one of `asio::error`.
using Error = boost::system::error_code;

/// A coroutine that runs on an event loop.
template <class T = void>
using Task = asio::awaitable<T>;

}  // namespace plumkeel::net
