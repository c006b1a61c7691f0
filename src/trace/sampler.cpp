#include "trace/sampler.hpp"

#include <xxhash.h>

namespace plumkeel::trace {

Sampler::Sampler(double part, std::size_t bytes) : part_(part), most_bytes_(bytes) {}

// By the job's number alone, so that it does not depend on what else goes on.
bool Sampler::chosen(std::uint64_t request) const {
    const std::uint64_t dice = XXH3_64bits(&request, sizeof request);
    return static_cast<double>(dice >> 11) * 0x1p-53 < part_;
}

void Sampler::feed(const Record& record, const Emit& emit) {
    if (record.type == RecordType::actions || record.type == RecordType::wake) return;
    if (record.type == RecordType::settings) start_ = unpack<Start>(record.body);
    if (!record.request) return emit(record);

    auto it = open_.find(record.request);
    if (it == open_.end()) {
        if (record.type != RecordType::submit) return;  // told of already, or taken before the trace began
        it = open_.try_emplace(record.request).first;
        it->second.order = ++taken_;
        by_age_.emplace(taken_, record.request);
    }
    Open& request = it->second;
    note(request, record);
    const std::size_t bytes = sizeof(NestedRecord) + record.body.size();
    request.story.records.push_back({record.at, record.type, record.body});
    request.bytes += bytes;
    bytes_ += bytes;
    if (request.ended && request.out == 0) tell(record.request, record.at, emit);
    while (bytes_ > most_bytes_ && !open_.empty()) {
        const std::uint64_t oldest = by_age_.begin()->second;
        open_.at(oldest).badly = true;
        tell(oldest, record.at, emit);
    }
}

void Sampler::note(Open& request, const Record& record) {
    switch (record.type) {
        case RecordType::submit: {
            const auto told = unpack<RequestSubmitted>(record.body);
            request.late = record.at + told.remaining;
            if (told.request_class < start_.request_classes.size())
                request.late = std::min(request.late,
                                        record.at + start_.request_classes[told.request_class].second.latency_target);
            break;
        }
        case RecordType::attempt_ended:
            if (request.out > 0) --request.out;
            break;
        case RecordType::transition: {
            const auto told = unpack<TransitionRecord>(record.body);
            if (told.sent) ++request.out;
            if (told.to < RequestState::succeeded) break;
            request.ended = true;
            request.badly = told.to != RequestState::succeeded || record.at > request.late;
            break;
        }
        default:
            break;
    }
}

void Sampler::tell(std::uint64_t id, Time at, const Emit& emit) {
    const auto it = open_.find(id);
    Open& request = it->second;
    if (request.badly || chosen(id)) emit({at, RecordType::sampled_request, id, pack(request.story)});
    bytes_ -= request.bytes;
    by_age_.erase(request.order);
    open_.erase(it);
}

void Sampler::finish(const Emit& emit) {
    while (!by_age_.empty()) {
        const std::uint64_t oldest = by_age_.begin()->second;
        open_.at(oldest).badly = true;  // nobody knows how it ended
        tell(oldest, open_.at(oldest).story.records.back().at, emit);
    }
}

}  // namespace plumkeel::trace
