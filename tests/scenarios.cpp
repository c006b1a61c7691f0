// Plays one scenario file against the decision module. The notation, a statement a line, times in ms:
//
//   allow K=V ...  rules K=V ...  use K=V ...    the deployment, before anything else (see the tables below)
//   list a b c/draining d/started=1000           the full list;  change ...: only these entries
//   take JOB FUNCTION [left=MS] [lanes=N] [again=yes]   a job arrives
//   end JOB HOP ENDING [NOTE] [company=N]         a hop ends, by its number
//   probe INVOKER ok|silent [held=N]              a probe's answer
//   load FUNCTION INVOKER ENDING [copies=N]       an order's answer
//   leave JOB                                     the client gives up
//   to MS                                         time passes, with all wakings due until then
//   stall MS                                      time passes, but the controller stands still
//   expect hop JOB INVOKER | off JOB | probe INVOKER | release INVOKER | order|unload FUNCTION INVOKER  since the last
//   'clear' deny ...                                      the same, and it must not have happened state JOB STATE as it
//   stands now why JOB REASON                                what it was turned for last weighed JOB INVOKER fits|BAR
//   as told with that hops JOB N                                    how many it has had clear forget what happened sent
//   INVOKER at most|at least N               hops to it since the last 'clear' count hop|probe at most|at least N how
//   often that happened since the last 'clear'
//
// @x stands for an invoker: bound by the first 'expect' that meets it, the same one afterwards; !@x: any
// other.
#include <cassert>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "scheduler/scheduler.hpp"

using namespace plumkeel;

namespace {

std::string file;
int line_number = 0;

[[noreturn]] void fail(const std::string& what) {
    std::cout << file << ":" << line_number << ": " << what << std::endl;
    std::exit(1);
}

Time ms(double value) {
    return Time(static_cast<Time::rep>(value * 1000));
}

double number(const std::string& text) {
    try {
        std::size_t used = 0;
        const double value = std::stod(text, &used);
        if (used == text.size()) return value;
    } catch (const std::exception&) {
    }
    fail("'" + text + "' is no number");
}

const std::map<std::string, AttemptOutcome> endings = {
    {"honoured", AttemptOutcome::succeeded},    {"errored", AttemptOutcome::failed},
    {"turned_away", AttemptOutcome::rejected},  {"unreachable", AttemptOutcome::unreachable},
    {"never_sent", AttemptOutcome::never_sent}, {"not_loaded", AttemptOutcome::load_failed},
    {"overdue", AttemptOutcome::timed_out},     {"cut_off", AttemptOutcome::connection_lost},
    {"called_off", AttemptOutcome::cancelled}};
const std::map<std::string, LoadEvent> notes = {{"loaded", LoadEvent::was_loaded},
                                                {"began", LoadEvent::started_load},
                                                {"joined", LoadEvent::joined_load},
                                                {"broke", LoadEvent::load_failed}};
const std::map<std::string, RequestState> states = {
    {"fresh", RequestState::received},      {"hopping", RequestState::in_flight},  {"parked", RequestState::parked},
    {"streaming", RequestState::streaming}, {"honoured", RequestState::succeeded}, {"bounced", RequestState::rejected},
    {"written_off", RequestState::failed},  {"abandoned", RequestState::cancelled}};

const std::map<std::string, DecisionReason> whys = {{"best_invoker", DecisionReason::best_invoker},
                                                    {"calm_copy", DecisionReason::new_replica},
                                                    {"silent_there", DecisionReason::invoker_unresponsive},
                                                    {"none_usable", DecisionReason::no_eligible_invoker},
                                                    {"crowded", DecisionReason::overloaded},
                                                    {"load_out", DecisionReason::load_in_progress},
                                                    {"lanes_taken", DecisionReason::concurrency_limit},
                                                    {"load_ordered", DecisionReason::preload_sent},
                                                    {"loads_rationed", DecisionReason::load_budget_exhausted},
                                                    {"never_ran", DecisionReason::attempt_never_ran},
                                                    {"hops_used", DecisionReason::attempts_exhausted},
                                                    {"parked_long", DecisionReason::parking_budget_exceeded},
                                                    {"time_up", DecisionReason::deadline_exceeded},
                                                    {"may_have_run", DecisionReason::may_have_run},
                                                    {"answer_came", DecisionReason::response_received},
                                                    {"client_left", DecisionReason::client_disconnected}};
const std::map<std::string, ExclusionReason> bars = {{"fits", ExclusionReason::none},
                                                     {"not_ready", ExclusionReason::not_ready},
                                                     {"cold_budget", ExclusionReason::slow_start_budget},
                                                     {"doubted", ExclusionReason::unhealthy},
                                                     {"eased", ExclusionReason::recovery_limit},
                                                     {"may_not_repeat", ExclusionReason::not_retryable},
                                                     {"turned_away", ExclusionReason::recently_rejected},
                                                     {"no_room", ExclusionReason::no_capacity}};

template <class T>
T word(const std::map<std::string, T>& table, const std::string& text) {
    const auto it = table.find(text);
    if (it == table.end()) fail("unknown word '" + text + "'");
    return it->second;
}

struct Scenario {
    SafetyRules rules;
    Capabilities may;
    RequestClass use;
    Time expiry{};
    Tenant tenant;
    InvokerType kind;
    std::unique_ptr<Scheduler> controller;
    std::map<std::string, std::unique_ptr<Invoker>> invokers;
    std::map<std::string, std::unique_ptr<Function>> functions;
    std::map<std::string, std::unique_ptr<Request>> requests;
    std::map<std::string, Invoker*> bound;
    Time now = ms(1), next = Time::max();
    std::vector<std::vector<std::string>> happened;
    std::map<std::string, StateTransition> turned;  // each job's last

    Scenario() {
        may.cancellation = may.health_checks = may.hedging = may.retry_after = may.on_demand_loading = true;
        may.stable_capacity = true;
        may.max_attempts = 5;
        may.controller_count = 1;
        may.keep_alive = ms(10000);
        may.clock_resolution = ms(2);
        may.max_retry_after = ms(2000);
        rules.slow_start_duration = ms(10000);
        rules.slow_start_initial_share = 0.2;
        rules.slow_start_rate_multiple = 2;
        rules.slow_start_window = ms(2000);
        use.latency_target = ms(1500);
        expiry = ms(4000);
        use.deduplication_window = ms(5000);
    }

    void set(const std::string& key, const std::string& value) {
        const std::map<std::string, Time*> times = {
            {"keep_alive", &may.keep_alive},           {"cold_for", &rules.slow_start_duration},
            {"push_span", &rules.slow_start_window},   {"load_span", &rules.load_budget_window},
            {"promised", &use.latency_target},         {"expiry", &expiry},
            {"remembered", &use.deduplication_window}, {"retry_after", &may.max_retry_after}};
        const std::map<std::string, double*> figures = {{"cold_share", &rules.slow_start_initial_share},
                                                        {"push_multiple", &rules.slow_start_rate_multiple},
                                                        {"free_loads", &rules.load_budget_base},
                                                        {"loads_per_job", &rules.load_budget_per_request},
                                                        {"share_per_s", &tenant.quota_per_s},
                                                        {"memory_price", &may.memory_price},
                                                        {"probe_price", &may.health_check_price}};
        const std::map<std::string, bool*> flags = {{"call_off", &may.cancellation},
                                                    {"probe", &may.health_checks},
                                                    {"second_copies", &may.hedging},
                                                    {"order_copies", &may.preload},
                                                    {"loads_on_demand", &may.on_demand_loading}};
        const std::map<std::string, int*> counts = {{"hops", &may.max_attempts},
                                                    {"controllers", &may.controller_count}};
        if (times.count(key))
            *times.at(key) = ms(number(value));
        else if (figures.count(key))
            *figures.at(key) = number(value);
        else if (flags.count(key))
            *flags.at(key) = value == "yes";
        else if (counts.count(key))
            *counts.at(key) = static_cast<int>(number(value));
        else if (key == "repeat")
            use.idempotency = word<Idempotency>({{"replayable", Idempotency::idempotent},
                                                 {"referenced", Idempotency::deduplicated},
                                                 {"single_use", Idempotency::at_most_once}},
                                                value);
        else if (key == "reach")
            use.deduplication_scope = word<DeduplicationScope>({{"everywhere", DeduplicationScope::global},
                                                                {"zone", DeduplicationScope::zone},
                                                                {"cell", DeduplicationScope::cell}},
                                                               value);
        else
            fail("unknown setting '" + key + "'");
    }

    Scheduler& it() {
        if (!controller) {
            controller = std::make_unique<Scheduler>(7, rules, may);
            controller->set_trace_detail(TraceDetail::candidates);
        }
        return *controller;
    }

    void note(const Actions& r) {
        for (const Invoker* invoker : r.released_invokers) happened.push_back({"release", invoker->name});
        for (const Attempt* attempt : r.to_cancel) happened.push_back({"off", name_of(attempt->request)});
        for (const Attempt* attempt : r.to_send)
            happened.push_back({"hop", name_of(attempt->request), attempt->invoker->name});
        for (const Invoker* invoker : r.to_probe) happened.push_back({"probe", invoker->name});
        for (const PreloadCommand& order : r.to_preload)
            happened.push_back({order.copies ? "order" : "unload", order.function->name, order.invoker->name});
        for (const StateTransition& each : r.transitions) turned[name_of(each.request)] = each;
        next = r.next_wake;
    }

    // How an invoker was weighed for a job in its last turn.
    const Candidate* weighed(const std::string& job_name, const Invoker& there) {
        for (const Candidate& each : turned.at(job_name).candidates)
            if (each.invoker == &there) return &each;
        return nullptr;
    }

    std::string name_of(const Request* request) const {
        for (const auto& [name, each] : requests)
            if (each.get() == request) return name;
        return "?";
    }

    Request& request(const std::string& name) {
        if (!requests.count(name)) fail("no job '" + name + "'");
        return *requests.at(name);
    }

    Invoker& invoker(const std::string& name) {
        if (name[0] == '@' && bound.count(name)) return *bound.at(name);
        if (!invokers.count(name)) fail("no invoker '" + name + "'");
        return *invokers.at(name);
    }

    void list(const std::vector<std::string>& words, bool complete) {
        std::vector<Invoker*> changed;
        for (std::size_t i = 1; i < words.size(); ++i) {
            std::stringstream parts(words[i]);
            std::string name, part;
            std::getline(parts, name, '/');
            if (name[0] == '@') name = invoker(name).name;
            std::unique_ptr<Invoker>& entry = invokers[name];
            if (!entry) entry = std::make_unique<Invoker>();
            entry->name = name;
            entry->type = &kind;
            entry->capacity = 1;
            entry->ready = true;
            while (std::getline(parts, part, '/')) {
                if (part == "draining" || part == "gone")
                    entry->ready = false;
                else if (part.rfind("started=", 0) == 0)
                    entry->started_at = ms(number(part.substr(8)));
                else if (part.rfind("zone=", 0) == 0)
                    entry->zone = part.substr(5);
                else if (part.rfind("cell=", 0) == 0)
                    entry->cell = static_cast<int>(number(part.substr(5)));
                else
                    fail("unknown word '" + part + "'");
            }
            changed.push_back(entry.get());
        }
        note(it().endpoints_changed(now, changed, complete));
    }

    bool matches(const std::vector<std::string>& was, const std::vector<std::string>& wanted) {
        if (was.size() + 1 < wanted.size() || was[0] != wanted[1]) return false;
        for (std::size_t i = 2; i < wanted.size(); ++i) {
            const std::string& want = wanted[i];
            const std::string& got = was[i - 1];
            if (want.rfind("!@", 0) == 0) {
                if (invoker(want.substr(1)).name == got) return false;
            } else if (want[0] == '@' && !bound.count(want)) {
                bound[want] = invokers.at(got).get();
            } else if ((want[0] == '@' ? bound.at(want)->name : want) != got) {
                return false;
            }
        }
        return true;
    }

    bool seen(const std::vector<std::string>& wanted) {
        if (!std::set<std::string>{"hop", "off", "probe", "release", "order", "unload"}.count(wanted.at(1)))
            fail("unknown word '" + wanted[1] + "'");
        for (const auto& was : happened)
            if (matches(was, wanted)) return true;
        return false;
    }

    static void bound_by(int count, const std::vector<std::string>& w) {
        const double bound = number(w.back());
        if (w[w.size() - 2] == "most" ? count > bound : count < bound) fail("it was " + std::to_string(count));
    }

    static std::string option(const std::vector<std::string>& words, const std::string& key) {
        for (const std::string& each : words)
            if (each.rfind(key + "=", 0) == 0) return each.substr(key.size() + 1);
        return "";
    }

    void play(const std::vector<std::string>& w) {
        const std::string& verb = w[0];
        if (verb == "allow" || verb == "rules" || verb == "use") {
            for (std::size_t i = 1; i < w.size(); ++i)
                set(w[i].substr(0, w[i].find('=')), w[i].substr(w[i].find('=') + 1));
        } else if (verb == "list" || verb == "change") {
            list(w, verb == "list");
        } else if (verb == "take") {
            std::unique_ptr<Function>& function = functions[w.at(2)];
            if (!function) function = std::make_unique<Function>();
            function->name = w[2];
            function->concurrency = option(w, "lanes").empty() ? 1 : static_cast<int>(number(option(w, "lanes")));
            auto fresh = std::make_unique<Request>();
            fresh->request_class = &use;
            fresh->function = function.get();
            fresh->is_client_retry = option(w, "again") == "yes";
            fresh->remaining = option(w, "left").empty() ? expiry : ms(number(option(w, "left")));
            if (tenant.quota_per_s > 0) fresh->tenant = &tenant;
            Request& taken = *(requests[w.at(1)] = std::move(fresh));
            note(it().submit(now, taken));
        } else if (verb == "end") {
            const auto index = static_cast<std::size_t>(number(w.at(2)));
            if (index >= request(w.at(1)).attempts.size() || !request(w[1]).attempts[index].in_flight)
                fail("no such hop is out");
            LoadEvent told = LoadEvent::none;
            if (w.size() > 4 && w[4].find('=') == std::string::npos) told = word(notes, w[4]);
            const std::string concurrent_requests = option(w, "company");
            note(it().attempt_ended(now, request(w[1]).attempts[index], word(endings, w.at(3)), told,
                                    concurrent_requests.empty() ? 0 : static_cast<int>(number(concurrent_requests)),
                                    {}));
        } else if (verb == "probe") {
            LoadReport report;
            if (const std::string held = option(w, "held"); !held.empty()) report.in_flight = number(held);
            note(it().health_check_ended(now, invoker(w.at(1)), w.at(2) == "ok", report));
        } else if (verb == "load") {
            const std::string copies = option(w, "copies");
            note(it().preload_ended(now, *functions.at(w.at(1)), invoker(w.at(2)), word(endings, w.at(3)),
                                    copies.empty() ? 0 : static_cast<int>(number(copies))));
        } else if (verb == "leave") {
            note(it().client_disconnected(now, request(w.at(1))));
        } else if (verb == "to") {
            const Time until = ms(number(w.at(1)));
            if (until < now) fail("time runs backwards");
            while (next <= until) {
                now = std::max(now, next);
                note(it().wake(now));
                if (next <= now) fail("the controller asks to be woken again and again");
            }
            now = until;
        } else if (verb == "stall") {
            now += ms(number(w.at(1)));
        } else if (verb == "expect") {
            if (!seen(w)) fail("it did not happen");
        } else if (verb == "deny") {
            if (seen(w)) fail("it did happen");
        } else if (verb == "state") {
            if (request(w.at(1)).state != word(states, w.at(2))) {
                for (const auto& [name, state] : states)
                    if (state == request(w[1]).state) fail("it is " + name);
            }
        } else if (verb == "why") {
            if (request(w.at(1)).reason != word(whys, w.at(2)))
                for (const auto& [name, why] : whys)
                    if (why == request(w[1]).reason) fail("it is " + name);
        } else if (verb == "weighed") {
            const Candidate* found = weighed(w.at(1), invoker(w.at(2)));
            if (!found) fail("it was not weighed");
            if (found->exclusion != word(bars, w.at(3)))
                for (const auto& [name, bar] : bars)
                    if (bar == found->exclusion) fail("it is " + name);
            if (found->exclusion == ExclusionReason::none && !(found->finish_s > 0 && found->contention_s >= 0))
                fail("without an estimate");
        } else if (verb == "hops") {
            if (static_cast<double>(request(w.at(1)).attempts.size()) != number(w.at(2)))
                fail("it had " + std::to_string(request(w[1]).attempts.size()));
        } else if (verb == "sent") {
            int count = 0;
            for (const auto& was : happened) count += was[0] == "hop" && was[2] == invoker(w.at(1)).name;
            bound_by(count, w);
        } else if (verb == "count") {
            int count = 0;
            for (const auto& was : happened) count += was[0] == w.at(1);
            bound_by(count, w);
        } else if (verb == "clear") {
            happened.clear();
        } else {
            fail("unknown word '" + verb + "'");
        }
    }
};

}  // namespace

int main(int argc, char** argv) {
    assert(argc == 2);
    file = argv[1];
    std::ifstream in(file);
    if (!in) fail("can't be read");
    Scenario scenario;
    std::string line;
    int statements = 0;
    while (std::getline(in, line)) {
        ++line_number;
        std::istringstream words(line.substr(0, line.find('#')));
        std::vector<std::string> all;
        for (std::string each; words >> each;) all.push_back(each);
        if (all.empty()) continue;
        ++statements;
        try {
            scenario.play(all);
        } catch (const std::out_of_range&) {
            fail("a word is missing");
        }
    }
    if (!statements) fail("nothing in it");
    return 0;
}
