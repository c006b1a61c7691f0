/// Reserves memory for one request body while it is being read.
#pragma once

#include <cstddef>
#include <utility>

#include "admission/admission.hpp"

namespace plumkeel {

/// Releases its bytes at Admission when it is destroyed, unless release() has handed them over to the caller.
class MemoryReservation {
public:
    explicit MemoryReservation(Admission& admission) : admission_(admission) {}
    ~MemoryReservation() { admission_.release(bytes_); }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;

    /// Reserves `bytes` in total. If Admission rejects them, the reservation stays as it was.
    RejectionReason grow_to(std::size_t bytes) {
        if (bytes <= bytes_) return RejectionReason::none;
        const RejectionReason reason = admission_.reserve(bytes - bytes_);
        if (reason == RejectionReason::none) bytes_ = bytes;
        return reason;
    }
    /// Returns the number of reserved bytes, which the caller must release at Admission later.
    std::size_t release() { return std::exchange(bytes_, 0); }

private:
    Admission& admission_;
    std::size_t bytes_{};
};

}  // namespace plumkeel
