/// \file
/// A Scheduler with the objects that it works on, driven by records. Private to Replayer.
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
    ReplayedScheduler(const SchedulerSettings& start, TraceDetail detail);

    /// Whether the record introduces a name or is otherwise no call.
    bool take_non_call(const Record& record);
    /// Makes the recorded call; nothing if its attempt or request does not exist here.
    std::optional<Actions> call(const Record& record);
    /// Frees what the gateway would: settled requests and released functions. `request` is the one that the call
    /// concerned, or 0.
    void release(const Actions& actions, std::uint64_t request);

    std::uint64_t number_of(const Function& function) const { return function_numbers_.at(&function); }
    std::uint64_t number_of(const Invoker& invoker) const { return invoker_numbers_.at(&invoker); }
    std::string name_of_invoker(std::uint64_t number) const;

private:
    Invoker& listed_invoker(std::uint64_t number);
    Function& known_function(std::uint64_t number);
    Attempt* attempt_in_flight(std::uint64_t request, std::uint64_t number);
    Actions submit(Time at, std::uint64_t id, const RequestSubmitted& submitted);
    Actions change_endpoints(Time at, const EndpointsChanged& list);
    std::optional<Actions> end_attempt(const Record& record);
    std::optional<Actions> end_preload(const Record& record);

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
