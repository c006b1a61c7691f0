/// The codecs of the platform's protocols under sanitizers: streams split at every byte, and a fixed number of damaged
/// streams.
#include <cstdlib>
#include <iostream>

#include "discovery/frame_decoder.hpp"
#include "emulator/protocol_bytes.hpp"
#include "fastcgi/request_parser.hpp"
#include "invoker_protocol/codec.hpp"
#include "random/pcg.hpp"

using namespace plumkeel;

namespace {

void check(bool good, const char* what) {
    if (good) return;
    std::cout << "codec_fuzz: " << what << std::endl;
    std::exit(1);
}

// Records all callbacks as text, and responds to nothing: complete requests stay pending.
struct CallbackLog : fastcgi::ParserHandler {
    std::string text;
    std::map<int, bool> open;
    void on_request_begun(std::uint16_t n) override { text += fmt::format("begun {};", n); }
    void on_request(fastcgi::RequestMessage m) override {
        text += fmt::format("complete {} {} {} {};", m.request_id, m.keep_connection, m.params.size(), m.body);
        open[m.request_id] = true;
    }
    void on_request_error(std::uint16_t n, fastcgi::RequestError why, bool keep) override {
        text += fmt::format("error {} {} {};", n, fastcgi::name_of(why), keep);
    }
    void on_abort(std::uint16_t n) override {
        text += fmt::format("abort {};", n);
        open.erase(n);
    }
    void on_get_values(std::string_view names) override { text += fmt::format("values {};", names.size()); }
    void on_unknown_type(std::uint8_t type) override { text += fmt::format("unknown {};", type); }
    bool is_pending(std::uint16_t n) const override { return open.count(n) > 0; }
};

std::string records() {
    using namespace bytes;
    return message(1, job_fields(hex16(1), hex16(2)), "a body", 7, 5) +
           record(9, 0, params_of({{"FCGI_MPXS_CONNS", ""}})) + record(99, 0, "odd") +
           message(2, job_fields(hex16(3), hex16(2)), std::string(300, 'x'), 65) + record(2, 1, "") +
           record(1, 7, std::string_view("\0\3\1\0\0\0\0\0", 8)) +
           message(300, {{"LONG", std::string(200, 'v')}}, "", 50) + message(2, {}, "twice") +
           record(1, 9, std::string_view("\0\1\0\0\0\0\0\0", 8)) + record(5, 9, "no params yet") +
           record(1, 10, std::string_view("\0\1\0\0\0\0\0\0", 8)) + record(4, 10, std::string(9000, 'p'));
}

std::string feed_fastcgi(std::string_view a, std::string_view b) {
    CallbackLog log;
    fastcgi::RequestParser parser({});
    if (parser.feed(a, log)) parser.feed(b, log);
    check(parser.held_bytes() < 40 * 24 * 1024, "more is buffered of requests than their limits");
    return log.text;
}

std::string lines() {
    return "0000000000000001 data n=reused,peers_in=3 5\r\nhello\r\n"
           "p1 well l=inflight:7;util:0.61 0\r\n\r\n"
           "0000000000000002 absent n=init_error 0\r\n\r\n"
           "0000000000000003 data - 13\r\na\r\nb well 0\r\n\r\n";
}

std::string feed_lines(std::string_view a, std::string_view b) {
    invoker_protocol::ResponseDecoder decoder(256, 4096);
    invoker_protocol::ResponseMessage response;
    std::string text;
    for (std::string_view part : {a, b})
        while (decoder.next(part, response))
            text += fmt::format("{} {} {} {};", response.id, invoker_protocol::wire_name(response.result),
                                response.fields, response.body);
    return text + invoker_protocol::name_of(decoder.error());
}

std::string frames() {
    using namespace bytes;
    return frame(0, 0) + frame(1, 1, {{1, "10.0.0.1"}, {2, "10.0.0.2", 7001, 1}}) +
           frame(2, 2, {{3, "10.0.0.3", 7001, 2, 1700000000000}}) + frame(2, 0);
}

std::string feed_frames(std::string_view a, std::string_view b) {
    discovery::FrameDecoder reader({{"a"}, {"k"}});
    discovery::WatchEvent event;
    std::string text;
    for (std::string_view part : {a, b})
        while (reader.next(part, event)) {
            text += fmt::format("{} {} {}", event.number, event.has_changes, event.is_complete);
            for (const auto& each : event.endpoints)
                text += fmt::format(" {}@{} {} {}", each.name, each.address, each.ready, each.capacity);
            for (const auto& each : event.removed) text += " -" + each;
            text += ';';
        }
    return text + discovery::name_of(reader.error());
}

template <class Feed>
void split_everywhere(const std::string& stream, Feed feed, const std::string& expected) {
    const std::string whole = feed(stream, "");
    check(whole.find(expected) != std::string::npos, whole.c_str());
    for (std::size_t at = 0; at <= stream.size(); ++at)
        check(feed(std::string_view(stream).substr(0, at), std::string_view(stream).substr(at)) == whole,
              "a split changes what is read");
}

template <class Feed>
void damage(const std::string& stream, Feed feed, Pcg& chance) {
    const auto below = [&](std::size_t n) { return static_cast<std::size_t>(chance.next() * static_cast<double>(n)); };
    for (int i = 0; i < 20'000; ++i) {
        std::string bad = stream;
        for (std::size_t hits = 1 + below(6); hits > 0 && !bad.empty(); --hits) {
            const std::size_t at = below(bad.size());
            switch (below(4)) {
                case 0:
                    bad[at] = static_cast<char>(below(256));
                    break;
                case 1:
                    bad.erase(at, 1 + below(40));
                    break;
                case 2:
                    bad.insert(at, stream.substr(below(stream.size()), below(60)));
                    break;
                default:
                    bad[at] = static_cast<char>(bad[at] ^ (1 << below(8)));
            }
        }
        feed(bad, "");
    }
}

}  // namespace

int main() {
    Pcg chance(20);
    split_everywhere(records(), feed_fastcgi, "complete 1 true");
    split_everywhere(lines(), feed_lines, "0000000000000003 data - a\r\nb well 0\r\n;none");
    split_everywhere(frames(), feed_frames, "2 true false -s-00000003;2 false false;none");
    damage(records(), feed_fastcgi, chance);
    damage(lines(), feed_lines, chance);
    damage(frames(), feed_frames, chance);
    std::cout << "codec_fuzz: 60000 damaged streams read\n";
}
