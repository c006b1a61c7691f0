/// Changes in the state of remote write that are reported to the operator.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace plumkeel::remote_write {

enum class ExportEvent {
    receiver_accepting,     ///< a receiver accepts samples again
    receiver_unavailable,   ///< a receiver responds with status 5xx or 429; the batch is sent again
    receiver_rejecting,     ///< a receiver responds with another error status; the batch is not sent again
    receiver_unresponsive,  ///< a receiver can't be connected to or does not respond
    queue_failed,           ///< the queue can't be written to disk
    queue_recovered,        ///< the queue can be written to disk again
};

/// Returns the name of the event in the log.
std::string_view to_string(ExportEvent event);

/// Invoked once for each change of state; `detail` is text for the operator.
using ExportListener = std::function<void(ExportEvent event, const std::string& detail)>;

}  // namespace plumkeel::remote_write
