/// HTTP/1.1 server of the emulated services.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "http/http.hpp"
#include "net/notification.hpp"
#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::emulator {

using net::Time;
using namespace std::chrono_literals;

/// A client's connection, which handles one request at a time.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    using Request = http::beast_http::request<http::beast_http::string_body>;
    struct Handler {
        std::function<void(const std::shared_ptr<HttpConnection>&, Request)> on_request;
        /// The client closed the connection while its request was pending.
        std::function<void(const std::shared_ptr<HttpConnection>&)> on_abandoned;
    };
    /// `handler` must outlive the connection.
    HttpConnection(net::EventLoop& loop, std::shared_ptr<net::Stream> stream, const Handler& handler);
    void start();
    /// Sends the response to the pending request.
    void reply(std::string head, std::string body);
    void reply_empty(unsigned status);
    /// Sends the first `bytes` bytes of the response, then resets the connection.
    void reply_truncated(const std::string& response, std::size_t bytes);
    void reset() { stream_->reset(); }
    void close();
    bool is_request_pending() const { return request_pending_; }

private:
    net::Task<> serve(std::shared_ptr<HttpConnection> self);
    net::Task<net::Error> read_request(http::beast_http::request_parser<http::beast_http::string_body>& parser);
    net::Task<bool> wait_for_reply();

    net::EventLoop& loop_;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;
    const Handler& handler_;
    http::ReadBuffer read_buffer_;
    net::Notification replied_;
    bool request_pending_{};
};

/// Accepts connections until the listener is closed. `handler` must outlive the connections.
void accept_connections(net::EventLoop& loop, std::shared_ptr<net::Listener> listener,
                        const HttpConnection::Handler& handler);

/// Listens on a loopback port; 0 chooses a free one. Ends the process with status 2 and an error message on failure.
std::shared_ptr<net::Listener> listen_or_exit(net::EventLoop& loop, std::uint16_t port);

}  // namespace plumkeel::emulator
