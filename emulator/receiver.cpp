#include "emulator/receiver.hpp"

#include <fmt/format.h>
#include <snappy.h>

#include <algorithm>
#include <bit>
#include <cmath>

#include "config/jsonnet_reader.hpp"
#include "write.pb.h"

namespace plumkeel::emulator {

constexpr std::size_t most_breaches = 100;

WriteReceiver::WriteReceiver(net::EventLoop& loop, std::shared_ptr<net::Listener> listener) : loop_(loop) {
    side_ = {[this](const auto& talk, auto message) { asked(talk, message); }, [this](const auto&) { --at_once_; }};
    accept_talks(loop_, std::move(listener), side_);
}

void WriteReceiver::be(Mood mood, unsigned status, std::string retry_after) {
    mood_ = mood;
    status_ = status;
    retry_after_ = std::move(retry_after);
}

void WriteReceiver::breach(std::string what) {
    if (breaches_.size() < most_breaches) breaches_.push_back(std::move(what));
}

void WriteReceiver::asked(const std::shared_ptr<Talk>& talk, const Talk::Message& message) {
    ++questions_;
    most_at_once_ = std::max(most_at_once_, ++at_once_);
    if (mood_ == Mood::stalls) return;  // no answer ever; the sender has to give up
    if (mood_ == Mood::status) return reply(talk, status_);
    if (mood_ == Mood::cuts) {
        --at_once_;
        return talk->reply_cut("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 10);
    }
    if (part_share_ > 0 && chance_.next() < part_share_) return reply(talk, part_status_);
    if (!take(message)) return reply(talk, 400);
    if (mood_ == Mood::late) return;  // taken, and never said so
    if (delay_ == Time{}) return reply(talk, 204);
    loop_.call_at(loop_.now() + delay_, [this, talk] {
        if (talk->open()) reply(talk, 204);
    });
}

void WriteReceiver::reply(const std::shared_ptr<Talk>& talk, unsigned status) {
    --at_once_;
    http::HeadWriter head(http::status_line(status));
    if (!retry_after_.empty()) head.add("Retry-After", retry_after_);
    talk->reply(head.add("Content-Length", "0").done(), "");
}

bool WriteReceiver::take(const Talk::Message& message) {
    const std::pair<const char*, const char*> fields[] = {{"Content-Encoding", "snappy"},
                                                          {"Content-Type", "application/x-protobuf"},
                                                          {"X-Prometheus-Remote-Write-Version", "0.1.0"}};
    for (const auto& [name, value] : fields)
        if (http::field(message, name) != value) breach(fmt::format("{} is not {}", name, value));
    if (http::field(message, "User-Agent").empty()) breach("no User-Agent");
    std::string raw;
    if (!snappy::Uncompress(message.body().data(), message.body().size(), &raw)) {
        breach("the body is no snappy block");
        return false;
    }
    remote_write::wire::WriteRequest all;
    if (!all.ParseFromString(raw)) {
        breach("the body is no WriteRequest");
        return false;
    }
    for (const auto& one : all.timeseries()) {
        remote_write::Labels labels;
        for (const auto& label : one.labels()) labels.emplace_back(label.name(), label.value());
        if (!std::is_sorted(labels.begin(), labels.end())) breach("labels are not sorted");
        if (std::adjacent_find(labels.begin(), labels.end(),
                               [](const auto& a, const auto& b) { return a.first == b.first; }) != labels.end())
            breach("a label comes twice");
        if (std::none_of(labels.begin(), labels.end(),
                         [](const auto& l) { return l.first == "__name__" && !l.second.empty(); }))
            breach("a series has no name");
        if (std::any_of(labels.begin(), labels.end(), [](const auto& l) { return l.second.empty(); }))
            breach("a label is empty");
        Points& points = series_[labels];
        for (const auto& sample : one.samples()) {
            if (!points.empty() && sample.timestamp() <= points.back().first) {
                // What was sent before and not known to be taken comes again just as it was.
                const auto it =
                    std::lower_bound(points.begin(), points.end(), std::pair(sample.timestamp(), -HUGE_VAL));
                const bool same =
                    it != points.end() && it->first == sample.timestamp() &&
                    std::bit_cast<std::uint64_t>(it->second) == std::bit_cast<std::uint64_t>(sample.value());
                if (same)
                    ++repeated_;
                else
                    breach(fmt::format("a sample of {} is out of order", labels.front().second));
                continue;
            }
            points.emplace_back(sample.timestamp(), sample.value());
            ++samples_;
            ++by_second_[loop_.now() / 1s];
        }
    }
    return true;
}

// As a process: told its moods on the standard input, it writes all samples it has taken when the input ends.
int run_receiver(const std::string& file, const std::string& record_file) {
    const auto settings = evaluate_jsonnet(file);
    JsonnetReader in(settings, file);
    std::size_t port = 0;
    in.require("port", port);
    in.reject_unknown_fields();
    net::SocketEventLoop loop;
    Record record(record_file);
    WriteReceiver receiver(loop, must_listen(loop, static_cast<std::uint16_t>(port)));
    Commands commands(loop, [&](const auto& words, const auto& options) {
        using Mood = WriteReceiver::Mood;
        static const std::map<std::string, Mood> moods = {{"takes", Mood::takes},
                                                          {"stalls", Mood::stalls},
                                                          {"status", Mood::status},
                                                          {"cuts", Mood::cuts},
                                                          {"late", Mood::late}};
        if (const auto it = moods.find(words[0]); it != moods.end())
            receiver.be(it->second, static_cast<unsigned>(Commands::figure(options, "status", 503)),
                        Commands::text(options, "retry_after"));
        if (words[0] == "forget") receiver.forget();
        record.write("mood", {{"mood", words[0]}});
    });
    loop.on_termination([&loop] { loop.stop(); });
    loop.run();
    for (const std::string& each : receiver.breaches()) record.write("breach", {{"what", each}});
    for (const auto& [labels, points] : receiver.series()) {
        boost::json::object all;
        boost::json::array moments, values;
        for (const auto& [name, value] : labels) all[name] = value;
        for (const auto& [at, value] : points) {
            moments.push_back(at);
            if (remote_write::is_stale_marker(value))
                values.push_back(nullptr);
            else
                values.push_back(value);
        }
        record.write("series", {{"labels", std::move(all)}, {"ms", std::move(moments)}, {"values", std::move(values)}});
    }
    record.write("sum", {{"series", receiver.series().size()},
                         {"samples", receiver.samples()},
                         {"repeated", receiver.repeated()},
                         {"breaches", receiver.breaches().size()},
                         {"questions", receiver.questions()}});
    return receiver.breaches().empty() ? 0 : 1;
}

}  // namespace plumkeel::emulator
