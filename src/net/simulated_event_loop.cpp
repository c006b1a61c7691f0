#include "net/simulated_event_loop.hpp"

#include <algorithm>

#include "net/simulated_listener.hpp"
#include "net/simulated_stream.hpp"

namespace plumkeel::net {

SimulatedEventLoop::SimulatedEventLoop(Time latency, std::size_t buffer_bytes)
    : latency_(latency), buffer_bytes_(buffer_bytes) {}

SimulatedEventLoop::~SimulatedEventLoop() {
    cancel_all();
}

Task<EventLoop::ConnectResult> SimulatedEventLoop::connect(Address to, Time) {
    if (const auto failing = connect_errors_.find(to.to_string());
        failing != connect_errors_.end() && failing->second) {
        const Error error = failing->second;
        co_await sleep({});
        co_return ConnectResult{error, nullptr};
    }
    co_await sleep(2 * latency_);
    const auto listener = listeners_.find(to.to_string());
    if (listener == listeners_.end()) co_return ConnectResult{asio::error::connection_refused, nullptr};
    auto to_server = std::make_shared<SimulatedPipe>(*this);
    auto to_client = std::make_shared<SimulatedPipe>(*this);
    const auto limit = buffer_limits_.find(to.to_string());
    const std::size_t buffer_bytes = limit == buffer_limits_.end() ? buffer_bytes_ : limit->second;
    listener->second->add_connection(std::make_shared<SimulatedStream>(*this, buffer_bytes, to_server, to_client));
    co_return ConnectResult{{}, std::make_shared<SimulatedStream>(*this, buffer_bytes, to_client, to_server)};
}

EventLoop::ListenResult SimulatedEventLoop::listen(const Address& listen_address) {
    Address address = listen_address;
    if (address.port == 0) address.port = ++last_ephemeral_port_;
    if (listeners_.count(address.to_string())) return {asio::error::address_in_use, nullptr};
    auto listener = std::make_shared<SimulatedListener>(*this, address);
    listeners_[address.to_string()] = listener.get();
    return {{}, listener};
}

void SimulatedEventLoop::run(Time end_time) {
    for (;;) {
        context_.restart();
        context_.poll();
        const Time next = run_timers(now_);
        context_.restart();
        if (context_.poll() > 0) continue;
        if (next == Time::max() || next > end_time) break;
        now_ = std::max(now_, next);
    }
    if (end_time != Time::max()) now_ = std::max(now_, end_time);
}

}  // namespace plumkeel::net
