// Hosts one decision module, unchanged, over a modelled fleet in virtual time: it carries out what the module decides,
// tells it what came of that, and counts. The counts are exact; processor times are those of the calls into the module
// alone.
#pragma once

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "scale/allocation_count.hpp"
#include "scale/event_queue.hpp"
#include "scale/modelled_fleet.hpp"
#include "scheduler/scheduler.hpp"

namespace plumkeel::scale {

struct HostSettings {
    int controllers = 7100;  // that the module is told of
    Time keep_alive = std::chrono::seconds(60);
    Time latency_target = std::chrono::milliseconds(1800);
    Time deadline = std::chrono::seconds(5);
    Time connection_idle = std::chrono::seconds(15);  // after which an unused connection is closed
    bool steady_units = true;
};

struct HostCounts {
    std::uint64_t calls{}, served{}, within_target{}, rejected{}, failed{};
    std::uint64_t attempts{}, probes{}, full{}, cold_starts{}, overdue{}, new_connections{};
    std::vector<std::uint64_t> attempts_to;  // by invoker
    std::chrono::nanoseconds processor{}, worst_turn{};
    std::uint64_t turns{};
    double waited_s{};  // by all served requests together, from call to answer
};

// What one call into the module was about, for telling where its time goes.
enum class Turn { call, attempt_end, probe_end, list, timer, count_ };

class ControllerHost {
public:
    using FunctionNumber = ModelledFleet::FunctionNumber;
    ControllerHost(EventQueue& events, ModelledFleet& fleet, const HostSettings& settings, std::uint64_t seed);

    void call(FunctionNumber function);
    // Tells the module the whole list, or those that changed. Invokers that are not `listed` are told as gone.
    void tell_whole_list();
    void tell_changed(const std::vector<std::size_t>& numbers);
    // A process that started anew at `started`, under the old name; ready unless it drains.
    void set_invoker(std::size_t number, bool listed, bool ready, std::optional<Time> started, double units = 1);

    const HostCounts& counts() const { return counts_; }
    // Processor time and turns are counted anew from here.
    void restart_clocks();
    std::chrono::nanoseconds worst_of(Turn kind) const { return worst_[static_cast<std::size_t>(kind)]; }
    std::size_t functions_held() const { return functions_.size(); }
    std::size_t parked() const { return controller_->parked_count(); }
    std::size_t open_connections() const;
    const Scheduler& controller() const { return *controller_; }

private:
    struct HostedJob : Request {
        FunctionNumber number{};
    };
    struct HostedInvoker : Invoker {
        std::size_t number{};
        std::optional<Time> connected;  // when a connection to it was last used
    };
    template <class Call>
    void feed(Turn kind, Call call);
    void carry_out(const Actions& results);
    void start(Attempt& attempt);
    void end_attempt(std::uint64_t request, int number, const Reply& reply);
    void probe(HostedInvoker& invoker);
    void use_connection(HostedInvoker& invoker);
    void drop_if_closed(std::uint64_t request);
    void arm(Time when);
    HostedInvoker& at(std::size_t number);

    EventQueue& events_;
    ModelledFleet& fleet_;
    const HostSettings settings_;
    RequestClass use_case_;
    InvokerType kind_;
    std::vector<std::unique_ptr<HostedInvoker>> invokers_;  // null: not told of, or let go by the module
    std::vector<bool> listed_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::unordered_map<std::uint64_t, std::unique_ptr<HostedJob>> jobs_;
    std::unique_ptr<Scheduler> controller_;
    HostCounts counts_;
    std::array<std::chrono::nanoseconds, static_cast<std::size_t>(Turn::count_)> worst_{};
    std::uint64_t ids_{}, armings_{};
    Time armed_ = Time::max();
};

}  // namespace plumkeel::scale
