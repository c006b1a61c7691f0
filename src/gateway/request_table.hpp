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

/// A request as received from a client, after Admission has accepted it.
struct IncomingRequest {
    const NamedRequestClass* request_class{};
    std::string name;                 ///< the client's own id of the request; empty if the protocol has none
    std::uint64_t sink_request_id{};  ///< identifies the request to its ResponseSink
    std::string function, tenant, idempotency_key;
    std::string forwarded_headers;  ///< header lines to forward to the invoker
    Time remaining{};               ///< time to the deadline when the request arrived
    Time unread_time{};             ///< how long the request waited in its socket before it was read
    std::optional<Time> read_at;    ///< when the request was read; absent: just now
    int concurrency = 1;            ///< requests that one copy of the function runs at once
    std::optional<int> memory;      ///< MB that one copy of the function uses
    std::optional<Time> declared_load_time;
    bool is_client_retry{};
    std::string body;
    std::size_t held_bytes{};  ///< bytes of `body` reserved at Admission; the request releases them when it completes
};

/// An open request: the scheduler's state (Request), and what the gateway needs to send attempts and to respond.
struct ActiveRequest : Request {
    std::shared_ptr<ResponseSink> sink;  ///< null once the request is completed or its client has disconnected
    // The fields from `name` to `memory` are copied from IncomingRequest.
    std::string name, idempotency_key, forwarded_headers;
    std::uint64_t sink_request_id{};
    int concurrency{};
    std::optional<int> memory;
    std::string encoded_suffix;  ///< encoded bytes that all attempts of the request share; filled by src/web
    std::shared_ptr<const std::string> body;
    std::size_t held_bytes{};                         ///< bytes of `body` reserved at Admission
    std::string_view tenant_name;                     ///< empty if the settings do not name the tenant
    std::vector<std::shared_ptr<AttemptCall>> calls;  ///< indexed by attempt number
    const AttemptCall* streaming_call{};  ///< the attempt whose response is streamed to the client; else null
};

inline ActiveRequest& active_request(Request& request) {
    return static_cast<ActiveRequest&>(request);
}

std::string_view request_class_name(const ActiveRequest& request);

/// Owns the requests, functions and tenants. A request is kept until it is completed and none of its attempts is in
/// flight, a Function until the scheduler releases it, and a Tenant as long as the table exists.
class RequestTable {
public:
    explicit RequestTable(std::map<std::string, Tenant> tenants) : tenants_(std::move(tenants)) {}

    ActiveRequest& add(IncomingRequest incoming, std::shared_ptr<ResponseSink> sink, Time now);
    /// Returns null if the request has been erased.
    ActiveRequest* find(std::uint64_t id);
    void erase_if_settled(ActiveRequest& request);

    /// Returns null if the scheduler has released the function.
    Function* find_function(const std::string& name);
    void release_function(const Function& function);
    std::size_t function_count() const { return functions_.size(); }

    /// Returns all tenants in the order of their names.
    std::vector<const Tenant*> tenants() const;

private:
    Function& register_function(const IncomingRequest& incoming);

    std::map<std::string, Tenant> tenants_;
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveRequest>> requests_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::uint64_t last_id_{};
};

}  // namespace plumkeel::gateway
