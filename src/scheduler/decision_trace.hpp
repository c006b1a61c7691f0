/// The reasons behind decisions, gathered as far as the host asks for them.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "scheduler/actions.hpp"

namespace plumkeel {

class DecisionTrace {
public:
    void set_detail(TraceDetail detail) { detail_ = detail; }
    bool records_transitions() const { return detail_ != TraceDetail::none; }

    /// Notes a candidate of the present placement; beyond a bound the rest is left out.
    void add_candidate(const Candidate& candidate) {
        if (detail_ == TraceDetail::candidates && candidates_.size() < max_candidates) candidates_.push_back(candidate);
    }
    const std::vector<Candidate>& candidates() const { return candidates_; }
    void clear_candidates() { candidates_.clear(); }

private:
    static constexpr std::size_t max_candidates = 16;

    TraceDetail detail_{};
    std::vector<Candidate> candidates_;
};

}  // namespace plumkeel
