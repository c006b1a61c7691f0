#include "net/socket_event_loop.hpp"

#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <csignal>
#include <utility>

#include "net/socket_io.hpp"
#include "net/socket_listener.hpp"
#include "net/socket_stream.hpp"

namespace plumkeel::net {
namespace {

using asio::ip::tcp;
using socket_io::as_result;

/// Loop iterations in which pending input is read before overdue timers run.
constexpr int max_iterations_before_overdue_timers = 16;

/// Overdue timers wait for fewer iterations if these take longer than this in all, as in a flood of input.
constexpr Time max_overdue_timer_wait = std::chrono::milliseconds(100);
/// Even then, connections are accepted and their first input is read before.
constexpr int min_iterations_before_overdue_timers = 4;

/// Longest line that is read from the standard input.
constexpr std::size_t max_input_line_bytes = std::size_t{1} << 16;

}  // namespace

SocketEventLoop::SocketEventLoop() : start_time_(std::chrono::steady_clock::now()) {}

SocketEventLoop::~SocketEventLoop() {
    cancel_all();
}

Time SocketEventLoop::now() const {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - start_time_);
}

Time SocketEventLoop::wall_clock() const {
    return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
}

Task<EventLoop::ConnectResult> SocketEventLoop::connect(Address to, Time timeout) {
    Error address_error;
    const auto address = asio::ip::make_address(to.host, address_error);
    if (address_error) {
        co_await asio::post(context_, asio::use_awaitable);
        co_return ConnectResult{address_error, nullptr};
    }
    auto socket = std::make_shared<tcp::socket>(context_);
    bool timed_out = false;
    TimerKey timer = call_at(now() + timeout, [&timed_out, socket] {
        timed_out = true;
        Error ignored;
        socket->close(ignored);
    });
    const auto [error] = co_await socket->async_connect({address, to.port}, as_result);
    cancel(timer);
    if (timed_out) co_return ConnectResult{asio::error::timed_out, nullptr};
    if (error) co_return ConnectResult{error, nullptr};
    co_return ConnectResult{{}, std::make_shared<SocketStream>(*this, std::move(*socket))};
}

EventLoop::ListenResult SocketEventLoop::listen(const Address& listen_address) {
    ListenResult result;
    const auto address = asio::ip::make_address(listen_address.host, result.error);
    if (result.error) return result;
    const tcp::endpoint endpoint(address, listen_address.port);
    tcp::acceptor acceptor(context_);
    acceptor.open(endpoint.protocol(), result.error);
    // SO_REUSEADDR lets a restarted process bind while connections of its predecessor are in TIME_WAIT.
    if (!result.error) acceptor.set_option(tcp::acceptor::reuse_address(true), result.error);
    // Without this option asio would handle ECONNABORTED by waiting for the next connection to arrive, although others
    // may be waiting in the backlog.
    if (!result.error) acceptor.set_option(asio::socket_base::enable_connection_aborted(true), result.error);
    if (!result.error) acceptor.bind(endpoint, result.error);
    if (!result.error) acceptor.listen(asio::socket_base::max_listen_connections, result.error);
    if (!result.error) result.listener = std::make_shared<SocketListener>(*this, std::move(acceptor));
    return result;
}

void SocketEventLoop::run() {
    context_.run();
    context_.restart();  // allows another call of run()
}

void SocketEventLoop::stop() {
    context_.stop();
}

void SocketEventLoop::arm(Time when) {
    timer_.expires_at(start_time_ + when);
    timer_.async_wait([this](Error error) {
        if (error) return;  // cancelled, since an earlier timer was armed
        if (!is_lagging()) return run_due_timers();
        note_lag();
        run_due_timers_after_input(0, now());
    });
}

// After a stall, input is read before due timers run, since it may make them obsolete: a request on a connection that
// would be closed as idle, or a response to a request that would time out.
void SocketEventLoop::run_due_timers_after_input(int iterations, Time overdue_since) {
    const bool has_waited_long =
        iterations >= min_iterations_before_overdue_timers && now() - overdue_since >= max_overdue_timer_wait;
    if (has_waited_long || iterations >= max_iterations_before_overdue_timers) return run_due_timers();
    asio::post(context_,
               [this, iterations, overdue_since] { run_due_timers_after_input(iterations + 1, overdue_since); });
}

void SocketEventLoop::run_due_timers() {
    if (const Time next = run_timers(now()); next != Time::max()) arm(next);
}

void SocketEventLoop::on_termination(std::function<void()> callback) {
    on_signals({SIGTERM, SIGINT}, std::move(callback));
}

void SocketEventLoop::on_signal(int number, std::function<void()> callback) {
    on_signals({number}, std::move(callback));
}

void SocketEventLoop::on_signals(const std::vector<int>& numbers, std::function<void()> callback) {
    auto signals = std::make_unique<asio::signal_set>(context_);
    for (const int number : numbers) signals->add(number);
    spawn(watch_signals(std::move(signals), std::move(callback)));
}

Task<> SocketEventLoop::watch_signals(std::unique_ptr<asio::signal_set> signals, std::function<void()> callback) {
    for (;;) {
        const auto [error, number] = co_await signals->async_wait(as_result);
        if (error) co_return;
        callback();
    }
}

void SocketEventLoop::on_input_line(LineCallback callback) {
    spawn(read_input(std::move(callback)));
}

Task<> SocketEventLoop::read_input(LineCallback callback) {
    asio::posix::stream_descriptor input(context_, ::dup(STDIN_FILENO));
    std::string text;
    for (;;) {
        const auto [error, bytes] =
            co_await asio::async_read_until(input, asio::dynamic_buffer(text, max_input_line_bytes), '\n', as_result);
        if (error) break;
        callback(text.substr(0, bytes - 1));
        text.erase(0, bytes);
    }
    callback(std::nullopt);
}

}  // namespace plumkeel::net
