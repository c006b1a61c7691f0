#include "net/socket_stream.hpp"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "net/socket_io.hpp"

namespace plumkeel::net {
namespace {

using asio::ip::tcp;
using socket_io::as_result;

/// Delay before a call that failed for lack of kernel memory is repeated.
constexpr auto memory_retry_delay = std::chrono::milliseconds(1);

/// Whether the kernel lacks memory for the call (send(2), recv(2)); the connection is unaffected.
bool is_memory_shortage(const Error& error) {
    return error == asio::error::no_buffer_space || error == asio::error::no_memory;
}

bool would_block(const Error& error) {
    return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

SocketStream::SocketStream(const EventLoop& loop, tcp::socket socket)
    : loop_(loop), socket_(std::move(socket)), write_retry_timer_(socket_.get_executor()) {
    Error ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

Task<TransferResult> SocketStream::read(asio::mutable_buffer into) {
    // Asio's async_read_some is not used: after a failed read it waits for more bytes to arrive.
    std::optional<Time> readable_since;
    for (;;) {
        // The wait completes at once if bytes are available.
        if (const auto [error] = co_await socket_.async_wait(tcp::socket::wait_read, as_result); error)
            co_return TransferResult{error, 0, {}};
        if (!readable_since) readable_since = loop_.now() - loop_.lag();
        TransferResult result;
        do result.bytes = socket_.read_some(asio::mutable_buffers_1(into), result.error);
        while (result.error == asio::error::interrupted);
        if (would_block(result.error)) {
            readable_since.reset();
            continue;
        }
        result.lag = loop_.now() - *readable_since;
        if (!is_memory_shortage(result.error)) co_return result;
        asio::steady_timer retry_timer(socket_.get_executor(), memory_retry_delay);
        co_await retry_timer.async_wait(as_result);
    }
}

TransferResult SocketStream::write_now(std::span<const asio::const_buffer> from) {
    TransferResult result;
    do result.bytes = socket_.write_some(from, result.error);
    while (result.error == asio::error::interrupted);
    write_lacked_memory_ = is_memory_shortage(result.error);
    if (write_lacked_memory_ || would_block(result.error)) result.error = {};
    return result;
}

Task<Error> SocketStream::writable() {
    if (std::exchange(write_lacked_memory_, false)) {
        // The socket buffer has space, so waiting for the socket alone would complete at once and spin.
        write_retry_timer_.expires_after(memory_retry_delay);
        co_await write_retry_timer_.async_wait(as_result);
    }
    const auto [error] = co_await socket_.async_wait(tcp::socket::wait_write, as_result);
    co_return error;
}

bool SocketStream::peer_closed() {
    char byte = 0;
    const auto received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool SocketStream::has_unread() {
    return socket_.is_open() && socket_io::is_readable(socket_.native_handle());
}

// TCP_INFO (tcp(7)) contains the time since the last data was received, in milliseconds.
std::optional<Time> SocketStream::time_since_last_receive() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

void SocketStream::shutdown_send() {
    Error ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void SocketStream::close() {
    Error ignored;
    socket_.close(ignored);
}

// Closing with SO_LINGER and a timeout of 0 discards unsent bytes and sends a reset (socket(7)).
void SocketStream::reset() {
    Error ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

}  // namespace plumkeel::net
