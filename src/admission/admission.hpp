/// Admission control: limits on connections, open requests, sizes, memory and slow clients. It does no I/O and reads no
/// clock: the servers for clients call it and act on the result. It counts the rejections by reason.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "admission/rejection.hpp"

namespace plumkeel {

using Time = std::chrono::microseconds;

/// Limits on connections, open requests, the sizes of their parts, memory, and the time that clients may take. They are
/// read from the settings at start.
struct AdmissionLimits {
    std::size_t max_connections = 10'000;
    std::size_t max_requests = 10'000;
    std::size_t max_head_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    std::size_t max_memory_bytes = 256 * 1024 * 1024;  ///< bodies of open requests and of requests being read
    std::size_t max_name_bytes = 256;                  ///< for names of functions and tenants and for idempotency keys
    Time head_timeout = std::chrono::seconds(10);      ///< from the first byte of a request's head to its last
    Time idle_timeout = std::chrono::seconds(60);      ///< between two requests on a connection
    std::size_t min_body_bytes_per_s = 1024;           ///< averaged over the whole body
    Time unread_timeout = std::chrono::seconds(10);    ///< for a response that the client does not read
    Time max_remaining_time = std::chrono::minutes(10);  ///< requests with a longer remaining time are rejected
    Time min_remaining_time = std::chrono::milliseconds(1);
    std::optional<Time> default_remaining_time;  ///< for requests without one; absent: they are rejected
};

class Admission {
public:
    explicit Admission(AdmissionLimits limits) : limits_(limits) {}
    const AdmissionLimits& limits() const { return limits_; }

    /// Returns `none` and counts the connection until release_connection(), or returns why it is rejected.
    RejectionReason admit_connection();
    /// Counts a connection beyond the limit, which replaces one that is about to close.
    void admit_replacement() { ++connections_; }
    void release_connection();

    /// Checks a request before its body is read, and counts nothing. `known_size`: 0 if the body's length is unknown.
    RejectionReason admit_body(std::size_t known_size) const;
    /// Returns `none` and counts the bytes until release(), or returns why they are rejected. Use MemoryReservation to
    /// release them automatically.
    RejectionReason reserve(std::size_t bytes);
    void release(std::size_t bytes);
    /// Returns `none` and counts the request until release_request(), or returns why it is rejected.
    RejectionReason admit_request();
    void release_request();

    /// Parses a request's remaining time. `milliseconds`: the text sent by the client, or empty if it sent none. Sets
    /// `remaining` if it returns `none`.
    RejectionReason parse_remaining_time(std::string_view milliseconds, Time& remaining) const;
    /// Checks the name of a function.
    RejectionReason check_name(std::string_view name) const;
    /// Checks the rate of a body that is being read, of which `bytes` have arrived since `began_at`.
    RejectionReason check_body_rate(Time began_at, Time now, std::size_t bytes) const;

    /// Counts a failed accept, and returns how long to pause before the next accept.
    Time accept_pause();
    /// Called after a successful accept: resets the pause to its minimum.
    void accepted() { failed_accepts_ = 0; }
    /// How long a rejected client is asked to wait before it retries.
    Time retry_after() const { return std::chrono::seconds(1); }

    /// Makes all further requests be rejected as `closing`, until reopen().
    void close() { closing_ = true; }
    void reopen() { closing_ = false; }
    bool closing() const { return closing_; }

    void count(RejectionReason reason) { ++rejections_[static_cast<std::size_t>(reason)]; }
    std::uint64_t rejection_count(RejectionReason reason) const {
        return rejections_[static_cast<std::size_t>(reason)];
    }
    std::size_t connections() const { return connections_; }
    std::size_t open_requests() const { return requests_; }
    std::size_t reserved_bytes() const { return reserved_bytes_; }

private:
    const AdmissionLimits limits_;
    std::size_t connections_{}, requests_{}, reserved_bytes_{};
    int failed_accepts_{};
    bool closing_{};
    std::array<std::uint64_t, rejection_reason_count> rejections_{};
};

}  // namespace plumkeel
