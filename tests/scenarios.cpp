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
//   expect hop JOB INVOKER | off JOB | probe INVOKER | release INVOKER | order|unload FUNCTION INVOKER  since the last 'clear'
//   deny ...                                      the same, and it must not have happened
//   state JOB STATE                               as it stands now
//   why JOB REASON                                what it was turned for last
//   weighed JOB INVOKER fits|BAR                  as told with that
//   hops JOB N                                    how many it has had
//   clear                                         forget what happened
//   sent INVOKER at most|at least N               hops to it since the last 'clear'
//   count hop|probe at most|at least N            how often that happened since the last 'clear'
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

#include "dispatch/controller.hpp"

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

const std::map<std::string, Ending> endings = {
    {"honoured", Ending::honoured},       {"errored", Ending::errored},
    {"turned_away", Ending::turned_away}, {"unreachable", Ending::unreachable},
    {"never_sent", Ending::never_sent},   {"not_loaded", Ending::not_loaded},
    {"overdue", Ending::overdue},         {"cut_off", Ending::cut_off},
    {"called_off", Ending::called_off}};
const std::map<std::string, Note> notes = {{"loaded", Note::stood_loaded},
                                           {"began", Note::began_load},
                                           {"joined", Note::joined_load},
                                           {"broke", Note::load_broke}};
const std::map<std::string, JobState> states = {{"fresh", JobState::fresh},
                                                {"hopping", JobState::hopping},
                                                {"parked", JobState::parked},
                                                {"streaming", JobState::streaming},
                                                {"honoured", JobState::honoured},
                                                {"bounced", JobState::bounced},
                                                {"written_off", JobState::written_off},
                                                {"abandoned", JobState::abandoned}};

const std::map<std::string, Why> whys = {{"best_invoker", Why::best_invoker},
                                         {"calm_copy", Why::calm_copy},
                                         {"silent_there", Why::silent_there},
                                         {"none_usable", Why::none_usable},
                                         {"crowded", Why::crowded},
                                         {"load_out", Why::load_out},
                                         {"lanes_taken", Why::lanes_taken},
                                         {"load_ordered", Why::load_ordered},
                                         {"loads_rationed", Why::loads_rationed},
                                         {"never_ran", Why::never_ran},
                                         {"hops_used", Why::hops_used},
                                         {"parked_long", Why::parked_long},
                                         {"time_up", Why::time_up},
                                         {"may_have_run", Why::may_have_run},
                                         {"answer_came", Why::answer_came},
                                         {"client_left", Why::client_left}};
const std::map<std::string, Bar> bars = {{"fits", Bar::none},
                                         {"not_ready", Bar::not_ready},
                                         {"cold_budget", Bar::cold_budget},
                                         {"doubted", Bar::doubted},
                                         {"eased", Bar::eased},
                                         {"may_not_repeat", Bar::may_not_repeat},
                                         {"turned_away", Bar::turned_away},
                                         {"no_room", Bar::no_room}};

template <class T>
T word(const std::map<std::string, T>& table, const std::string& text) {
    const auto it = table.find(text);
    if (it == table.end()) fail("unknown word '" + text + "'");
    return it->second;
}

struct Scenario {
    Rulebook rules;
    Allowances may;
    UseCase use;
    Time expiry{};
    Tenant tenant;
    Kind kind;
    std::unique_ptr<Controller> controller;
    std::map<std::string, std::unique_ptr<Invoker>> invokers;
    std::map<std::string, std::unique_ptr<Function>> functions;
    std::map<std::string, std::unique_ptr<Job>> jobs;
    std::map<std::string, Invoker*> bound;
    Time now = ms(1), next = Time::max();
    std::vector<std::vector<std::string>> happened;
    std::map<std::string, Turned> turned;  // each job's last

    Scenario() {
        may.call_off = may.probe = may.second_copies = may.retry_after = may.loads_on_demand = true;
        may.steady_units = true;
        may.hops = 5;
        may.controllers = 1;
        may.keep_alive = ms(10000);
        may.tick = ms(2);
        may.longest_retry_after = ms(2000);
        rules.cold_for = ms(10000);
        rules.cold_share = 0.2;
        rules.push_multiple = 2;
        rules.push_span = ms(2000);
        use.promised = ms(1500);
        expiry = ms(4000);
        use.remembered = ms(5000);
    }

    void set(const std::string& key, const std::string& value) {
        const std::map<std::string, Time*> times = {
            {"keep_alive", &may.keep_alive}, {"cold_for", &rules.cold_for},
            {"push_span", &rules.push_span}, {"load_span", &rules.load_span},
            {"promised", &use.promised},     {"expiry", &expiry},
            {"remembered", &use.remembered}, {"retry_after", &may.longest_retry_after}};
        const std::map<std::string, double*> figures = {
            {"cold_share", &rules.cold_share},    {"push_multiple", &rules.push_multiple},
            {"free_loads", &rules.free_loads},    {"loads_per_job", &rules.loads_per_job},
            {"share_per_s", &tenant.share_per_s}, {"memory_price", &may.memory_price},
            {"probe_price", &may.probe_price}};
        const std::map<std::string, bool*> flags = {{"call_off", &may.call_off},
                                                    {"probe", &may.probe},
                                                    {"second_copies", &may.second_copies},
                                                    {"order_copies", &may.order_copies},
                                                    {"loads_on_demand", &may.loads_on_demand}};
        const std::map<std::string, int*> counts = {{"hops", &may.hops}, {"controllers", &may.controllers}};
        if (times.count(key))
            *times.at(key) = ms(number(value));
        else if (figures.count(key))
            *figures.at(key) = number(value);
        else if (flags.count(key))
            *flags.at(key) = value == "yes";
        else if (counts.count(key))
            *counts.at(key) = static_cast<int>(number(value));
        else if (key == "repeat")
            use.repeat = word<Repeat>({{"replayable", Repeat::replayable},
                                       {"referenced", Repeat::referenced},
                                       {"single_use", Repeat::single_use}},
                                      value);
        else if (key == "reach")
            use.reach = word<Reach>(
                {{"everywhere", Reach::everywhere}, {"zone", Reach::zone}, {"cell", Reach::cell}}, value);
        else
            fail("unknown setting '" + key + "'");
    }

    Controller& it() {
        if (!controller) {
            controller = std::make_unique<Controller>(7, rules, may);
            controller->tell(Tell::weighed);
        }
        return *controller;
    }

    void note(const Results& r) {
        for (const Invoker* invoker : r.released) happened.push_back({"release", invoker->name});
        for (const Hop* hop : r.called_off) happened.push_back({"off", name_of(hop->job)});
        for (const Hop* hop : r.started) happened.push_back({"hop", name_of(hop->job), hop->invoker->name});
        for (const Invoker* invoker : r.probed) happened.push_back({"probe", invoker->name});
        for (const CopyOrder& order : r.ordered)
            happened.push_back(
                {order.copies ? "order" : "unload", order.function->name, order.invoker->name});
        for (const Turned& each : r.turned) turned[name_of(each.job)] = each;
        next = r.next_wake;
    }

    // How an invoker was weighed for a job in its last turn.
    const Weighed* weighed(const std::string& job_name, const Invoker& there) {
        for (const Weighed& each : turned.at(job_name).weighed)
            if (each.invoker == &there) return &each;
        return nullptr;
    }

    std::string name_of(const Job* job) const {
        for (const auto& [name, each] : jobs)
            if (each.get() == job) return name;
        return "?";
    }

    Job& job(const std::string& name) {
        if (!jobs.count(name)) fail("no job '" + name + "'");
        return *jobs.at(name);
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
            entry->kind = &kind;
            entry->units = 1;
            entry->ready = true;
            while (std::getline(parts, part, '/')) {
                if (part == "draining" || part == "gone")
                    entry->ready = false;
                else if (part.rfind("started=", 0) == 0)
                    entry->started = ms(number(part.substr(8)));
                else if (part.rfind("zone=", 0) == 0)
                    entry->zone = part.substr(5);
                else if (part.rfind("cell=", 0) == 0)
                    entry->cell = static_cast<int>(number(part.substr(5)));
                else
                    fail("unknown word '" + part + "'");
            }
            changed.push_back(entry.get());
        }
        note(it().fleet_changed(now, changed, complete));
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
        if (w[w.size() - 2] == "most" ? count > bound : count < bound)
            fail("it was " + std::to_string(count));
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
            function->lanes = option(w, "lanes").empty() ? 1 : static_cast<int>(number(option(w, "lanes")));
            auto fresh = std::make_unique<Job>();
            fresh->use_case = &use;
            fresh->function = function.get();
            fresh->again = option(w, "again") == "yes";
            fresh->time_left = option(w, "left").empty() ? expiry : ms(number(option(w, "left")));
            if (tenant.share_per_s > 0) fresh->tenant = &tenant;
            Job& taken = *(jobs[w.at(1)] = std::move(fresh));
            note(it().take(now, taken));
        } else if (verb == "end") {
            const auto index = static_cast<std::size_t>(number(w.at(2)));
            if (index >= job(w.at(1)).hops.size() || !job(w[1]).hops[index].out) fail("no such hop is out");
            Note told = Note::none;
            if (w.size() > 4 && w[4].find('=') == std::string::npos) told = word(notes, w[4]);
            const std::string company = option(w, "company");
            note(it().hop_ended(now, job(w[1]).hops[index], word(endings, w.at(3)), told,
                                company.empty() ? 0 : static_cast<int>(number(company)), {}));
        } else if (verb == "probe") {
            Report report;
            if (const std::string held = option(w, "held"); !held.empty()) report.held = number(held);
            note(it().probe_answered(now, invoker(w.at(1)), w.at(2) == "ok", report));
        } else if (verb == "load") {
            const std::string copies = option(w, "copies");
            note(it().load_answered(now, *functions.at(w.at(1)), invoker(w.at(2)), word(endings, w.at(3)),
                                    copies.empty() ? 0 : static_cast<int>(number(copies))));
        } else if (verb == "leave") {
            note(it().client_left(now, job(w.at(1))));
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
            if (job(w.at(1)).state != word(states, w.at(2))) {
                for (const auto& [name, state] : states)
                    if (state == job(w[1]).state) fail("it is " + name);
            }
        } else if (verb == "why") {
            if (job(w.at(1)).why != word(whys, w.at(2)))
                for (const auto& [name, why] : whys)
                    if (why == job(w[1]).why) fail("it is " + name);
        } else if (verb == "weighed") {
            const Weighed* found = weighed(w.at(1), invoker(w.at(2)));
            if (!found) fail("it was not weighed");
            if (found->bar != word(bars, w.at(3)))
                for (const auto& [name, bar] : bars)
                    if (bar == found->bar) fail("it is " + name);
            if (found->bar == Bar::none && !(found->finish > 0 && found->wait >= 0)) fail("without an estimate");
        } else if (verb == "hops") {
            if (static_cast<double>(job(w.at(1)).hops.size()) != number(w.at(2)))
                fail("it had " + std::to_string(job(w[1]).hops.size()));
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
