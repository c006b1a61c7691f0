#include "trace/names.hpp"

#include <cstddef>

namespace plumkeel::trace {
namespace {

// Each table is indexed by the values of an enumeration in scheduler/types.hpp.
constexpr std::string_view state_names[] = {"received",  "in flight", "parked", "streaming",
                                            "succeeded", "rejected",  "failed", "cancelled"};
constexpr std::string_view state_export_names[] = {"fresh",    "hopping", "parked",      "streaming",
                                                   "honoured", "bounced", "written off", "abandoned"};
constexpr std::string_view outcome_names[] = {"succeeded",   "failed",          "rejected",
                                              "unreachable", "never sent",      "load failed",
                                              "timed out",   "connection lost", "cancelled"};
constexpr std::string_view outcome_export_names[] = {"honoured",    "errored",    "turned away",
                                                     "unreachable", "never sent", "not loaded",
                                                     "overdue",     "cut off",    "called off"};
constexpr std::string_view load_event_names[] = {"", "on a loaded copy", "after a load that it started",
                                                 "after a load that it joined", "its load failed"};
constexpr std::string_view decision_reasons[] = {
    "",
    "it was estimated to respond first, or nearly so",
    "all invokers that hold the function are loaded, and this one is not: it loads a further copy",
    "its invoker does not respond",
    "no invoker is eligible",
    "it would miss its latency target only because of requests ahead of it",
    "the one allowed load of its function is in progress",
    "all copies of its function are at their concurrency limit",
    "a preload of its function was sent",
    "the load budget is exhausted, or on-demand loading is disabled",
    "its attempt ended without having run: it waits for the next retry",
    "it has used all its attempts",
    "too many requests are parked",
    "it was parked for the longest time allowed",
    "its deadline has passed",
    "it may have run, and must not run again anywhere",
    "its response arrived",
    "its response has started",
    "its response was interrupted after a part was forwarded",
    "its client disconnected",
};
constexpr std::string_view exclusion_reasons[] = {
    "",
    "not ready, or draining",
    "slow start: its request budget is used up",
    "unhealthy: it did not respond or its connection broke",
    "recovering: it has as many requests as allowed until it is healthy",
    "the request must not run there, after its earlier attempts",
    "it rejected a request just now",
    "it had no capacity for a new copy just now",
};

template <class T, std::size_t size>
std::string_view name_or_unknown(const std::string_view (&names)[size], T value) {
    const auto index = static_cast<std::size_t>(value);
    return index < size ? names[index] : "?";
}

}  // namespace

std::string_view name_of(RequestState state) {
    return name_or_unknown(state_names, state);
}
std::string_view name_of(AttemptOutcome outcome) {
    return name_or_unknown(outcome_names, outcome);
}
std::string_view name_of(LoadEvent event) {
    return name_or_unknown(load_event_names, event);
}
std::string_view describe(DecisionReason reason) {
    return name_or_unknown(decision_reasons, reason);
}
std::string_view describe(ExclusionReason reason) {
    return name_or_unknown(exclusion_reasons, reason);
}
std::string_view export_name(RequestState state) {
    return name_or_unknown(state_export_names, state);
}
std::string_view export_name(AttemptOutcome outcome) {
    return name_or_unknown(outcome_export_names, outcome);
}

}  // namespace plumkeel::trace
