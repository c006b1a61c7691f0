#include "net/write_queue.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "net/event_loop.hpp"

namespace plumkeel::net {
namespace {

/// Maximum number of chunks passed to the stream in one write.
constexpr std::size_t max_buffers_per_write = 8;

asio::const_buffer buffer_of(const WriteQueue::Chunk& chunk) {
    return chunk ? asio::buffer(*chunk) : asio::const_buffer();
}

}  // namespace

WriteQueue::WriteQueue(EventLoop& loop, std::shared_ptr<Stream> stream)
    : loop_(loop), stream_(std::move(stream)), writable_(loop) {}

void WriteQueue::send(std::string head, Chunk body) {
    if (error_) return;
    if (open_batches_ > 0) {
        batch_ += head;
        if (body) batch_ += *body;
        return;
    }
    std::size_t written_bytes = 0;
    if (is_idle()) {  // usually all bytes fit at once
        const std::array<asio::const_buffer, 2> buffers{asio::buffer(head), buffer_of(body)};
        const TransferResult result = stream_->write_now(buffers);
        if (result.error) {
            error_ = result.error;
            return;
        }
        sent_bytes_ += result.bytes;
        if (result.bytes == asio::buffer_size(buffers)) return;
        written_bytes = result.bytes;
    }
    if (!head.empty()) enqueue_unsent(std::make_shared<const std::string>(std::move(head)), written_bytes);
    if (body) enqueue_unsent(std::move(body), written_bytes);
    start_sending();
}

void WriteQueue::end_batch() {
    if (--open_batches_ > 0 || batch_.empty()) return;
    send(std::exchange(batch_, {}));
    writable_.notify();
}

bool WriteQueue::send_if_room(std::string head, Chunk body, std::string tail) {
    if (error_) return true;
    if (!is_idle()) return false;
    const std::array<asio::const_buffer, 3> buffers{asio::buffer(head), buffer_of(body), asio::buffer(tail)};
    const TransferResult result = stream_->write_now(buffers);
    if (result.error) {
        error_ = result.error;
        return true;
    }
    if (result.bytes == 0) return false;
    sent_bytes_ += result.bytes;
    std::size_t written_bytes = result.bytes;
    enqueue_unsent(std::make_shared<const std::string>(std::move(head)), written_bytes);
    if (body) enqueue_unsent(std::move(body), written_bytes);
    enqueue_unsent(std::make_shared<const std::string>(std::move(tail)), written_bytes);
    start_sending();
    return true;
}

// Queues the unsent part of the chunk and subtracts its sent part from `written_bytes`, the number of bytes already
// sent of this chunk and the following ones.
void WriteQueue::enqueue_unsent(Chunk chunk, std::size_t& written_bytes) {
    const std::size_t written_chunk_bytes = std::min(written_bytes, chunk->size());
    written_bytes -= written_chunk_bytes;
    if (written_chunk_bytes == chunk->size()) return;
    if (queue_.empty()) front_offset_ = written_chunk_bytes;
    pending_bytes_ += chunk->size() - written_chunk_bytes;
    queue_.push_back(std::move(chunk));
}

void WriteQueue::start_sending() {
    if (queue_.empty() || sending_) return;
    sending_ = true;
    loop_.spawn(send_pending(shared_from_this()));
}

Task<> WriteQueue::wait_writable() {
    if (error_) co_return;
    if (pending_bytes() > 0) co_return co_await wait_below(0);
    if (const Error error = co_await stream_->writable(); error && !error_) {
        error_ = error;
        abandon();
    }
}

Task<> WriteQueue::wait_below(std::size_t bytes) {
    while (pending_bytes() > bytes && !error_) co_await writable_.wait();
}

// Writes queued bytes until the stream accepts no more.
void WriteQueue::flush() {
    while (!queue_.empty() && !error_) {
        std::array<asio::const_buffer, max_buffers_per_write> buffers;
        const std::size_t count = std::min(queue_.size(), buffers.size());
        for (std::size_t i = 0; i < count; ++i) buffers[i] = asio::buffer(*queue_[i]);
        buffers[0] += front_offset_;
        const TransferResult result = stream_->write_now({buffers.data(), count});
        if (result.error) {
            error_ = result.error;
            abandon();
            return;
        }
        if (result.bytes == 0) return;
        sent_bytes_ += result.bytes;
        pending_bytes_ -= result.bytes;
        front_offset_ += result.bytes;
        while (!queue_.empty() && front_offset_ >= queue_.front()->size()) {
            front_offset_ -= queue_.front()->size();
            queue_.pop_front();
        }
    }
}

// The parameter keeps the queue alive until the coroutine ends.
Task<> WriteQueue::send_pending(std::shared_ptr<WriteQueue>) {
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
    sending_ = false;
    writable_.notify();
}

void WriteQueue::abandon() {
    if (!error_) error_ = asio::error::operation_aborted;
    queue_.clear();
    batch_.clear();
    pending_bytes_ = front_offset_ = 0;
    writable_.notify();
}

}  // namespace plumkeel::net
