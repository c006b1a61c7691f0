#include <fmt/format.h>

#include <algorithm>
#include <deque>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

constexpr double allowed_extra_runs = 3;  // runs of mean length that a window may hold beyond its budget

/// An invoker in slow start: the capacity that it recorded when it started, and the attempts that it received.
struct StartingInvoker {
    std::int64_t started_us{}, duration_us{}, window_us{};
    double capacity{}, cold_share{}, rate_multiple{}, mean_run_time_s{};
    std::deque<std::int64_t> attempts;  // times of receipt within the last window, in microseconds
    bool is_reported{};

    explicit StartingInvoker(const RecordedEvent& start)
        : started_us(start.time_us),
          duration_us(start.integer(key::slow_start_us)),
          window_us(start.integer(key::window_us)),
          capacity(start.real(key::capacity)),
          cold_share(start.real(key::cold_share)),
          rate_multiple(start.real(key::rate_multiple)),
          mean_run_time_s(start.real(key::mean_run_time_ms) / 1000) {}

    // Adds an attempt. Returns the run time of all attempts in the window that ends now, as a share of the run time
    // that the slow start budget allows.
    double load_after_attempt(std::int64_t time_us) {
        attempts.push_back(time_us);
        while (attempts.front() + window_us < time_us) attempts.pop_front();
        const double elapsed_share =
            std::min(1.0, static_cast<double>(time_us - started_us) / static_cast<double>(duration_us));
        const double budget_s = rate_multiple * capacity * (cold_share + (1 - cold_share) * elapsed_share) *
                                    static_cast<double>(window_us) / 1e6 +
                                allowed_extra_runs * mean_run_time_s;
        return static_cast<double>(attempts.size()) * mean_run_time_s / budget_s;
    }
};

void check_attempt(const AuditContext& context, const RecordedEvent& event, StartingInvoker& invoker) {
    if (event.time_us > invoker.started_us + invoker.duration_us + invoker.window_us) return;
    const double load = invoker.load_after_attempt(event.time_us);
    context.verdict.peak_slow_start_load = std::max(context.verdict.peak_slow_start_load, load);
    if (load <= 1 || std::exchange(invoker.is_reported, true)) return;
    context.report(Rule::slow_start, event.process, event.time_us,
                   fmt::format("{} was sent {:.0f}% of its slow start budget", event.process, load * 100));
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
            context.report(Rule::slow_start, event.process, event.time_us,
                           event.process + " failed because it was overloaded");
        if (event.name == event::attempt_received) check_attempt(context, event, found->second);
    }
}

}  // namespace plumkeel::emulator
