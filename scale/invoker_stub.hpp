/// All invokers of a fleet behind one listener on the wildcard address: each attempt is answered after the same time.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "net/event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::scale {

class InvokerStub {
public:
    /// `loop` must outlive this.
    InvokerStub(net::EventLoop& loop, std::uint16_t port, net::Time run_time);
    net::Error open();
    // Counts since its start.
    std::uint64_t connections() const { return connections_; }
    std::uint64_t runs() const { return runs_; }
    std::uint64_t health_checks() const { return health_checks_; }
    std::uint64_t bytes() const { return bytes_; }  // of both directions

private:
    net::Task<> accept();
    net::Task<> serve(std::shared_ptr<net::Stream> stream);
    net::Task<> answer(std::shared_ptr<net::WriteQueue> write_queue, std::string id);
    void handle_messages(std::string& buffer, const std::shared_ptr<net::WriteQueue>& write_queue);
    void send(net::WriteQueue& write_queue, std::string text);

    net::EventLoop& loop_;
    const std::uint16_t port_;
    const net::Time run_time_;
    std::shared_ptr<net::Listener> listener_;
    std::uint64_t connections_{}, runs_{}, health_checks_{}, bytes_{};
};

}  // namespace plumkeel::scale
