#include "trace_analysis/clock_offset.hpp"

#include <algorithm>
#include <compare>
#include <map>
#include <optional>
#include <unordered_map>

#include "trace_analysis/endpoint_diff.hpp"

namespace plumkeel::trace_analysis {
namespace {

/// Connections to an invoker that are lost within this time of each other count as one failure.
constexpr Time same_failure_window = std::chrono::seconds(2);
/// Assumed maximum offset between two clocks.
constexpr Time max_offset = std::chrono::seconds(5);
/// Maximum range of the time differences that support the same offset.
constexpr Time cluster_width = std::chrono::milliseconds(100);
constexpr std::size_t min_cluster_size = 3;
/// Bound of the memory allocated for the attempts of a request; only malformed traces have higher attempt numbers.
constexpr std::uint64_t max_attempt_number = 1000;

/// An event that several controllers may have recorded.
struct SharedEvent {
    std::optional<EndpointChangeType> change;  // absent if connections to the invoker were lost
    std::string invoker;

    auto operator<=>(const SharedEvent&) const = default;
};

using EventTimes = std::map<SharedEvent, std::vector<Time>>;  // times of each event, since the Unix epoch

class SharedEventCollector {
public:
    explicit SharedEventCollector(Time start_time) : start_time_(start_time) {}

    void feed(const Record& record) {
        if (names_.feed(record)) return;
        if (record.type != trace::sampled_request) return process_record(record);
        for (const trace::NestedRecord& each : trace::unpack<trace::SampledRequest>(record.body).records)
            process_record({each.at, each.type, record.request, each.body});
    }
    EventTimes take_events() { return std::move(events_); }

private:
    void process_record(const Record& record) {
        if (record.type == trace::transition)
            on_transition(record);
        else if (record.type == trace::attempt_ended)
            on_attempt_ended(record);
        else if (record.type == trace::endpoints_changed)
            on_endpoints_changed(record);
    }

    void on_transition(const Record& record) {
        const auto transition = trace::unpack<trace::TransitionRecord>(record.body);
        if (transition.sent) {
            auto& invokers = attempt_invokers_[record.request];
            const auto number = std::min<std::uint64_t>(transition.sent->attempt, max_attempt_number);
            invokers.resize(std::max<std::size_t>(invokers.size(), number + 1));
            invokers[number] = names_.invoker(transition.sent->invoker);
        } else if (transition.to >= RequestState::succeeded) {
            attempt_invokers_.erase(record.request);
        }
    }

    void on_attempt_ended(const Record& record) {
        const auto ended = trace::unpack<trace::AttemptEnded>(record.body);
        const bool connection_lost = ended.outcome == AttemptOutcome::connection_lost;
        if (!connection_lost && ended.outcome != AttemptOutcome::unreachable) return;
        const auto request = attempt_invokers_.find(record.request);
        if (request == attempt_invokers_.end() || ended.attempt >= request->second.size()) return;
        const std::string& invoker = request->second[ended.attempt];
        const auto last = last_failure_.find(invoker);
        const bool is_new_failure = last == last_failure_.end() || record.at - last->second > same_failure_window;
        if (connection_lost && is_new_failure) events_[{std::nullopt, invoker}].push_back(start_time_ + record.at);
        last_failure_[invoker] = record.at;
    }

    void on_endpoints_changed(const Record& record) {
        for (const EndpointChange& change :
             endpoints_.feed(trace::unpack<trace::EndpointsChanged>(record.body), names_))
            events_[{change.type, change.invoker}].push_back(start_time_ + record.at);
    }

    const Time start_time_;
    EventTimes events_;
    std::map<std::string, Time> last_failure_;  // time of the last lost connection, by invoker
    EndpointDiff endpoints_;
    NameTable names_{true};
    std::unordered_map<std::uint64_t, std::vector<std::string>>
        attempt_invokers_;  // invoker by open request and attempt number
};

EventTimes collect_events(ControllerTrace& trace) {
    SharedEventCollector collector(trace.start_time());
    trace.rewind();
    while (const auto record = trace.next()) collector.feed(*record);
    return collector.take_events();
}

Time median(std::vector<Time>& values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Returns the offset that most time differences support, as the differences of unrelated events are scattered.
/// Returns nothing if fewer than min_cluster_size differences are close together.
std::optional<ClockOffset> largest_cluster(std::vector<Time> differences) {
    std::sort(differences.begin(), differences.end());
    std::size_t best_begin = 0, best_size = 0;
    for (std::size_t begin = 0, end = 0; begin < differences.size(); ++begin) {
        while (end < differences.size() && differences[end] - differences[begin] <= cluster_width) ++end;
        const std::size_t size = end - begin;
        const bool is_smaller_offset =
            best_size > 0 && std::chrono::abs(differences[begin]) < std::chrono::abs(differences[best_begin]);
        if (size < best_size || (size == best_size && !is_smaller_offset)) continue;
        best_begin = begin;
        best_size = size;
    }
    if (best_size < min_cluster_size) return {};
    const auto first = differences.begin() + static_cast<std::ptrdiff_t>(best_begin);
    std::vector<Time> cluster(first, first + static_cast<std::ptrdiff_t>(best_size));
    ClockOffset result{median(cluster), best_size, {}};
    for (Time& each : cluster) each = std::chrono::abs(each - result.offset);
    result.deviation = median(cluster);
    return result;
}

/// Returns all differences of at most max_offset between the times of equal events.
std::vector<Time> differences_between(const EventTimes& reference, const EventTimes& other) {
    std::vector<Time> differences;
    for (const auto& [event, times] : other) {
        const auto it = reference.find(event);
        if (it == reference.end()) continue;
        for (const Time reference_time : it->second)
            for (const Time time : times)
                if (std::chrono::abs(reference_time - time) <= max_offset) differences.push_back(reference_time - time);
    }
    return differences;
}

}  // namespace

std::vector<ClockOffset> estimate_offsets(const std::vector<ControllerTrace*>& traces) {
    std::vector<ClockOffset> offsets(traces.size());
    if (traces.size() < 2) return offsets;
    EventTimes aligned_events =
        collect_events(*traces.front());  // with corrected times, of the controllers with a known offset
    for (std::size_t i = 1; i < traces.size(); ++i) {
        const EventTimes events = collect_events(*traces[i]);
        const auto found = largest_cluster(differences_between(aligned_events, events));
        if (!found) continue;
        offsets[i] = *found;
        for (const auto& [event, times] : events)
            for (const Time time : times) aligned_events[event].push_back(time + found->offset);
    }
    return offsets;
}

}  // namespace plumkeel::trace_analysis
