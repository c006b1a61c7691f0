#include "tale/tale.hpp"

#include <algorithm>

#include "trace/words.hpp"

namespace plumkeel::tale {

Time Tale::parked() const {
    Time all{};
    for (std::size_t i = 0; i < turns.size(); ++i) {
        if (turns[i].told.to != JobState::parked) continue;
        const Time until = i + 1 < turns.size() ? turns[i + 1].at : ended;
        all += std::max(Time{}, until - turns[i].at);
    }
    return all;
}

std::string Tale::outcome_word() const {
    if (!outcome) return "unfinished";
    if (*outcome == JobState::honoured && late()) return "late";
    return std::string(trace::word_of(*outcome));
}

Tales::Tales(Each each, bool all_names, std::size_t most_open)
    : each_(std::move(each)), most_open_(most_open), names_(all_names) {}

Tales::Open& Tales::open(const Record& record) {
    const auto [it, fresh] = open_.try_emplace(record.job);
    if (fresh) {
        it->second.tale.job = record.job;
        it->second.tale.taken = it->second.tale.ended = record.at;
        it->second.order = ++known_;
        by_age_.emplace(known_, record.job);
    }
    return it->second;
}

void Tales::feed(const Record& record) {
    if (names_.feed(record)) return;
    if (record.kind == trace::story) {  // a sampled job, whole
        for (const trace::Nested& each : trace::unpack<trace::Story>(record.body).records)
            feed({each.at, each.kind, record.job, each.body});
        if (open_.count(record.job)) tell(record.job);
        return;
    }
    if (!record.job || record.kind == trace::answered) return;
    const bool known = open_.count(record.job) > 0;
    if (!known && record.kind == trace::client_left) return;  // of a job that was closed already
    Open& it = open(record);
    Tale& tale = it.tale;
    switch (record.kind) {
        case trace::take: {
            const auto told = trace::unpack<trace::Taken>(record.body);
            tale.begun = true;
            tale.taken = record.at;
            tale.use_case = names_.use_case(told.use_case);
            tale.tenant = names_.tenant(told.tenant);
            tale.function = names_.function(told.function);
            tale.expires = told.time_left;
            longest_ = std::max(longest_, told.time_left);
            tale.promised = std::min(names_.promised(told.use_case), told.time_left);
            tale.again = told.again;
            break;
        }
        case trace::hop_ended: {
            const auto told = trace::unpack<trace::HopEnded>(record.body);
            const auto hop = std::find_if(tale.hops.begin(), tale.hops.end(), [&](const HopTale& h) { return h.number == told.hop; });
            if (hop != tale.hops.end() && !hop->ended) {
                hop->ended = record.at;
                hop->ending = told.ending;
                hop->note = told.note;
                --it.out;
            }
            break;
        }
        case trace::turned:
            turned(it, record);
            break;
        default:
            break;
    }
    if (!tale.outcome) tale.ended = record.at;
    // The end of a hop is recorded before the change of state that came of it, and an outcome before the end of
    // a second hop.
    if (tale.outcome && it.out == 0) tell(record.job);
    while (open_.size() > most_open_) tell(by_age_.begin()->second);
}

void Tales::turned(Open& it, const Record& record) {
    TurnTale turn{record.at, trace::unpack<trace::TurnedTo>(record.body)};
    Tale& tale = it.tale;
    if (turn.told.sent) {
        const auto& sent = *turn.told.sent;
        tale.hops.push_back({sent.hop, names_.invoker(sent.invoker), record.at, {}, {}, {}, sent.loads, sent.warm});
        ++it.out;
    }
    if (turn.told.to >= JobState::honoured && !tale.outcome) {
        tale.outcome = turn.told.to;
        tale.ended = record.at;
    }
    tale.turns.push_back(std::move(turn));
}

void Tales::tell(std::uint64_t job) {
    const auto it = open_.find(job);
    each_(it->second.tale);
    by_age_.erase(it->second.order);
    open_.erase(it);
}

void Tales::finish() {
    while (!by_age_.empty()) tell(by_age_.begin()->second);
}

bool Filter::fits(const Tale& tale) const {
    if (from && (!tale.begun || tale.taken < *from)) return false;
    if (to && tale.taken >= *to) return false;
    if (!use_case.empty() && tale.use_case != use_case) return false;
    if (!tenant.empty() && tale.tenant != tenant) return false;
    if (!function.empty() && tale.function != function) return false;
    if (!invoker.empty() && std::none_of(tale.hops.begin(), tale.hops.end(), [&](const HopTale& h) { return h.invoker == invoker; }))
        return false;
    if (outcome.empty()) return true;
    std::string wanted = outcome;
    std::replace(wanted.begin(), wanted.end(), '-', ' ');
    return wanted == "badly" ? tale.badly() : wanted == tale.outcome_word();
}

void Filter::check() const {
    if (outcome.empty() || outcome == "badly" || outcome == "late" || outcome == "unfinished") return;
    if (!trace::outcome_of(outcome))
        throw trace::Fault("outcome '" + outcome + "': none of honoured, late, bounced, written-off, abandoned, unfinished, badly");
}

}  // namespace plumkeel::tale
