#include "benchmarks/gateway_peers.hpp"

#include <memory>
#include <string>
#include <vector>

#include "http/http.hpp"
#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::benchmarks {
namespace {

using namespace std::chrono_literals;
using net::Task;

constexpr std::size_t chunk_bytes = 16 * 1024, max_queued_bytes = 64 * 1024;
constexpr std::string_view invoker_response =
    "HTTP/1.1 200 OK\r\nplumkeel-note: stood-loaded\r\nplumkeel-company: 0\r\n"
    "endpoint-load-metrics: TEXT named_metrics.inflight=1\r\nContent-Length: 2\r\n\r\nok";

Task<> answer_requests(std::shared_ptr<net::Stream> stream, bool answers) {
    http::ReadBuffer read_buffer(stream);
    for (;;) {
        http::beast_http::request_parser<http::beast_http::string_body> parser;
        parser.eager(true);
        net::Error error;
        while (!parser.is_done() && !error) {
            error = co_await read_buffer.read_more();
            if (!error) error = read_buffer.feed(parser);
        }
        if (error) co_return;
        const bool is_health_check = parser.get().method() == http::beast_http::verb::get;
        if (answers || is_health_check) write(*stream, invoker_response);
    }
}

Task<> copy_stream(net::EventLoop& loop, std::shared_ptr<net::Stream> from, std::shared_ptr<net::Stream> to) {
    const auto write_queue = std::make_shared<net::WriteQueue>(loop, to);
    std::vector<char> chunk(chunk_bytes);
    for (;;) {
        const net::TransferResult read = co_await from->read(net::asio::buffer(chunk));
        if (read.error) break;
        write_queue->send(std::string(chunk.data(), read.bytes));
        co_await write_queue->wait_below(max_queued_bytes);
    }
    to->close();
}

Task<> pass_through_client(net::EventLoop& loop, std::shared_ptr<net::Stream> client) {
    const net::Address invoker{"127.0.0.1", invoker_port};
    auto connected = co_await loop.connect(invoker, 1s);
    if (connected.error) co_return;
    loop.spawn(copy_stream(loop, client, connected.stream));
    loop.spawn(copy_stream(loop, connected.stream, client));
}

template <class Serve>
Task<> accept(net::EventLoop& loop, std::shared_ptr<net::Listener> listener, Serve serve) {
    for (;;) {
        auto accepted = co_await listener->accept();
        if (!accepted.error) loop.spawn(serve(accepted.stream));
    }
}

template <class Serve>
void run_server(net::SocketEventLoop& loop, std::uint16_t port, Serve serve) {
    loop.spawn(accept(loop, loop.listen({"127.0.0.1", port}).listener, serve));
    loop.run();
}

}  // namespace

void write(net::Stream& stream, std::string_view text) {
    const net::asio::const_buffer buffer = net::asio::buffer(text.data(), text.size());
    stream.write_now({&buffer, 1});
}

void run_invoker(bool answers) {
    net::SocketEventLoop loop;
    run_server(loop, invoker_port,
               [answers](std::shared_ptr<net::Stream> stream) { return answer_requests(stream, answers); });
}

void run_pass_through() {
    net::SocketEventLoop loop;
    run_server(loop, pass_through_port,
               [&loop](std::shared_ptr<net::Stream> client) { return pass_through_client(loop, client); });
}

}  // namespace plumkeel::benchmarks
