/// The bytes of one body, reserved while it is being read.
#pragma once

#include <cstddef>
#include <utility>

#include "admission/admission.hpp"

namespace plumkeel {

/// Releases its bytes at Admission when it is destroyed, unless release() has passed them on.
class MemoryReservation {
public:
    explicit MemoryReservation(Admission& admission) : admission_(admission) {}
    ~MemoryReservation() { admission_.release(bytes_); }
    MemoryReservation(const MemoryReservation&) = delete;
    MemoryReservation& operator=(const MemoryReservation&) = delete;

    RejectionReason grow_to(std::size_t bytes) {
        if (bytes <= bytes_) return RejectionReason::none;
        const RejectionReason reason = admission_.reserve(bytes - bytes_);
        if (reason == RejectionReason::none) bytes_ = bytes;
        return reason;
    }
    /// Returns the reserved bytes, which the caller must release at Admission from now on.
    std::size_t release() { return std::exchange(bytes_, 0); }

private:
    Admission& admission_;
    std::size_t bytes_{};
};

}  // namespace plumkeel
