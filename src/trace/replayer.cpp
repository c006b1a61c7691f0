#include "trace/replayer.hpp"

#include "trace/action_records.hpp"
#include "trace/names.hpp"
#include "trace/replayed_scheduler.hpp"

namespace plumkeel::trace {
namespace {

/// Requests whose paths are kept after a difference; those beyond are not compared.
constexpr std::size_t max_followed_requests = 1'000'000;
/// Requests that a Comparison lists.
constexpr std::size_t max_diverged = 10;

}  // namespace

Replayer::Replayer(StartEdit edit_start, RecordCallback transitions)
    : edit_start_(std::move(edit_start)), transitions_(std::move(transitions)) {}

Replayer::~Replayer() = default;

void Replayer::check_can_be_replayed(const Record& record) const {
    switch (record.type) {
        case RecordType::resumed:
            if (const auto resumed = unpack<Resumed>(record.body); !resumed.derivation.empty())
                throw TraceError("the trace is " + resumed.derivation + ": it cannot be replayed");
            if (!scheduler_) throw TraceError("the trace's first file is missing: it cannot be replayed");
            return;
        case RecordType::sampled_request:
            throw TraceError("the trace holds a sample of the requests: it cannot be replayed");
        case RecordType::gap:
            throw TraceError("records are missing here: the trace can be replayed up to this point only");
        case RecordType::settings:
            return;
        default:
            if (!scheduler_) throw TraceError("the trace's settings are missing: it cannot be replayed");
    }
}

void Replayer::feed(const Record& record) {
    check_can_be_replayed(record);
    if (record.type == RecordType::resumed) return;
    if (record.type == RecordType::settings) {
        if (scheduler_) return;  // repeated by a later file
        SchedulerSettings start = unpack<SchedulerSettings>(record.body);
        if (edit_start_) edit_start_(start);
        scheduler_ =
            std::make_unique<ReplayedScheduler>(start, transitions_ ? TraceDetail::candidates : TraceDetail::none);
        return;
    }
    if (scheduler_->take_non_call(record)) return;
    if (record.type == RecordType::actions)
        compare_actions(record);
    else
        replay_call(record);
}

void Replayer::replay_call(const Record& record) {
    call_ = record;
    replayed_actions_.reset();
    ++comparison_.calls;
    const auto actions = scheduler_->call(record);
    if (record.type == RecordType::submit) ++comparison_.requests;
    if (!actions) return;
    const auto function_number = [&](const Function& function) { return scheduler_->number_of(function); };
    const auto invoker_number = [&](const Invoker& invoker) { return scheduler_->number_of(invoker); };
    ActionsRecord actions_record;
    assign(actions_record, *actions, function_number, invoker_number);
    replayed_actions_ = pack(actions_record);
    for (const StateTransition& each : actions->transitions) {
        TransitionRecord transition;
        assign(transition, each, invoker_number);
        transitions_({record.at, RecordType::transition, each.request->id, pack(transition)});
    }
    scheduler_->release(*actions, record.request);
}

void Replayer::compare_actions(const Record& record) {
    if (replayed_actions_ && *replayed_actions_ == record.body) return;
    ++comparison_.different_calls;
    const auto recorded = unpack<ActionsRecord>(record.body);
    const auto replayed = replayed_actions_ ? unpack<ActionsRecord>(*replayed_actions_) : ActionsRecord{};
    add_paths(recorded, &RequestPaths::recorded);
    add_paths(replayed, &RequestPaths::replayed);
    if (comparison_.first) return;
    comparison_.first = Difference{comparison_.calls, call_, describe(recorded),
                                   replayed_actions_ ? describe(replayed) : "nothing: the call no longer fits"};
}

/// Adds where requests were sent and how they ended by one of two results that differ.
void Replayer::add_paths(const ActionsRecord& actions, std::string RequestPaths::*path) {
    const auto add = [&](std::uint64_t request, const std::string& step) {
        if (paths_.size() >= max_followed_requests && !paths_.count(request)) return;
        std::string& text = paths_[request].*path;
        text += (text.empty() ? "" : ", ") + step;
    };
    for (const auto& sent : actions.to_send) add(sent.request, "to " + scheduler_->name_of_invoker(sent.invoker));
    for (const auto& completed : actions.completed) add(completed.request, std::string(name_of(completed.state)));
}

Comparison Replayer::compare() const {
    Comparison result = comparison_;
    for (const auto& [request, paths] : paths_) {
        if (paths.recorded == paths.replayed) continue;  // the same path at another time
        ++result.different_requests;
        if (result.diverged.size() < max_diverged) result.diverged[request] = paths;
    }
    return result;
}

}  // namespace plumkeel::trace
