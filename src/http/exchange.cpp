#include "http/exchange.hpp"

#include "net/write_queue.hpp"

namespace plumkeel::http {

net::Task<ExchangeResult> exchange(net::EventLoop& loop, net::Address to, std::string head, std::string body,
                                   std::chrono::microseconds limit, std::size_t most) {
    const auto until = loop.now() + limit;
    const auto connected = co_await loop.connect(std::move(to), std::min<net::Time>(limit, std::chrono::seconds(2)));
    if (connected.error) co_return ExchangeResult{connected.error, {}};
    const auto stream = connected.stream;
    bool late = false;
    auto ticket = loop.call_at(until, [&late, stream] {
        late = true;
        stream->close();
    });
    const auto write_queue = std::make_shared<net::WriteQueue>(loop, stream);
    write_queue->send(std::move(head), std::make_shared<const std::string>(std::move(body)));
    ReadBuffer read_buffer(stream, 256 * 1024);
    bh::response_parser<bh::string_body> parser;
    parser.eager(true);
    parser.body_limit(most);
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
    loop.cancel(ticket);
    write_queue->abandon();
    stream->close();
    if (late) error = net::asio::error::timed_out;
    if (error) co_return ExchangeResult{error, {}};
    co_return ExchangeResult{{}, parser.release()};
}

}  // namespace plumkeel::http
