/// An in-memory connection in virtual time; private to this package.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "net/notification.hpp"
#include "net/simulated_event_loop.hpp"

namespace plumkeel::net {

/// One direction of a simulated connection, shared by both ends.
struct SimulatedPipe {
    struct Segment {
        Time arrives_at;
        std::string bytes;
    };

    explicit SimulatedPipe(EventLoop& loop) : arrival(loop), space_available(loop) {}

    std::deque<Segment> segments;
    std::size_t buffered_bytes{};    ///< bytes written and not read yet
    Time shutdown_at = Time::max();  ///< when the reader sees that the writer has shut down sending
    Error error;                     ///< error of all further reads and writes
    Notification arrival, space_available;
};

/// One end of a simulated connection. Bytes arrive after the event loop's latency; each direction buffers a limited
/// number of bytes. As in TCP, closing with unread input resets the connection (RFC 1122, 4.2.2.13; RFC 2525, 2.17).
class SimulatedStream : public Stream {
public:
    SimulatedStream(SimulatedEventLoop& loop, std::size_t buffer_bytes, std::shared_ptr<SimulatedPipe> input,
                    std::shared_ptr<SimulatedPipe> output);
    ~SimulatedStream() override;
    SimulatedStream(const SimulatedStream&) = delete;
    SimulatedStream& operator=(const SimulatedStream&) = delete;

    Task<TransferResult> read(asio::mutable_buffer into) override;
    TransferResult write_now(std::span<const asio::const_buffer> from) override;
    Task<Error> writable() override;
    bool peer_closed() override;
    bool has_unread() override;
    void shutdown_send() override;
    void close() override { close(Closing::orderly); }
    void reset() override { close(Closing::with_reset); }

private:
    enum class Closing { orderly, with_reset };

    void close(Closing closing);
    bool has_arrived_bytes() const;
    void notify_arrival_at(const std::shared_ptr<SimulatedPipe>& pipe, Time when);

    SimulatedEventLoop& loop_;
    const std::size_t buffer_bytes_;
    std::shared_ptr<SimulatedPipe> input_, output_;
    bool closed_{};
};

}  // namespace plumkeel::net
