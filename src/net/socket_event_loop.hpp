/// The event loop of the running program: TCP sockets, signals and the system clock, on one thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/event_loop.hpp"

namespace plumkeel::net {

class SocketEventLoop : public EventLoop {
public:
    /// Receives a line of the standard input without its newline, or an empty optional at the end of input.
    using LineCallback = std::function<void(std::optional<std::string>)>;

    SocketEventLoop();
    ~SocketEventLoop() override;

    Time now() const override;
    Time wall_clock() const override;
    asio::any_io_executor executor() override { return context_.get_executor(); }
    Task<ConnectResult> connect(Address to, Time timeout) override;
    ListenResult listen(const Address& listen_address) override;

    /// Runs until stop() is called or no work is left. May be called again after a stop.
    void run();

    /// Ends run(). Suspended coroutines are destroyed with the loop.
    void stop();

    /// Calls back on each SIGTERM and SIGINT. The signals are caught from this call on; the callback runs in run().
    void on_termination(std::function<void()> callback);

    /// Calls back on each signal with this number, as on_termination() does.
    void on_signal(int number, std::function<void()> callback);

    /// Calls back with each line of the standard input.
    void on_input_line(LineCallback callback);

private:
    void arm(Time when) override;
    void run_due_timers();
    void run_due_timers_after_input(int iterations, Time overdue_since);
    Task<> read_input(LineCallback callback);
    void on_signals(const std::vector<int>& numbers, std::function<void()> callback);
    Task<> watch_signals(std::unique_ptr<asio::signal_set> signals, std::function<void()> callback);

    asio::io_context context_{1};
    asio::steady_timer timer_{context_};
    const std::chrono::steady_clock::time_point start_time_;
};

}  // namespace plumkeel::net
