#include "config/sections.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::config_sections {

using namespace std::chrono_literals;

constexpr std::size_t max_head_bytes = 64 * 1024;  // the head of a request must fit into the read buffer

void check_address(JsonnetReader& in, std::string_view key, const std::string& address) {
    if (!net::Address::parse(address))
        in.fail(key, "found \"" + address + "\", expected an address such as 127.0.0.1:7400");
}

void read_admission(JsonnetReader& in, AdmissionLimits& limits) {
    in.read("connections", limits.max_connections, 1);
    in.read("open_jobs", limits.max_requests, 1);
    in.read("head_bytes", limits.max_head_bytes, 512);
    in.read("body_bytes", limits.max_body_bytes);
    in.read("memory_bytes", limits.max_memory_bytes, 1);
    in.read("name_bytes", limits.max_name_bytes, 1);
    in.read("head_within", limits.head_timeout);
    in.read("idle_for", limits.idle_timeout);
    in.read("least_rate", limits.min_body_bytes_per_s);
    in.read("unread_for", limits.unread_timeout);
    in.read("longest_left", limits.max_remaining_time);
    in.read("shortest_left", limits.min_remaining_time);
    if (in.has("assumed_left")) {
        limits.default_remaining_time = Time{};
        in.read("assumed_left", *limits.default_remaining_time);
        if (*limits.default_remaining_time < limits.min_remaining_time ||
            *limits.default_remaining_time > limits.max_remaining_time)
            in.fail("assumed_left", "must be from \"shortest_left\" to \"longest_left\"");
    }
    if (limits.max_head_bytes > max_head_bytes)
        in.fail("head_bytes", "found " + std::to_string(limits.max_head_bytes) + ", expected at most " +
                                  std::to_string(max_head_bytes));
}

void read_endpoint_source(JsonnetReader& in, EndpointSource& source) {
    in.read("consul", source.consul);
    in.read("service", source.service);
    in.read("wait", source.wait);
    in.read("answer_slack", source.response_slack);
    in.read_array("fixed", [&](JsonnetReader& element) {
        StaticInvoker& invoker = source.fixed.emplace_back();
        element.require("address", invoker.address);
        check_address(element, "address", invoker.address);
        invoker.name = invoker.address;
        element.read("name", invoker.name);
        element.read("zone", invoker.zone);
        element.read("kind", invoker.type);
        element.read("units", invoker.capacity);
        element.read("cell", invoker.cell);
    });
    if (!source.consul.empty()) check_address(in, "consul", source.consul);
    if (source.consul.empty() == source.fixed.empty())
        in.fail("", "exactly one of \"consul\" and \"fixed\" must be set");
    if (source.wait < 100ms || source.wait > 10min) in.fail("wait", "must be from 100ms to 10min");
}

void read_pool(JsonnetReader& in, PoolConfig& pool) {
    in.read("most", pool.max_connections, 1);
    in.read("queued", pool.max_queued);
    in.read("connect_within", pool.connect_timeout);
    in.read("idle_for", pool.idle_timeout);
    in.read("probe_within", pool.health_check_timeout);
    in.read("order_within", pool.preload_timeout);
    in.read("answer_held", pool.max_buffered_response);
    in.read("stream_ahead", pool.stream_buffer_bytes, 1);
}

}  // namespace plumkeel::config_sections
