#include "emulator/http_server.hpp"

#include <iostream>

#include "net/listening_process.hpp"

namespace plumkeel::emulator {
namespace {

constexpr std::size_t max_body_bytes = 64 * 1024 * 1024;
constexpr Time accept_retry_delay = 10ms;
constexpr Time reset_delay = 5ms;  // lets the client receive the bytes sent before the reset

}  // namespace

HttpConnection::HttpConnection(net::EventLoop& loop, std::shared_ptr<net::Stream> stream, const Handler& handler)
    : loop_(loop),
      stream_(std::move(stream)),
      write_queue_(std::make_shared<net::WriteQueue>(loop, stream_)),
      handler_(handler),
      read_buffer_(stream_),
      replied_(loop) {}

void HttpConnection::start() {
    loop_.spawn(serve(shared_from_this()));
}

net::Task<> HttpConnection::serve(std::shared_ptr<HttpConnection> self) {
    bool connected = true;
    while (connected) {
        http::beast_http::request_parser<http::beast_http::string_body> parser;
        const net::Error error = co_await read_request(parser);
        if (error) break;
        const bool keep_alive = parser.keep_alive();
        request_pending_ = true;
        handler_.on_request(self, parser.release());
        connected = co_await wait_for_reply();
        if (request_pending_) {
            request_pending_ = false;
            handler_.on_abandoned(self);
        }
        connected = connected && keep_alive;
    }
    co_await write_queue_->wait_below(0);
    stream_->close();
}

net::Task<net::Error> HttpConnection::read_request(
    http::beast_http::request_parser<http::beast_http::string_body>& parser) {
    parser.eager(true);
    parser.body_limit(max_body_bytes);
    net::Error error;
    bool use_buffered_bytes = read_buffer_.size() > 0;
    while (!parser.is_done() && !error) {
        if (!std::exchange(use_buffered_bytes, false)) error = co_await read_buffer_.read_more();
        if (!error) error = read_buffer_.feed(parser);
    }
    co_return error;
}

// Waits until reply() is called or the client closes the connection; only a read detects the close. Returns false if
// the connection ended.
net::Task<bool> HttpConnection::wait_for_reply() {
    net::Error error;
    while (request_pending_ && !error) {
        if (read_buffer_.size() == 0)
            error = co_await read_buffer_.read_more();
        else
            co_await replied_.wait();
    }
    co_return !error;
}

void HttpConnection::reply(std::string head, std::string body) {
    write_queue_->send(std::move(head), std::make_shared<const std::string>(std::move(body)));
    request_pending_ = false;
    replied_.notify();
}

void HttpConnection::reply_empty(unsigned status) {
    reply(http::HeadWriter(http::status_line(status)).add("Content-Length", "0").finish(), "");
}

void HttpConnection::reply_truncated(const std::string& response, std::size_t bytes) {
    write_queue_->send(response.substr(0, bytes));
    request_pending_ = false;
    auto reset_later = [](std::shared_ptr<HttpConnection> self) -> net::Task<> {
        co_await self->loop_.sleep(reset_delay);
        self->stream_->reset();
    };
    loop_.spawn(reset_later(shared_from_this()));
}

void HttpConnection::close() {
    request_pending_ = false;
    stream_->close();
}

void accept_connections(net::EventLoop& loop, std::shared_ptr<net::Listener> listener,
                        const HttpConnection::Handler& handler) {
    auto accept_loop = [](net::EventLoop& event_loop, std::shared_ptr<net::Listener> connection_listener,
                          const HttpConnection::Handler& connection_handler) -> net::Task<> {
        for (;;) {
            const auto accepted = co_await connection_listener->accept();
            if (accepted.error == net::asio::error::operation_aborted) co_return;
            if (accepted.error) {
                co_await event_loop.sleep(accept_retry_delay);
                continue;
            }
            std::make_shared<HttpConnection>(event_loop, accepted.stream, connection_handler)->start();
        }
    };
    loop.spawn(accept_loop(loop, std::move(listener), handler));
}

std::shared_ptr<net::Listener> listen_or_exit(net::EventLoop& loop, std::uint16_t port) {
    const auto listened = loop.listen({"127.0.0.1", port});
    if (!listened.error) return listened.listener;
    std::cerr << "plumkeel-emulator: port " << port << ": cannot listen: " << listened.error.message() << ' '
              << net::listening_process(port) << '\n';
    std::exit(2);
}

}  // namespace plumkeel::emulator
