#include "soak/run.hpp"

#include <algorithm>
#include <filesystem>

#include "soak/controller_set.hpp"
#include "soak/fault_schedule.hpp"
#include "soak/fleet.hpp"
#include "soak/run_context.hpp"

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using net::Time;

constexpr Time first_fault_delay = 1500ms;
constexpr Time termination_delay_after_faults = 4s;  // time for controllers to recover after the end of faults
constexpr Time end_delay_after_faults = 10s;         // time for the last answers after the end of faults
// The duration and the window are in microseconds.
constexpr SlowStartRule slow_start_rule{0.16, 2.0, 6'000'000, 2'000'000};

class SoakRun {
public:
    explicit SoakRun(const RunOptions& options)
        : context_(options), fleet_(context_), controllers_(context_, fleet_), faults_(context_, fleet_, controllers_) {
        context_.history.slow_start = slow_start_rule;
    }

    RunResult run() {
        fleet_.start();
        controllers_.start_all();
        context_.call_after(first_fault_delay, [this] { faults_.start_next(); });
        context_.call_after(std::chrono::seconds(context_.options.fault_seconds), [this] { wind_down(); });
        controllers_.poll();
        context_.loop.run();
        return result();
    }

private:
    // Ends all faults, and schedules the termination of the controllers and the end of the run.
    void wind_down() {
        context_.winding_down = true;
        fleet_.clear_faults();
        controllers_.clear_faults();
        context_.call_after(termination_delay_after_faults, [this] { controllers_.terminate_all(); });
        context_.call_after(end_delay_after_faults, [this] { context_.loop.stop(); });
    }

    RunResult result() {
        RunResult result;
        result.failed_call_counts = controllers_.finish();
        fleet_.stop();
        for (const auto& entry : std::filesystem::directory_iterator(context_.options.folder))
            if (entry.path().extension() == ".events")
                for (const Event& event : read_events(entry.path())) context_.history.events.push_back(event);
        result.verdict = judge(context_.history);
        result.fault_counts = faults_.counts();
        result.restarts = controllers_.restarts();
        for (const Pause& pause : context_.history.client_pauses)
            result.longest_client_pause_ms =
                std::max(result.longest_client_pause_ms, (pause.to_us - pause.from_us) / 1000);
        return result;
    }

    RunContext context_;
    Fleet fleet_;
    ControllerSet controllers_;
    FaultSchedule faults_;
};

}  // namespace

RunResult run(const RunOptions& options) {
    std::filesystem::remove_all(options.folder);
    std::filesystem::create_directories(options.folder);
    return SoakRun(options).run();
}

}  // namespace plumkeel::soak
