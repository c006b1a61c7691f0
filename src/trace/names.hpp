/// \file
/// The words for a trace's values: for people, in the options of the tools, and in exported JSON. A value that only a
/// newer writer knows is "?".
#pragma once

#include <string_view>

#include "scheduler/types.hpp"

namespace plumkeel::trace {

std::string_view name_of(RequestState state);
std::string_view name_of(AttemptOutcome outcome);
std::string_view name_of(LoadEvent event);          ///< A clause; empty for LoadEvent::none.
std::string_view describe(DecisionReason reason);   ///< A clause that explains a decision.
std::string_view describe(ExclusionReason reason);  ///< A clause that explains why an invoker was excluded.

/// The words of exported JSON. Scripts match on them, so they stay as the first version of the export had them.
std::string_view export_name(RequestState state);
std::string_view export_name(AttemptOutcome outcome);

}  // namespace plumkeel::trace
