#include <fmt/format.h>

#include <algorithm>
#include <deque>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

constexpr double slack_runs = 3;  // mean run times by which a window may go beyond

/// An invoker that has just started, as its own record states it.
struct StartingInvoker {
    std::int64_t started_us{}, duration_us{}, window_us{};
    double capacity{}, cold_share{}, rate_multiple{}, mean_run_time_s{};
    std::deque<std::int64_t> attempts;  // when those of the last window were received
    bool reported{};

    explicit StartingInvoker(const RecordedEvent& start)
        : started_us(start.time_us),
          duration_us(start.integer(key::slow_start_us)),
          window_us(start.integer(key::window_us)),
          capacity(start.real(key::capacity)),
          cold_share(start.real(key::cold_share)),
          rate_multiple(start.real(key::rate_multiple)),
          mean_run_time_s(start.real(key::mean_run_time_ms) / 1000) {}

    // The work of the last window, as a share of what the invoker bears.
    double load_after_attempt(std::int64_t time_us) {
        attempts.push_back(time_us);
        while (attempts.front() + window_us < time_us) attempts.pop_front();
        const double risen =
            std::min(1.0, static_cast<double>(time_us - started_us) / static_cast<double>(duration_us));
        const double budget_s =
            rate_multiple * capacity * (cold_share + (1 - cold_share) * risen) * static_cast<double>(window_us) / 1e6 +
            slack_runs * mean_run_time_s;
        return static_cast<double>(attempts.size()) * mean_run_time_s / budget_s;
    }
};

void check_attempt(const AuditContext& context, const RecordedEvent& event, StartingInvoker& invoker) {
    if (event.time_us > invoker.started_us + invoker.duration_us + invoker.window_us) return;
    const double load = invoker.load_after_attempt(event.time_us);
    context.verdict.peak_slow_start_load = std::max(context.verdict.peak_slow_start_load, load);
    if (load <= 1 || std::exchange(invoker.reported, true)) return;
    context.report(Rule::slow_start, event.process, event.time_us,
                   fmt::format("{} was sent {:.0f}% of its budget", event.process, load * 100));
}

}  // namespace

void check_slow_start(const AuditContext& context) {
    std::map<std::string, StartingInvoker> starting;
    for (const RecordedEvent& event : context.records.events()) {
        if (event.source != source::invoker) continue;
        if (event.name == event::start) {
            starting.erase(event.process);
            if (event.flag(key::cold)) starting.emplace(event.process, StartingInvoker(event));
        }
        const auto found = starting.find(event.process);
        if (found == starting.end()) continue;
        if (event.name == event::overloaded)
            context.report(Rule::slow_start, event.process, event.time_us, event.process + " failed under its load");
        if (event.name == event::attempt_received) check_attempt(context, event, found->second);
    }
}

}  // namespace plumkeel::emulator
