#include "trace/calls.hpp"

#include <fmt/format.h>

#include <algorithm>
#include "trace/words.hpp"

namespace plumkeel::trace {
namespace {

constexpr std::size_t most_ways = 1'000'000;  // jobs that are followed after a difference; those past it are not told

// The same for the same answer, whoever's objects it points to.
template <class FunctionNumber, class InvokerNumber>
void fill(Answer& out, const Results& r, FunctionNumber function, InvokerNumber invoker) {
    out.called_off.clear();
    out.answered.clear();
    out.started.clear();
    out.probed.clear();
    out.ordered.clear();
    out.forgotten.clear();
    for (const Hop* hop : r.called_off) out.called_off.push_back({hop->job->id, static_cast<std::uint64_t>(hop->number)});
    for (const Job* job : r.answered) out.answered.push_back({job->id, job->state, job->retry_after});
    for (const Hop* hop : r.started)
        out.started.push_back({hop->job->id, static_cast<std::uint64_t>(hop->number), invoker(*hop->invoker), hop->limit});
    for (const Invoker* each : r.probed) out.probed.push_back(invoker(*each));
    for (const CopyOrder& order : r.ordered)
        out.ordered.push_back({function(*order.function), invoker(*order.invoker), order.copies});
    for (const Function* each : r.forgotten) out.forgotten.push_back(function(*each));
    out.follow_list = r.follow_list;
    out.next_wake = r.next_wake;
}

Time span_of(double seconds) {
    return Time(static_cast<Time::rep>(std::clamp(seconds, 0.0, 1e6) * 1e6));
}

template <class InvokerNumber>
void fill(TurnedTo& out, const Turned& t, InvokerNumber invoker) {
    out.to = t.to;
    out.why = t.why;
    out.pause = t.to == JobState::bounced ? t.job->retry_after : Time{};
    out.sent.reset();
    out.weighed.clear();
    if (t.hop) out.sent = {static_cast<std::uint64_t>(t.hop->number), invoker(*t.hop->invoker), t.hop->loads, t.hop->expected_warm};
    for (const Weighed& each : t.weighed)
        out.weighed.push_back({invoker(*each.invoker), span_of(each.finish), span_of(each.wait), each.warm, each.bar});
}

}  // namespace

Watched::Watched(Start start, std::vector<const UseCase*> use_cases, std::vector<const Tenant*> tenants, Recorded recorded,
                 bool reasons)
    : controller_(start.seed, start.rules, start.may), recorded_(std::move(recorded)) {
    for (const UseCase* each : use_cases) use_cases_.emplace(each, use_cases_.size());
    for (const Tenant* each : tenants) tenants_.emplace(each, tenants_.size());
    if (!recorded_) return;
    controller_.tell(reasons ? Tell::weighed : Tell::turns);
    record(Time{}, Told::settings, 0, start);
}

template <class T>
void Watched::record(Time now, Told kind, std::uint64_t job, const T& told) {
    pack_into(record_.body, told);
    record_.at = now;
    record_.kind = kind;
    record_.job = job;
    recorded_(record_);
}

void Watched::record(Time now, Told kind, std::uint64_t job) {
    record_ = {now, kind, job, ""};
    recorded_(record_);
}

std::uint64_t Watched::number_of(const Function& function, Time now) {
    const auto [it, fresh] = functions_.try_emplace(&function, functions_known_);
    if (fresh) record(now, Told::function_known, 0, Known{functions_known_++, function.name});
    return it->second;
}

std::uint64_t Watched::number_of(const Invoker& invoker, Time now) {
    const auto [it, fresh] = invokers_.try_emplace(&invoker, invokers_known_);
    if (fresh) record(now, Told::invoker_known, 0, Known{invokers_known_++, invoker.name});
    return it->second;
}

Results Watched::tell(Time now, std::uint64_t job, Results results) {
    if (!recorded_) return results;
    const auto function = [&](const Function& f) { return number_of(f, now); };
    const auto invoker = [&](const Invoker& i) { return number_of(i, now); };
    fill(answer_, results, function, invoker);
    record(now, Told::answered, job, answer_);
    for (const Turned& each : results.turned) {
        fill(turned_, each, invoker);
        record(now, Told::turned, each.job->id, turned_);
    }
    for (const Function* each : results.forgotten) {
        const auto known = functions_.find(each);
        record(now, Told::function_forgotten, 0, Forgotten{known->second});
        functions_.erase(known);
    }
    for (const Invoker* each : results.released) invokers_.erase(each);
    return results;
}

Results Watched::take(Time now, Job& job) {
    if (recorded_) {
        const Function& function = *job.function;
        record(now, Told::take, job.id,
               Taken{use_cases_.at(job.use_case), job.tenant ? 1 + tenants_.at(job.tenant) : 0, number_of(function, now),
                     function.lanes, function.told_load, job.time_left, job.again});
    }
    const std::uint64_t id = job.id;
    return tell(now, id, controller_.take(now, job));
}

Results Watched::hop_accepted(Time now, Hop& hop) {
    const std::uint64_t id = hop.job->id;
    if (recorded_) record(now, Told::hop_accepted, id, HopAccepted{static_cast<std::uint64_t>(hop.number)});
    return tell(now, id, controller_.hop_accepted(now, hop));
}

Results Watched::hop_ended(Time now, Hop& hop, Ending ending, Note note, int company, const Report& report) {
    const std::uint64_t id = hop.job->id;
    if (recorded_)
        record(now, Told::hop_ended, id, HopEnded{static_cast<std::uint64_t>(hop.number), ending, note, company, report});
    return tell(now, id, controller_.hop_ended(now, hop, ending, note, company, report));
}

Results Watched::client_left(Time now, Job& job) {
    const std::uint64_t id = job.id;
    if (recorded_) record(now, Told::client_left, id);
    return tell(now, id, controller_.client_left(now, job));
}

void Watched::record_list(Time now, const std::vector<Invoker*>& told, bool complete) {
    FleetChanged list{complete, 0, {}};
    for (const Invoker* each : told)
        list.changed.push_back({number_of(*each, now), each->ready, each->units, each->zone,
                                kinds_.try_emplace(each->kind, kinds_.size()).first->second, each->cell, each->started});
    record(now, Told::fleet_changed, 0, list);
}

Results Watched::fleet_changed(Time now, const std::vector<Invoker*>& changed, bool complete) {
    if (recorded_) record_list(now, changed, complete);
    return tell(now, 0, controller_.fleet_changed(now, changed, complete));
}

Results Watched::fleet_left(Time now, const std::vector<Invoker*>& gone, const std::function<std::vector<Invoker*>()>& still_listed) {
    if (recorded_) record_list(now, still_listed(), true);
    return tell(now, 0, controller_.fleet_left(now, gone));
}

Results Watched::list_broke(Time now) {
    if (recorded_) record(now, Told::list_broke, 0);
    return tell(now, 0, controller_.list_broke(now));
}

Results Watched::probe_answered(Time now, Invoker& invoker, bool came, const Report& report) {
    if (recorded_) record(now, Told::probe_answered, 0, ProbeAnswered{number_of(invoker, now), came, report});
    return tell(now, 0, controller_.probe_answered(now, invoker, came, report));
}

Results Watched::load_answered(Time now, Function& function, Invoker& invoker, Ending ending, int copies) {
    if (recorded_) {
        const LoadAnswered told{number_of(function, now), number_of(invoker, now), ending, copies};
        record(now, Told::load_answered, 0, told);
    }
    return tell(now, 0, controller_.load_answered(now, function, invoker, ending, copies));
}

Results Watched::wake(Time now) {
    if (recorded_) record(now, Told::wake, 0);
    return tell(now, 0, controller_.wake(now));
}

// ---------------------------------------------------------------- deciding again

struct Again::State {
    std::function<void(Start&)> change;
    Recorded reasons;
    Start start;
    std::unique_ptr<Controller> controller;
    std::vector<UseCase> use_cases;
    std::vector<Tenant> tenants;
    std::map<std::uint64_t, std::unique_ptr<Function>> functions;
    std::map<std::uint64_t, std::unique_ptr<Invoker>> invokers;
    std::map<std::uint64_t, Kind> kinds;
    std::unordered_map<std::uint64_t, std::unique_ptr<Job>> jobs;
    std::unordered_map<const Function*, std::uint64_t> numbers;
    std::unordered_map<const Invoker*, std::uint64_t> places;
    std::map<std::uint64_t, std::pair<std::string, std::string>> ways;  // as far as calls were answered otherwise
    Record call;
    std::optional<std::string> now;  // the fresh controller's answer to `call`
    Comparison found;

    Invoker* invoker(std::uint64_t number) {
        const auto it = invokers.find(number);
        if (it == invokers.end() || !it->second->kind) throw Fault("a record names an invoker that was never listed");
        return it->second.get();
    }
    Function* function(std::uint64_t number) {
        const auto it = functions.find(number);
        if (it == functions.end()) throw Fault("a record names a function that is not known");
        return it->second.get();
    }
    Hop* hop(std::uint64_t job, std::uint64_t number) {
        const auto it = jobs.find(job);
        if (it == jobs.end() || number >= it->second->hops.size()) return nullptr;
        Hop* found_hop = &it->second->hops[number];
        return found_hop->out ? found_hop : nullptr;
    }
    void begin(const Record& record);
    bool learn_name(const Record& record);
    std::optional<Results> decide(const Record& record);
    Results take(Time at, std::uint64_t id, const Taken& told);
    Results list(Time at, const FleetChanged& told);
    void settle(const Results& results);
    void note_ways(const Answer& answer, std::string std::pair<std::string, std::string>::*way);
};

Again::Again(std::function<void(Start&)> change, Recorded reasons) : state_(std::make_unique<State>()) {
    state_->change = std::move(change);
    state_->reasons = std::move(reasons);
}

Again::~Again() = default;

void Again::State::begin(const Record& record) {
    start = unpack<Start>(record.body);
    if (change) change(start);
    for (const auto& [name, use] : start.use_cases) use_cases.push_back(use);
    tenants.assign(start.tenants.size(), {});
    for (std::size_t i = 0; i < tenants.size(); ++i) tenants[i].share_per_s = start.tenants[i].second;
    controller = std::make_unique<Controller>(start.seed, start.rules, start.may);
    if (reasons) controller->tell(Tell::weighed);
}

// Whether the record is only one of names.
bool Again::State::learn_name(const Record& record) {
    if (record.kind == Told::function_known) {
        const auto known = unpack<Known>(record.body);
        auto& one = functions[known.number];
        if (one) return true;  // told again
        one = std::make_unique<Function>();
        one->name = known.name;
        numbers[one.get()] = known.number;
        return true;
    }
    if (record.kind == Told::invoker_known) {
        const auto known = unpack<Known>(record.body);
        auto& one = invokers[known.number];
        if (one) return true;
        one = std::make_unique<Invoker>();
        one->name = known.name;
        places[one.get()] = known.number;
        return true;
    }
    return record.kind == Told::function_forgotten || record.kind == Told::turned;
}

Results Again::State::take(Time at, std::uint64_t id, const Taken& told) {
    if (told.use_case >= use_cases.size() || told.tenant > tenants.size())
        throw Fault("a record names what the settings do not");
    auto fresh = std::make_unique<Job>();
    Job& job = *fresh;
    job.id = id;
    job.use_case = &use_cases[told.use_case];
    if (told.tenant) job.tenant = &tenants[told.tenant - 1];
    job.function = function(told.function);
    job.function->lanes = told.lanes;
    if (told.told_load) job.function->told_load = told.told_load;
    job.time_left = told.time_left;
    job.again = told.again;
    if (!jobs.try_emplace(id, std::move(fresh)).second) throw Fault("a job is taken twice");
    ++found.jobs;
    return controller->take(at, job);
}

Results Again::State::list(Time at, const FleetChanged& told) {
    std::vector<Invoker*> changed;
    for (const ListEntry& entry : told.changed) {
        const auto it = invokers.find(entry.invoker);
        if (it == invokers.end()) throw Fault("a record lists an invoker that is not known");
        Invoker* one = it->second.get();
        one->ready = entry.ready;
        one->units = entry.units;
        one->zone = entry.zone;
        one->kind = &kinds[entry.kind];
        one->cell = entry.cell;
        one->started = entry.started;
        changed.push_back(one);
    }
    return controller->fleet_changed(at, changed, told.complete);
}

std::optional<Results> Again::State::decide(const Record& record) {
    const Time at = record.at;
    switch (record.kind) {
        case Told::take:
            return take(at, record.job, unpack<Taken>(record.body));
        case Told::hop_accepted: {
            Hop* one = hop(record.job, unpack<HopAccepted>(record.body).hop);
            if (!one) return {};
            return controller->hop_accepted(at, *one);
        }
        case Told::hop_ended: {
            const auto told = unpack<HopEnded>(record.body);
            Hop* one = hop(record.job, told.hop);
            if (!one) return {};
            return controller->hop_ended(at, *one, told.ending, told.note, told.company, told.report);
        }
        case Told::client_left: {
            const auto job = jobs.find(record.job);
            if (job == jobs.end()) return {};
            return controller->client_left(at, *job->second);
        }
        case Told::fleet_changed:
            return list(at, unpack<FleetChanged>(record.body));
        case Told::list_broke:
            return controller->list_broke(at);
        case Told::probe_answered: {
            const auto told = unpack<ProbeAnswered>(record.body);
            return controller->probe_answered(at, *invoker(told.invoker), told.came, told.report);
        }
        case Told::load_answered: {
            const auto told = unpack<LoadAnswered>(record.body);
            const auto one = functions.find(told.function);
            if (one == functions.end()) return {};
            return controller->load_answered(at, *one->second, *invoker(told.invoker), told.ending, told.copies);
        }
        case Told::wake:
            return controller->wake(at);
        default:
            return {};
    }
}

// Lets go of what the host would: closed jobs, forgotten functions.
void Again::State::settle(const Results& results) {
    std::vector<std::uint64_t> ids;
    for (const Job* job : results.answered) ids.push_back(job->id);
    if (call.job) ids.push_back(call.job);
    for (const std::uint64_t id : ids)
        if (const auto it = jobs.find(id); it != jobs.end() && it->second->closed()) jobs.erase(it);
    for (const Function* each : results.forgotten) {
        const auto it = numbers.find(each);
        const std::uint64_t number = it->second;
        numbers.erase(it);
        functions.erase(number);
    }
}

// Where jobs went and how they were answered by one of two answers that differ.
void Again::State::note_ways(const Answer& answer, std::string std::pair<std::string, std::string>::*way) {
    const auto note = [&](std::uint64_t job, const std::string& words) {
        if (ways.size() >= most_ways && !ways.count(job)) return;
        std::string& text = ways[job].*way;
        text += (text.empty() ? "" : ", ") + words;
    };
    for (const auto& each : answer.started) {
        const auto there = invokers.find(each.invoker);
        note(each.job, "to " + (there == invokers.end() ? "#" + std::to_string(each.invoker) : there->second->name));
    }
    for (const auto& each : answer.answered) note(each.job, std::string(word_of(each.state)));
}

void Again::feed(const Record& record) {
    State& s = *state_;
    if (record.kind == Told::resumed) {
        if (const auto told = unpack<Resumed>(record.body); !told.part.empty())
            throw Fault("the trace is " + told.part + ": it can't be decided again");
        if (!s.controller) throw Fault("the trace begins in mid-flight, without its first file: it can't be decided again");
        return;
    }
    if (record.kind == Told::story) throw Fault("the trace holds a sample of the jobs: it can't be decided again");
    if (record.kind == Told::gap) throw Fault("the recorder dropped records here: it can be decided again up to there");
    if (record.kind == Told::settings) {
        if (!s.controller) s.begin(record);
        return;  // a further file tells them again
    }
    if (!s.controller) throw Fault("the trace begins in mid-flight, without the settings: it can't be decided again");
    if (s.learn_name(record)) return;
    if (record.kind != Told::answered) {
        s.call = record;
        s.now.reset();
        ++s.found.calls;
        if (const auto results = s.decide(record)) {
            const auto function = [&](const Function& f) { return s.numbers.at(&f); };
            const auto invoker = [&](const Invoker& i) { return s.places.at(&i); };
            Answer answer;
            fill(answer, *results, function, invoker);
            s.now = pack(answer);
            for (const Turned& each : results->turned) {
                TurnedTo told;
                fill(told, each, invoker);
                s.reasons({record.at, Told::turned, each.job->id, pack(told)});
            }
            s.settle(*results);
        }
        return;
    }
    if (s.now && *s.now == record.body) return;
    ++s.found.different_calls;
    const auto then = unpack<Answer>(record.body);
    const auto now = s.now ? unpack<Answer>(*s.now) : Answer{};
    s.note_ways(then, &std::pair<std::string, std::string>::first);
    s.note_ways(now, &std::pair<std::string, std::string>::second);
    if (s.found.first) return;
    s.found.first = Difference{s.found.calls, s.call, words_of(then), s.now ? words_of(now) : "nothing: the call no longer fits"};
}

Comparison Again::compare() {
    constexpr std::size_t most_named = 10;
    Comparison found = state_->found;
    for (const auto& [job, ways] : state_->ways) {
        if (ways.first == ways.second) continue;  // the same way, at another time
        ++found.different_jobs;
        if (found.elsewhere.size() < most_named) found.elsewhere[job] = ways;
    }
    return found;
}

std::string words_of(const Answer& answer) {
    std::string out;
    auto add = [&](std::string words) { out += (out.empty() ? "" : "; ") + std::move(words); };
    for (const auto& each : answer.called_off) add(fmt::format("calls hop {} of job {} off", each.hop, each.job));
    for (const auto& each : answer.answered)
        add(fmt::format("job {} is {}{}", each.job, word_of(each.state),
                        each.pause > Time{} ? fmt::format(", to come back after {} ms", each.pause.count() / 1000) : ""));
    for (const auto& each : answer.started)
        add(fmt::format("hop {} of job {} goes to invoker #{} for {} ms", each.hop, each.job, each.invoker, each.limit.count() / 1000));
    for (const std::uint64_t each : answer.probed) add(fmt::format("probes invoker #{}", each));
    for (const auto& each : answer.ordered)
        add(fmt::format("orders {} copies of function #{} at invoker #{}", each.copies, each.function, each.invoker));
    for (const std::uint64_t each : answer.forgotten) add(fmt::format("forgets function #{}", each));
    if (answer.follow_list) add("follows the list");
    add(fmt::format("wakes at {:.3f} s", static_cast<double>(answer.next_wake.count()) / 1e6));
    return out;
}

}  // namespace plumkeel::trace
