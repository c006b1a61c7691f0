/// Queue of the bytes that a connection has to send.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "net/notification.hpp"
#include "net/stream.hpp"

namespace plumkeel::net {

class EventLoop;

/// Sends the bytes that fit at once and queues the others, which a coroutine sends in order; it keeps the queue alive.
/// The queue is unbounded: callers limit it with pending_bytes() or wait_below().
class WriteQueue : public std::enable_shared_from_this<WriteQueue> {
public:
    /// Bytes with shared ownership, which are not copied.
    using Chunk = std::shared_ptr<const std::string>;

    /// While a Batch exists, send() only collects bytes; they are passed to the stream together when it ends.
    class Batch {
    public:
        explicit Batch(WriteQueue& queue) : queue_(queue) { ++queue_.open_batches_; }
        ~Batch() { queue_.end_batch(); }
        Batch(const Batch&) = delete;
        Batch& operator=(const Batch&) = delete;

    private:
        WriteQueue& queue_;
    };

    WriteQueue(EventLoop& loop, std::shared_ptr<Stream> stream);

    void send(std::string head, Chunk body = {});

    /// Like send() if the stream accepts at least one byte now; otherwise returns false and queues nothing. After an
    /// error it returns true and sends nothing.
    bool send_if_room(std::string head, Chunk body, std::string tail);

    /// Waits until the stream may accept bytes or fails.
    Task<> wait_writable();

    /// Waits until at most `bytes` are pending or the stream fails.
    Task<> wait_below(std::size_t bytes);

    std::size_t pending_bytes() const { return pending_bytes_ + batch_.size(); }

    /// Total number of bytes passed to the stream.
    std::size_t sent_bytes() const { return sent_bytes_; }

    /// The stream's first error, or `asio::error::operation_aborted` after abandon().
    Error error() const { return error_; }

    /// Drops the pending bytes and sends nothing more; wakes all waiters.
    void abandon();

private:
    bool is_idle() const { return queue_.empty() && !sending_ && batch_.empty(); }
    void end_batch();
    void enqueue_unsent(Chunk chunk, std::size_t& written_bytes);
    void start_sending();
    void flush();
    Task<> send_pending(std::shared_ptr<WriteQueue> keep_alive);

    EventLoop& loop_;
    std::shared_ptr<Stream> stream_;
    std::deque<Chunk> queue_;
    std::size_t front_offset_{};  // number of bytes of the first chunk that are sent
    std::size_t pending_bytes_{}, sent_bytes_{};
    std::string batch_;  // bytes collected for the open Batch
    int open_batches_{};
    bool sending_{};
    Error error_;
    Notification writable_;
};

}  // namespace plumkeel::net
