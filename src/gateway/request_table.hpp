/// The open requests of the gateway, and the functions and tenants that they refer to.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/gateway_config.hpp"
#include "gateway/response_sink.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::gateway {

class AttemptCall;

/// What a client asked for, as its edge has read it and admission has accepted it.
struct IncomingRequest {
    const NamedRequestClass* request_class{};
    std::string name;                 ///< the request's id among those of its client; empty where the protocol has none
    std::uint64_t sink_request_id{};  ///< by which its ResponseSink knows it
    std::string function, tenant, idempotency_key;
    std::string forwarded_headers;  ///< header lines that go on to the invoker
    Time remaining{};               ///< to its deadline, when it arrived
    Time unread_time{};             ///< since then, before its bytes were read
    std::optional<Time> read_at;
    int concurrency = 1;        ///< requests that one copy of its function runs at once
    std::optional<int> memory;  ///< MB of a loaded copy
    std::optional<Time> declared_load_time;
    bool is_client_retry{};
    std::string body;
    std::size_t held_bytes{};  ///< bytes of `body` reserved at Admission; the request releases them when it completes
};

/// A request as the gateway holds it: the scheduler's part, and what is needed to send it and to respond.
struct ActiveRequest : Request {
    std::shared_ptr<ResponseSink> sink;  ///< until its final response is given, or the client has disconnected
    std::string name, idempotency_key, forwarded_headers;  ///< as in IncomingRequest, down to `memory`
    std::uint64_t sink_request_id{};
    int concurrency{};
    std::optional<int> memory;
    std::string encoded_suffix;  ///< kept for the invokers' edge: the bytes that all its attempts have in common
    std::shared_ptr<const std::string> body;
    std::size_t held_bytes{};                         ///< reserved at Admission
    std::string_view tenant_name;                     ///< empty: none that the settings name
    std::vector<std::shared_ptr<AttemptCall>> calls;  ///< by attempt number
    const AttemptCall* streaming_call{};              ///< whose response is being passed on to the client
};

inline ActiveRequest& active_request(Request& request) {
    return static_cast<ActiveRequest&>(request);
}

std::string_view request_class_name(const ActiveRequest& request);

/// Owns each request from its arrival until it is completed and none of its attempts is in flight; each Function from
/// its first request until the scheduler releases it; and each Tenant for good.
class RequestTable {
public:
    explicit RequestTable(std::map<std::string, Tenant> tenants) : tenants_(std::move(tenants)) {}

    ActiveRequest& add(IncomingRequest incoming, std::shared_ptr<ResponseSink> sink, Time now);
    /// Null: the request is over and erased.
    ActiveRequest* find(std::uint64_t id);
    void erase_if_settled(ActiveRequest& request);

    /// Null: released by the scheduler.
    Function* find_function(const std::string& name);
    void release_function(const Function& function);
    std::size_t function_count() const { return functions_.size(); }

    /// In the order of their names.
    std::vector<const Tenant*> tenants() const;

private:
    Function& register_function(const IncomingRequest& incoming);

    std::map<std::string, Tenant> tenants_;
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveRequest>> requests_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::uint64_t last_id_{};
};

}  // namespace plumkeel::gateway
