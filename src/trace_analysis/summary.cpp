#include "trace_analysis/summary.hpp"

#include <algorithm>

namespace plumkeel::trace_analysis {
namespace {

constexpr double least_ms = 0.1, most_ms = 1'000'000;
constexpr unsigned bins = 814;  // each 2% wider than the one before
constexpr std::size_t most_marks = 10'000;
constexpr Time one_death = std::chrono::seconds(2);
constexpr std::size_t a_death = 3;  // hops cut off within it

}  // namespace

LatencyHistogram::LatencyHistogram() : bins_(boost::histogram::make_histogram(Axis(bins, least_ms, most_ms))) {}

void LatencyHistogram::add(Time value) {
    bins_(static_cast<double>(value.count()) / 1e3);
    min_ = count_ ? std::min(min_, value) : value;
    max_ = std::max(max_, value);
    ++count_;
}

Time LatencyHistogram::quantile(double part) const {
    if (!count_) return {};
    const double wanted = part * static_cast<double>(count_);
    double seen = 0;
    for (int i = -1; i <= static_cast<int>(bins); ++i) {
        seen += bins_.at(i);
        if (seen < wanted || seen == 0) continue;
        if (i < 0) return min_;
        if (i == static_cast<int>(bins)) return max_;
        return std::clamp(Time(static_cast<Time::rep>(bins_.axis().bin(i).upper() * 1e3)), min_, max_);
    }
    return max_;
}

void Outcomes::add(const RequestHistory& history) {
    if (!history.outcome)
        ++unfinished;
    else if (*history.outcome == RequestState::succeeded)
        ++(history.is_late() ? late : succeeded);
    else if (*history.outcome == RequestState::rejected)
        ++rejected;
    else if (*history.outcome == RequestState::failed)
        ++failed;
    else
        ++cancelled;
}

void RequestStats::add(const RequestHistory& history) {
    outcomes.add(history);
    attempts += history.attempts.size();
    retried += history.attempts.size() > 1;
    if (history.begun && history.outcome == RequestState::succeeded) duration.add(history.duration());
    if (const Time wait = history.parked_time(); wait > Time{}) parked.add(wait);
}

void AttemptStats::add(const AttemptHistory& attempt) {
    ++sent;
    loads += attempt.starts_load;
    if (!attempt.ended_at) {
        ++in_flight;
        return;
    }
    switch (attempt.outcome) {
        case AttemptOutcome::succeeded:
            ++succeeded;
            duration.add(*attempt.ended_at - attempt.sent_at);
            break;
        case AttemptOutcome::rejected:
            ++rejected;
            break;
        case AttemptOutcome::connection_lost:
            ++connection_lost;
            break;
        case AttemptOutcome::unreachable:
            ++unreachable;
            break;
        case AttemptOutcome::timed_out:
            ++timed_out;
            break;
        case AttemptOutcome::cancelled:
            ++cancelled;
            break;
        default:
            ++other;
    }
}

void Outcomes::add(const Outcomes& others) {
    succeeded += others.succeeded;
    late += others.late;
    rejected += others.rejected;
    failed += others.failed;
    cancelled += others.cancelled;
    unfinished += others.unfinished;
}

Summary::Summary(std::size_t most_rows, std::size_t most_seconds)
    : most_rows_(most_rows), most_seconds_(most_seconds) {}

template <class Row>
Row& Summary::row(std::map<std::string, Row>& table, const std::string& name) {
    const auto it = table.find(name);
    if (it != table.end()) return it->second;
    return table[table.size() < most_rows_ ? name : "(others)"];
}

SecondStats* Summary::second(Time at) {
    if (at < Time{}) return nullptr;
    const auto index = static_cast<std::size_t>(at / std::chrono::seconds(1));
    if (index >= most_seconds_) return nullptr;
    if (index >= seconds_.size()) {
        seconds_.resize(index + 1);
        parked_change_.resize(index + 2);
    }
    return &seconds_[index];
}

void Summary::add(const RequestHistory& history) {
    all_.add(history);
    row(request_classes_, history.request_class).add(history);
    row(tenants_, history.tenant).add(history);
    row(functions_, history.function).add(history);
    if (history.begun)
        if (SecondStats* s = second(history.received_at)) ++s->received;
    if (SecondStats* s = second(history.ended_at)) s->ended.add(history);
    for (const AttemptHistory& attempt : history.attempts) {
        row(invokers_, attempt.invoker).add(attempt);
        if (SecondStats* s = second(attempt.sent_at)) ++row(s->attempts, attempt.invoker);
        if (!attempt.ended_at || attempt.outcome != AttemptOutcome::connection_lost) continue;
        auto& cuts = cuts_[attempt.invoker];
        std::erase_if(cuts, [&](Time at) { return at + one_death < *attempt.ended_at; });
        cuts.push_back(*attempt.ended_at);
        if (cuts.size() == a_death) annotate(cuts.front(), attempt.invoker + " cuts off what is out there");
    }
    for (std::size_t i = 0; i < history.transitions.size(); ++i) {
        if (history.transitions[i].transition.to != RequestState::parked) continue;
        const Time until = i + 1 < history.transitions.size() ? history.transitions[i + 1].at : history.ended_at;
        if (!second(history.transitions[i].at) || !second(until)) continue;
        ++parked_change_[static_cast<std::size_t>(history.transitions[i].at / std::chrono::seconds(1))];
        --parked_change_[static_cast<std::size_t>(until / std::chrono::seconds(1))];
    }
}

// What several controllers saw is marked once.
void Summary::annotate(Time at, std::string what) {
    constexpr Time seen_by_all = std::chrono::seconds(3);
    if (annotations_.size() >= most_marks) return;
    const auto [it, fresh] = marked_.try_emplace(what, at);
    if (!fresh && at - it->second < seen_by_all) return;
    it->second = at;
    annotations_.push_back({at, std::move(what)});
}

void Summary::note(const Record& record, const NameTable& names) {
    if (record.type == trace::gap) annotate(record.at, "the recorder dropped records");
    if (record.type == trace::endpoint_stream_lost) annotate(record.at, "the list broke");
    if (record.type != trace::endpoints_changed) return;
    const auto told = trace::unpack<trace::EndpointsChanged>(record.body);
    EndpointDiff& listing = listings_[told.controller];
    const bool began = listing.begun();
    static constexpr const char* words[] = {" is listed", " is ready", " drains", " has started again",
                                            " is gone from the list"};
    for (const EndpointDiff::EndpointChange& each : listing.feed(told, names))
        annotate(record.at, each.who + words[static_cast<int>(each.change)]);
    if (!began && listing.begun() && record.at > std::chrono::seconds(1) &&
        told.controller < names.controllers().size())
        annotate(record.at, "controller " + names.controllers()[told.controller] + " begins");
}

void Summary::finish() {
    std::int64_t now = 0;
    for (std::size_t i = 0; i < seconds_.size(); ++i) {
        now += parked_change_[i];
        seconds_[i].parked = static_cast<std::uint64_t>(std::max<std::int64_t>(0, now));
    }
    std::stable_sort(annotations_.begin(), annotations_.end(),
                     [](const Annotation& a, const Annotation& b) { return a.at < b.at; });
}

std::optional<Summary::Worst> Summary::worst(std::size_t length_s) const {
    std::optional<Worst> found;
    for (std::size_t from = 0; from < seconds_.size(); ++from) {
        Outcomes sum;
        for (std::size_t i = from; i < std::min(seconds_.size(), from + length_s); ++i) sum.add(seconds_[i].ended);
        if (sum.ended_badly() > (found ? found->ended.ended_badly() : 0))
            found = Worst{std::chrono::seconds(from), sum};
    }
    return found;
}

}  // namespace plumkeel::trace_analysis
