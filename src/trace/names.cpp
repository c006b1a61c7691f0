#include "trace/names.hpp"

#include <iterator>
#include <string>

namespace plumkeel::trace {
namespace {

template <class T, std::size_t n>
std::string_view pick(const std::string_view (&words)[n], T value) {
    const auto at = static_cast<std::size_t>(value);
    return at < n ? words[at] : "?";
}

constexpr std::string_view states[] = {"fresh",    "hopping", "parked",      "streaming",
                                       "honoured", "bounced", "written off", "abandoned"};
constexpr std::string_view endings[] = {"honoured",   "errored", "turned away", "unreachable", "never sent",
                                        "not loaded", "overdue", "cut off",     "called off"};
constexpr std::string_view notes[] = {"", "on a copy that stood there", "after a load that it began",
                                      "after a load that it joined", "its load broke"};
constexpr std::string_view whys[] = {
    "",
    "of those weighed it would answer first, or nearly so",
    "all that hold the function are crowded, and this one is calm: it loads a further copy",
    "its invoker does not answer",
    "no invoker may be sent it now",
    "it would be late only for the jobs ahead of it",
    "its function's one load is out",
    "all lanes of the function's copies are taken",
    "a copy of its function was ordered",
    "the ration of loads is used up, or nothing may be loaded on demand",
    "its hop came back without having run: it waits for the next resend",
    "it has had all the hops that it may have",
    "too many jobs are parked",
    "it was parked for as long as any job may be",
    "its time is up",
    "it may have run, and may not run again anywhere",
    "its answer came",
    "its answer has begun",
    "its answer was cut short, and part of it was passed on",
    "its client left",
};
constexpr std::string_view bars[] = {
    "",
    "not ready, or draining",
    "cold: its budget of jobs is used up",
    "doubted: it was silent or broke off",
    "coming back: it has as many as it is eased in with",
    "the job may not run there, having been sent out before",
    "it turned a job away just now",
    "it had no room for a new copy just now",
};

}  // namespace

std::string_view name_of(RequestState state) {
    return pick(states, state);
}
std::string_view name_of(AttemptOutcome ending) {
    return pick(endings, ending);
}
std::string_view name_of(LoadEvent note) {
    return pick(notes, note);
}
std::string_view describe(DecisionReason why) {
    return pick(whys, why);
}
std::string_view describe(ExclusionReason bar) {
    return pick(bars, bar);
}

std::optional<RequestState> parse_outcome(std::string_view word) {
    std::string plain(word);
    for (char& c : plain)
        if (c == '-') c = ' ';
    for (std::size_t i = 0; i < std::size(states); ++i)
        if (states[i] == plain && static_cast<RequestState>(i) >= RequestState::succeeded)
            return static_cast<RequestState>(i);
    return {};
}

}  // namespace plumkeel::trace
