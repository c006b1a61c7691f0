#include "trace/sampler.hpp"

#include <xxhash.h>

#include <algorithm>

namespace plumkeel::trace {

Sampler::Sampler(double ratio, std::size_t max_bytes) : ratio_(ratio), max_bytes_(max_bytes) {}

/// Whether the request is part of the sample. Depends only on the request's number, so that the choice is reproducible.
bool Sampler::is_sampled(std::uint64_t request) const {
    const std::uint64_t hash = XXH3_64bits(&request, sizeof request);
    return static_cast<double>(hash >> 11) * 0x1p-53 < ratio_;
}

void Sampler::feed(const Record& record, const RecordCallback& keep) {
    if (record.type == RecordType::actions || record.type == RecordType::wake) return;
    if (record.type == RecordType::settings) scheduler_settings_ = unpack<SchedulerSettings>(record.body);
    if (!record.request) return keep(record);

    auto it = open_requests_.find(record.request);
    if (it == open_requests_.end()) {
        // Records of requests that were closed, or submitted before the trace began, are dropped.
        if (record.type != RecordType::submit) return;
        it = open_requests_.try_emplace(record.request).first;
        it->second.sequence_number = ++submitted_count_;
        request_by_sequence_number_.emplace(submitted_count_, record.request);
    }
    OpenRequest& request = it->second;
    update(request, record);
    const std::size_t bytes = sizeof(NestedRecord) + record.body.size();
    request.sample.records.push_back({record.at, record.type, record.body});
    request.bytes += bytes;
    bytes_ += bytes;
    if (request.ended && request.attempts_in_flight == 0) close(record.request, record.at, keep);
    while (bytes_ > max_bytes_ && !open_requests_.empty()) {
        const std::uint64_t oldest = request_by_sequence_number_.begin()->second;
        open_requests_.at(oldest).ended_badly = true;
        close(oldest, record.at, keep);
    }
}

void Sampler::update(OpenRequest& request, const Record& record) {
    switch (record.type) {
        case RecordType::submit: {
            const auto submitted = unpack<RequestSubmitted>(record.body);
            request.target_time = record.at + submitted.remaining;
            if (submitted.request_class < scheduler_settings_.request_classes.size()) {
                const RequestClass& request_class = scheduler_settings_.request_classes[submitted.request_class].second;
                request.target_time = std::min(request.target_time, record.at + request_class.latency_target);
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
            request.ended_badly = transition.to != RequestState::succeeded || record.at > request.target_time;
            break;
        }
        default:
            break;
    }
}

void Sampler::close(std::uint64_t id, Time at, const RecordCallback& keep) {
    const auto it = open_requests_.find(id);
    OpenRequest& request = it->second;
    if (request.ended_badly || is_sampled(id)) keep({at, RecordType::sampled_request, id, pack(request.sample)});
    bytes_ -= request.bytes;
    request_by_sequence_number_.erase(request.sequence_number);
    open_requests_.erase(it);
}

void Sampler::finish(const RecordCallback& keep) {
    while (!request_by_sequence_number_.empty()) {
        const std::uint64_t oldest = request_by_sequence_number_.begin()->second;
        OpenRequest& request = open_requests_.at(oldest);
        request.ended_badly = true;  // requests with unknown outcome are always kept
        close(oldest, request.sample.records.back().at, keep);
    }
}

}  // namespace plumkeel::trace
