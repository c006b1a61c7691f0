/// \file
/// Names of the enumerators stored in a trace, for text output, command line options and exported JSON. An unknown
/// value is named "?".
#pragma once

#include <string_view>

#include "scheduler/types.hpp"

namespace plumkeel::trace {

std::string_view name_of(RequestState state);
std::string_view name_of(AttemptOutcome outcome);
std::string_view name_of(LoadEvent event);          ///< Clause for text output; empty for LoadEvent::none.
std::string_view describe(DecisionReason reason);   ///< Clause that explains a scheduling decision.
std::string_view describe(ExclusionReason reason);  ///< Clause that explains why an invoker was excluded.

/// Names in exported JSON. They are a stable interface for scripts and differ from the names in text output.
std::string_view export_name(RequestState state);
std::string_view export_name(AttemptOutcome outcome);

}  // namespace plumkeel::trace
