#include "net/socket_event_loop.hpp"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace plumkeel::net {
namespace {

using asio::ip::tcp;
constexpr auto told = asio::as_tuple(asio::use_awaitable);

constexpr auto shortage_pause = std::chrono::milliseconds(1);
constexpr int input_rounds = 16;  // turns given to reading what has come, before what is due runs late

// The kernel has no memory for the call now (send(2), recv(2)): the connection is as it was.
bool short_of_memory(const Error& error) {
    return error == asio::error::no_buffer_space || error == asio::error::no_memory;
}

// The error is the new connection's own, which has gone from the backlog: the next one there can be accepted at once
// (accept(2), "Error handling").
bool of_new_connection(const Error& error) {
    if (error.category() != asio::error::get_system_category()) return false;
    for (const int each : {ECONNABORTED, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP,
                           ENETUNREACH, ETIMEDOUT})
        if (error.value() == each) return true;
    return false;
}

bool readable(int descriptor) {
    pollfd look{descriptor, POLLIN, 0};
    int ready = 0;
    do ready = ::poll(&look, 1, 0);
    while (ready < 0 && errno == EINTR);
    return ready > 0 && (look.revents & POLLIN);
}

class SocketStream : public Stream {
public:
    SocketStream(const EventLoop& loop, tcp::socket socket)
        : loop_(loop), socket_(std::move(socket)), pause_(socket_.get_executor()) {
        Error ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        socket_.non_blocking(true, ignored);
    }

    Task<TransferResult> read(asio::mutable_buffer into) override {
        // asio's own read is not used: it takes one that failed for the end of what has come, and waits for more.
        std::optional<Time> readable_since;
        for (;;) {
            // Also where data is there already, this wait ends.
            if (const auto [error] = co_await socket_.async_wait(tcp::socket::wait_read, told); error)
                co_return TransferResult{error, 0, {}};
            if (!readable_since) readable_since = loop_.now() - loop_.lag();
            TransferResult moved;
            do moved.bytes = socket_.read_some(asio::mutable_buffers_1(into), moved.error);
            while (moved.error == asio::error::interrupted);
            if (moved.error == asio::error::would_block || moved.error == asio::error::try_again) {
                readable_since.reset();
                continue;
            }
            moved.lag = loop_.now() - *readable_since;
            if (!short_of_memory(moved.error)) co_return moved;
            asio::steady_timer pause(socket_.get_executor(), shortage_pause);
            co_await pause.async_wait(told);
        }
    }

    TransferResult write_now(std::span<const asio::const_buffer> from) override {
        TransferResult moved;
        do moved.bytes = socket_.write_some(from, moved.error);
        while (moved.error == asio::error::interrupted);
        short_ = short_of_memory(moved.error);
        if (short_ || moved.error == asio::error::would_block || moved.error == asio::error::try_again)
            moved.error = {};
        return moved;
    }

    Task<Error> writable() override {
        if (std::exchange(short_, false)) {  // the socket has room: waiting for it would not wait
            pause_.expires_after(shortage_pause);
            co_await pause_.async_wait(told);
        }
        const auto [error] = co_await socket_.async_wait(tcp::socket::wait_write, told);
        co_return error;
    }

    bool peer_closed() override {
        char byte;
        const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    bool has_unread() override { return socket_.is_open() && readable(socket_.native_handle()); }

    // tcp(7): TCP_INFO, in milliseconds of the kernel's own monotonic clock.
    std::optional<Time> since_newest_bytes() override {
        tcp_info info{};
        socklen_t size = sizeof info;
        if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
        return std::chrono::milliseconds(info.tcpi_last_data_recv);
    }

    void shutdown_send() override {
        Error ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void close() override {
        Error ignored;
        socket_.close(ignored);
    }

    void reset() override {
        Error ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

private:
    const EventLoop& loop_;
    tcp::socket socket_;
    asio::steady_timer pause_;
    bool short_{};  // the last write found no memory
};

class SocketListener : public Listener {
public:
    SocketListener(const EventLoop& loop, tcp::acceptor acceptor) : loop_(loop), acceptor_(std::move(acceptor)) {}

    Task<AcceptResult> accept() override {
        for (;;) {
            auto [error, socket] = co_await acceptor_.async_accept(told);
            if (of_new_connection(error)) continue;
            if (error) co_return AcceptResult{error, nullptr};
            co_return AcceptResult{{}, std::make_shared<SocketStream>(loop_, std::move(socket))};
        }
    }

    bool has_pending() override { return acceptor_.is_open() && readable(acceptor_.native_handle()); }

    Address address() const override {
        Error error;
        const auto end = acceptor_.local_endpoint(error);
        return {end.address().to_string(), end.port()};
    }

    void close() override {
        Error ignored;
        acceptor_.close(ignored);
    }

private:
    const EventLoop& loop_;
    tcp::acceptor acceptor_;
};

}  // namespace

SocketEventLoop::SocketEventLoop() : start_(std::chrono::steady_clock::now()) {}

SocketEventLoop::~SocketEventLoop() {
    cancel_all();
}

Time SocketEventLoop::now() const {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now() - start_);
}

Time SocketEventLoop::wall_clock() const {
    return std::chrono::duration_cast<Time>(std::chrono::system_clock::now().time_since_epoch());
}

Task<EventLoop::ConnectResult> SocketEventLoop::connect(Address to, Time limit) {
    Error error;
    const auto address = asio::ip::make_address(to.host, error);
    if (error) {
        co_await asio::post(context_, asio::use_awaitable);
        co_return ConnectResult{error, nullptr};
    }
    auto socket = std::make_shared<tcp::socket>(context_);
    bool late = false;
    TimerKey ticket = call_at(now() + limit, [&late, socket] {
        late = true;
        Error ignored;
        socket->close(ignored);
    });
    const auto [broken] = co_await socket->async_connect({address, to.port}, told);
    cancel(ticket);
    if (late) co_return ConnectResult{asio::error::timed_out, nullptr};
    if (broken) co_return ConnectResult{broken, nullptr};
    co_return ConnectResult{{}, std::make_shared<SocketStream>(*this, std::move(*socket))};
}

EventLoop::ListenResult SocketEventLoop::listen(const Address& at) {
    ListenResult out;
    const auto address = asio::ip::make_address(at.host, out.error);
    if (out.error) return out;
    const tcp::endpoint end(address, at.port);
    tcp::acceptor acceptor(context_);
    acceptor.open(end.protocol(), out.error);
    // A restart takes the port at once, although connections of the earlier process still linger.
    if (!out.error) acceptor.set_option(tcp::acceptor::reuse_address(true), out.error);
    // Else the reactor would wait for the next connection to come, although more may stand in the backlog.
    if (!out.error) acceptor.set_option(asio::socket_base::enable_connection_aborted(true), out.error);
    if (!out.error) acceptor.bind(end, out.error);
    if (!out.error) acceptor.listen(asio::socket_base::max_listen_connections, out.error);
    if (!out.error) out.listener = std::make_shared<SocketListener>(*this, std::move(acceptor));
    return out;
}

void SocketEventLoop::run() {
    context_.run();
    context_.restart();  // it may be run again after a stop
}

void SocketEventLoop::stop() {
    context_.stop();
}

void SocketEventLoop::arm(Time when) {
    timer_.expires_at(start_ + when);
    timer_.async_wait([this](Error error) {
        if (error) return;  // armed anew for something earlier
        if (is_lagging()) note_lag();
        run_due_after(is_lagging() ? input_rounds : 0);
    });
}

// Where this thread stood still, much may have come that makes what is due untrue: a request on a connection that would
// be closed as idle, an answer to what would count as silent, the end of a client.
void SocketEventLoop::run_due_after(int rounds) {
    if (rounds > 0) {
        asio::post(context_, [this, rounds] { run_due_after(rounds - 1); });
        return;
    }
    if (const Time next = run_timers(now()); next != Time::max()) arm(next);
}

void SocketEventLoop::on_termination(std::function<void()> what) {
    on_signals({SIGTERM, SIGINT}, std::move(what));
}

void SocketEventLoop::on_signal(int number, std::function<void()> what) {
    on_signals({number}, std::move(what));
}

void SocketEventLoop::on_signals(const std::vector<int>& numbers, std::function<void()> what) {
    auto signals = std::make_unique<asio::signal_set>(context_);
    for (const int each : numbers) signals->add(each);
    spawn(watch_signals(std::move(signals), std::move(what)));
}

Task<> SocketEventLoop::watch_signals(std::unique_ptr<asio::signal_set> signals, std::function<void()> what) {
    for (;;) {
        const auto [error, number] = co_await signals->async_wait(told);
        if (error) co_return;
        what();
    }
}

void SocketEventLoop::on_input_line(std::function<void(std::optional<std::string>)> what) {
    spawn(read_input(std::move(what)));
}

Task<> SocketEventLoop::read_input(std::function<void(std::optional<std::string>)> what) {
    asio::posix::stream_descriptor input(context_, ::dup(STDIN_FILENO));
    std::string text;
    for (;;) {
        const auto [error, bytes] =
            co_await asio::async_read_until(input, asio::dynamic_buffer(text, 1 << 16), '\n', told);
        if (error) break;
        what(text.substr(0, bytes - 1));
        text.erase(0, bytes);
    }
    what(std::nullopt);
}

SignalBlock::SignalBlock(std::initializer_list<int> numbers) {
    sigset_t held;
    ::sigemptyset(&held);
    for (const int each : numbers) ::sigaddset(&held, each);
    ::pthread_sigmask(SIG_BLOCK, &held, &before_);
}

SignalBlock::~SignalBlock() {
    release();
}

void SignalBlock::release() {
    if (std::exchange(released_, true)) return;
    ::pthread_sigmask(SIG_SETMASK, &before_, nullptr);
}

std::string listening_process(std::uint16_t port) {
    namespace fs = std::filesystem;
    std::string inode;
    for (const char* table : {"/proc/net/tcp", "/proc/net/tcp6"}) {
        std::ifstream in(table);
        for (std::string line; std::getline(in, line);) {
            std::istringstream words(line);
            const std::vector<std::string> all{std::istream_iterator<std::string>(words), {}};
            if (all.size() < 10 || all[3] != "0A") continue;  // 0A: it listens
            const auto colon = all[1].rfind(':');
            if (std::stoul(all[1].substr(colon + 1), nullptr, 16) == port) inode = "socket:[" + all[9] + "]";
        }
    }
    if (inode.empty()) return {};
    Error ignored;
    for (const auto& process : fs::directory_iterator("/proc", ignored)) {
        const std::string pid = process.path().filename();
        if (pid.find_first_not_of("0123456789") != std::string::npos) continue;
        std::error_code error;
        for (fs::directory_iterator it(process.path() / "fd", error), end; !error && it != end; it.increment(error)) {
            if (fs::read_symlink(it->path(), error) != inode) {
                error.clear();
                continue;
            }
            std::string name;
            std::getline(std::ifstream(process.path() / "comm"), name);
            return "pid " + pid + " (" + name + ")";
        }
    }
    return {};
}

Time machine_clock() {
    return std::chrono::duration_cast<Time>(std::chrono::steady_clock::now().time_since_epoch());
}

}  // namespace plumkeel::net
