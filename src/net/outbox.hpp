// What a connection still has to send, in order. What fits goes out at once; the rest waits for room and is
// sent by a coroutine of the outbox. Whoever fills it watches pending() and waits in below(): the outbox
// itself keeps all that it is given.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "net/world.hpp"

namespace plumkeel::net {

class Outbox : public std::enable_shared_from_this<Outbox> {
public:
    using Text = std::shared_ptr<const std::string>;

    Outbox(World& world, std::shared_ptr<Stream> stream);
    void send(std::string head, Text body = {});
    // The same for what must not wait here: false, and nothing is kept, where no byte of it can leave now. With a byte
    // out the rest follows, as with send().
    bool send_if_room(std::string head, Text body, std::string tail);
    // Waits until something may fit, or the stream has broken.
    Task<> writable();
    // Waits until at most `bytes` are pending, or the stream has broken.
    Task<> below(std::size_t bytes);

    std::size_t pending() const { return pending_; }
    std::size_t sent() const { return sent_; }  // bytes handed over, over the connection's whole life
    Error broken() const { return broken_; }
    void abandon();  // nothing more is sent; what waits is let go

private:
    void flush();
    Task<> pump(std::shared_ptr<Outbox> keeps_it);

    World& world_;
    std::shared_ptr<Stream> stream_;
    std::deque<Text> queue_;
    std::size_t offset_{}, pending_{}, sent_{};
    bool pumping_{};
    Error broken_;
    Signal room_;
};

}  // namespace plumkeel::net
