/// Runs one test script against the scheduler. Each line is one statement; all times are in ms:
///
///   allow K=V ...   rules K=V ...   use K=V ...      settings of the deployment, before all other statements
///                                                    (the keys are in Deployment::set)
///   endpoints a b c/draining d/started=1000          sets the whole endpoint list
///   change a/draining                                changes only these entries of the endpoint list
///   submit REQUEST FUNCTION [remaining=MS] [concurrency=N] [is_retry=yes]
///   end REQUEST ATTEMPT OUTCOME [LOAD_EVENT] [concurrent_requests=N]   an attempt ends; ATTEMPT is its number
///   probe INVOKER ok|silent [in_flight=N]            a health check ends
///   preloaded FUNCTION INVOKER OUTCOME [copies=N]    a preload ends
///   disconnect REQUEST                               the client gives up
///   to MS                                            time passes until MS, with all wake-ups due by then
///   stall MS                                         the controller stalls: MS pass without wake-ups
///   expect attempt REQUEST INVOKER | cancel REQUEST | probe INVOKER | release INVOKER
///        | preload FUNCTION INVOKER | unload FUNCTION INVOKER          must have happened since the last 'clear'
///   deny ...                                         as 'expect', but must not have happened
///   state REQUEST STATE                              the request must be in this state
///   reason REQUEST REASON                            its last change of state must have this reason
///   candidate REQUEST INVOKER EXCLUSION              its last change of state must have recorded the invoker with
///                                                    this exclusion, and with an estimate if it is 'none'
///   attempts REQUEST N                               the request must have had N attempts
///   sent INVOKER at most|at least N                  limits the attempts sent to it since the last 'clear'
///   count attempt|probe at most|at least N           limits the number of these events since the last 'clear'
///   clear                                            forgets all events so far
///
/// @x is a variable for an invoker: the first 'expect' that uses it binds it, and it names the same invoker afterwards.
/// !@x matches any other invoker.
#include <cassert>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "scheduler/scheduler.hpp"

using namespace plumkeel;

namespace {

using Words = std::vector<std::string>;

std::string script_name;
int line_number = 0;

[[noreturn]] void fail(const std::string& message) {
    std::cout << script_name << ":" << line_number << ": " << message << std::endl;
    std::exit(1);
}

Time ms(double value) {
    return Time(static_cast<Time::rep>(value * 1000));
}

double parse_number(const std::string& text) {
    try {
        std::size_t parsed_length = 0;
        const double value = std::stod(text, &parsed_length);
        if (parsed_length == text.size()) return value;
    } catch (const std::exception&) {  // reported by fail() below
    }
    fail("'" + text + "' is not a number");
}

const std::map<std::string, AttemptOutcome> outcomes = {
    {"succeeded", AttemptOutcome::succeeded},   {"failed", AttemptOutcome::failed},
    {"rejected", AttemptOutcome::rejected},     {"unreachable", AttemptOutcome::unreachable},
    {"never_sent", AttemptOutcome::never_sent}, {"load_failed", AttemptOutcome::load_failed},
    {"timed_out", AttemptOutcome::timed_out},   {"connection_lost", AttemptOutcome::connection_lost},
    {"cancelled", AttemptOutcome::cancelled},
};
const std::map<std::string, LoadEvent> load_events = {
    {"was_loaded", LoadEvent::was_loaded},
    {"started_load", LoadEvent::started_load},
    {"joined_load", LoadEvent::joined_load},
    {"load_failed", LoadEvent::load_failed},
};
const std::map<std::string, RequestState> states = {
    {"received", RequestState::received},   {"in_flight", RequestState::in_flight},
    {"parked", RequestState::parked},       {"streaming", RequestState::streaming},
    {"succeeded", RequestState::succeeded}, {"rejected", RequestState::rejected},
    {"failed", RequestState::failed},       {"cancelled", RequestState::cancelled},
};
const std::map<std::string, DecisionReason> reasons = {
    {"best_invoker", DecisionReason::best_invoker},
    {"new_replica", DecisionReason::new_replica},
    {"invoker_unresponsive", DecisionReason::invoker_unresponsive},
    {"no_eligible_invoker", DecisionReason::no_eligible_invoker},
    {"overloaded", DecisionReason::overloaded},
    {"load_in_progress", DecisionReason::load_in_progress},
    {"concurrency_limit", DecisionReason::concurrency_limit},
    {"preload_sent", DecisionReason::preload_sent},
    {"load_budget_exhausted", DecisionReason::load_budget_exhausted},
    {"attempt_never_ran", DecisionReason::attempt_never_ran},
    {"attempts_exhausted", DecisionReason::attempts_exhausted},
    {"parking_budget_exceeded", DecisionReason::parking_budget_exceeded},
    {"deadline_exceeded", DecisionReason::deadline_exceeded},
    {"may_have_run", DecisionReason::may_have_run},
    {"response_received", DecisionReason::response_received},
    {"client_disconnected", DecisionReason::client_disconnected},
};
const std::map<std::string, ExclusionReason> exclusions = {
    {"none", ExclusionReason::none},
    {"not_ready", ExclusionReason::not_ready},
    {"slow_start_budget", ExclusionReason::slow_start_budget},
    {"unhealthy", ExclusionReason::unhealthy},
    {"recovery_limit", ExclusionReason::recovery_limit},
    {"not_retryable", ExclusionReason::not_retryable},
    {"recently_rejected", ExclusionReason::recently_rejected},
    {"no_capacity", ExclusionReason::no_capacity},
};
const std::set<std::string> event_names = {"attempt", "cancel", "probe", "release", "preload", "unload"};

template <class T>
T value_of(const std::map<std::string, T>& table, const std::string& word) {
    const auto found = table.find(word);
    if (found == table.end()) fail("unknown word '" + word + "'");
    return found->second;
}

template <class T>
std::string word_of(const std::map<std::string, T>& table, T value) {
    for (const auto& [word, each] : table)
        if (each == value) return word;
    return "?";
}

template <class T>
void expect_equal(const std::map<std::string, T>& table, T value, const std::string& expected) {
    if (value != value_of(table, expected)) fail("unexpected value: " + word_of(table, value));
}

/// The value of KEY=VALUE among the words, or an empty string.
std::string option_value(const Words& words, const std::string& key) {
    for (const std::string& each : words)
        if (each.starts_with(key + "=")) return each.substr(key.size() + 1);
    return "";
}

int int_option(const Words& words, const std::string& key, int default_value) {
    const std::string text = option_value(words, key);
    return text.empty() ? default_value : static_cast<int>(parse_number(text));
}

void check_limit(int count, const Words& words) {
    const double limit = parse_number(words.back());
    const bool is_upper_limit = words[words.size() - 2] == "most";
    if (is_upper_limit ? count > limit : count < limit)
        fail("the statement's limit does not hold: the count is " + std::to_string(count));
}

/// Settings of a deployment, with default values for those that a script does not set.
struct Deployment {
    SafetyRules rules;
    Capabilities capabilities;
    RequestClass request_class;
    Tenant tenant;
    Time remaining = ms(4000);  // for requests without their own value

    Deployment() {
        capabilities.cancellation = capabilities.health_checks = capabilities.hedging = true;
        capabilities.retry_after = capabilities.on_demand_loading = capabilities.stable_capacity = true;
        capabilities.max_attempts = 5;
        capabilities.controller_count = 1;
        capabilities.keep_alive = ms(10000);
        capabilities.clock_resolution = ms(2);
        capabilities.max_retry_after = ms(2000);
        rules.slow_start_duration = ms(10000);
        rules.slow_start_initial_share = 0.2;
        rules.slow_start_rate_multiple = 2;
        rules.slow_start_window = ms(2000);
        request_class.latency_target = ms(1500);
        request_class.deduplication_window = ms(5000);
    }

    void set(const std::string& key, const std::string& value) {
        const std::map<std::string, Time*> times = {
            {"keep_alive", &capabilities.keep_alive},
            {"slow_start_duration", &rules.slow_start_duration},
            {"slow_start_window", &rules.slow_start_window},
            {"load_budget_window", &rules.load_budget_window},
            {"latency_target", &request_class.latency_target},
            {"remaining", &remaining},
            {"deduplication_window", &request_class.deduplication_window},
            {"max_retry_after", &capabilities.max_retry_after},
        };
        const std::map<std::string, double*> numbers = {
            {"slow_start_initial_share", &rules.slow_start_initial_share},
            {"slow_start_rate_multiple", &rules.slow_start_rate_multiple},
            {"load_budget_base", &rules.load_budget_base},
            {"load_budget_per_request", &rules.load_budget_per_request},
            {"quota_per_s", &tenant.quota_per_s},
            {"memory_price", &capabilities.memory_price},
            {"health_check_price", &capabilities.health_check_price},
        };
        const std::map<std::string, bool*> flags = {
            {"cancellation", &capabilities.cancellation},
            {"health_checks", &capabilities.health_checks},
            {"hedging", &capabilities.hedging},
            {"preload", &capabilities.preload},
            {"on_demand_loading", &capabilities.on_demand_loading},
        };
        const std::map<std::string, int*> integers = {
            {"max_attempts", &capabilities.max_attempts},
            {"controller_count", &capabilities.controller_count},
        };
        if (times.count(key))
            *times.at(key) = ms(parse_number(value));
        else if (numbers.count(key))
            *numbers.at(key) = parse_number(value);
        else if (flags.count(key))
            *flags.at(key) = value == "yes";
        else if (integers.count(key))
            *integers.at(key) = static_cast<int>(parse_number(value));
        else
            set_request_class(key, value);
    }

    void set_request_class(const std::string& key, const std::string& value) {
        if (key == "idempotency")
            request_class.idempotency = value_of<Idempotency>({{"idempotent", Idempotency::idempotent},
                                                               {"deduplicated", Idempotency::deduplicated},
                                                               {"at_most_once", Idempotency::at_most_once}},
                                                              value);
        else if (key == "deduplication_scope")
            request_class.deduplication_scope = value_of<DeduplicationScope>({{"global", DeduplicationScope::global},
                                                                              {"zone", DeduplicationScope::zone},
                                                                              {"cell", DeduplicationScope::cell}},
                                                                             value);
        else
            fail("unknown setting '" + key + "'");
    }
};

class Script {
public:
    void run(const Words& words) {
        using Statement = void (Script::*)(const Words&);
        static const std::map<std::string, Statement> statements = {
            {"allow", &Script::configure},
            {"rules", &Script::configure},
            {"use", &Script::configure},
            {"endpoints", &Script::list_all},
            {"change", &Script::list_changed},
            {"submit", &Script::submit},
            {"end", &Script::end_attempt},
            {"probe", &Script::end_health_check},
            {"preloaded", &Script::end_preload},
            {"disconnect", &Script::disconnect},
            {"to", &Script::run_until},
            {"stall", &Script::stall},
            {"expect", &Script::expect},
            {"deny", &Script::deny},
            {"state", &Script::check_state},
            {"reason", &Script::check_reason},
            {"candidate", &Script::check_candidate},
            {"attempts", &Script::check_attempts},
            {"sent", &Script::check_sent},
            {"count", &Script::check_count},
            {"clear", &Script::clear},
        };
        (this->*value_of(statements, words[0]))(words);
    }

private:
    Scheduler& scheduler() {
        if (!scheduler_) {
            scheduler_ = std::make_unique<Scheduler>(7, deployment_.rules, deployment_.capabilities);
            scheduler_->set_trace_detail(TraceDetail::candidates);
        }
        return *scheduler_;
    }

    void apply(const Actions& actions) {
        for (const Invoker* invoker : actions.released_invokers) events_.push_back({"release", invoker->name});
        for (const Attempt* attempt : actions.to_cancel) events_.push_back({"cancel", name_of(attempt->request)});
        for (const Attempt* attempt : actions.to_send)
            events_.push_back({"attempt", name_of(attempt->request), attempt->invoker->name});
        for (const Invoker* invoker : actions.to_probe) events_.push_back({"probe", invoker->name});
        for (const PreloadCommand& command : actions.to_preload)
            events_.push_back({command.copies ? "preload" : "unload", command.function->name, command.invoker->name});
        for (const StateTransition& each : actions.transitions) transitions_[name_of(each.request)] = each;
        next_wake_ = actions.next_wake;
    }

    std::string name_of(const Request* request) const {
        for (const auto& [name, each] : requests_)
            if (each.get() == request) return name;
        return "?";
    }
    Request& request(const std::string& name) {
        if (!requests_.count(name)) fail("no request '" + name + "' was submitted");
        return *requests_.at(name);
    }
    Invoker& invoker(const std::string& name) {
        if (name[0] == '@' && invokers_by_variable_.count(name)) return *invokers_by_variable_.at(name);
        if (!invokers_.count(name)) fail("no invoker '" + name + "' was listed");
        return *invokers_.at(name);
    }

    void configure(const Words& words) {
        for (std::size_t i = 1; i < words.size(); ++i) {
            const std::size_t equals = words[i].find('=');
            deployment_.set(words[i].substr(0, equals), words[i].substr(equals + 1));
        }
    }

    void list_all(const Words& words) { apply_endpoint_list(words, true); }
    void list_changed(const Words& words) { apply_endpoint_list(words, false); }
    void apply_endpoint_list(const Words& words, bool is_complete) {
        std::vector<Invoker*> changed;
        for (std::size_t i = 1; i < words.size(); ++i) changed.push_back(&update_invoker(words[i]));
        apply(scheduler().endpoints_changed(now_, changed, is_complete));
    }
    /// Updates an invoker from NAME[/draining][/gone][/started=MS][/zone=Z][/cell=N].
    Invoker& update_invoker(const std::string& text) {
        std::stringstream parts(text);
        std::string name, part;
        std::getline(parts, name, '/');
        if (name[0] == '@') name = invoker(name).name;
        std::unique_ptr<Invoker>& entry = invokers_[name];
        if (!entry) entry = std::make_unique<Invoker>();
        entry->name = name;
        entry->type = &type_;
        entry->capacity = 1;
        entry->ready = true;
        while (std::getline(parts, part, '/')) set_attribute(*entry, part);
        return *entry;
    }
    static void set_attribute(Invoker& invoker, const std::string& text) {
        if (text == "draining" || text == "gone")
            invoker.ready = false;
        else if (text.starts_with("started="))
            invoker.started_at = ms(parse_number(text.substr(8)));
        else if (text.starts_with("zone="))
            invoker.zone = text.substr(5);
        else if (text.starts_with("cell="))
            invoker.cell = static_cast<int>(parse_number(text.substr(5)));
        else
            fail("unknown word '" + text + "'");
    }

    void submit(const Words& words) {
        std::unique_ptr<Function>& function = functions_[words.at(2)];
        if (!function) function = std::make_unique<Function>();
        function->name = words[2];
        function->concurrency = int_option(words, "concurrency", 1);
        auto request = std::make_unique<Request>();
        request->request_class = &deployment_.request_class;
        request->function = function.get();
        request->is_client_retry = option_value(words, "is_retry") == "yes";
        const std::string remaining = option_value(words, "remaining");
        request->remaining = remaining.empty() ? deployment_.remaining : ms(parse_number(remaining));
        if (deployment_.tenant.quota_per_s > 0) request->tenant = &deployment_.tenant;
        Request& submitted = *(requests_[words.at(1)] = std::move(request));
        apply(scheduler().submit(now_, submitted));
    }
    void end_attempt(const Words& words) {
        const auto index = static_cast<std::size_t>(parse_number(words.at(2)));
        std::deque<Attempt>& attempts = request(words.at(1)).attempts;
        if (index >= attempts.size() || !attempts[index].in_flight)
            fail("the request has no attempt with this number in flight");
        const AttemptOutcome outcome = value_of(outcomes, words.at(3));
        LoadEvent load_event = LoadEvent::none;
        if (words.size() > 4 && words[4].find('=') == std::string::npos) load_event = value_of(load_events, words[4]);
        apply(scheduler().attempt_ended(now_, attempts[index], outcome, load_event,
                                        int_option(words, "concurrent_requests", 0), {}));
    }
    void end_health_check(const Words& words) {
        LoadReport report;
        if (const std::string load = option_value(words, "in_flight"); !load.empty())
            report.in_flight = parse_number(load);
        apply(scheduler().health_check_ended(now_, invoker(words.at(1)), words.at(2) == "ok", report));
    }
    void end_preload(const Words& words) {
        apply(scheduler().preload_ended(now_, *functions_.at(words.at(1)), invoker(words.at(2)),
                                        value_of(outcomes, words.at(3)), int_option(words, "copies", 0)));
    }
    void disconnect(const Words& words) { apply(scheduler().client_disconnected(now_, request(words.at(1)))); }

    void run_until(const Words& words) {
        const Time until = ms(parse_number(words.at(1)));
        if (until < now_) fail("the time of 'to' has already passed");
        while (next_wake_ <= until) {
            now_ = std::max(now_, next_wake_);
            apply(scheduler().wake(now_));
            if (next_wake_ <= now_) fail("the scheduler did not ask for a later wake-up");
        }
        now_ = until;
    }
    void stall(const Words& words) { now_ += ms(parse_number(words.at(1))); }

    void expect(const Words& words) {
        if (!has_happened(words)) fail("the expected event has not happened since the last 'clear'");
    }
    void deny(const Words& words) {
        if (has_happened(words)) fail("the denied event has happened since the last 'clear'");
    }
    bool has_happened(const Words& expected) {
        if (!event_names.count(expected.at(1))) fail("unknown word '" + expected[1] + "'");
        for (const Words& event : events_)
            if (matches_event(event, expected)) return true;
        return false;
    }
    bool matches_event(const Words& event, const Words& expected) {
        if (event.size() + 1 < expected.size() || event[0] != expected[1]) return false;
        for (std::size_t i = 2; i < expected.size(); ++i)
            if (!matches_name(event[i - 1], expected[i])) return false;
        return true;
    }
    bool matches_name(const std::string& name, const std::string& expected) {
        if (expected.starts_with("!@")) return invoker(expected.substr(1)).name != name;
        if (expected[0] != '@') return expected == name;
        if (!invokers_by_variable_.count(expected)) invokers_by_variable_[expected] = invokers_.at(name).get();
        return invokers_by_variable_.at(expected)->name == name;
    }

    void check_state(const Words& words) { expect_equal(states, request(words.at(1)).state, words.at(2)); }
    void check_reason(const Words& words) { expect_equal(reasons, request(words.at(1)).reason, words.at(2)); }
    void check_candidate(const Words& words) {
        const Candidate* found = nullptr;
        const Invoker& expected = invoker(words.at(2));
        for (const Candidate& each : transitions_.at(words.at(1)).candidates)
            if (!found && each.invoker == &expected) found = &each;
        if (!found) fail("the invoker was not recorded as a candidate");
        expect_equal(exclusions, found->exclusion, words.at(3));
        const bool has_estimate = found->finish_s > 0 && found->contention_s >= 0;
        if (found->exclusion == ExclusionReason::none && !has_estimate) fail("the candidate has no estimate");
    }
    void check_attempts(const Words& words) {
        const std::size_t count = request(words.at(1)).attempts.size();
        if (static_cast<double>(count) != parse_number(words.at(2)))
            fail("unexpected number of attempts: " + std::to_string(count));
    }
    void check_sent(const Words& words) {
        int count = 0;
        for (const Words& event : events_) count += event[0] == "attempt" && event[2] == invoker(words.at(1)).name;
        check_limit(count, words);
    }
    void check_count(const Words& words) {
        int count = 0;
        for (const Words& event : events_) count += event[0] == words.at(1);
        check_limit(count, words);
    }
    void clear(const Words&) { events_.clear(); }

    Deployment deployment_;
    InvokerType type_;
    std::unique_ptr<Scheduler> scheduler_;
    std::map<std::string, std::unique_ptr<Invoker>> invokers_;
    std::map<std::string, std::unique_ptr<Function>> functions_;
    std::map<std::string, std::unique_ptr<Request>> requests_;
    std::map<std::string, Invoker*> invokers_by_variable_;  // invokers by variable, such as @x
    Time now_ = ms(1), next_wake_ = Time::max();
    std::vector<Words> events_;                           // events since the last 'clear'
    std::map<std::string, StateTransition> transitions_;  // last transition by request
};

}  // namespace

int main(int argc, char** argv) {
    assert(argc == 2);
    script_name = argv[1];
    std::ifstream in(script_name);
    if (!in) fail("cannot open the script");
    Script script;
    std::string line;
    int statements = 0;
    while (std::getline(in, line)) {
        ++line_number;
        std::istringstream text(line.substr(0, line.find('#')));
        Words words;
        for (std::string each; text >> each;) words.push_back(each);
        if (words.empty()) continue;
        ++statements;
        try {
            script.run(words);
        } catch (const std::out_of_range&) {
            fail("the statement has too few words or names an unknown object");
        }
    }
    if (!statements) fail("the script has no statements");
    return 0;
}
