#include "net/simulated_event_loop.hpp"

#include <algorithm>
#include <deque>

namespace plumkeel::net {
namespace {

// One way of a stream: bytes with the moment at which each piece arrives.
struct Way {
    explicit Way(EventLoop& loop) : arrival(loop), room(loop) {}
    struct Piece {
        Time at;
        std::string bytes;
    };
    std::deque<Piece> pieces;
    std::size_t under_way{};
    Time ends = Time::max();  // when the end of sending arrives
    Error broken;
    Notification arrival, room;
};

class MemoryStream : public Stream {
public:
    MemoryStream(SimulatedEventLoop& loop, std::size_t room, std::shared_ptr<Way> in, std::shared_ptr<Way> out)
        : loop_(loop), room_(room), in_(std::move(in)), out_(std::move(out)) {}
    ~MemoryStream() override { close(); }

    Task<TransferResult> read(asio::mutable_buffer into) override {
        const auto in = in_;
        for (;;) {
            if (closed_) co_return TransferResult{asio::error::operation_aborted, 0, {}};
            if (in->broken) co_return TransferResult{in->broken, 0, {}};
            if (!in->pieces.empty() && in->pieces.front().at <= loop_.now()) {
                std::string& bytes = in->pieces.front().bytes;
                const std::size_t n = asio::buffer_copy(into, asio::buffer(bytes));
                bytes.erase(0, n);
                if (bytes.empty()) in->pieces.pop_front();
                in->under_way -= n;
                in->room.notify();
                co_return TransferResult{{}, n, {}};
            }
            if (in->pieces.empty() && in->ends <= loop_.now()) co_return TransferResult{asio::error::eof, 0, {}};
            co_await in->arrival.wait();
        }
    }

    TransferResult write_now(std::span<const asio::const_buffer> from) override {
        if (closed_) return {asio::error::operation_aborted, 0, {}};
        if (out_->broken) return {out_->broken, 0, {}};
        if (out_->ends != Time::max()) return {asio::error::broken_pipe, 0, {}};
        std::string bytes;
        for (const auto& part : from) {
            const std::size_t left = room_ - out_->under_way - bytes.size();
            bytes.append(static_cast<const char*>(part.data()), std::min(left, part.size()));
        }
        const std::size_t n = bytes.size();
        if (n == 0) return {};
        out_->under_way += n;
        out_->pieces.push_back({loop_.now() + loop_.latency(), std::move(bytes)});
        ring(out_, out_->pieces.back().at);
        return {{}, n, {}};
    }

    Task<Error> writable() override {
        const auto out = out_;
        while (!closed_ && !out->broken && out->under_way >= room_) co_await out->room.wait();
        co_return closed_ ? Error(asio::error::operation_aborted) : Error();
    }

    bool peer_closed() override { return closed_ || in_->broken || (in_->pieces.empty() && in_->ends <= loop_.now()); }

    bool has_unread() override {
        return !closed_ && ((!in_->pieces.empty() && in_->pieces.front().at <= loop_.now()) || peer_closed());
    }

    void shutdown_send() override {
        if (out_->ends != Time::max()) return;
        out_->ends = loop_.now() + loop_.latency();
        ring(out_, out_->ends);
    }

    void close() override { shut(false); }
    void reset() override { shut(true); }

private:
    void ring(const std::shared_ptr<Way>& way, Time when) {
        loop_.call_at(when, [way] { way->arrival.notify(); });
    }

    // What the peer sends from now on meets a reset, and so does its reading where asked for.
    void shut(bool hard) {
        if (closed_) return;
        closed_ = true;
        shutdown_send();
        const bool unread = in_->under_way > 0;
        loop_.call_at(loop_.now() + loop_.latency(), [in = in_, out = out_, hard = hard || unread] {
            in->broken = asio::error::broken_pipe;
            if (hard) out->broken = asio::error::connection_reset;
            in->room.notify();
            out->arrival.notify();
        });
        in_->arrival.notify();
        out_->room.notify();
    }

    SimulatedEventLoop& loop_;
    const std::size_t room_;
    std::shared_ptr<Way> in_, out_;
    bool closed_{};
};

}  // namespace

class SimulatedListener : public Listener {
public:
    SimulatedListener(SimulatedEventLoop& loop, Address at) : loop_(loop), at_(std::move(at)), arrival_(loop) {}
    ~SimulatedListener() override { close(); }

    Task<AcceptResult> accept() override {
        while (waiting_.empty() && !closed_) co_await arrival_.wait();
        if (closed_) co_return AcceptResult{asio::error::operation_aborted, nullptr};
        AcceptResult out{{}, std::move(waiting_.front())};
        waiting_.pop_front();
        co_return out;
    }
    bool has_pending() override { return !waiting_.empty(); }
    Address address() const override { return at_; }
    void close() override {
        if (std::exchange(closed_, true)) return;
        loop_.listeners_.erase(at_.to_string());
        arrival_.notify();
    }
    void arrive(std::shared_ptr<Stream> stream) {
        waiting_.push_back(std::move(stream));
        arrival_.notify();
    }

private:
    SimulatedEventLoop& loop_;
    const Address at_;
    std::deque<std::shared_ptr<Stream>> waiting_;
    bool closed_{};
    Notification arrival_;
};

SimulatedEventLoop::SimulatedEventLoop(Time latency, std::size_t room) : latency_(latency), buffer_bytes_(room) {}
SimulatedEventLoop::~SimulatedEventLoop() {
    cancel_all();
}

Task<EventLoop::ConnectResult> SimulatedEventLoop::connect(Address to, Time) {
    if (const auto failing = connect_errors_.find(to.to_string());
        failing != connect_errors_.end() && failing->second) {
        const Error error = failing->second;
        co_await sleep({});
        co_return ConnectResult{error, nullptr};
    }
    co_await sleep(2 * latency_);
    const auto found = listeners_.find(to.to_string());
    if (found == listeners_.end()) co_return ConnectResult{asio::error::connection_refused, nullptr};
    auto there = std::make_shared<Way>(*this), back = std::make_shared<Way>(*this);
    const auto narrow = buffer_limits_.find(to.to_string());
    const std::size_t room = narrow == buffer_limits_.end() ? buffer_bytes_ : narrow->second;
    found->second->arrive(std::make_shared<MemoryStream>(*this, room, there, back));
    co_return ConnectResult{{}, std::make_shared<MemoryStream>(*this, room, back, there)};
}

EventLoop::ListenResult SimulatedEventLoop::listen(const Address& at) {
    Address here = at;
    if (here.port == 0) here.port = ++next_port_;
    if (listeners_.count(here.to_string())) return {asio::error::address_in_use, nullptr};
    auto listener = std::make_shared<SimulatedListener>(*this, here);
    listeners_[here.to_string()] = listener.get();
    return {{}, listener};
}

void SimulatedEventLoop::run(Time until) {
    for (;;) {
        context_.restart();
        context_.poll();
        const Time next = run_timers(now_);
        context_.restart();
        if (context_.poll() > 0) continue;
        if (next == Time::max() || next > until) break;
        now_ = std::max(now_, next);
    }
    if (until != Time::max()) now_ = std::max(now_, until);
}

}  // namespace plumkeel::net
