#include "net/socket_listener.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "net/socket_io.hpp"
#include "net/socket_stream.hpp"

namespace plumkeel::net {
namespace {

/// Whether the error concerns only the connection being accepted, which has left the backlog: accept() can be retried
/// at once (accept(2), "Error handling").
bool is_error_of_new_connection(const Error& error) {
    static constexpr std::array connection_errors{ECONNABORTED, EPROTO,       ENETDOWN,   ENOPROTOOPT, EHOSTDOWN,
                                                  ENONET,       EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, ETIMEDOUT};
    if (error.category() != asio::error::get_system_category()) return false;
    return std::ranges::find(connection_errors, error.value()) != connection_errors.end();
}

}  // namespace

SocketListener::SocketListener(const EventLoop& loop, asio::ip::tcp::acceptor acceptor)
    : loop_(loop), acceptor_(std::move(acceptor)) {}

Task<Listener::AcceptResult> SocketListener::accept() {
    for (;;) {
        auto [error, socket] = co_await acceptor_.async_accept(socket_io::as_result);
        if (is_error_of_new_connection(error)) continue;
        if (error) co_return AcceptResult{error, nullptr};
        co_return AcceptResult{{}, std::make_shared<SocketStream>(loop_, std::move(socket))};
    }
}

bool SocketListener::has_pending() {
    return acceptor_.is_open() && socket_io::is_readable(acceptor_.native_handle());
}

Address SocketListener::address() const {
    Error error;
    const auto endpoint = acceptor_.local_endpoint(error);
    return {endpoint.address().to_string(), endpoint.port()};
}

void SocketListener::close() {
    Error ignored;
    acceptor_.close(ignored);
}

}  // namespace plumkeel::net
