#include "remote_write/export_event.hpp"

namespace plumkeel::remote_write {

std::string_view to_string(ExportEvent event) {
    switch (event) {
        case ExportEvent::receiver_accepting:
            return "receiver_accepting";
        case ExportEvent::receiver_unavailable:
            return "receiver_unavailable";
        case ExportEvent::receiver_rejecting:
            return "receiver_rejecting";
        case ExportEvent::receiver_unresponsive:
            return "receiver_unresponsive";
        case ExportEvent::queue_failed:
            return "queue_failed";
        case ExportEvent::queue_recovered:
            return "queue_recovered";
    }
    return "unknown";
}

}  // namespace plumkeel::remote_write
