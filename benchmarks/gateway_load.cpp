#include "benchmarks/gateway_load.hpp"

#include <algorithm>

#include "benchmarks/gateway_peers.hpp"
#include "http/http.hpp"

namespace plumkeel::benchmarks {
namespace {

using namespace std::chrono_literals;
using net::Task;
using net::Time;

constexpr Time connect_timeout = 2s, stop_margin = 200ms;
constexpr Time delay_after_connecting = 300ms, delay_after_sending = 1500ms;
constexpr std::string_view closed_loop_request =
    "POST /v1/jobs/f HTTP/1.1\r\nHost: x\r\nplumkeel-use-case: p\r\nplumkeel-time-left: 60000\r\n"
    "plumkeel-lanes: 10000\r\nContent-Type: text/plain\r\nContent-Length: 20\r\n\r\n01234567890123456789";
constexpr std::string_view unanswered_request =
    "POST /v1/jobs/f HTTP/1.1\r\nHost: x\r\nplumkeel-use-case: p\r\nplumkeel-time-left: 60000\r\n"
    "plumkeel-lanes: 10000\r\nContent-Length: 20\r\n\r\n01234567890123456789";

struct ClosedLoop {
    net::SocketEventLoop loop;
    net::Address target;
    Time measure_begin{}, measure_end{};  // measured part of the run
    std::vector<double> latencies_us;

    Task<> run_client() {
        auto connected = co_await loop.connect(target, connect_timeout);
        if (connected.error) co_return;
        http::ReadBuffer read_buffer(connected.stream);
        while (loop.now() < measure_end) {
            const Time sent_at = loop.now();
            write(*connected.stream, closed_loop_request);
            http::beast_http::response_parser<http::beast_http::string_body> parser;
            parser.eager(true);
            net::Error error;
            while (!parser.is_done() && !error) {
                error = co_await read_buffer.read_more();
                if (!error) error = read_buffer.feed(parser);
            }
            if (error) co_return;
            if (loop.now() > measure_begin && parser.get().result_int() == 200)
                latencies_us.push_back(static_cast<double>((loop.now() - sent_at).count()));
        }
    }
};

}  // namespace

LoadFigures run_closed_loop(std::uint16_t port, int connections, Time duration) {
    ClosedLoop closed_loop;
    closed_loop.target = {"127.0.0.1", port};
    closed_loop.measure_begin = duration / 4;
    closed_loop.measure_end = duration;
    for (int i = 0; i < connections; ++i) closed_loop.loop.spawn(closed_loop.run_client());
    closed_loop.loop.call_at(duration + stop_margin, [&closed_loop] { closed_loop.loop.stop(); });
    closed_loop.loop.run();
    std::vector<double>& latencies = closed_loop.latencies_us;
    if (latencies.empty()) return {};
    std::sort(latencies.begin(), latencies.end());
    const double counted_requests = static_cast<double>(latencies.size());
    const double measured_s =
        std::chrono::duration<double>(closed_loop.measure_end - closed_loop.measure_begin).count();
    return {counted_requests / measured_s, latencies[latencies.size() / 2], latencies[latencies.size() * 99 / 100],
            counted_requests * 4 / 3};
}

void OpenRequests::run(std::uint16_t port, int count, const std::function<void()>& on_connected,
                       const std::function<void()>& on_sent) {
    loop_.spawn(open(port, count, on_connected, on_sent));
    loop_.run();
}

Task<> OpenRequests::open(std::uint16_t port, int count, const std::function<void()>& on_connected,
                          const std::function<void()>& on_sent) {
    const net::Address target{"127.0.0.1", port};
    for (int i = 0; i < count; ++i) {
        auto connected = co_await loop_.connect(target, connect_timeout);
        if (!connected.error) streams_.push_back(connected.stream);
    }
    co_await loop_.sleep(delay_after_connecting);
    on_connected();
    for (const auto& stream : streams_) write(*stream, unanswered_request);
    co_await loop_.sleep(delay_after_sending);
    on_sent();
    loop_.stop();
}

}  // namespace plumkeel::benchmarks
