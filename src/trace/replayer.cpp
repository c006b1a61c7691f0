#include "trace/replayer.hpp"

#include "trace/action_records.hpp"
#include "trace/names.hpp"
#include "trace/replayed_scheduler.hpp"

namespace plumkeel::trace {
namespace {

/// Bound of the number of requests whose paths are stored and compared, to limit memory use.
constexpr std::size_t max_compared_requests = 1'000'000;
/// Bound of the number of requests in Comparison::diverged.
constexpr std::size_t max_listed_requests = 10;

}  // namespace

Replayer::Replayer(SettingsEdit edit_settings, RecordCallback on_transition)
    : edit_settings_(std::move(edit_settings)), on_transition_(std::move(on_transition)) {}

Replayer::~Replayer() = default;

void Replayer::check_can_be_replayed(const Record& record) const {
    switch (record.type) {
        case RecordType::resumed:
            if (const auto resumed = unpack<Resumed>(record.body); !resumed.derivation.empty())
                throw TraceError("cannot replay a derived trace (" + resumed.derivation + ")");
            if (!replayed_scheduler_) throw TraceError("cannot replay the trace: its first file is missing");
            return;
        case RecordType::sampled_request:
            throw TraceError("cannot replay the trace: it contains only a sample of the requests");
        case RecordType::gap:
            throw TraceError("cannot replay the trace beyond this point: records are missing");
        case RecordType::settings:
            return;
        default:
            if (!replayed_scheduler_) throw TraceError("cannot replay the trace: its settings record is missing");
    }
}

void Replayer::feed(const Record& record) {
    check_can_be_replayed(record);
    if (record.type == RecordType::resumed) return;
    if (record.type == RecordType::settings) {
        if (replayed_scheduler_) return;  // a later file repeats the settings
        SchedulerSettings scheduler_settings = unpack<SchedulerSettings>(record.body);
        if (edit_settings_) edit_settings_(scheduler_settings);
        replayed_scheduler_ = std::make_unique<ReplayedScheduler>(
            scheduler_settings, on_transition_ ? TraceDetail::candidates : TraceDetail::none);
        return;
    }
    if (replayed_scheduler_->consume_non_call(record)) return;
    if (record.type == RecordType::actions)
        compare_actions(record);
    else
        replay_call(record);
}

void Replayer::replay_call(const Record& record) {
    last_call_ = record;
    replayed_actions_.reset();
    ++comparison_.calls;
    const auto actions = replayed_scheduler_->call(record);
    if (record.type == RecordType::submit) ++comparison_.requests;
    if (!actions) return;
    const auto function_number = [&](const Function& function) { return replayed_scheduler_->number_of(function); };
    const auto invoker_number = [&](const Invoker& invoker) { return replayed_scheduler_->number_of(invoker); };
    ActionsRecord actions_record;
    assign(actions_record, *actions, function_number, invoker_number);
    replayed_actions_ = pack(actions_record);
    for (const StateTransition& each : actions->transitions) {
        TransitionRecord transition;
        assign(transition, each, invoker_number);
        on_transition_({record.at, RecordType::transition, each.request->id, pack(transition)});
    }
    replayed_scheduler_->release(*actions, record.request);
}

void Replayer::compare_actions(const Record& record) {
    if (replayed_actions_ && *replayed_actions_ == record.body) return;
    ++comparison_.different_calls;
    const auto recorded = unpack<ActionsRecord>(record.body);
    const auto replayed = replayed_actions_ ? unpack<ActionsRecord>(*replayed_actions_) : ActionsRecord{};
    add_paths(recorded, &RequestPaths::recorded);
    add_paths(replayed, &RequestPaths::replayed);
    if (comparison_.first) return;
    comparison_.first =
        Difference{comparison_.calls, last_call_, describe(recorded),
                   replayed_actions_ ? describe(replayed)
                                     : "no result: the attempt or request of this call does not exist in the replay"};
}

/// Appends the sent attempts and outcomes in `actions` to one of the two paths of each request concerned.
void Replayer::add_paths(const ActionsRecord& actions, std::string RequestPaths::*path) {
    const auto add = [&](std::uint64_t request, const std::string& step) {
        if (paths_.size() >= max_compared_requests && !paths_.count(request)) return;
        std::string& text = paths_[request].*path;
        text += (text.empty() ? "" : ", ") + step;
    };
    for (const auto& sent : actions.to_send) add(sent.request, "to " + replayed_scheduler_->invoker_name(sent.invoker));
    for (const auto& completed : actions.completed) add(completed.request, std::string(name_of(completed.state)));
}

Comparison Replayer::compare() const {
    Comparison result = comparison_;
    for (const auto& [request, paths] : paths_) {
        if (paths.recorded == paths.replayed) continue;  // only the times differ
        ++result.different_requests;
        if (result.diverged.size() < max_listed_requests) result.diverged[request] = paths;
    }
    return result;
}

}  // namespace plumkeel::trace
