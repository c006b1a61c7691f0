#include "trace_analysis/merged_stream.hpp"

#include <algorithm>

namespace plumkeel::trace_analysis {
namespace {

/// Stored in trace files, as Resumed::derivation.
constexpr const char* merged_derivation = "merged of several controllers";

/// Returns the index of the entry with this name, which is added if it does not exist.
template <class T>
std::uint64_t find_or_add(std::vector<std::pair<std::string, T>>& entries, const std::string& name, const T& value) {
    const auto it = std::find_if(entries.begin(), entries.end(), [&](const auto& each) { return each.first == name; });
    if (it != entries.end()) return static_cast<std::uint64_t>(it - entries.begin());
    entries.emplace_back(name, value);
    return entries.size() - 1;
}

}  // namespace

std::uint64_t NameNumbering::number(const std::string& name, Time at) {
    const auto [it, is_new] = number_by_name_.try_emplace(name, number_by_name_.size());
    if (is_new) definitions_.push_back({at, record_type_, 0, trace::pack(trace::NameRecord{it->second, name})});
    return it->second;
}

MergedStream::MergedStream(std::vector<ControllerTrace*> traces, const std::vector<Time>& offsets,
                           std::optional<Time> from) {
    if (traces.empty()) throw trace::TraceError("cannot merge traces: no trace was given");
    for (std::size_t i = 0; i < traces.size(); ++i) {
        const Time start_time = traces[i]->start_time() + offsets[i];
        start_time_ = sources_.empty() ? start_time : std::min(start_time_, start_time);
        sources_.emplace_back(*traces[i], start_time);
    }
    for (const SourceTrace& source : sources_)
        source.trace.rewind(from ? std::optional(*from + start_time_ - source.start_time) : std::nullopt);
    add_first_records();
}

/// Adds the records at the start of the merged trace. Its settings are those of the first controller, extended by the
/// request classes and tenants of the other controllers.
void MergedStream::add_first_records() {
    trace::SchedulerSettings merged_settings = sources_.front().trace.scheduler_settings();
    trace::MergedControllers merged;
    for (SourceTrace& source : sources_) {
        const trace::SchedulerSettings& scheduler_settings = source.trace.scheduler_settings();
        for (const auto& [name, request_class] : scheduler_settings.request_classes)
            source.request_classes.push_back(find_or_add(merged_settings.request_classes, name, request_class));
        for (const auto& [name, quota] : scheduler_settings.tenants)
            source.tenants.push_back(find_or_add(merged_settings.tenants, name, quota));
        merged.controllers.push_back(source.trace.controller());
    }
    merged_settings.name = "merged";
    pending_records_.push_back({Time{}, trace::resumed, 0, trace::pack(trace::Resumed{0, 0, merged_derivation})});
    pending_records_.push_back({Time{}, trace::settings, 0, trace::pack(merged_settings)});
    pending_records_.push_back({Time{}, trace::merged, 0, trace::pack(merged)});
}

double MergedStream::progress() const {
    double sum = 0;
    for (const SourceTrace& source : sources_) sum += source.trace.progress();
    return sum / static_cast<double>(sources_.size());
}

std::optional<Record> MergedStream::next() {
    while (next_pending_ == pending_records_.size()) {
        pending_records_.clear();
        next_pending_ = 0;
        SourceTrace* source = find_earliest_source();
        if (!source) return {};
        add_record(*source, std::move(*source->next_record));
        source->next_record.reset();
    }
    return std::move(pending_records_[next_pending_++]);
}

MergedStream::SourceTrace* MergedStream::find_earliest_source() {
    SourceTrace* earliest = nullptr;
    for (SourceTrace& source : sources_) {
        if (!source.next_record && !source.at_end) load_next_record(source);
        if (source.next_record && (!earliest || source.next_record->at < earliest->next_record->at)) earliest = &source;
    }
    return earliest;
}

void MergedStream::load_next_record(SourceTrace& source) {
    while ((source.next_record = source.trace.next())) {
        if (source.names.feed(*source.next_record)) continue;
        if (source.next_record->type == trace::actions || source.next_record->type == trace::wake) continue;
        source.next_record->at += source.start_time - start_time_;
        return;
    }
    source.at_end = true;
}

/// Adds the record with the numbers of the merged trace, preceded by definitions of the names that are new.
void MergedStream::add_record(const SourceTrace& source, Record record) {
    if (record.request) record.request = record.request * sources_.size() + index_of(source);
    record.body = renumber_body(source, record.type, record.at, record.body);
    pending_records_.push_back(std::move(record));
}

std::uint64_t MergedStream::index_of(const SourceTrace& source) const {
    return static_cast<std::uint64_t>(&source - sources_.data());
}

std::uint64_t MergedStream::merged_function(const SourceTrace& source, std::uint64_t number, Time at) {
    return functions_.number(source.names.function(number), at);
}

std::uint64_t MergedStream::merged_invoker(const SourceTrace& source, std::uint64_t number, Time at) {
    return invokers_.number(source.names.invoker(number), at);
}

std::string MergedStream::renumber_body(const SourceTrace& source, std::uint8_t type, Time at,
                                        const std::string& body) {
    switch (type) {
        case trace::sampled_request:
            return renumber_as<trace::SampledRequest>(source, at, body);
        case trace::submit:
            return renumber_as<trace::RequestSubmitted>(source, at, body);
        case trace::transition:
            return renumber_as<trace::TransitionRecord>(source, at, body);
        case trace::endpoints_changed:
            return renumber_as<trace::EndpointsChanged>(source, at, body);
        case trace::health_check_ended:
            return renumber_as<trace::HealthCheckEnded>(source, at, body);
        case trace::preload_ended:
            return renumber_as<trace::PreloadEnded>(source, at, body);
        default:
            return body;
    }
}

template <class T>
std::string MergedStream::renumber_as(const SourceTrace& source, Time at, const std::string& body) {
    auto value = trace::unpack<T>(body);
    renumber(source, at, value);
    return trace::pack(value);
}

void MergedStream::renumber(const SourceTrace& source, Time at, trace::SampledRequest& sample) {
    for (trace::NestedRecord& each : sample.records) {
        each.at += source.start_time - start_time_;
        each.body = renumber_body(source, each.type, at, each.body);
    }
}

void MergedStream::renumber(const SourceTrace& source, Time at, trace::RequestSubmitted& submitted) {
    if (submitted.request_class < source.request_classes.size())
        submitted.request_class = source.request_classes[submitted.request_class];
    if (submitted.tenant && submitted.tenant <= source.tenants.size())
        submitted.tenant = 1 + source.tenants[submitted.tenant - 1];
    submitted.function = merged_function(source, submitted.function, at);
}

void MergedStream::renumber(const SourceTrace& source, Time at, trace::TransitionRecord& transition) {
    if (transition.sent) transition.sent->invoker = merged_invoker(source, transition.sent->invoker, at);
    for (auto& candidate : transition.candidates) candidate.invoker = merged_invoker(source, candidate.invoker, at);
}

void MergedStream::renumber(const SourceTrace& source, Time at, trace::EndpointsChanged& list) {
    list.controller = index_of(source);
    for (trace::EndpointRecord& endpoint : list.changed) {
        endpoint.invoker = merged_invoker(source, endpoint.invoker, at);
        endpoint.type = endpoint.type * sources_.size() + index_of(source);
    }
}

void MergedStream::renumber(const SourceTrace& source, Time at, trace::HealthCheckEnded& ended) {
    ended.invoker = merged_invoker(source, ended.invoker, at);
}

void MergedStream::renumber(const SourceTrace& source, Time at, trace::PreloadEnded& ended) {
    ended.function = merged_function(source, ended.function, at);
    ended.invoker = merged_invoker(source, ended.invoker, at);
}

}  // namespace plumkeel::trace_analysis
