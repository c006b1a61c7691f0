#include "net/memory.hpp"

#include <algorithm>
#include <deque>

namespace plumkeel::net {
namespace {

// One way of a stream: bytes with the moment at which each piece arrives.
struct Way {
    explicit Way(World& world) : arrival(world), room(world) {}
    struct Piece {
        Time at;
        std::string bytes;
    };
    std::deque<Piece> pieces;
    std::size_t under_way{};
    Time ends = Time::max();  // when the end of sending arrives
    Error broken;
    Signal arrival, room;
};

class MemoryStream : public Stream {
public:
    MemoryStream(MemoryWorld& world, std::size_t room, std::shared_ptr<Way> in, std::shared_ptr<Way> out)
        : world_(world), room_(room), in_(std::move(in)), out_(std::move(out)) {}
    ~MemoryStream() override { close(); }

    Task<Moved> read(asio::mutable_buffer into) override {
        const auto in = in_;
        for (;;) {
            if (closed_) co_return Moved{asio::error::operation_aborted, 0, {}};
            if (in->broken) co_return Moved{in->broken, 0, {}};
            if (!in->pieces.empty() && in->pieces.front().at <= world_.now()) {
                std::string& bytes = in->pieces.front().bytes;
                const std::size_t n = asio::buffer_copy(into, asio::buffer(bytes));
                bytes.erase(0, n);
                if (bytes.empty()) in->pieces.pop_front();
                in->under_way -= n;
                in->room.fire();
                co_return Moved{{}, n, {}};
            }
            if (in->pieces.empty() && in->ends <= world_.now()) co_return Moved{asio::error::eof, 0, {}};
            co_await in->arrival.wait();
        }
    }

    Moved write_now(std::span<const asio::const_buffer> from) override {
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
        out_->pieces.push_back({world_.now() + world_.latency(), std::move(bytes)});
        ring(out_, out_->pieces.back().at);
        return {{}, n, {}};
    }

    Task<Error> writable() override {
        const auto out = out_;
        while (!closed_ && !out->broken && out->under_way >= room_) co_await out->room.wait();
        co_return closed_ ? Error(asio::error::operation_aborted) : Error();
    }

    bool ended() override {
        return closed_ || in_->broken || (in_->pieces.empty() && in_->ends <= world_.now());
    }

    bool unread() override {
        return !closed_ && ((!in_->pieces.empty() && in_->pieces.front().at <= world_.now()) || ended());
    }

    void end_sending() override {
        if (out_->ends != Time::max()) return;
        out_->ends = world_.now() + world_.latency();
        ring(out_, out_->ends);
    }

    void close() override { shut(false); }
    void reset() override { shut(true); }

private:
    void ring(const std::shared_ptr<Way>& way, Time when) {
        world_.at(when, [way] { way->arrival.fire(); });
    }

    // What the peer sends from now on meets a reset, and so does its reading where asked for.
    void shut(bool hard) {
        if (closed_) return;
        closed_ = true;
        end_sending();
        const bool unread = in_->under_way > 0;
        world_.at(world_.now() + world_.latency(), [in = in_, out = out_, hard = hard || unread] {
            in->broken = asio::error::broken_pipe;
            if (hard) out->broken = asio::error::connection_reset;
            in->room.fire();
            out->arrival.fire();
        });
        in_->arrival.fire();
        out_->room.fire();
    }

    MemoryWorld& world_;
    const std::size_t room_;
    std::shared_ptr<Way> in_, out_;
    bool closed_{};
};

}  // namespace

class MemoryListener : public Listener {
public:
    MemoryListener(MemoryWorld& world, Address at) : world_(world), at_(std::move(at)), arrival_(world) {}
    ~MemoryListener() override { close(); }

    Task<Accepted> accept() override {
        while (waiting_.empty() && !closed_) co_await arrival_.wait();
        if (closed_) co_return Accepted{asio::error::operation_aborted, nullptr};
        Accepted out{{}, std::move(waiting_.front())};
        waiting_.pop_front();
        co_return out;
    }
    bool waiting() override { return !waiting_.empty(); }
    Address address() const override { return at_; }
    void close() override {
        if (std::exchange(closed_, true)) return;
        world_.listeners_.erase(at_.text());
        arrival_.fire();
    }
    void arrive(std::shared_ptr<Stream> stream) {
        waiting_.push_back(std::move(stream));
        arrival_.fire();
    }

private:
    MemoryWorld& world_;
    const Address at_;
    std::deque<std::shared_ptr<Stream>> waiting_;
    bool closed_{};
    Signal arrival_;
};

MemoryWorld::MemoryWorld(Time latency, std::size_t room) : latency_(latency), room_(room) {}
MemoryWorld::~MemoryWorld() {
    end_due();
}

Task<World::Connected> MemoryWorld::connect(Address to, Time) {
    if (const auto failing = failing_.find(to.text()); failing != failing_.end() && failing->second) {
        const Error error = failing->second;
        co_await sleep({});
        co_return Connected{error, nullptr};
    }
    co_await sleep(2 * latency_);
    const auto found = listeners_.find(to.text());
    if (found == listeners_.end()) co_return Connected{asio::error::connection_refused, nullptr};
    auto there = std::make_shared<Way>(*this), back = std::make_shared<Way>(*this);
    const auto narrow = narrow_.find(to.text());
    const std::size_t room = narrow == narrow_.end() ? room_ : narrow->second;
    found->second->arrive(std::make_shared<MemoryStream>(*this, room, there, back));
    co_return Connected{{}, std::make_shared<MemoryStream>(*this, room, back, there)};
}

World::Listened MemoryWorld::listen(const Address& at) {
    Address here = at;
    if (here.port == 0) here.port = ++next_port_;
    if (listeners_.count(here.text())) return {asio::error::address_in_use, nullptr};
    auto listener = std::make_shared<MemoryListener>(*this, here);
    listeners_[here.text()] = listener.get();
    return {{}, listener};
}

void MemoryWorld::run(Time until) {
    for (;;) {
        context_.restart();
        context_.poll();
        const Time next = run_due(now_);
        context_.restart();
        if (context_.poll() > 0) continue;
        if (next == Time::max() || next > until) break;
        now_ = std::max(now_, next);
    }
    if (until != Time::max()) now_ = std::max(now_, until);
}

}  // namespace plumkeel::net
