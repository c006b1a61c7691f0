#include "tale/summary.hpp"

#include <algorithm>

namespace plumkeel::tale {
namespace {

constexpr double least_ms = 0.1, most_ms = 1'000'000;
constexpr unsigned bins = 814;  // each 2% wider than the one before
constexpr std::size_t most_marks = 10'000;
constexpr Time one_death = std::chrono::seconds(2);
constexpr std::size_t a_death = 3;  // hops cut off within it

}  // namespace

Spread::Spread() : bins_(boost::histogram::make_histogram(Axis(bins, least_ms, most_ms))) {}

void Spread::add(Time value) {
    bins_(static_cast<double>(value.count()) / 1e3);
    least_ = count_ ? std::min(least_, value) : value;
    most_ = std::max(most_, value);
    ++count_;
}

Time Spread::at(double part) const {
    if (!count_) return {};
    const double wanted = part * static_cast<double>(count_);
    double seen = 0;
    for (int i = -1; i <= static_cast<int>(bins); ++i) {
        seen += bins_.at(i);
        if (seen < wanted || seen == 0) continue;
        if (i < 0) return least_;
        if (i == static_cast<int>(bins)) return most_;
        return std::clamp(Time(static_cast<Time::rep>(bins_.axis().bin(i).upper() * 1e3)), least_, most_);
    }
    return most_;
}

void Outcomes::add(const Tale& tale) {
    if (!tale.outcome)
        ++unfinished;
    else if (*tale.outcome == JobState::honoured)
        ++(tale.late() ? late : honoured);
    else if (*tale.outcome == JobState::bounced)
        ++bounced;
    else if (*tale.outcome == JobState::written_off)
        ++written_off;
    else
        ++abandoned;
}

void Jobs::add(const Tale& tale) {
    outcomes.add(tale);
    hops += tale.hops.size();
    more_than_one += tale.hops.size() > 1;
    if (tale.begun && tale.outcome == JobState::honoured) took.add(tale.took());
    if (const Time wait = tale.parked(); wait > Time{}) parked.add(wait);
}

void Hops::add(const HopTale& hop) {
    ++sent;
    loads += hop.loads;
    if (!hop.ended) {
        ++out;
        return;
    }
    switch (hop.ending) {
        case Ending::honoured:
            ++honoured;
            took.add(*hop.ended - hop.sent);
            break;
        case Ending::turned_away:
            ++turned_away;
            break;
        case Ending::cut_off:
            ++cut_off;
            break;
        case Ending::unreachable:
            ++unreachable;
            break;
        case Ending::overdue:
            ++overdue;
            break;
        case Ending::called_off:
            ++called_off;
            break;
        default:
            ++other;
    }
}

void Outcomes::add(const Outcomes& others) {
    honoured += others.honoured;
    late += others.late;
    bounced += others.bounced;
    written_off += others.written_off;
    abandoned += others.abandoned;
    unfinished += others.unfinished;
}

Summary::Summary(std::size_t most_rows, std::size_t most_seconds) : most_rows_(most_rows), most_seconds_(most_seconds) {}

template <class Row>
Row& Summary::row(std::map<std::string, Row>& table, const std::string& name) {
    const auto it = table.find(name);
    if (it != table.end()) return it->second;
    return table[table.size() < most_rows_ ? name : "(others)"];
}

Second* Summary::second(Time at) {
    if (at < Time{}) return nullptr;
    const auto index = static_cast<std::size_t>(at / std::chrono::seconds(1));
    if (index >= most_seconds_) return nullptr;
    if (index >= seconds_.size()) {
        seconds_.resize(index + 1);
        parked_change_.resize(index + 2);
    }
    return &seconds_[index];
}

void Summary::add(const Tale& tale) {
    all_.add(tale);
    row(use_cases_, tale.use_case).add(tale);
    row(tenants_, tale.tenant).add(tale);
    row(functions_, tale.function).add(tale);
    if (tale.begun)
        if (Second* s = second(tale.taken)) ++s->taken;
    if (Second* s = second(tale.ended)) s->ended.add(tale);
    for (const HopTale& hop : tale.hops) {
        row(invokers_, hop.invoker).add(hop);
        if (Second* s = second(hop.sent)) ++row(s->hops, hop.invoker);
        if (!hop.ended || hop.ending != Ending::cut_off) continue;
        auto& cuts = cuts_[hop.invoker];
        std::erase_if(cuts, [&](Time at) { return at + one_death < *hop.ended; });
        cuts.push_back(*hop.ended);
        if (cuts.size() == a_death) mark(cuts.front(), hop.invoker + " cuts off what is out there");
    }
    for (std::size_t i = 0; i < tale.turns.size(); ++i) {
        if (tale.turns[i].told.to != JobState::parked) continue;
        const Time until = i + 1 < tale.turns.size() ? tale.turns[i + 1].at : tale.ended;
        if (!second(tale.turns[i].at) || !second(until)) continue;
        ++parked_change_[static_cast<std::size_t>(tale.turns[i].at / std::chrono::seconds(1))];
        --parked_change_[static_cast<std::size_t>(until / std::chrono::seconds(1))];
    }
}

// What several controllers saw is marked once.
void Summary::mark(Time at, std::string what) {
    constexpr Time seen_by_all = std::chrono::seconds(3);
    if (marks_.size() >= most_marks) return;
    const auto [it, fresh] = marked_.try_emplace(what, at);
    if (!fresh && at - it->second < seen_by_all) return;
    it->second = at;
    marks_.push_back({at, std::move(what)});
}

void Summary::note(const Record& record, const Names& names) {
    if (record.kind == trace::gap) mark(record.at, "the recorder dropped records");
    if (record.kind == trace::list_broke) mark(record.at, "the list broke");
    if (record.kind != trace::fleet_changed) return;
    const auto told = trace::unpack<trace::FleetChanged>(record.body);
    Listing& listing = listings_[told.controller];
    const bool began = listing.begun();
    static constexpr const char* words[] = {" is listed", " is ready", " drains", " has started again", " is gone from the list"};
    for (const Listing::News& each : listing.feed(told, names)) mark(record.at, each.who + words[static_cast<int>(each.change)]);
    if (!began && listing.begun() && record.at > std::chrono::seconds(1) && told.controller < names.controllers().size())
        mark(record.at, "controller " + names.controllers()[told.controller] + " begins");
}

void Summary::finish() {
    std::int64_t now = 0;
    for (std::size_t i = 0; i < seconds_.size(); ++i) {
        now += parked_change_[i];
        seconds_[i].parked = static_cast<std::uint64_t>(std::max<std::int64_t>(0, now));
    }
    std::stable_sort(marks_.begin(), marks_.end(), [](const Mark& a, const Mark& b) { return a.at < b.at; });
}

std::optional<Summary::Worst> Summary::worst(std::size_t length_s) const {
    std::optional<Worst> found;
    for (std::size_t from = 0; from < seconds_.size(); ++from) {
        Outcomes sum;
        for (std::size_t i = from; i < std::min(seconds_.size(), from + length_s); ++i) sum.add(seconds_[i].ended);
        if (sum.badly() > (found ? found->ended.badly() : 0)) found = Worst{std::chrono::seconds(from), sum};
    }
    return found;
}

}  // namespace plumkeel::tale
