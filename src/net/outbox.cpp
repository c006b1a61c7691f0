#include "net/outbox.hpp"

#include <array>

namespace plumkeel::net {

Outbox::Outbox(World& world, std::shared_ptr<Stream> stream)
    : world_(world), stream_(std::move(stream)), room_(world) {}

void Outbox::send(std::string head, Text body) {
    if (broken_) return;
    std::size_t of_body = 0;
    if (queue_.empty() && !pumping_) {  // nearly always all of it fits at once
        const std::array<asio::const_buffer, 2> whole{asio::buffer(head), body ? asio::buffer(*body) : asio::const_buffer()};
        const Moved moved = stream_->write_now(whole);
        if (moved.error) {
            broken_ = moved.error;
            return;
        }
        sent_ += moved.bytes;
        const std::size_t of_head = std::min(moved.bytes, head.size());
        if (moved.bytes == head.size() + whole[1].size()) return;
        head.erase(0, of_head);
        offset_ = of_body = moved.bytes - of_head;  // above 0 only once the whole head is out
    }
    if (!head.empty()) {
        pending_ += head.size();
        queue_.push_back(std::make_shared<const std::string>(std::move(head)));
    }
    if (body && !body->empty()) {
        pending_ += body->size() - of_body;
        queue_.push_back(std::move(body));
    }
    if (!queue_.empty() && !pumping_ && !broken_) {
        pumping_ = true;
        world_.spawn(pump(shared_from_this()));
    }
}

bool Outbox::send_if_room(std::string head, Text body, std::string tail) {
    if (broken_) return true;
    if (!queue_.empty() || pumping_) return false;
    const std::array<asio::const_buffer, 3> whole{asio::buffer(head), body ? asio::buffer(*body) : asio::const_buffer(), asio::buffer(tail)};
    const Moved moved = stream_->write_now(whole);
    if (moved.error) {
        broken_ = moved.error;
        return true;
    }
    if (moved.bytes == 0) return false;
    sent_ += moved.bytes;
    std::size_t out = moved.bytes;
    const auto keep = [&](Text text) {
        const std::size_t of_it = std::min(out, text->size());
        out -= of_it;
        if (of_it == text->size()) return;
        if (queue_.empty()) offset_ = of_it;
        pending_ += text->size() - of_it;
        queue_.push_back(std::move(text));
    };
    keep(std::make_shared<const std::string>(std::move(head)));
    if (body) keep(std::move(body));
    keep(std::make_shared<const std::string>(std::move(tail)));
    if (!queue_.empty()) {
        pumping_ = true;
        world_.spawn(pump(shared_from_this()));
    }
    return true;
}

Task<> Outbox::writable() {
    if (broken_) co_return;
    if (pending_ > 0) co_return co_await below(0);
    if (const Error error = co_await stream_->writable(); error && !broken_) {
        broken_ = error;
        abandon();
    }
}

void Outbox::flush() {
    while (!queue_.empty() && !broken_) {
        std::array<asio::const_buffer, 8> parts;
        std::size_t count = 0;
        for (const Text& text : queue_) {
            if (count == parts.size()) break;
            parts[count++] = asio::buffer(*text);
        }
        parts[0] += offset_;
        const Moved moved = stream_->write_now({parts.data(), count});
        if (moved.error) {
            broken_ = moved.error;
            abandon();
            return;
        }
        if (moved.bytes == 0) return;
        sent_ += moved.bytes;
        pending_ -= moved.bytes;
        offset_ += moved.bytes;
        while (!queue_.empty() && offset_ >= queue_.front()->size()) {
            offset_ -= queue_.front()->size();
            queue_.pop_front();
        }
    }
}

Task<> Outbox::pump(std::shared_ptr<Outbox>) {
    while (!queue_.empty() && !broken_) {
        const Error error = co_await stream_->writable();
        if (error) {
            broken_ = error;
            abandon();
            break;
        }
        flush();
        room_.fire();
    }
    pumping_ = false;
    room_.fire();
}

Task<> Outbox::below(std::size_t bytes) {
    while (pending_ > bytes && !broken_) co_await room_.wait();
}

void Outbox::abandon() {
    if (!broken_) broken_ = asio::error::operation_aborted;
    queue_.clear();
    pending_ = offset_ = 0;
    room_.fire();
}

}  // namespace plumkeel::net
