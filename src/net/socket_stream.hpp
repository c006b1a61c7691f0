/// A TCP connection; private to this package.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/event_loop.hpp"

namespace plumkeel::net {

/// Stream over a connected TCP socket, which is set to non-blocking mode and TCP_NODELAY.
///
/// System calls that fail with EINTR are repeated at once. ENOBUFS and ENOMEM leave the connection unaffected (send(2),
/// recv(2)): the call is repeated after a short delay.
class SocketStream : public Stream {
public:
    SocketStream(const EventLoop& loop, asio::ip::tcp::socket socket);

    Task<TransferResult> read(asio::mutable_buffer into) override;
    TransferResult write_now(std::span<const asio::const_buffer> from) override;
    Task<Error> writable() override;
    bool peer_closed() override;
    bool has_unread() override;
    std::optional<Time> time_since_last_receive() override;
    void shutdown_send() override;
    void close() override;
    void reset() override;

private:
    const EventLoop& loop_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer write_retry_timer_;
    bool write_lacked_memory_{};
};

}  // namespace plumkeel::net
