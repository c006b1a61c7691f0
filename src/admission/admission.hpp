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
struct AdmissionLimits {
    std::size_t max_connections = 10'000;
    std::size_t max_requests = 10'000;
    std::size_t max_head_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    std::size_t max_memory_bytes = 256 * 1024 * 1024;  // bodies of all open jobs, and those still coming
    std::size_t max_name_bytes = 256;                  // of a function, a tenant, a mark
    Time head_timeout = std::chrono::seconds(10);      // the whole head, from its first byte
    Time idle_timeout = std::chrono::seconds(60);      // between jobs
    std::size_t min_body_rate = 1024;                  // bytes a second of a body, over any 2 s
    Time unread_timeout = std::chrono::seconds(10);    // an answer of which the client takes nothing
    Time max_remaining = std::chrono::minutes(10);     // a time left beyond it is absurd
    Time min_remaining = std::chrono::milliseconds(1);
    std::optional<Time> default_remaining;  // where none is told; absent: it must be told
};

enum class RejectionReason {
    none,
    malformed,
    head_too_big,
    head_too_slow,
    no_such_path,
    no_such_request_class,
    bad_function,
    bad_field,
    idempotency_key_missing,
    remaining_missing,
    remaining_invalid,
    no_time_remaining,
    body_too_big,
    body_too_slow,
    too_many_requests,
    no_memory,
    too_many_connections,
    no_descriptors,
    unread_answer,
    closing,
    count_,
};

struct RejectionResponse {  // how an objection reads on the wire
    int status;
    std::string_view word;
    std::string_view text;
    bool is_retryable;  // a later try may pass: it carries a retry-after
};

const RejectionResponse& response_for(RejectionReason objection);

class Admission {
public:
    explicit Admission(AdmissionLimits rules) : limits_(rules) {}
    const AdmissionLimits& limits() const { return limits_; }

    RejectionReason admit_connection();  // counts it in when it says none
    // One more than the bound, in the place of another that is about to leave.
    void admit_replacement() { ++connections_; }
    void release_connection();
    // A body of a job is about to be held; `known` bytes, if its length is told.
    RejectionReason admit_body(std::size_t known) const;
    // The expiry asked for. `digits` are milliseconds as told, or empty.
    RejectionReason parse_remaining(std::string_view digits, Time& left) const;
    RejectionReason check_name(std::string_view text) const;
    RejectionReason reserve(std::size_t bytes);  // counts them in when it says none
    void release(std::size_t bytes);
    RejectionReason admit_request();  // counts it in when it says none
    void release_request();
    // A body still coming: `got` bytes since `since`.
    RejectionReason check_body_rate(Time since, Time now, std::size_t got) const;

    // The accept failed: how long to pause, so that accepting does not spin.
    Time accept_pause();
    void accepted() { failed_accepts_ = 0; }
    Time retry_after() const { return std::chrono::seconds(1); }

    void close() { closing_ = true; }
    void reopen() { closing_ = false; }
    bool closing() const { return closing_; }
    void count(RejectionReason objection) { ++counts_[static_cast<std::size_t>(objection)]; }
    std::uint64_t counted(RejectionReason objection) const { return counts_[static_cast<std::size_t>(objection)]; }
    std::size_t connections() const { return connections_; }
    std::size_t open_requests() const { return requests_; }
    std::size_t reserved_bytes() const { return reserved_bytes_; }

private:
    const AdmissionLimits limits_;
    std::size_t connections_{}, requests_{}, reserved_bytes_{};
    int failed_accepts_{};
    bool closing_{};
    std::array<std::uint64_t, static_cast<std::size_t>(RejectionReason::count_)> counts_{};
};

// The bytes of one body, counted at the door for as long as this lives or until they are handed on.
class MemoryReservation {
public:
    explicit MemoryReservation(Admission& admission) : admission_(admission) {}
    ~MemoryReservation() { admission_.release(bytes_); }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;

    RejectionReason grow_to(std::size_t bytes) {
        if (bytes <= bytes_) return RejectionReason::none;
        const RejectionReason objection = admission_.reserve(bytes - bytes_);
        if (objection == RejectionReason::none) bytes_ = bytes;
        return objection;
    }
    std::size_t release() { return std::exchange(bytes_, 0); }

private:
    Admission& admission_;
    std::size_t bytes_{};
};

}  // namespace plumkeel
