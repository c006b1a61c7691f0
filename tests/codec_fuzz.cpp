/// Fuzz test of the protocol codecs, run with sanitizers: decodes streams split at every byte, and a fixed number of
/// randomly damaged streams.
#include <cstdlib>
#include <iostream>

#include "discovery/frame_decoder.hpp"
#include "emulator/protocol_bytes.hpp"
#include "fastcgi/request_parser.hpp"
#include "invoker_protocol/codec.hpp"
#include "random/pcg.hpp"

using namespace plumkeel;

namespace {

void check(bool condition, const char* failure) {
    if (condition) return;
    std::cout << "codec_fuzz: " << failure << std::endl;
    std::exit(1);
}

// Records all callbacks of the parser as text. Sends no responses, so complete requests stay pending.
struct CallbackLog : fastcgi::ParserHandler {
    std::string text;
    std::map<int, bool> pending_requests;
    void on_request_begun(std::uint16_t request_id) override { text += fmt::format("begun {};", request_id); }
    void on_request(fastcgi::RequestMessage request) override {
        text += fmt::format("complete {} {} {} {};", request.request_id, request.keep_connection, request.params.size(),
                            request.body);
        pending_requests[request.request_id] = true;
    }
    void on_request_error(std::uint16_t request_id, fastcgi::RequestError error, bool keep_connection) override {
        text += fmt::format("error {} {} {};", request_id, fastcgi::name_of(error), keep_connection);
    }
    void on_abort(std::uint16_t request_id) override {
        text += fmt::format("abort {};", request_id);
        pending_requests.erase(request_id);
    }
    void on_ignored_record() override { text += "ignored;"; }
    void on_get_values(std::string_view names) override { text += fmt::format("values {};", names.size()); }
    void on_unknown_type(std::uint8_t type) override { text += fmt::format("unknown {};", type); }
    bool is_pending(std::uint16_t request_id) const override { return pending_requests.count(request_id) > 0; }
};

std::string fastcgi_stream() {
    using namespace bytes;
    return message(1, request_fields(hex16(1), hex16(2)), "a body", 7, 5) +
           record(9, 0, params_of({{"FCGI_MPXS_CONNS", ""}})) + record(99, 0, "odd") +
           message(2, request_fields(hex16(3), hex16(2)), std::string(300, 'x'), 65) + record(2, 1, "") +
           record(1, 7, std::string_view("\0\3\1\0\0\0\0\0", 8)) +
           message(300, {{"LONG", std::string(200, 'v')}}, "", 50) + message(2, {}, "twice") +
           record(1, 9, std::string_view("\0\1\0\0\0\0\0\0", 8)) + record(5, 9, "no params yet") +
           record(1, 10, std::string_view("\0\1\0\0\0\0\0\0", 8)) + record(4, 10, std::string(9000, 'p'));
}

std::string feed_fastcgi_stream(std::string_view first_part, std::string_view second_part) {
    CallbackLog callbacks;
    fastcgi::RequestParser parser({});
    if (parser.feed(first_part, callbacks)) parser.feed(second_part, callbacks);
    check(parser.held_bytes() < 40 * 24 * 1024, "more bytes of requests are buffered than the limits allow");
    return callbacks.text;
}

// Parses at most one record per call. The callbacks must be the same as with all records in one call.
std::string feed_fastcgi_stream_by_record(std::string_view first_part, std::string_view second_part) {
    CallbackLog callbacks;
    fastcgi::RequestParser parser({});
    for (std::string_view part : {first_part, second_part})
        while (!part.empty())
            if (!parser.feed(part, callbacks, 1)) return callbacks.text;
    return callbacks.text;
}

std::string invoker_stream() {
    return "0000000000000001 data n=reused,peers_in=3 5\r\nhello\r\n"
           "p1 well l=inflight:7;util:0.61 0\r\n\r\n"
           "0000000000000002 absent n=init_error 0\r\n\r\n"
           "0000000000000003 data - 13\r\na\r\nb well 0\r\n\r\n";
}

std::string feed_invoker_stream(std::string_view first_part, std::string_view second_part) {
    invoker_protocol::ResponseDecoder decoder(256, 4096);
    invoker_protocol::ResponseMessage response;
    std::string text;
    for (std::string_view part : {first_part, second_part})
        while (decoder.next(part, response))
            text += fmt::format("{} {} {} {};", response.id, invoker_protocol::wire_name(response.result),
                                response.fields, response.body);
    return text + invoker_protocol::name_of(decoder.error());
}

std::string discovery_stream() {
    using namespace bytes;
    return frame(0, 0) + frame(1, 1, {{1, "10.0.0.1"}, {2, "10.0.0.2", 7001, 1}}) +
           frame(2, 2, {{3, "10.0.0.3", 7001, 2, 1700000000000}}) + frame(2, 0);
}

std::string feed_discovery_stream(std::string_view first_part, std::string_view second_part) {
    discovery::FrameDecoder decoder({{"a"}, {"k"}});
    discovery::WatchEvent event;
    std::string text;
    for (std::string_view part : {first_part, second_part})
        while (decoder.next(part, event)) {
            text += fmt::format("{} {} {}", event.number, event.has_changes, event.is_complete);
            for (const auto& each : event.endpoints)
                text += fmt::format(" {}@{} {} {}", each.name, each.address, each.ready, each.capacity);
            for (const auto& each : event.removed) text += " -" + each;
            text += ';';
        }
    return text + discovery::name_of(decoder.error());
}

template <class Feed>
void check_all_splits(const std::string& stream, Feed feed, const std::string& expected) {
    const std::string whole = feed(stream, "");
    check(whole.find(expected) != std::string::npos, whole.c_str());
    for (std::size_t at = 0; at <= stream.size(); ++at)
        check(feed(std::string_view(stream).substr(0, at), std::string_view(stream).substr(at)) == whole,
              "splitting the stream changes the decoded messages");
}

template <class Feed>
void feed_damaged_streams(const std::string& stream, Feed feed, Pcg& random_numbers) {
    const auto random_below = [&](std::size_t limit) {
        return static_cast<std::size_t>(random_numbers.next() * static_cast<double>(limit));
    };
    for (int i = 0; i < 20'000; ++i) {
        std::string damaged = stream;
        for (std::size_t damages_left = 1 + random_below(6); damages_left > 0 && !damaged.empty(); --damages_left) {
            const std::size_t position = random_below(damaged.size());
            switch (random_below(4)) {
                case 0:
                    damaged[position] = static_cast<char>(random_below(256));
                    break;
                case 1:
                    damaged.erase(position, 1 + random_below(40));
                    break;
                case 2:
                    damaged.insert(position, stream.substr(random_below(stream.size()), random_below(60)));
                    break;
                default:
                    damaged[position] = static_cast<char>(damaged[position] ^ (1 << random_below(8)));
            }
        }
        feed(damaged, "");
    }
}

}  // namespace

int main() {
    Pcg random_numbers(20);
    check_all_splits(fastcgi_stream(), feed_fastcgi_stream, "complete 1 true");
    check_all_splits(fastcgi_stream(), feed_fastcgi_stream_by_record, feed_fastcgi_stream(fastcgi_stream(), ""));
    check_all_splits(invoker_stream(), feed_invoker_stream, "0000000000000003 data - a\r\nb well 0\r\n;none");
    check_all_splits(discovery_stream(), feed_discovery_stream, "2 true false -s-00000003;2 false false;none");
    feed_damaged_streams(fastcgi_stream(), feed_fastcgi_stream, random_numbers);
    feed_damaged_streams(invoker_stream(), feed_invoker_stream, random_numbers);
    feed_damaged_streams(discovery_stream(), feed_discovery_stream, random_numbers);
    std::cout << "codec_fuzz: decoded 60000 damaged streams\n";
}
