/// Events contained in the platform configuration (its `known` object), so that a controller has a list of endpoints
/// before the watch is connected.
#pragma once

#include <vector>

#include "discovery/watch_event.hpp"
#include "platform_settings/fields.hpp"

namespace plumkeel::discovery {

/// Decodes `known`; throws `platform_settings::SettingsError` naming the field if one is invalid.
std::vector<WatchEvent> parse_initial_events(const platform_settings::json& known);

}  // namespace plumkeel::discovery
