#include "trace/sampler.hpp"

#include <xxhash.h>

#include <algorithm>

namespace plumkeel::trace {

Sampler::Sampler(double ratio, std::size_t max_bytes) : ratio_(ratio), max_bytes_(max_bytes) {}

/// Depends on the request's number alone, so that the choice is the same whatever else is recorded.
bool Sampler::is_sampled(std::uint64_t request) const {
    const std::uint64_t hash = XXH3_64bits(&request, sizeof request);
    return static_cast<double>(hash >> 11) * 0x1p-53 < ratio_;
}

void Sampler::feed(const Record& record, const RecordCallback& keep) {
    if (record.type == RecordType::actions || record.type == RecordType::wake) return;
    if (record.type == RecordType::settings) start_ = unpack<SchedulerSettings>(record.body);
    if (!record.request) return keep(record);

    auto it = open_.find(record.request);
    if (it == open_.end()) {
        // Otherwise it is closed already, or was submitted before the trace began.
        if (record.type != RecordType::submit) return;
        it = open_.try_emplace(record.request).first;
        it->second.order = ++submitted_;
        by_age_.emplace(submitted_, record.request);
    }
    OpenRequest& request = it->second;
    update(request, record);
    const std::size_t bytes = sizeof(NestedRecord) + record.body.size();
    request.sample.records.push_back({record.at, record.type, record.body});
    request.bytes += bytes;
    bytes_ += bytes;
    if (request.ended && request.attempts_in_flight == 0) close(record.request, record.at, keep);
    while (bytes_ > max_bytes_ && !open_.empty()) {
        const std::uint64_t oldest = by_age_.begin()->second;
        open_.at(oldest).ended_badly = true;
        close(oldest, record.at, keep);
    }
}

void Sampler::update(OpenRequest& request, const Record& record) {
    switch (record.type) {
        case RecordType::submit: {
            const auto submitted = unpack<RequestSubmitted>(record.body);
            request.late_after = record.at + submitted.remaining;
            if (submitted.request_class < start_.request_classes.size()) {
                const RequestClass& request_class = start_.request_classes[submitted.request_class].second;
                request.late_after = std::min(request.late_after, record.at + request_class.latency_target);
            }
            break;
        }
        case RecordType::attempt_ended:
            if (request.attempts_in_flight > 0) --request.attempts_in_flight;
            break;
        case RecordType::transition: {
            const auto transition = unpack<TransitionRecord>(record.body);
            if (transition.sent) ++request.attempts_in_flight;
            if (transition.to < RequestState::succeeded) break;
            request.ended = true;
            request.ended_badly = transition.to != RequestState::succeeded || record.at > request.late_after;
            break;
        }
        default:
            break;
    }
}

void Sampler::close(std::uint64_t id, Time at, const RecordCallback& keep) {
    const auto it = open_.find(id);
    OpenRequest& request = it->second;
    if (request.ended_badly || is_sampled(id)) keep({at, RecordType::sampled_request, id, pack(request.sample)});
    bytes_ -= request.bytes;
    by_age_.erase(request.order);
    open_.erase(it);
}

void Sampler::finish(const RecordCallback& keep) {
    while (!by_age_.empty()) {
        const std::uint64_t oldest = by_age_.begin()->second;
        OpenRequest& request = open_.at(oldest);
        request.ended_badly = true;  // how it ended is not known
        close(oldest, request.sample.records.back().at, keep);
    }
}

}  // namespace plumkeel::trace
