#include "net/simulated_listener.hpp"

#include <utility>

namespace plumkeel::net {

SimulatedListener::SimulatedListener(SimulatedEventLoop& loop, Address address)
    : loop_(loop), address_(std::move(address)), arrival_(loop) {}

SimulatedListener::~SimulatedListener() {
    SimulatedListener::close();
}

Task<Listener::AcceptResult> SimulatedListener::accept() {
    while (backlog_.empty() && !closed_) co_await arrival_.wait();
    if (closed_) co_return AcceptResult{asio::error::operation_aborted, nullptr};
    AcceptResult result{{}, std::move(backlog_.front())};
    backlog_.pop_front();
    co_return result;
}

void SimulatedListener::close() {
    if (std::exchange(closed_, true)) return;
    loop_.listeners_.erase(address_.to_string());
    arrival_.notify();
}

void SimulatedListener::add_connection(std::shared_ptr<Stream> stream) {
    backlog_.push_back(std::move(stream));
    arrival_.notify();
}

}  // namespace plumkeel::net
