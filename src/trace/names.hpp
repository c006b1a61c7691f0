// What a trace's values are named, for a person and in the tools' options. A value from a newer writer is "?".
#pragma once

#include <optional>
#include <string_view>

#include "scheduler/types.hpp"

namespace plumkeel::trace {

std::string_view name_of(RequestState state);
std::string_view name_of(AttemptOutcome ending);
std::string_view name_of(LoadEvent note);
std::string_view describe(DecisionReason why);   // a clause: "because ..."
std::string_view describe(ExclusionReason bar);  // a clause: "passed over: ..."

// An outcome by its word, spaces or hyphens alike.
std::optional<RequestState> parse_outcome(std::string_view word);

}  // namespace plumkeel::trace
