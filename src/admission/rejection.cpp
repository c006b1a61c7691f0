#include "admission/rejection.hpp"

#include <cstddef>
#include <iterator>

namespace plumkeel {

namespace {

/// Indexed by RejectionReason.
constexpr RejectionResponse responses[] = {
    {200, "none", "", false},
    {400, "malformed", "not HTTP/1.1 as this door reads it", false},
    {431, "head_too_big", "the head is over its limit", false},
    {408, "head_too_slow", "the head did not come in time", false},
    {404, "no_such_path", "nothing here goes by that path and method", false},
    {400, "no_such_use_case", "plumkeel-use-case names none of the settings", false},
    {400, "bad_function", "the function's name is empty, too long or holds control bytes", false},
    {400, "bad_field", "a plumkeel field can't be read", false},
    {400, "mark_missing", "a referenced job needs plumkeel-mark", false},
    {400, "time_left_absent", "plumkeel-time-left is missing", false},
    {400, "time_left_absurd", "plumkeel-time-left is no sensible number of milliseconds", false},
    {503, "no_time_left", "no time is left for an answer", false},
    {413, "body_too_big", "the body is over its limit", false},
    {408, "body_too_slow", "the body came too slowly", false},
    {503, "too_many_jobs", "too many jobs are open", true},
    {503, "no_memory", "the memory for open jobs is used up", true},
    {503, "too_many_connections", "too many connections are open", true},
    {503, "no_descriptors", "no descriptor is left", true},
    {408, "unread_answer", "the answer was not read", false},
    {503, "closing", "this controller takes no more jobs", true},
};
static_assert(std::size(responses) == rejection_reason_count);

}  // namespace

const RejectionResponse& response_for(RejectionReason reason) {
    return responses[static_cast<std::size_t>(reason)];
}

}  // namespace plumkeel
