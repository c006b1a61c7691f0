/// Runs one scheduler over a modelled fleet in virtual time: performs the scheduler's actions, reports their results to
/// it, and counts them. Processor times cover only the calls into the scheduler.
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
    int controllers = 7100;  // number of controllers that the scheduler assumes
    Time keep_alive = std::chrono::seconds(60);
    Time latency_target = std::chrono::milliseconds(1800);
    Time deadline = std::chrono::seconds(5);
    Time connection_idle_timeout = std::chrono::seconds(15);  // after which an unused connection is closed
    bool stable_capacity = true;
};

struct HostCounts {
    std::uint64_t requests{}, served{}, within_target{}, rejected{}, failed{};
    std::uint64_t attempts{}, health_checks{}, rejected_attempts{}, cold_starts{}, timed_out{}, new_connections{};
    std::vector<std::uint64_t> attempts_by_invoker;
    std::chrono::nanoseconds processor_time{}, longest_call{};
    double latency_sum_s{};  // sum over served requests of the time from submission to response
};

/// The scheduler's entry points, whose processor times are measured separately.
enum class SchedulerCall { submit, attempt_ended, health_check_ended, endpoints_changed, wake, count_ };

class SchedulerHost {
public:
    using FunctionNumber = ModelledFleet::FunctionNumber;
    SchedulerHost(EventQueue& events, ModelledFleet& fleet, const HostSettings& settings, std::uint64_t seed);

    void submit(FunctionNumber function);
    /// Sets the state of an invoker for its next announcement. An invoker that is not `listed` is announced as removed;
    /// one that is listed but not `ready` drains. `started` is the time at which its process restarted, if it did.
    void set_invoker(std::size_t invoker_number, bool listed, bool ready, std::optional<Time> started,
                     double relative_capacity = 1);
    void announce_all();
    void announce(const std::vector<std::size_t>& invoker_numbers);

    const HostCounts& counts() const { return counts_; }
    /// Resets the total and the longest processor times to 0.
    void reset_processor_times();
    std::chrono::nanoseconds longest_call(SchedulerCall call) const {
        return longest_calls_[static_cast<std::size_t>(call)];
    }
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
    void end_attempt(std::uint64_t request_id, int attempt_number, const Reply& reply);
    void count_reply(const Reply& reply);
    void count_served(const HostedRequest& request);
    void check_health(HostedInvoker& invoker);
    void record_connection_use(HostedInvoker& invoker);
    void erase_if_settled(std::uint64_t request_id);
    void schedule_wake(Time when);
    HostedInvoker& invoker(std::size_t invoker_number);
    HostedRequest& new_request(FunctionNumber function);

    EventQueue& events_;
    ModelledFleet& fleet_;
    const HostSettings settings_;
    RequestClass request_class_;
    InvokerType invoker_type_;
    std::vector<std::unique_ptr<HostedInvoker>> invokers_;  // by invoker number; null if unknown to the scheduler
    std::vector<bool> listed_;                              // by invoker number: whether announcements include it
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::unordered_map<std::uint64_t, std::unique_ptr<HostedRequest>> requests_;
    std::unique_ptr<Scheduler> scheduler_;
    HostCounts counts_;
    std::array<std::chrono::nanoseconds, static_cast<std::size_t>(SchedulerCall::count_)> longest_calls_{};
    std::uint64_t last_request_id_{}, last_wake_id_{};
    Time next_wake_ = Time::max();
};

}  // namespace plumkeel::scale
