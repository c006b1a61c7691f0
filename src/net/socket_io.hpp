/// Helpers shared by the socket streams, listeners and event loop; private to this package.
#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "net/types.hpp"

namespace plumkeel::net::socket_io {

/// Completion token: the awaited tuple contains the error, which is not thrown.
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Whether poll(2) reports the descriptor readable; does not wait.
bool is_readable(int descriptor);

}  // namespace plumkeel::net::socket_io
