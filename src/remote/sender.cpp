#include "remote/sender.hpp"

#include <fmt/format.h>
#include <snappy.h>

#include <utility>

#include "http/exchange.hpp"

namespace plumkeel::remote {

Sender::Sender(net::World& world, ReceiverRules rules, Spool& spool, int parts, std::uint64_t seed, Notice notice)
    : world_(world),
      rules_(std::move(rules)),
      spool_(spool),
      parts_(parts),
      pacer_(rules_.pace, seed),
      notice_(std::move(notice)),
      signal_(world) {}

void Sender::start() {
    for (int part = 0; part < parts_; ++part) world_.spawn(lane(part));
}

void Sender::tell(double inflow) {
    inflow_ = inflow;
    signal_.fire();
}

net::Task<> Sender::lane(int part) {
    for (;;) {
        const Pacer::Leave leave = pacer_.ask(world_.now(), inflow_);
        if (leave.samples == 0 && leave.again != Time::max()) {
            co_await world_.sleep(std::max(leave.again - world_.now(), Time(1)));
            continue;
        }
        Spool::Batch batch;
        if (leave.samples > 0) batch = next(part, leave.samples);
        if (batch.samples == 0) {  // nothing waits, or other lanes are busy enough
            co_await signal_.wait();
            continue;
        }
        pacer_.sent(world_.now(), batch.samples);
        ++counts_.batches;
        const Time began = world_.now();
        std::optional<Time> retry_after;
        const Heard heard = co_await send(batch, retry_after);
        pacer_.answered(world_.now(), heard, world_.now() - began, retry_after);
        switch (heard) {
            case Heard::taken:
                counts_.taken += batch.samples;
                moved_on(part, batch.next);
                break;
            case Heard::never:  // sent again it would meet the same, and hold up what comes behind it
                counts_.never += batch.samples;
                moved_on(part, batch.next);
                break;
            case Heard::later:
            case Heard::lost:
                counts_.again += batch.samples;
                ++counts_.troubles;
                break;
        }
        signal_.fire();
    }
}

// Scrapes that hold nothing of this part are passed over: else they would wait for it for ever.
Spool::Batch Sender::next(int part, std::size_t most) {
    try {
        Spool::Batch batch = spool_.read(rules_.name, part, most);
        if (batch.samples == 0) moved_on(part, batch.next);
        return batch;
    } catch (const SpoolFault& fault) {
        spool_broke(fault);
        return {};
    }
}

// A full or broken disk may keep a place from being written. It is known all the same until the process ends; after
// that some samples are sent once more, just as they were.
void Sender::moved_on(int part, std::uint64_t place) {
    try {
        spool_.advance(rules_.name, part, place);
        spool_broken_ = false;
    } catch (const SpoolFault& fault) {
        spool_broke(fault);
    }
}

void Sender::spool_broke(const SpoolFault& fault) {
    if (!std::exchange(spool_broken_, true)) notice_("spool_broken", fault.what());
}

net::Task<Heard> Sender::send(const Spool::Batch& batch, std::optional<Time>& retry_after) {
    std::string body;
    snappy::Compress(batch.bytes.data(), batch.bytes.size(), &body);
    counts_.wire_bytes += body.size();
    http::HeadWriter head("POST " + rules_.path + " HTTP/1.1");
    head.add("Host", rules_.address)
        .add("User-Agent", "plumkeel")
        .add("Content-Encoding", "snappy")
        .add("Content-Type", "application/x-protobuf")
        .add("X-Prometheus-Remote-Write-Version", "0.1.0")
        .add("Connection", "close")
        .add("Content-Length", static_cast<std::int64_t>(body.size()));
    if (!rules_.bearer.empty()) head.add("Authorization", "Bearer " + rules_.bearer);
    std::string text = head.done();
    net::Address to = *net::Address::parse(rules_.address);
    auto exchanged = co_await http::exchange(world_, std::move(to), std::move(text), std::move(body), rules_.within, 64 * 1024);
    if (exchanged.error) {
        note(Heard::lost, exchanged.error.message());
        co_return Heard::lost;
    }
    const unsigned status = exchanged.answer.result_int();
    if (const auto seconds = http::number<std::uint32_t>(http::field(exchanged.answer, "Retry-After")))
        retry_after = std::chrono::seconds(*seconds);
    const Heard heard = status / 100 == 2                     ? Heard::taken
                        : status / 100 == 5 || status == 429 ? Heard::later
                                                              : Heard::never;
    note(heard, fmt::format("{} {}", status, exchanged.answer.body().substr(0, 200)));
    co_return heard;
}

// A receiver that says the same again and again is told of once.
void Sender::note(Heard heard, const std::string& what) {
    const std::string trouble = heard == Heard::taken ? "" : what;
    if (trouble == last_trouble_) return;
    last_trouble_ = trouble;
    static constexpr const char* kinds[] = {"receiver_takes", "receiver_in_trouble", "receiver_turns_down", "receiver_silent"};
    notice_(kinds[static_cast<int>(heard)], rules_.name + (what.empty() ? "" : ": " + what));
}

}  // namespace plumkeel::remote
