/// Interfaces of a connection and of a listening endpoint, implemented over TCP sockets (socket_stream.hpp,
/// socket_listener.hpp) and in memory (simulated_stream.hpp, simulated_listener.hpp).
///
/// Errors are returned as error codes; only std::bad_alloc is thrown. A Stream or Listener must not be destroyed while
/// a coroutine waits on it: the coroutine has to hold a shared_ptr to it.
#pragma once

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <span>

#include "net/address.hpp"
#include "net/types.hpp"

namespace plumkeel::net {

/// Result of a read or write.
struct TransferResult {
    Error error;
    std::size_t bytes{};  ///< bytes transferred
    /// Reads only: how long the bytes may have been readable before they were read, because the event loop lagged or
    /// the read had to be repeated.
    Time lag{};
};

/// A bidirectional byte stream. At most one read() and one writable() may be pending at a time.
class Stream {
public:
    virtual ~Stream() = default;

    /// Waits for bytes and reads those available. Reports `asio::error::eof` once the peer has shut down sending.
    virtual Task<TransferResult> read(asio::mutable_buffer into) = 0;

    /// Writes the bytes that fit without waiting. 0 bytes without an error mean that nothing fits now.
    virtual TransferResult write_now(std::span<const asio::const_buffer> from) = 0;

    /// Waits until a write may make progress.
    virtual Task<Error> writable() = 0;

    /// Whether the peer's shutdown or a reset has arrived and all bytes before it are read. Neither waits nor reads.
    virtual bool peer_closed() = 0;

    /// Whether bytes or the peer's shutdown have arrived that are not read yet.
    virtual bool has_unread() = 0;

    /// Time since bytes were last received, as the operating system reports it; empty if it does not.
    virtual std::optional<Time> time_since_last_receive() { return {}; }

    /// Shuts down sending; bytes can still be read.
    virtual void shutdown_send() = 0;

    /// Closes the connection. Pending operations end with `asio::error::operation_aborted`.
    virtual void close() = 0;

    /// Like close(), but the peer sees a connection reset.
    virtual void reset() = 0;
};

/// A listening endpoint.
class Listener {
public:
    struct AcceptResult {
        Error error;
        std::shared_ptr<Stream> stream;  ///< set unless there is an error
    };

    virtual ~Listener() = default;

    /// Waits for a connection and accepts it.
    virtual Task<AcceptResult> accept() = 0;

    /// Whether a connection is waiting in the backlog.
    virtual bool has_pending() = 0;

    /// The local address, with the actual port if port 0 was requested.
    virtual Address address() const = 0;

    /// Stops listening. A pending accept() ends with `asio::error::operation_aborted`.
    virtual void close() = 0;
};

}  // namespace plumkeel::net
