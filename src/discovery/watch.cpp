#include "discovery/watch.hpp"

#include <algorithm>
#include <array>

#include "net/limit.hpp"
#include "net/outbox.hpp"

namespace plumkeel::discovery {

constexpr int most_doublings = 3;  // of the wait for a first word: to 14 s

Watch::Watch(net::World& world, Log& log, Places places, net::Address address, std::uint64_t last, Told told, std::uint64_t seed,
             Patience patience)
    : world_(world),
      log_(log),
      places_(std::move(places)),
      address_(std::move(address)),
      order_(last),
      told_(std::move(told)),
      patience_(patience),
      sooner_(world),
      chance_(seed) {}

void Watch::follow() {
    world_.spawn(run());
}

void Watch::move_to(net::Address address) {
    if (address == address_) return;
    log_.line(Log::Level::info, "board_moves", {{"from", address_.text()}, {"to", address.text()}});
    address_ = std::move(address);
    moved_ = true;
    lost_ = 0;
    if (stream_) stream_->close();
    sooner_.fire();
}

net::Task<> Watch::run() {
    for (;;) {
        moved_ = false;
        const net::Address to = address_;
        auto connected = co_await world_.connect(to, patience_.connect_within);
        const char* why = "not_connected";
        if (!connected.error && !moved_) {
            ++connections_;
            stream_ = connected.stream;
            why = co_await listen(connected.stream);
        }
        if (connected.stream) connected.stream->close();
        stream_.reset();
        if (moved_) continue;
        log_.line(Log::Level::warn, "board_lost", {{"why", why}, {"last", order_.last()}});
        const net::Time pause = std::min(patience_.longest_pause, patience_.first_pause * (1 << std::min(lost_++, 6)));
        // Hundreds lose it at the same moment: in step, they would all come again at the same moment too.
        const auto jittered = net::Time(static_cast<net::Time::rep>(static_cast<double>(pause.count()) * (0.5 + chance_.next())));
        auto ticket = world_.at(world_.now() + jittered, [this] { sooner_.fire(); });
        co_await sooner_.wait();
        world_.drop(ticket);
    }
}

// Returns why it could not go on.
net::Task<const char*> Watch::listen(std::shared_ptr<net::Stream> stream) {
    const auto outbox = std::make_shared<net::Outbox>(world_, stream);
    outbox->send(asking(order_.last()));
    bool silent = false, heard_here = false;
    net::Limit limit(world_, [&] {
        silent = true;
        stream->close();
    });
    Frames frames(places_);
    std::array<char, 4096> room;
    Event event;
    // A crowded service lets a new connection wait for its first word: each one in vain is given twice the time.
    net::Time silent_for = patience_.silent_for * (1 << std::min(unheard_, most_doublings));
    for (;;) {
        limit.set(world_.now() + silent_for);
        const net::Moved moved = co_await stream->read(net::asio::buffer(room));
        if (silent) {
            unheard_ += !heard_here;
            co_return "silent";
        }
        if (moved.error || moved_) co_return "broke";
        std::string_view bytes(room.data(), moved.bytes);
        while (frames.next(bytes, event)) {
            const Heard heard = order_.hear(event);
            if (heard == Heard::gap) co_return "gap";
            told_at_ = world_.now();
            lost_ = 0;
            unheard_ = 0;
            heard_here = true;
            silent_for = patience_.silent_for;
            if (heard == Heard::news) told_(event);
            if (moved_) co_return "moved";
        }
        if (frames.broken() != Broken::none) co_return word_of(frames.broken());
    }
}

}  // namespace plumkeel::discovery
