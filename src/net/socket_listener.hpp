/// A listening TCP socket; private to this package.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "net/event_loop.hpp"

namespace plumkeel::net {

/// Listener over a bound TCP acceptor. Connections that failed in the backlog are skipped; errors of the process or
/// system, such as EMFILE and ENFILE, are returned.
class SocketListener : public Listener {
public:
    SocketListener(const EventLoop& loop, asio::ip::tcp::acceptor acceptor);

    Task<AcceptResult> accept() override;
    bool has_pending() override;
    Address address() const override;
    void close() override;

private:
    const EventLoop& loop_;
    asio::ip::tcp::acceptor acceptor_;
};

}  // namespace plumkeel::net
