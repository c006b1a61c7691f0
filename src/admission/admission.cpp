#include "admission/admission.hpp"

#include <algorithm>
#include <charconv>

namespace plumkeel {

using namespace std::chrono_literals;

namespace {

constexpr RejectionResponse answers[] = {
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
static_assert(std::size(answers) == static_cast<std::size_t>(RejectionReason::count_));

constexpr Time pace_grace = 2s;

}  // namespace

const RejectionResponse& response_for(RejectionReason objection) {
    return answers[static_cast<std::size_t>(objection)];
}

RejectionReason Admission::admit_connection() {
    if (connections_ >= limits_.max_connections) return RejectionReason::too_many_connections;
    ++connections_;
    return RejectionReason::none;
}

void Admission::release_connection() {
    --connections_;
}

RejectionReason Admission::admit_body(std::size_t known) const {
    if (closing_) return RejectionReason::closing;
    if (known > limits_.max_body_bytes) return RejectionReason::body_too_big;
    if (requests_ >= limits_.max_requests) return RejectionReason::too_many_requests;
    if (reserved_bytes_ + known > limits_.max_memory_bytes) return RejectionReason::no_memory;
    return RejectionReason::none;
}

RejectionReason Admission::parse_remaining(std::string_view digits, Time& left) const {
    if (digits.empty()) {
        if (!limits_.default_remaining) return RejectionReason::remaining_missing;
        left = *limits_.default_remaining;
        return RejectionReason::none;
    }
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), ms);
    if (error != std::errc{} || end != digits.data() + digits.size()) return RejectionReason::remaining_invalid;
    // Compared in milliseconds: what a client says may not fit into microseconds.
    if (ms > limits_.max_remaining / 1ms || std::chrono::milliseconds(ms) < limits_.min_remaining)
        return RejectionReason::remaining_invalid;
    left = std::chrono::milliseconds(ms);
    return RejectionReason::none;
}

RejectionReason Admission::check_name(std::string_view text) const {
    const bool odd = std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
    return text.empty() || text.size() > limits_.max_name_bytes || odd ? RejectionReason::bad_function
                                                                       : RejectionReason::none;
}

RejectionReason Admission::reserve(std::size_t bytes) {
    if (reserved_bytes_ + bytes > limits_.max_memory_bytes) return RejectionReason::no_memory;
    reserved_bytes_ += bytes;
    return RejectionReason::none;
}

void Admission::release(std::size_t bytes) {
    reserved_bytes_ -= std::min(bytes, reserved_bytes_);
}

RejectionReason Admission::admit_request() {
    if (closing_) return RejectionReason::closing;
    if (requests_ >= limits_.max_requests) return RejectionReason::too_many_requests;
    ++requests_;
    return RejectionReason::none;
}

void Admission::release_request() {
    --requests_;
}

RejectionReason Admission::check_body_rate(Time since, Time now, std::size_t got) const {
    if (now - since < pace_grace) return RejectionReason::none;
    const double seconds = std::chrono::duration<double>(now - since).count();
    return static_cast<double>(got) < static_cast<double>(limits_.min_body_rate) * (seconds - 1)
               ? RejectionReason::body_too_slow
               : RejectionReason::none;
}

// To 160 ms: who waits in the backlog has a deadline, and a try in vain costs little.
Time Admission::accept_pause() {
    count(RejectionReason::no_descriptors);
    failed_accepts_ = std::min(failed_accepts_ + 1, 4);
    return 10ms * (1 << failed_accepts_);
}

}  // namespace plumkeel
