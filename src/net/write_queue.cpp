#include "net/write_queue.hpp"

#include <array>

namespace plumkeel::net {

WriteQueue::WriteQueue(EventLoop& loop, std::shared_ptr<Stream> stream)
    : loop_(loop), stream_(std::move(stream)), writable_(loop) {}

void WriteQueue::send(std::string head, Chunk body) {
    if (error_) return;
    std::size_t of_body = 0;
    if (queue_.empty() && !pumping_) {  // nearly always all of it fits at once
        const std::array<asio::const_buffer, 2> whole{asio::buffer(head),
                                                      body ? asio::buffer(*body) : asio::const_buffer()};
        const TransferResult moved = stream_->write_now(whole);
        if (moved.error) {
            error_ = moved.error;
            return;
        }
        sent_bytes_ += moved.bytes;
        const std::size_t of_head = std::min(moved.bytes, head.size());
        if (moved.bytes == head.size() + whole[1].size()) return;
        head.erase(0, of_head);
        offset_ = of_body = moved.bytes - of_head;  // above 0 only once the whole head is out
    }
    if (!head.empty()) {
        pending_bytes_ += head.size();
        queue_.push_back(std::make_shared<const std::string>(std::move(head)));
    }
    if (body && !body->empty()) {
        pending_bytes_ += body->size() - of_body;
        queue_.push_back(std::move(body));
    }
    if (!queue_.empty() && !pumping_ && !error_) {
        pumping_ = true;
        loop_.spawn(pump(shared_from_this()));
    }
}

bool WriteQueue::send_if_room(std::string head, Chunk body, std::string tail) {
    if (error_) return true;
    if (!queue_.empty() || pumping_) return false;
    const std::array<asio::const_buffer, 3> whole{asio::buffer(head), body ? asio::buffer(*body) : asio::const_buffer(),
                                                  asio::buffer(tail)};
    const TransferResult moved = stream_->write_now(whole);
    if (moved.error) {
        error_ = moved.error;
        return true;
    }
    if (moved.bytes == 0) return false;
    sent_bytes_ += moved.bytes;
    std::size_t out = moved.bytes;
    const auto keep = [&](Chunk text) {
        const std::size_t of_it = std::min(out, text->size());
        out -= of_it;
        if (of_it == text->size()) return;
        if (queue_.empty()) offset_ = of_it;
        pending_bytes_ += text->size() - of_it;
        queue_.push_back(std::move(text));
    };
    keep(std::make_shared<const std::string>(std::move(head)));
    if (body) keep(std::move(body));
    keep(std::make_shared<const std::string>(std::move(tail)));
    if (!queue_.empty()) {
        pumping_ = true;
        loop_.spawn(pump(shared_from_this()));
    }
    return true;
}

Task<> WriteQueue::wait_writable() {
    if (error_) co_return;
    if (pending_bytes_ > 0) co_return co_await wait_below(0);
    if (const Error error = co_await stream_->writable(); error && !error_) {
        error_ = error;
        abandon();
    }
}

void WriteQueue::flush() {
    while (!queue_.empty() && !error_) {
        std::array<asio::const_buffer, 8> parts;
        std::size_t count = 0;
        for (const Chunk& text : queue_) {
            if (count == parts.size()) break;
            parts[count++] = asio::buffer(*text);
        }
        parts[0] += offset_;
        const TransferResult moved = stream_->write_now({parts.data(), count});
        if (moved.error) {
            error_ = moved.error;
            abandon();
            return;
        }
        if (moved.bytes == 0) return;
        sent_bytes_ += moved.bytes;
        pending_bytes_ -= moved.bytes;
        offset_ += moved.bytes;
        while (!queue_.empty() && offset_ >= queue_.front()->size()) {
            offset_ -= queue_.front()->size();
            queue_.pop_front();
        }
    }
}

Task<> WriteQueue::pump(std::shared_ptr<WriteQueue>) {
    while (!queue_.empty() && !error_) {
        const Error error = co_await stream_->writable();
        if (error) {
            error_ = error;
            abandon();
            break;
        }
        flush();
        writable_.notify();
    }
    pumping_ = false;
    writable_.notify();
}

Task<> WriteQueue::wait_below(std::size_t bytes) {
    while (pending_bytes_ > bytes && !error_) co_await writable_.wait();
}

void WriteQueue::abandon() {
    if (!error_) error_ = asio::error::operation_aborted;
    queue_.clear();
    pending_bytes_ = offset_ = 0;
    writable_.notify();
}

}  // namespace plumkeel::net
