/// Changes in the state of remote write that an operator should know of.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace plumkeel::remote_write {

enum class ExportEvent {
    receiver_accepting,     ///< a receiver accepts samples again
    receiver_unavailable,   ///< a receiver asks to retry (status 5xx or 429)
    receiver_rejecting,     ///< a receiver rejects samples for good (another status); they are lost to it
    receiver_unresponsive,  ///< no response, or no connection
    queue_failed,           ///< the disk does not store the queue
    queue_recovered,        ///< the disk stores the queue again
};

/// The event's name in the log.
std::string_view to_string(ExportEvent event);

/// Invoked once for each change of state; `detail` is for a person to read.
using ExportListener = std::function<void(ExportEvent event, const std::string& detail)>;

}  // namespace plumkeel::remote_write
