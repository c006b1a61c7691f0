#include "tale/telling.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "trace/words.hpp"

namespace plumkeel::tale {
namespace {

namespace json = boost::json;

double seconds(Time t) { return static_cast<double>(t.count()) / 1e6; }
double ms(Time t) { return static_cast<double>(t.count()) / 1e3; }

std::string span(Time t) {
    if (t >= std::chrono::seconds(10)) return fmt::format("{:.1f} s", seconds(t));
    return t >= std::chrono::seconds(1) ? fmt::format("{:.2f} s", seconds(t)) : fmt::format("{:.1f} ms", ms(t));
}

void weighed(std::string& out, const trace::TurnedTo& told, const Names& names) {
    const std::string indent(16, ' ');
    for (const auto& each : told.weighed) {
        const std::string who = names.invoker(each.invoker);
        if (each.bar != Bar::none) {
            out += fmt::format("{}{} passed over: {}\n", indent, who, trace::words_of(each.bar));
            continue;
        }
        out += fmt::format("{}{} would answer in {}{}{}\n", indent, who, span(each.finish),
                           each.wait > std::chrono::milliseconds(1) ? fmt::format(", {} of it behind others", span(each.wait)) : "",
                           each.warm ? ", a copy is thought to stand there" : ", with a load first");
    }
}

std::string turn_words(const TurnTale& turn, const Tale& tale, const Names& names) {
    const trace::TurnedTo& told = turn.told;
    const std::string why(trace::words_of(told.why));
    switch (told.to) {
        case JobState::hopping:
            if (!told.sent) return "goes out: " + why;
            return fmt::format("hop {} goes to {}{}: {}", told.sent->hop, names.invoker(told.sent->invoker),
                               told.sent->warm    ? ""
                               : told.sent->loads ? ", which loads the function for it"
                                                  : ", where no copy is thought to stand",
                               why);
        case JobState::parked:
            return "parked: " + why;
        case JobState::bounced:
            return fmt::format("bounced: {}{}", why, told.pause > Time{} ? fmt::format(" (to come back after {})", span(told.pause)) : "");
        case JobState::written_off:
            return fmt::format("written off: {}{}", why,
                               tale.hops.empty() || told.why == Why::may_have_run ? "" : "; it may have run, so its client can't be told to send it again");
        case JobState::abandoned:
            return "abandoned: " + why;
        default:
            return fmt::format("{}: {}", trace::word_of(told.to), why);
    }
}

std::string hop_words(const HopTale& hop) {
    std::string out = fmt::format("hop {} at {} ends after {}: {}", hop.number, hop.invoker, span(*hop.ended - hop.sent),
                                  trace::word_of(hop.ending));
    if (const auto note = trace::word_of(hop.note); !note.empty()) out += fmt::format(", {}", note);
    return out;
}

json::object hop_object(const HopTale& hop) {
    json::object out{{"number", hop.number}, {"invoker", hop.invoker}, {"sent_s", seconds(hop.sent)}, {"loads", hop.loads}, {"warm", hop.warm}};
    if (hop.ended) {
        out["ended_s"] = seconds(*hop.ended);
        out["ending"] = trace::word_of(hop.ending);
        if (const auto note = trace::word_of(hop.note); !note.empty()) out["note"] = note;
    }
    return out;
}

json::object turn_object(const TurnTale& turn, const Names& names) {
    json::object out{{"at_s", seconds(turn.at)}, {"to", trace::word_of(turn.told.to)}, {"why", trace::words_of(turn.told.why)}};
    if (turn.told.pause > Time{}) out["come_back_after_s"] = seconds(turn.told.pause);
    json::array all;
    for (const auto& each : turn.told.weighed) {
        json::object one{{"invoker", names.invoker(each.invoker)}};
        if (each.bar != Bar::none) {
            one["passed_over"] = trace::words_of(each.bar);
        } else {
            one["finish_s"] = seconds(each.finish);
            one["wait_s"] = seconds(each.wait);
            one["warm"] = each.warm;
        }
        all.push_back(std::move(one));
    }
    if (!all.empty()) out["weighed"] = std::move(all);
    return out;
}

}  // namespace

std::string story_of(const Tale& tale, const Names& names) {
    std::string out = fmt::format("job {}", names.job(tale.job));
    if (names.controllers().empty()) out += fmt::format(" at {}", names.start().name);
    if (tale.begun) {
        out += fmt::format(": function {}, use case {}{}{}\n", tale.function, tale.use_case,
                           tale.tenant.empty() ? "" : ", tenant " + tale.tenant, tale.again ? ", sent again by its client" : "");
        out += fmt::format("  taken at {:.6f} s; an answer {}its client gives up after {}\n", seconds(tale.taken),
                           tale.promised > Time{} ? fmt::format("is promised within {}, ", span(tale.promised)) : "is wanted, ", span(tale.expires));
    } else {
        out += ": taken before this trace, or where records are missing\n";
    }
    // What happened, in order; a hop's end comes before the turn that came of it.
    auto line = [&](Time at, const std::string& words) { out += fmt::format("  {:+11.6f} s  {}\n", seconds(at - tale.taken), words); };
    std::vector<const HopTale*> ends;
    for (const HopTale& hop : tale.hops)
        if (hop.ended) ends.push_back(&hop);
    std::stable_sort(ends.begin(), ends.end(), [](const HopTale* a, const HopTale* b) { return *a->ended < *b->ended; });
    std::size_t told = 0;
    std::uint64_t sent = 0;  // hops told of so far: one can't end before it was told
    for (const TurnTale& turn : tale.turns) {
        while (told < ends.size() && *ends[told]->ended <= turn.at && ends[told]->number < sent) {
            line(*ends[told]->ended, hop_words(*ends[told]));
            ++told;
        }
        line(turn.at, turn_words(turn, tale, names));
        if (turn.told.sent) sent = std::max(sent, turn.told.sent->hop + 1);
        weighed(out, turn.told, names);
    }
    for (; told < ends.size(); ++told) line(*ends[told]->ended, hop_words(*ends[told]));
    for (const HopTale& hop : tale.hops)
        if (!hop.ended) out += fmt::format("               hop {} at {} was still out where the trace ends\n", hop.number, hop.invoker);
    const Time parked = tale.parked();
    out += fmt::format("  so: {} after {}, {} hop{}{}{}\n", tale.outcome_word(), span(tale.took()), tale.hops.size(),
                       tale.hops.size() == 1 ? "" : "s", parked > Time{} ? fmt::format(", parked for {}", span(parked)) : "",
                       tale.outcome == JobState::honoured && tale.late() ? fmt::format(", {} later than promised", span(tale.took() - tale.promised)) : "");
    return out;
}

std::string line_of(const Tale& tale, const Names& names) {
    std::string hops;
    for (const HopTale& hop : tale.hops)
        hops += fmt::format("{}{}:{}", hops.empty() ? "" : " ", hop.invoker, hop.ended ? trace::word_of(hop.ending) : "out");
    return fmt::format("{:12.6f} s  job {:<10} {:<11} {:>9}  {:<16} {:<12} {:<10} {}", seconds(tale.taken), names.job(tale.job),
                       tale.outcome_word(), span(tale.took()), tale.function, tale.use_case, tale.tenant, hops);
}

std::string json_of(const Tale& tale, const Names& names) {
    json::object out{{"job", names.job(tale.job)}, {"outcome", tale.outcome_word()}, {"ended_s", seconds(tale.ended)},
                     {"parked_s", seconds(tale.parked())}};
    if (tale.begun) {
        out["taken_s"] = seconds(tale.taken);
        out["function"] = tale.function;
        out["use_case"] = tale.use_case;
        if (!tale.tenant.empty()) out["tenant"] = tale.tenant;
        out["promised_s"] = seconds(tale.promised);
        out["expires_s"] = seconds(tale.expires);
        if (tale.again) out["again"] = true;
    }
    json::array hops, turns;
    for (const HopTale& hop : tale.hops) hops.push_back(hop_object(hop));
    for (const TurnTale& turn : tale.turns) turns.push_back(turn_object(turn, names));
    out["hops"] = std::move(hops);
    out["turns"] = std::move(turns);
    return json::serialize(out);
}

std::string chrome_events(const Tale& tale, const Names& names) {
    std::string out;
    const std::string job = names.job(tale.job);
    const auto at = job.find('@');
    const std::string who = at == std::string::npos ? names.start().name : job.substr(at + 1);
    auto event = [&](const std::string& row, const std::string& name, Time from, Time to, const std::string& end) {
        const json::object one{{"ph", "X"}, {"pid", who}, {"tid", row}, {"name", name}, {"ts", from.count()},
                               {"dur", std::max<Time::rep>(0, (to - from).count())},
                               {"args", json::object{{"job", job}, {"end", end}, {"use case", tale.use_case}, {"tenant", tale.tenant}}}};
        out += json::serialize(one) + ",\n";
    };
    for (const HopTale& hop : tale.hops)
        event(hop.invoker, tale.function, hop.sent, hop.ended.value_or(std::max(tale.ended, hop.sent)),
              hop.ended ? std::string(trace::word_of(hop.ending)) : "still out");
    for (std::size_t i = 0; i < tale.turns.size(); ++i) {
        if (tale.turns[i].told.to != JobState::parked) continue;
        event("parked", tale.function, tale.turns[i].at, i + 1 < tale.turns.size() ? tale.turns[i + 1].at : tale.ended,
              std::string(trace::words_of(tale.turns[i].told.why)));
    }
    return out;
}

std::string chrome_mark(Time at, const std::string& what) {
    return json::serialize(json::object{{"ph", "i"}, {"s", "g"}, {"pid", "marks"}, {"tid", "marks"}, {"name", what}, {"ts", at.count()}}) + ",\n";
}

}  // namespace plumkeel::tale
