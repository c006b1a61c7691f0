#include "admission/admission.hpp"

#include <algorithm>
#include <charconv>

namespace plumkeel {

using namespace std::chrono_literals;

namespace {

constexpr Told answers[] = {
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
static_assert(std::size(answers) == static_cast<std::size_t>(Objection::count_));

constexpr Time pace_grace = 2s;

}  // namespace

const Told& told(Objection objection) {
    return answers[static_cast<std::size_t>(objection)];
}

Objection Admission::connection_came() {
    if (connections_ >= rules_.connections) return Objection::too_many_connections;
    ++connections_;
    return Objection::none;
}

void Admission::connection_left() {
    --connections_;
}

Objection Admission::head_read(std::size_t known) const {
    if (closing_) return Objection::closing;
    if (known > rules_.body_bytes) return Objection::body_too_big;
    if (jobs_ >= rules_.open_jobs) return Objection::too_many_jobs;
    if (held_ + known > rules_.memory_bytes) return Objection::no_memory;
    return Objection::none;
}

Objection Admission::time_left(std::string_view digits, Time& left) const {
    if (digits.empty()) {
        if (!rules_.assumed_left) return Objection::time_left_absent;
        left = *rules_.assumed_left;
        return Objection::none;
    }
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), ms);
    if (error != std::errc{} || end != digits.data() + digits.size()) return Objection::time_left_absurd;
    // Compared in milliseconds: what a client says may not fit into microseconds.
    if (ms > rules_.longest_left / 1ms || std::chrono::milliseconds(ms) < rules_.shortest_left)
        return Objection::time_left_absurd;
    left = std::chrono::milliseconds(ms);
    return Objection::none;
}

Objection Admission::name(std::string_view text) const {
    const bool odd = std::any_of(text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c == 0x7f; });
    return text.empty() || text.size() > rules_.name_bytes || odd ? Objection::bad_function : Objection::none;
}

Objection Admission::hold(std::size_t bytes) {
    if (held_ + bytes > rules_.memory_bytes) return Objection::no_memory;
    held_ += bytes;
    return Objection::none;
}

void Admission::let_go(std::size_t bytes) {
    held_ -= std::min(bytes, held_);
}

Objection Admission::job_came() {
    if (closing_) return Objection::closing;
    if (jobs_ >= rules_.open_jobs) return Objection::too_many_jobs;
    ++jobs_;
    return Objection::none;
}

void Admission::job_left() {
    --jobs_;
}

Objection Admission::pace(Time since, Time now, std::size_t got) const {
    if (now - since < pace_grace) return Objection::none;
    const double seconds = std::chrono::duration<double>(now - since).count();
    return static_cast<double>(got) < static_cast<double>(rules_.least_rate) * (seconds - 1)
               ? Objection::body_too_slow
               : Objection::none;
}

// To 160 ms: who waits in the backlog has a deadline, and a try in vain costs little.
Time Admission::accept_pause() {
    count(Objection::no_descriptors);
    short_of_ = std::min(short_of_ + 1, 4);
    return 10ms * (1 << short_of_);
}

}  // namespace plumkeel
