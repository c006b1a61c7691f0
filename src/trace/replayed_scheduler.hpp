/// \file
/// A Scheduler and the requests, functions and invokers that it uses, driven by trace records. Used only by Replayer.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "trace/replayer.hpp"

namespace plumkeel::trace {

class Replayer::ReplayedScheduler {
public:
    ReplayedScheduler(const SchedulerSettings& scheduler_settings, TraceDetail detail);

    /// Processes records that define names, and ignores function_released and transition records. Returns false for all
    /// other records.
    bool consume_non_call(const Record& record);
    /// Makes the recorded call. Returns nothing if the call's attempt or request does not exist in the replay.
    std::optional<Actions> call(const Record& record);
    /// Deletes settled requests and released functions, as the gateway does after a call. `request` is the request that
    /// the call concerned, or 0.
    void release(const Actions& actions, std::uint64_t request);

    std::uint64_t number_of(const Function& function) const { return function_numbers_.at(&function); }
    std::uint64_t number_of(const Invoker& invoker) const { return invoker_numbers_.at(&invoker); }
    std::string invoker_name(std::uint64_t number) const;

private:
    Invoker& find_listed_invoker(std::uint64_t number);
    Function& find_function(std::uint64_t number);
    Attempt* find_in_flight_attempt(std::uint64_t request, std::uint64_t number);
    Actions submit(Time call_time, std::uint64_t id, const RequestSubmitted& submitted);
    Actions replay_endpoints_changed(Time call_time, const EndpointsChanged& list);
    std::optional<Actions> replay_attempt_ended(const Record& record);
    std::optional<Actions> replay_preload_ended(const Record& record);

    Scheduler scheduler_;
    std::vector<RequestClass> request_classes_;
    std::vector<Tenant> tenants_;
    std::map<std::uint64_t, std::unique_ptr<Function>> functions_;
    std::map<std::uint64_t, std::unique_ptr<Invoker>> invokers_;
    std::map<std::uint64_t, InvokerType> invoker_types_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Request>> requests_;
    std::unordered_map<const Function*, std::uint64_t> function_numbers_;
    std::unordered_map<const Invoker*, std::uint64_t> invoker_numbers_;
};

}  // namespace plumkeel::trace
