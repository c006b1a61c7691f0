/// A stub for all invokers of a fleet. It listens on one port of all addresses and answers each attempt after a fixed
/// time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "net/event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::scale {

class InvokerStub {
public:
    /// `loop` must outlive this object.
    InvokerStub(net::EventLoop& loop, std::uint16_t port, net::Time run_time);
    net::Error open();
    // Counts since construction.
    std::uint64_t connections() const { return connections_; }
    std::uint64_t runs() const { return runs_; }
    std::uint64_t health_checks() const { return health_checks_; }
    std::uint64_t bytes() const { return bytes_; }  // bytes received and sent

private:
    net::Task<> accept();
    net::Task<> serve(std::shared_ptr<net::Stream> stream);
    net::Task<> answer(std::shared_ptr<net::WriteQueue> write_queue, std::string attempt_id);
    void handle_messages(std::string& buffer, const std::shared_ptr<net::WriteQueue>& write_queue);
    void send(net::WriteQueue& write_queue, std::string text);

    net::EventLoop& loop_;
    const std::uint16_t port_;
    const net::Time run_time_;
    std::shared_ptr<net::Listener> listener_;
    std::uint64_t connections_{}, runs_{}, health_checks_{}, bytes_{};
};

}  // namespace plumkeel::scale
