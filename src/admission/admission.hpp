// What the door lets in: limits on connections, open jobs, sizes, memory and slowness, and what a sender is
// told. Free of I/O, clocks and threads; the gateway asks and carries out. Each limit has its word and count.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace plumkeel {

using Time = std::chrono::microseconds;

// What is read at start.
struct AdmissionRules {
    std::size_t connections = 10'000;
    std::size_t open_jobs = 10'000;
    std::size_t head_bytes = 16 * 1024;
    std::size_t body_bytes = 1024 * 1024;
    std::size_t memory_bytes = 256 * 1024 * 1024;  // bodies of all open jobs, and those still coming
    std::size_t name_bytes = 256;                  // of a function, a tenant, a mark
    Time head_within = std::chrono::seconds(10);   // the whole head, from its first byte
    Time idle_for = std::chrono::seconds(60);      // between jobs
    std::size_t least_rate = 1024;                 // bytes a second of a body, over any 2 s
    Time unread_for = std::chrono::seconds(10);    // an answer of which the client takes nothing
    Time longest_left = std::chrono::minutes(10);  // a time left beyond it is absurd
    Time shortest_left = std::chrono::milliseconds(1);
    std::optional<Time> assumed_left;  // where none is told; absent: it must be told
};

enum class Objection {
    none,
    malformed,
    head_too_big,
    head_too_slow,
    no_such_path,
    no_such_use_case,
    bad_function,
    bad_field,
    mark_missing,
    time_left_absent,
    time_left_absurd,
    no_time_left,
    body_too_big,
    body_too_slow,
    too_many_jobs,
    no_memory,
    too_many_connections,
    no_descriptors,
    unread_answer,
    closing,
    count_,
};

struct Told {  // how an objection reads on the wire
    int status;
    std::string_view word;
    std::string_view text;
    bool come_back;  // a later try may pass: it carries a retry-after
};

const Told& told(Objection objection);

class Admission {
public:
    explicit Admission(AdmissionRules rules) : rules_(rules) {}
    const AdmissionRules& rules() const { return rules_; }

    Objection connection_came();  // counts it in when it says none
    // One more than the bound, in the place of another that is about to leave.
    void connection_came_over() { ++connections_; }
    void connection_left();
    // A body of a job is about to be held; `known` bytes, if its length is told.
    Objection head_read(std::size_t known) const;
    // The expiry asked for. `digits` are milliseconds as told, or empty.
    Objection time_left(std::string_view digits, Time& left) const;
    Objection name(std::string_view text) const;
    Objection hold(std::size_t bytes);  // counts them in when it says none
    void let_go(std::size_t bytes);
    Objection job_came();  // counts it in when it says none
    void job_left();
    // A body still coming: `got` bytes since `since`.
    Objection pace(Time since, Time now, std::size_t got) const;

    // The accept failed: how long to pause, so that accepting does not spin.
    Time accept_pause();
    void accepted() { short_of_ = 0; }
    Time retry_after() const { return std::chrono::seconds(1); }

    void close() { closing_ = true; }
    void reopen() { closing_ = false; }
    bool closing() const { return closing_; }
    void count(Objection objection) { ++counts_[static_cast<std::size_t>(objection)]; }
    std::uint64_t counted(Objection objection) const { return counts_[static_cast<std::size_t>(objection)]; }
    std::size_t connections() const { return connections_; }
    std::size_t open_jobs() const { return jobs_; }
    std::size_t held_bytes() const { return held_; }

private:
    const AdmissionRules rules_;
    std::size_t connections_{}, jobs_{}, held_{};
    int short_of_{};
    bool closing_{};
    std::array<std::uint64_t, static_cast<std::size_t>(Objection::count_)> counts_{};
};

// The bytes of one body, counted at the door for as long as this lives or until they are handed on.
class HeldBytes {
public:
    explicit HeldBytes(Admission& admission) : admission_(admission) {}
    ~HeldBytes() { admission_.let_go(bytes_); }
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    Objection grow_to(std::size_t bytes) {
        if (bytes <= bytes_) return Objection::none;
        const Objection objection = admission_.hold(bytes - bytes_);
        if (objection == Objection::none) bytes_ = bytes;
        return objection;
    }
    std::size_t hand_on() { return std::exchange(bytes_, 0); }

private:
    Admission& admission_;
    std::size_t bytes_{};
};

}  // namespace plumkeel
