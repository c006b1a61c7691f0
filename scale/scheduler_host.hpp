/// Hosts one scheduler, unchanged, over a modelled fleet in virtual time: it carries out the scheduler's actions,
/// reports what came of them, and counts. The counts are exact; processor times are those of the calls into the
/// scheduler alone.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "scale/allocation_count.hpp"
#include "scale/event_queue.hpp"
#include "scale/modelled_fleet.hpp"
#include "scheduler/scheduler.hpp"

namespace plumkeel::scale {

struct HostSettings {
    int controllers = 7100;  // that the scheduler assumes beside itself
    Time keep_alive = std::chrono::seconds(60);
    Time latency_target = std::chrono::milliseconds(1800);
    Time deadline = std::chrono::seconds(5);
    Time connection_idle = std::chrono::seconds(15);  // after which an unused connection is closed
    bool stable_capacity = true;
};

struct HostCounts {
    std::uint64_t requests{}, served{}, within_target{}, rejected{}, failed{};
    std::uint64_t attempts{}, health_checks{}, rejected_attempts{}, cold_starts{}, timed_out{}, new_connections{};
    std::vector<std::uint64_t> attempts_by_invoker;
    std::chrono::nanoseconds processor{}, longest_call{};
    double latency_sum_s{};  // of all served requests, from their submission to their answer
};

/// The scheduler's entry points, to tell where its time goes.
enum class SchedulerCall { submit, attempt_ended, health_check_ended, endpoints_changed, wake, count_ };

class SchedulerHost {
public:
    using FunctionNumber = ModelledFleet::FunctionNumber;
    SchedulerHost(EventQueue& events, ModelledFleet& fleet, const HostSettings& settings, std::uint64_t seed);

    void submit(FunctionNumber function);
    /// Changes what the next announcement of an invoker says. One that is not `listed` is
    /// announced as removed; one that is listed and not `ready` drains. `started`: when its process started anew.
    void set_invoker(std::size_t number, bool listed, bool ready, std::optional<Time> started,
                     double relative_capacity = 1);
    void announce_all();
    void announce(const std::vector<std::size_t>& numbers);

    const HostCounts& counts() const { return counts_; }
    /// Processor times are measured anew from here.
    void reset_processor_times();
    std::chrono::nanoseconds longest(SchedulerCall call) const { return longest_[static_cast<std::size_t>(call)]; }
    std::size_t known_functions() const { return functions_.size(); }
    std::size_t parked() const { return scheduler_->parked_count(); }
    std::size_t open_connections() const;
    const Scheduler& scheduler() const { return *scheduler_; }

private:
    struct HostedRequest : Request {
        FunctionNumber function_number{};
    };
    struct HostedInvoker : Invoker {
        std::size_t number{};
        std::optional<Time> connection_used_at;
    };

    template <class Call>
    void call_scheduler(SchedulerCall kind, Call call);
    void apply(const Actions& actions);
    void send(Attempt& attempt);
    void end_attempt(std::uint64_t request, int number, const Reply& reply);
    void count_reply(const Reply& reply);
    void count_served(const HostedRequest& request);
    void check_health(HostedInvoker& invoker);
    void use_connection(HostedInvoker& invoker);
    void erase_if_settled(std::uint64_t request);
    void schedule_wake(Time when);
    HostedInvoker& invoker(std::size_t number);
    HostedRequest& new_request(FunctionNumber function);

    EventQueue& events_;
    ModelledFleet& fleet_;
    const HostSettings settings_;
    RequestClass request_class_;
    InvokerType invoker_type_;
    std::vector<std::unique_ptr<HostedInvoker>> invokers_;  // null: not announced, or released by the scheduler
    std::vector<bool> listed_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::unordered_map<std::uint64_t, std::unique_ptr<HostedRequest>> requests_;
    std::unique_ptr<Scheduler> scheduler_;
    HostCounts counts_;
    std::array<std::chrono::nanoseconds, static_cast<std::size_t>(SchedulerCall::count_)> longest_{};
    std::uint64_t last_id_{}, last_wake_{};
    Time next_wake_ = Time::max();
};

}  // namespace plumkeel::scale
