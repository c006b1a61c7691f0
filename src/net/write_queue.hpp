// What a connection still has to send, in order. What fits goes out at once; the rest waits for room and is
// sent by a coroutine of the outbox. Whoever fills it watches pending() and waits in below(): the outbox
// itself keeps all that it is given.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "net/event_loop.hpp"

namespace plumkeel::net {

class WriteQueue : public std::enable_shared_from_this<WriteQueue> {
public:
    using Chunk = std::shared_ptr<const std::string>;

    WriteQueue(EventLoop& loop, std::shared_ptr<Stream> stream);
    void send(std::string head, Chunk body = {});
    // The same for what must not wait here: false, and nothing is kept, where no byte of it can leave now. With a byte
    // out the rest follows, as with send().
    bool send_if_room(std::string head, Chunk body, std::string tail);
    // Waits until something may fit, or the stream has broken.
    Task<> wait_writable();
    // Waits until at most `bytes` are pending, or the stream has broken.
    Task<> wait_below(std::size_t bytes);

    std::size_t pending_bytes() const { return pending_bytes_; }
    std::size_t sent_bytes() const { return sent_bytes_; }  // bytes handed over, over the connection's whole life
    Error error() const { return error_; }
    void abandon();  // nothing more is sent; what waits is let go

private:
    void flush();
    Task<> pump(std::shared_ptr<WriteQueue> keeps_it);

    EventLoop& loop_;
    std::shared_ptr<Stream> stream_;
    std::deque<Chunk> queue_;
    std::size_t offset_{}, pending_bytes_{}, sent_bytes_{};
    bool pumping_{};
    Error error_;
    Notification writable_;
};

}  // namespace plumkeel::net
