/// One simulated controller. It converts events into calls of its scheduler and the resulting actions into messages to
/// the simulator. It owns the requests, functions and invokers that the scheduler refers to.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "simulator_adapter/hosted_scheduler.hpp"
#include "simulator_adapter/wire.hpp"

namespace plumkeel::simulator_adapter {

using platform_settings::json;

class Controller {
public:
    /// `started_at` is in simulated time. The scheduler's time is counted from it.
    Controller(std::string name, Time started_at, const wire::ControllerStarted& start);

    /// Handles one event and appends the resulting actions. `endpoint_bank` is the endpoint list that an endpoint
    /// update refers to; null if that list was not received.
    void handle(wire::EventType type, const json& event, Time simulated_now, const json* endpoint_bank, json& actions);

private:
    void on_request(const json& event, Time now, json& actions);
    void on_response_started(const json& event, Time now, json& actions);
    void on_attempt_ended(const json& event, Time now, json& actions);
    void on_client_disconnected(const json& event, Time now, json& actions);
    void on_timer(const json& event, Time now, json& actions);
    void on_endpoints(const json& event, Time now, const json* endpoint_bank, json& actions);
    void on_health_check(const json& event, Time now, json& actions);
    void on_preload_ended(const json& event, Time now, json& actions);

    Function& update_function(const wire::RequestReceived& received);
    Invoker* update_invoker(const json& entry);
    Attempt* find_attempt_in_flight(const json& event);
    Invoker* find_invoker(const json& event);
    void erase_if_settled(std::uint64_t request_id);
    void append_actions(const Actions& decisions, Time now, json& actions);

    const std::string name_;
    const Time started_at_;
    std::map<std::string, RequestClass> request_classes_;
    std::map<std::string, Tenant> tenants_;
    std::map<std::string, InvokerType> invoker_types_;
    std::vector<std::string> report_fields_;
    bool reports_concurrency_{};
    std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::unordered_map<std::string, std::unique_ptr<Invoker>> invokers_;
    std::unique_ptr<HostedScheduler> scheduler_;
    Time timer_due_at_ = Time::max();
    std::uint64_t last_timer_number_{};  ///< when an earlier timer fires, it is ignored
};

}  // namespace plumkeel::simulator_adapter
