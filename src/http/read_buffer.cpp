#include "http/read_buffer.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>

namespace plumkeel::http {
namespace {

constexpr std::size_t max_bytes_per_read = std::size_t{16} * 1024;

}  // namespace

net::Task<net::Error> ReadBuffer::read_more() {
    const std::size_t free_bytes = buffer_.max_size() - buffer_.size();
    if (free_bytes == 0) co_return net::asio::error::no_buffer_space;
    const auto result = co_await stream_->read(buffer_.prepare(std::min(free_bytes, max_bytes_per_read)));
    buffer_.commit(result.bytes);
    co_return result.error;
}

}  // namespace plumkeel::http
