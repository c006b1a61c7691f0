#include "admission/admission.hpp"

#include <algorithm>
#include <charconv>

namespace plumkeel {

using namespace std::chrono_literals;

namespace {

/// Time after the start of a body before its rate is checked.
constexpr Time body_rate_grace = 2s;
/// Part of a body's transfer time that does not count against its rate.
constexpr double uncounted_body_seconds = 1;

constexpr Time accept_pause_unit = 10ms;
/// The pause doubles with each failed accept, from 20 ms to 160 ms. It stays short because clients in the backlog have
/// deadlines.
constexpr int max_accept_pause_doublings = 4;

bool is_control(unsigned char byte) {
    return byte < 0x20 || byte == 0x7f;
}

}  // namespace

RejectionReason Admission::admit_connection() {
    if (connections_ >= limits_.max_connections) return RejectionReason::too_many_connections;
    ++connections_;
    return RejectionReason::none;
}

void Admission::release_connection() {
    --connections_;
}

RejectionReason Admission::admit_body(std::size_t known_size) const {
    if (closing_) return RejectionReason::closing;
    if (known_size > limits_.max_body_bytes) return RejectionReason::body_too_big;
    if (requests_ >= limits_.max_requests) return RejectionReason::too_many_requests;
    if (reserved_bytes_ + known_size > limits_.max_memory_bytes) return RejectionReason::no_memory;
    return RejectionReason::none;
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

RejectionReason Admission::parse_remaining_time(std::string_view milliseconds, Time& remaining) const {
    if (milliseconds.empty()) {
        if (!limits_.default_remaining_time) return RejectionReason::remaining_time_missing;
        remaining = *limits_.default_remaining_time;
        return RejectionReason::none;
    }
    std::int64_t ms = 0;
    const char* const first = milliseconds.data();
    const char* const last = first + milliseconds.size();
    const auto [end, error] = std::from_chars(first, last, ms);
    if (error != std::errc{} || end != last) return RejectionReason::remaining_time_invalid;
    // Compared in milliseconds, because a client may send a number that overflows in microseconds.
    if (ms > limits_.max_remaining_time / 1ms || std::chrono::milliseconds(ms) < limits_.min_remaining_time)
        return RejectionReason::remaining_time_invalid;
    remaining = std::chrono::milliseconds(ms);
    return RejectionReason::none;
}

RejectionReason Admission::check_name(std::string_view name) const {
    const bool is_valid =
        !name.empty() && name.size() <= limits_.max_name_bytes && std::ranges::none_of(name, is_control);
    return is_valid ? RejectionReason::none : RejectionReason::bad_function;
}

RejectionReason Admission::check_body_rate(Time began_at, Time now, std::size_t bytes) const {
    if (now - began_at < body_rate_grace) return RejectionReason::none;
    const double seconds = std::chrono::duration<double>(now - began_at).count();
    const double min_bytes = static_cast<double>(limits_.min_body_bytes_per_s) * (seconds - uncounted_body_seconds);
    return static_cast<double>(bytes) < min_bytes ? RejectionReason::body_too_slow : RejectionReason::none;
}

Time Admission::accept_pause() {
    count(RejectionReason::no_descriptors);
    failed_accepts_ = std::min(failed_accepts_ + 1, max_accept_pause_doublings);
    return accept_pause_unit * (1 << failed_accepts_);
}

}  // namespace plumkeel
