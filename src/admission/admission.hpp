/// What the gateway admits: limits on connections, open requests, sizes, memory and slowness. Free of I/O, clocks and
/// threads: the clients' edges ask it and act on its answer. It counts the rejections of each reason.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "admission/rejection.hpp"

namespace plumkeel {

using Time = std::chrono::microseconds;

/// Read from the settings at start.
struct AdmissionLimits {
    std::size_t max_connections = 10'000;
    std::size_t max_requests = 10'000;
    std::size_t max_head_bytes = 16 * 1024;
    std::size_t max_body_bytes = 1024 * 1024;
    std::size_t max_memory_bytes = 256 * 1024 * 1024;    ///< bodies of all open requests, and those being read
    std::size_t max_name_bytes = 256;                    ///< of a function, a tenant or an idempotency key
    Time head_timeout = std::chrono::seconds(10);        ///< for the whole head, from its first byte
    Time idle_timeout = std::chrono::seconds(60);        ///< between requests
    std::size_t min_body_rate = 1024;                    ///< bytes a second, over the whole body
    Time unread_timeout = std::chrono::seconds(10);      ///< for a response of which the client reads nothing
    Time max_remaining_time = std::chrono::minutes(10);  ///< a longer remaining time is taken for an error
    Time min_remaining_time = std::chrono::milliseconds(1);
    std::optional<Time> default_remaining_time;  ///< where a request has none; absent: it must have one
};

class Admission {
public:
    explicit Admission(AdmissionLimits limits) : limits_(limits) {}
    const AdmissionLimits& limits() const { return limits_; }

    /// `none`: the connection is counted, until release_connection().
    RejectionReason admit_connection();
    /// Counts a connection over the limit, in the place of another that is about to close.
    void admit_replacement() { ++connections_; }
    void release_connection();

    /// Before the body of a request is read. `known_size`: 0 if its length was not sent. Counts nothing.
    RejectionReason admit_body(std::size_t known_size) const;
    /// `none`: the bytes are counted, until release(). MemoryReservation does both.
    RejectionReason reserve(std::size_t bytes);
    void release(std::size_t bytes);
    /// `none`: the request is counted, until release_request().
    RejectionReason admit_request();
    void release_request();

    /// `milliseconds`: as the client sent them, or empty. Sets `remaining` when it returns `none`.
    RejectionReason parse_remaining_time(std::string_view milliseconds, Time& remaining) const;
    /// Of a function.
    RejectionReason check_name(std::string_view name) const;
    /// While a body is being read: `bytes` came since `began_at`.
    RejectionReason check_body_rate(Time began_at, Time now, std::size_t bytes) const;

    /// Accepting a connection failed: counts that, and returns how long to pause before the next try.
    Time accept_pause();
    /// Accepting succeeded: the next pause is the shortest again.
    void accepted() { failed_accepts_ = 0; }
    /// How long a rejected client is asked to wait before it retries.
    Time retry_after() const { return std::chrono::seconds(1); }

    /// From now on requests are rejected as `closing`.
    void close() { closing_ = true; }
    void reopen() { closing_ = false; }
    bool closing() const { return closing_; }

    void count(RejectionReason reason) { ++rejections_[static_cast<std::size_t>(reason)]; }
    std::uint64_t counted(RejectionReason reason) const { return rejections_[static_cast<std::size_t>(reason)]; }
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
