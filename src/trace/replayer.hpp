/// \file
/// Replays a trace: passes the recorded calls to a new Scheduler and compares its results with the recorded results.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "trace/recording_scheduler.hpp"

namespace plumkeel::trace {

/// A call whose replayed result differs from the recorded one.
struct Difference {
    std::uint64_t call{};  ///< Number of the call in the trace, starting at 1.
    Record record;
    std::string recorded, replayed;  ///< Descriptions of the results.
};

/// Where a request was sent and how it ended, as text, in the recorded and in the replayed calls whose results differ.
struct RequestPaths {
    std::string recorded, replayed;
};

struct Comparison {
    std::uint64_t calls{}, requests{};
    std::optional<Difference> first;
    std::uint64_t different_calls{};
    std::uint64_t different_requests{};              ///< Requests with different RequestPaths.
    std::map<std::uint64_t, RequestPaths> diverged;  ///< Some of the different requests, by number.
};

/// After the first difference, recorded calls may concern attempts or requests that do not exist in the replay. Such
/// calls are skipped, and the comparison continues.
class Replayer {
public:
    using SettingsEdit = std::function<void(SchedulerSettings&)>;

    /// `edit_settings` may modify the settings before the scheduler is created. `on_transition` receives every state
    /// transition of the replayed scheduler as a record, with all candidates.
    explicit Replayer(SettingsEdit edit_settings = {}, RecordCallback on_transition = {});
    ~Replayer();

    /// Processes the next record of a trace. Throws TraceError if the trace cannot be replayed from this record on.
    void feed(const Record& record);
    Comparison compare() const;

private:
    class ReplayedScheduler;
    void check_can_be_replayed(const Record& record) const;
    void replay_call(const Record& record);
    void compare_actions(const Record& record);
    void add_paths(const ActionsRecord& actions, std::string RequestPaths::*path);

    const SettingsEdit edit_settings_;
    const RecordCallback on_transition_;
    std::unique_ptr<ReplayedScheduler> replayed_scheduler_;  // created by the settings record
    Record last_call_;                                       // the record of the last replayed call
    std::optional<std::string> replayed_actions_;            // encoded result of last_call_; nothing if it was skipped
    std::map<std::uint64_t, RequestPaths> paths_;
    Comparison comparison_;
};

}  // namespace plumkeel::trace
