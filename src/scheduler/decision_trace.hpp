/// Records the candidates that a decision considered, in the detail that the host asked for.
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

    /// Records a candidate of the placement in progress. Candidates beyond `max_candidates` are not recorded.
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
