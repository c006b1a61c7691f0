/// \file
/// Replays a trace: feeds the recorded calls to a new Scheduler and compares its results with those recorded.
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
    std::uint64_t call{};  ///< Its position among the calls of the trace, from 1.
    Record record;
    std::string recorded, replayed;  ///< The results in words.
};

/// Where a request was sent and how it ended, in words, by the recorded and by the replayed results that differ.
struct RequestPaths {
    std::string recorded, replayed;
};

struct Comparison {
    std::uint64_t calls{}, requests{};
    std::optional<Difference> first;
    std::uint64_t different_calls{};
    std::uint64_t different_requests{};              ///< Requests that were sent elsewhere or ended otherwise.
    std::map<std::uint64_t, RequestPaths> diverged;  ///< The first few of these, by request.
};

/// After the first difference the recorded calls may no longer fit the replayed state. A call that concerns an attempt
/// or request which does not exist there is skipped; the requests' paths are compared all the same.
class Replayer {
public:
    using StartEdit = std::function<void(SchedulerSettings&)>;

    /// `edit_start` may alter what the scheduler is given at its start. `transitions` receives every transition of the
    /// replayed scheduler as a record, with all candidates.
    explicit Replayer(StartEdit edit_start = {}, RecordCallback transitions = {});
    ~Replayer();

    /// Takes the records of a trace in order. Throws TraceError if the trace, or the part from here on, cannot be
    /// replayed.
    void feed(const Record& record);
    Comparison compare() const;

private:
    class ReplayedScheduler;
    void check_can_be_replayed(const Record& record) const;
    void replay_call(const Record& record);
    void compare_actions(const Record& record);
    void add_paths(const ActionsRecord& actions, std::string RequestPaths::*path);

    const StartEdit edit_start_;
    const RecordCallback transitions_;
    std::unique_ptr<ReplayedScheduler> scheduler_;  // from the settings record on
    Record call_;                                   // the last one
    std::optional<std::string> replayed_actions_;   // what it gave now, packed; nothing if it no longer fits
    std::map<std::uint64_t, RequestPaths> paths_;
    Comparison comparison_;
};

}  // namespace plumkeel::trace
