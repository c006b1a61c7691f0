// The world of sockets and the machine's clock, on one thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <functional>
#include <string>
#include <vector>

#include "net/event_loop.hpp"

namespace plumkeel::net {

class SocketEventLoop : public EventLoop {
public:
    SocketEventLoop();
    ~SocketEventLoop() override;
    Time now() const override;
    Time wall_clock() const override;
    asio::any_io_executor executor() override { return context_.get_executor(); }
    Task<ConnectResult> connect(Address to, Time limit) override;
    ListenResult listen(const Address& at) override;

    void run();   // until stop() or nothing is left to do
    void stop();  // what still waits is destroyed with the world
    // Tells of SIGTERM and SIGINT, each time; or of one signal.
    void on_termination(std::function<void()> what);
    void on_signal(int number, std::function<void()> what);
    // Feeds lines of the standard input; an empty optional at its end.
    void on_input_line(std::function<void(std::optional<std::string>)> what);

private:
    void arm(Time when) override;
    void run_due_after(int rounds);
    Task<> read_input(std::function<void(std::optional<std::string>)> what);
    // From here on the signals are caught; `what` is called once the world runs.
    void on_signals(const std::vector<int>& numbers, std::function<void()> what);
    Task<> watch_signals(std::unique_ptr<asio::signal_set> signals, std::function<void()> what);

    asio::io_context context_{1};
    asio::steady_timer timer_{context_};
    const std::chrono::steady_clock::time_point start_;
};

// Keeps signals pending, in this thread and those that it starts, until somebody catches them: one that comes while a
// program starts would end it, or be lost.
class SignalBlock {
public:
    explicit SignalBlock(std::initializer_list<int> numbers);
    ~SignalBlock();
    SignalBlock(const SignalBlock&) = delete;
    SignalBlock& operator=(const SignalBlock&) = delete;
    void release();

private:
    sigset_t before_{};
    bool released_{};
};

// Which process listens on the port: "pid 123 (plumkeel)", or empty where that can't be seen.
std::string listening_process(std::uint16_t port);

// The machine's monotonic clock, shared by all processes on it: for records that are laid side by side.
Time machine_clock();

}  // namespace plumkeel::net
