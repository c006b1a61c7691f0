#include "http/exchange.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <memory>
#include <utility>

#include "net/write_queue.hpp"

namespace plumkeel::http {
namespace {

using ResponseParser = beast_http::response_parser<beast_http::string_body>;

constexpr net::Time max_connect_timeout = std::chrono::seconds(2);
constexpr std::size_t read_buffer_bytes = std::size_t{256} * 1024;

// Reads until the response is complete; returns an error if it can't be completed.
net::Task<net::Error> read_response(std::shared_ptr<net::Stream> stream, ResponseParser& parser) {
    ReadBuffer read_buffer(std::move(stream), read_buffer_bytes);
    net::Error error;
    while (!parser.is_done() && !error) {
        error = co_await read_buffer.read_more();
        if (error == net::asio::error::eof) {
            error = {};
            if (parser.got_some()) parser.put_eof(error);
            if (!error && !parser.is_done()) error = net::asio::error::eof;
        } else if (!error) {
            error = read_buffer.feed(parser);
        }
    }
    co_return error;
}

}  // namespace

net::Task<ExchangeResult> exchange(net::EventLoop& loop, net::Address address, std::string head, std::string body,
                                   std::chrono::microseconds timeout, std::size_t max_response_bytes) {
    const auto deadline = loop.now() + timeout;
    const auto connected = co_await loop.connect(std::move(address), std::min<net::Time>(timeout, max_connect_timeout));
    if (connected.error) co_return ExchangeResult{connected.error, {}};
    const auto stream = connected.stream;
    bool timed_out = false;
    auto timer = loop.call_at(deadline, [&timed_out, stream] {
        timed_out = true;
        stream->close();
    });
    const auto write_queue = std::make_shared<net::WriteQueue>(loop, stream);
    write_queue->send(std::move(head), std::make_shared<const std::string>(std::move(body)));
    ResponseParser parser;
    parser.eager(true);
    parser.body_limit(max_response_bytes);
    net::Error error = co_await read_response(stream, parser);
    loop.cancel(timer);
    write_queue->abandon();
    stream->close();
    if (timed_out) error = net::asio::error::timed_out;
    if (error) co_return ExchangeResult{error, {}};
    co_return ExchangeResult{{}, parser.release()};
}

}  // namespace plumkeel::http
