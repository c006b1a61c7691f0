/// Test fixture that runs the real gateway over HTTP in virtual time, on in-memory streams, with scripted invokers and
/// clients.
#pragma once

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/http.hpp"
#include "net/simulated_event_loop.hpp"
#include "net/write_queue.hpp"
#include "trace/replayer.hpp"
#include "web/server.hpp"

namespace plumkeel::gateway {

using namespace std::chrono_literals;
using net::Task;

inline void write_text(const std::shared_ptr<net::Stream>& stream, const std::string& text) {
    const net::asio::const_buffer bytes = net::asio::buffer(text);
    stream->write_now({&bytes, 1});
}

using RequestParser = http::beast_http::request_parser<http::beast_http::string_body>;

/// Reads one complete HTTP request. Returns an error if the connection ends before.
inline Task<net::Error> read_request(http::ReadBuffer& buffer, RequestParser& parser) {
    net::Error error;
    while (!parser.is_done() && !error) {
        error = co_await buffer.read_more();
        if (!error) error = buffer.feed(parser);
    }
    co_return error;
}

/// An invoker that handles its nth attempt as the nth entry of `script` says.
struct ScriptedInvoker {
    enum class Behaviour {
        responds,
        hangs,
        resets_unread,
        resets,
        sends_half_head,
        sends_half_body,
        rejects,
        sends_bare_503,
        sends_large,
        truncates_large
    };
    net::SimulatedEventLoop& loop;
    std::string name;
    std::shared_ptr<net::Listener> listener;
    std::vector<Behaviour> script;  ///< the last entry applies to all further attempts
    Time response_time = 10ms;
    std::optional<Time> closes_after;   ///< delay after a response until the connection is closed
    std::vector<std::string> attempts;  ///< "request id/attempt number" in the order of arrival
    std::vector<Time> arrivals;
    std::vector<int> stated_limits_ms;  ///< remaining time that each attempt stated, in milliseconds
    /// Connections accepted in this interval are not read before its end.
    Time reading_pause_start = Time::max(), reading_pause_end{};
    int connections{};
    int cancelled{};  ///< connections that ended while an attempt hung

    ScriptedInvoker(net::SimulatedEventLoop& event_loop, std::string invoker_name, std::vector<Behaviour> behaviours)
        : loop(event_loop),
          name(std::move(invoker_name)),
          listener(event_loop.listen({name, 1}).listener),
          script(std::move(behaviours)) {
        loop.spawn(accept());
    }

    Task<> accept() {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (accepted.error) co_return;
            ++connections;
            loop.spawn(serve(accepted.stream));
        }
    }

    Task<> serve(std::shared_ptr<net::Stream> stream) {
        http::ReadBuffer buffer(stream);
        if (loop.now() >= reading_pause_start && loop.now() < reading_pause_end)
            co_await loop.sleep(reading_pause_end - loop.now());
        for (;;) {
            RequestParser parser;
            parser.eager(true);
            const net::Error error = co_await read_request(buffer, parser);
            if (error) co_return;
            if (http::path_segments(http::to_string_view(parser.get().target()))[1] == "load") {
                write_text(stream,
                           "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT named_metrics.inflight=1\r\nContent-Length: "
                           "0\r\n\r\n");
                continue;
            }
            const Behaviour behaviour = script[std::min(attempts.size(), script.size() - 1)];
            attempts.push_back(std::string(http::field(parser.get(), "plumkeel-job")) + "/" +
                               std::string(http::field(parser.get(), "plumkeel-hop")));
            arrivals.push_back(loop.now());
            stated_limits_ms.push_back(
                http::parse_number<int>(http::field(parser.get(), "plumkeel-limit")).value_or(0));
            if (behaviour == Behaviour::hangs) {
                const net::Error end = co_await buffer.read_more();
                if (end) ++cancelled;
                co_return;
            }
            co_await loop.sleep(response_time);
            const bool keep_open = co_await respond(stream, behaviour);
            if (!keep_open) co_return;
            if (closes_after) {
                co_await loop.sleep(*closes_after);
                stream->close();
                co_return;
            }
        }
    }

    /// Sends the response. Returns false if it reset the connection instead.
    Task<bool> respond(std::shared_ptr<net::Stream> stream, Behaviour behaviour) {
        const std::string response = "HTTP/1.1 200 OK\r\nplumkeel-note: stood-loaded\r\nContent-Length: 4\r\n\r\nwell";
        switch (behaviour) {
            case Behaviour::responds:
                write_text(stream, response);
                break;
            case Behaviour::resets:
            case Behaviour::resets_unread:
                stream->reset();
                co_return false;
            case Behaviour::sends_half_head:
            case Behaviour::sends_half_body:
                write_text(stream,
                           response.substr(0, behaviour == Behaviour::sends_half_head ? 20 : response.size() - 2));
                co_await loop.sleep(1ms);
                stream->reset();
                co_return false;
            case Behaviour::rejects:
                write_text(stream, "HTTP/1.1 503 Busy\r\nplumkeel-never-ran: turned-away\r\nContent-Length: 0\r\n\r\n");
                break;
            case Behaviour::sends_bare_503:
                write_text(stream, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                break;
            case Behaviour::sends_large:
            case Behaviour::truncates_large: {
                const bool whole = co_await send_large(stream, behaviour == Behaviour::sends_large);
                if (!whole) co_return false;
                break;
            }
            case Behaviour::hangs:
                break;
        }
        co_return true;
    }

    /// Sends a response of 400 kB if `whole`, else half of it and then a reset. Returns `whole`.
    Task<bool> send_large(std::shared_ptr<net::Stream> stream, bool whole) {
        const std::size_t size = 400'000;
        const std::string head = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", size);
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, stream);
        write_queue->send(head, std::make_shared<const std::string>(std::string(whole ? size : size / 2, 'x')));
        co_await write_queue->wait_below(0);
        if (!whole) {
            co_await loop.sleep(1s);
            stream->reset();
        }
        co_return whole;
    }
};
using Behaviour = ScriptedInvoker::Behaviour;

/// A Consul agent whose list of invokers is set by the test.
struct ScriptedConsul {
    net::SimulatedEventLoop& loop;
    std::shared_ptr<net::Listener> listener;
    std::string body;
    int index = 1;
    net::Notification changed;

    explicit ScriptedConsul(net::SimulatedEventLoop& event_loop)
        : loop(event_loop), listener(event_loop.listen({"list", 1}).listener), changed(event_loop) {
        loop.spawn(run());
    }
    static std::string entry(const std::string& name, bool draining = false) {
        return fmt::format(
            R"({{"Node":{{"Address":"{0}"}},"Service":{{"ID":"{0}","Port":1}},"Checks":[{{"Status":"{1}"}}]}})", name,
            draining ? "critical" : "passing");
    }
    void set(const std::vector<std::string>& entries) {
        body = "[";
        for (const auto& entry : entries) body += (body.size() > 1 ? "," : "") + entry;
        body += "]";
        ++index;
        changed.notify();
    }
    Task<> run() {
        for (;;) {
            auto accepted = co_await listener->accept();
            if (accepted.error) co_return;
            http::ReadBuffer buffer(accepted.stream);
            RequestParser parser;
            co_await read_request(buffer, parser);
            const bool is_up_to_date = parser.get().target().find(fmt::format("index={}&", index)) != std::string::npos;
            if (is_up_to_date) co_await changed.wait();
            write_text(accepted.stream,
                       fmt::format("HTTP/1.1 200 OK\r\nX-Consul-Index: {}\r\nContent-Length: {}\r\n\r\n{}", index,
                                   body.size(), body));
            accepted.stream->shutdown_send();
            co_await loop.sleep(1ms);
        }
    }
};

/// A client that connects, sends a text, and reads until the gateway closes the connection or `connected_for` is over.
struct ScriptedClient {
    net::SimulatedEventLoop& loop;
    std::string received;
    Time last_received_at{}, ended_at{};
    bool was_reset{}, has_ended{};

    ScriptedClient(net::SimulatedEventLoop& event_loop, Time connects_at, std::string text, Time connected_for = 1min,
                   bool reads = true)
        : loop(event_loop) {
        loop.spawn(run(connects_at, std::move(text), connected_for, reads));
    }

    Task<> run(Time connects_at, std::string text, Time connected_for, bool reads) {
        co_await loop.sleep(connects_at - loop.now());
        // A named variable, because GCC destroys a braced temporary in a co_await expression twice.
        const net::Address gateway_address{"gateway", 1};
        auto connected = co_await loop.connect(gateway_address, 1s);
        if (connected.error) {
            has_ended = true;
            co_return;
        }
        const auto stream = connected.stream;
        loop.call_at(loop.now() + connected_for, [stream] { stream->close(); });
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, stream);
        write_queue->send(std::move(text));
        std::vector<char> buffer(4096);
        while (reads) {
            const auto result = co_await stream->read(net::asio::buffer(buffer));
            if (result.bytes) last_received_at = loop.now();
            received.append(buffer.data(), result.bytes);
            if (!result.error) continue;
            was_reset = result.error == net::asio::error::connection_reset;
            break;
        }
        if (!reads) co_await loop.sleep(connected_for);
        ended_at = loop.now();
        has_ended = true;
    }

    /// Returns how often `text` occurs in the bytes received so far.
    int count(const std::string& text) const {
        int occurrences = 0;
        for (auto position = received.find(text); position != std::string::npos;
             position = received.find(text, position + 1))
            ++occurrences;
        return occurrences;
    }
};

/// A gateway with the request classes "p" (idempotent), "r" (deduplicated) and "s" (at most once). After each test the
/// recorded scheduler calls are replayed with a new scheduler, which must return the same actions.
class GatewayTest : public testing::Test {
protected:
    /// Bytes take `latency` to arrive, and connecting takes twice as long.
    explicit GatewayTest(Time latency = net::SimulatedEventLoop::default_latency) : loop(latency) {
        config.listen = "gateway:1";
        config.log.file = "/dev/null";
        config.safety_rules.slow_start_duration = 10s;
        config.safety_rules.slow_start_initial_share = 0.2;
        config.safety_rules.slow_start_rate_multiple = 2;
        config.safety_rules.slow_start_window = 2s;
        config.capabilities.cancellation = config.capabilities.health_checks = config.capabilities.hedging = true;
        config.capabilities.retry_after = config.capabilities.on_demand_loading = config.capabilities.stable_capacity =
            true;
        config.capabilities.max_attempts = 5;
        config.capabilities.controller_count = 1;
        config.capabilities.max_retry_after = 2s;
        config.capabilities.keep_alive = 10s;
        config.capabilities.clock_resolution = 5ms;
        add_request_class("p", Idempotency::idempotent);
        add_request_class("r", Idempotency::deduplicated);
        add_request_class("s", Idempotency::at_most_once);
    }

    void add_request_class(const std::string& name, Idempotency idempotency) {
        NamedRequestClass& request_class = config.request_classes[name];
        request_class.name = name;
        request_class.latency_target = 1500ms;
        request_class.idempotency = idempotency;
        request_class.deduplication_window = 5s;
    }

    /// Adds an invoker. Only one added before start_gateway() is on the gateway's fixed list of invokers.
    ScriptedInvoker& add_invoker(std::vector<Behaviour> script) {
        const std::string name = "i" + std::to_string(invokers.size() + 1);
        config.endpoint_source.fixed.push_back({name, name + ":1", "a", "k", 1, 0});
        return *invokers.emplace_back(std::make_unique<ScriptedInvoker>(loop, name, std::move(script)));
    }

    ScriptedClient& add_client(Time connects_at, std::string text, Time connected_for = 1min, bool reads = true) {
        return *clients.emplace_back(
            std::make_unique<ScriptedClient>(loop, connects_at, std::move(text), connected_for, reads));
    }

    void start_gateway() {
        log = std::make_unique<Log>(loop, config.log);
        gateway = std::make_unique<web::Server>(loop, config, *log, 7,
                                                [this](const trace::Record& record) { trace.push_back(record); });
        ASSERT_FALSE(gateway->open());
    }

    static std::string request(const std::string& request_class,
                               const std::string& more_headers = "Connection: close\r\n",
                               const std::string& body = "work", int remaining_ms = 4000) {
        return fmt::format(
            "POST /v1/jobs/f HTTP/1.1\r\nHost: x\r\nplumkeel-use-case: {}\r\nplumkeel-time-left: {}\r\n"
            "plumkeel-mark: m\r\nContent-Length: {}\r\n{}\r\n{}",
            request_class, remaining_ms, body.size(), more_headers, body);
    }

    std::int64_t status_count(const char* section, const char* key) {
        const auto status = gateway->status();
        return (key ? status.at(section).at(key) : status.at(section)).to_number<std::int64_t>();
    }

    std::int64_t rejection_count(const char* word) {
        const auto status = gateway->status();
        const auto* count = status.at("door").at("turned_back").as_object().if_contains(word);
        return count ? count->to_number<std::int64_t>() : 0;
    }

    std::size_t attempt_count() const {
        std::size_t count = 0;
        for (const auto& invoker : invokers) count += invoker->attempts.size();
        return count;
    }

    void TearDown() override {
        trace::Replayer replayer;
        for (const trace::Record& record : trace) replayer.feed(record);
        const trace::Comparison comparison = replayer.compare();
        EXPECT_GT(comparison.calls, 0u);
        EXPECT_EQ(comparison.different_calls, 0u) << comparison.first->recorded << "\n" << comparison.first->replayed;
    }

    std::vector<trace::Record> trace;
    net::SimulatedEventLoop loop;
    GatewayConfig config;
    std::unique_ptr<Log> log;
    std::unique_ptr<web::Server> gateway;
    std::vector<std::unique_ptr<ScriptedInvoker>> invokers;
    std::vector<std::unique_ptr<ScriptedClient>> clients;
};

}  // namespace plumkeel::gateway
