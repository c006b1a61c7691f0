/// A buffer for bytes received on a connection and not parsed yet.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <memory>

#include "net/stream.hpp"

namespace plumkeel::http {

class ReadBuffer {
public:
    static constexpr std::size_t default_max_bytes = std::size_t{128} * 1024;

    explicit ReadBuffer(std::shared_ptr<net::Stream> stream, std::size_t max_bytes = default_max_bytes)
        : stream_(std::move(stream)), buffer_(max_bytes) {}

    /// Waits for more bytes. Fails with `asio::error::no_buffer_space` if the buffer is full.
    net::Task<net::Error> read_more();

    /// Number of buffered bytes.
    std::size_t size() const { return buffer_.size(); }

    void discard() { buffer_.consume(buffer_.size()); }

    /// Passes the buffered bytes to a Beast parser and removes those that it consumed. Returns no error if the parser
    /// only needs more bytes.
    template <class Parser>
    net::Error feed(Parser& parser) {
        net::Error error;
        const std::size_t consumed = parser.put(buffer_.data(), error);
        buffer_.consume(consumed);
        if (error == boost::beast::http::error::need_more) error = {};
        return error;
    }

private:
    std::shared_ptr<net::Stream> stream_;
    boost::beast::flat_buffer buffer_;
};

}  // namespace plumkeel::http
