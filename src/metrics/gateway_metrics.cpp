#include "metrics/gateway_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace plumkeel::metrics {
namespace {

using prometheus::Histogram;

constexpr const char* outcomes[] = {"honoured", "late", "bounced", "written_off", "abandoned"};
constexpr const char* endings[] = {"honoured",   "errored", "turned_away", "unreachable", "never_sent",
                                   "not_loaded", "overdue", "cut_off",     "called_off"};
constexpr const char* notes[] = {"none", "stood", "begun", "joined", "broken"};

std::size_t outcome_of(const RequestEnd& end) {
    if (end.state == RequestState::succeeded) return end.late ? 1 : 0;
    if (end.state == RequestState::rejected) return 2;
    return end.state == RequestState::failed ? 3 : 4;
}

std::string reason_of(DecisionReason why) {
    switch (why) {
        case DecisionReason::overloaded:
            return "crowded";
        case DecisionReason::no_eligible_invoker:
            return "none_usable";
        case DecisionReason::attempts_exhausted:
            return "hops_used";
        case DecisionReason::parking_full:
            return "park_full";
        case DecisionReason::parking_budget_exceeded:
            return "parked_long";
        case DecisionReason::deadline_exceeded:
            return "time_up";
        case DecisionReason::may_have_run:
            return "may_have_run";
        default:
            return "other";
    }
}

const Histogram::BucketBoundaries spans = {0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8, 15, 30};
const Histogram::BucketBoundaries counts = {0, 1, 2, 3, 4, 6};

double seconds(Time t) {
    return static_cast<double>(t.count()) / 1e6;
}

}  // namespace

GatewayMetrics::GatewayMetrics(MetricsConfig rules, const std::string& controller)
    : config_(rules),
      tenants_(rules.max_tenants, rules.max_tenants * 10),
      functions_(rules.max_functions, rules.max_functions * 10) {
    const prometheus::Labels own = {{"controller", controller}};
    const auto counter = [&](const char* name, const char* help) {
        return &prometheus::BuildCounter()
                    .Name(std::string("plumkeel_") + name)
                    .Help(help)
                    .Labels(own)
                    .Register(registry_);
    };
    const auto histograms = [&](const char* name, const char* help) {
        return &prometheus::BuildHistogram()
                    .Name(std::string("plumkeel_") + name)
                    .Help(help)
                    .Labels(own)
                    .Register(registry_);
    };
    const auto gauge = [&](const char* name, const char* help) {
        return &prometheus::BuildGauge()
                    .Name(std::string("plumkeel_") + name)
                    .Help(help)
                    .Labels(own)
                    .Register(registry_);
    };
    requests_ = counter("jobs_total", "Jobs ended, by what came of them");
    function_requests_ = counter("function_jobs_total", "Jobs ended, by function");
    rejections_ = counter("given_up_total", "Jobs that the controller gave up, by reason");
    attempts_ = counter("hops_total", "Hops ended, by ending");
    loads_ = counter("copies_met_total", "How honoured hops found their copy");
    refused_ = counter("turned_back_total", "What the door turned back, by objection");
    invariants_broken_ = counter("invariants_broken_total", "Rules found broken at run time, by invariant: 0 for ever");
    duration_ = histograms("job_seconds", "From taken to its answer, of honoured jobs");
    waiting_ = histograms("waited_seconds", "Until a job's first hop left, or its end");
    attempt_count_ = histograms("job_hops", "Hops of a job");
    received_ = &counter("jobs_taken_total", "Jobs taken")->Add({});
    client_retries_ = &counter("jobs_again_total", "Jobs that their clients had sent before")->Add({});
    rounds_ = &counter("looks_total", "Looks at all levels: it stands still while the controller does")->Add({});
    health_checks_ = &counter("probes_total", "Probes sent")->Add({});
    preloads_ = &counter("orders_total", "Orders to load or unload sent")->Add({});
    warm_mispredictions_ =
        &counter("beliefs_wrong_total", "Hops to a copy taken to stand that had to be loaded")->Add({});
    loads_unfinished_ =
        &counter("loads_unfinished_total", "Hops that were to load their function and were not honoured")->Add({});
    recorder_dropped_ = &counter("trace_records_dropped_total", "Trace records that the recorder dropped")->Add({});
    log_lost_ = &counter("log_lines_lost_total", "Log lines not written")->Add({});
    unreachable_ = &counter("lines_unreachable_total", "Connections to invokers that did not come about")->Add({});
    attempt_duration_ = &histograms("hop_seconds", "Honoured hops on a copy that stood there")->Add({}, spans);
    load_duration_ = &histograms("load_seconds", "Honoured hops that began a load")->Add({}, spans);
    invokers_ = gauge("invokers", "Invokers by standing");
    for (const char* standing : {"trusted", "suspect", "aside", "easing", "not_ready", "cold"})
        gauges_[standing] = &invokers_->Add({{"standing", standing}});
    const std::pair<const char*, const char*> levels[] = {
        {"open_jobs", "Jobs not answered yet"},
        {"parked_jobs", "Jobs parked"},
        {"door_held_bytes", "Bodies held"},
        {"door_connections", "Clients' connections"},
        {"functions", "Functions known"},
        {"lines_open", "Connections to invokers"},
        {"hops_at_doubted", "Hops out at invokers doubted or set aside"},
        {"oldest_drain_seconds", "For how long an invoker that takes no more has had hops out"},
        {"pace_median", "Slowness learned of invokers, 1 as their kind: the median"},
        {"pace_worst", "And the slowest"},
        {"list_age_seconds", "Since the list was told"},
        {"loop_lag_seconds", "By how much the last look came late"}};
    for (const auto& [name, help] : levels) gauges_[name] = &gauge(name, help)->Add({});
    for (std::size_t i = 0; i < by_ending_.size(); ++i) by_ending_[i] = &attempts_->Add({{"ending", endings[i]}});
    for (std::size_t i = 0; i < by_note_.size(); ++i) by_note_[i] = &loads_->Add({{"copy", notes[i]}});
}

prometheus::Counter& GatewayMetrics::requests_counter(std::string_view request_class, std::string_view tenant,
                                                      std::size_t outcome) {
    auto at = by_tenant_.find(tenant);
    if (at == by_tenant_.end()) at = by_tenant_.emplace(std::string(tenant), Tenants{}).first;
    auto& uses = at->second.by_use_case;
    auto use = uses.find(request_class);
    if (use == uses.end()) {
        // All outcomes at once, from 0: of a counter that begins with its first event, that event is in no rate.
        use = uses.emplace(std::string(request_class), std::array<Counter*, 5>{}).first;
        for (std::size_t i = 0; i < std::size(outcomes); ++i)
            use->second[i] = &requests_->Add(
                {{"outcome", outcomes[i]}, {"use_case", std::string(request_class)}, {"tenant", std::string(tenant)}});
    }
    return *use->second[outcome];
}

prometheus::Histogram& GatewayMetrics::histogram(prometheus::Family<Histogram>& family,
                                                 std::map<std::string, Histogram*, std::less<>>& known,
                                                 std::string_view request_class) {
    const auto it = known.find(request_class);
    if (it != known.end()) return *it->second;
    Histogram& made =
        family.Add({{"use_case", std::string(request_class)}}, &family == attempt_count_ ? counts : spans);
    known.emplace(std::string(request_class), &made);
    return made;
}

void GatewayMetrics::request_ended(const RequestEnd& end) {
    const bool own_tenant = end.tenant.empty() || tenants_.add(end.tenant);
    requests_counter(end.request_class, own_tenant ? end.tenant : HeavyHitters::others, outcome_of(end)).Increment();
    const std::string_view function = functions_.add(end.function) ? end.function : HeavyHitters::others;
    auto it = by_function_.find(function);
    if (it == by_function_.end())
        it =
            by_function_.emplace(std::string(function), &function_requests_->Add({{"function", std::string(function)}}))
                .first;
    it->second->Increment();
    histogram(*waiting_, waited_by_, end.request_class).Observe(seconds(end.waited));
    histogram(*attempt_count_, hops_by_, end.request_class).Observe(static_cast<double>(end.attempts));
    if (end.state == RequestState::succeeded)
        histogram(*duration_, took_by_, end.request_class).Observe(seconds(end.duration));
    if (end.state != RequestState::rejected && end.state != RequestState::failed) return;
    const std::string reason = reason_of(end.reason);
    Counter*& counter = by_reason_[reason];
    if (!counter) counter = &rejections_->Add({{"reason", reason}});
    counter->Increment();
}

void GatewayMetrics::attempt_ended(const AttemptEnd& end) {
    by_ending_[static_cast<std::size_t>(end.outcome)]->Increment();
    if (end.starts_load && end.outcome != AttemptOutcome::succeeded) loads_unfinished_->Increment();
    if (end.outcome != AttemptOutcome::succeeded) return;
    by_note_[static_cast<std::size_t>(end.load_event)]->Increment();
    if (end.expected_warm && end.load_event == LoadEvent::started_load) warm_mispredictions_->Increment();
    if (end.load_event == LoadEvent::started_load)
        load_duration_->Observe(seconds(end.duration));
    else if (end.expected_warm)
        attempt_duration_->Observe(seconds(end.duration));
}

void GatewayMetrics::set_levels(const Levels& l) {
    const std::pair<const char*, double> now[] = {{"open_jobs", l.open_requests},
                                                  {"parked_jobs", l.parked},
                                                  {"door_held_bytes", l.reserved_bytes},
                                                  {"door_connections", l.connections},
                                                  {"functions", l.functions},
                                                  {"lines_open", l.connections_open},
                                                  {"hops_at_doubted", l.in_flight_at_unhealthy},
                                                  {"oldest_drain_seconds", l.longest_drain_s},
                                                  {"pace_median", l.slowdown_median},
                                                  {"pace_worst", l.slowdown_worst},
                                                  {"list_age_seconds", l.list_age_s},
                                                  {"loop_lag_seconds", l.lag_s},
                                                  {"trusted", l.healthy},
                                                  {"suspect", l.suspect},
                                                  {"aside", l.ejected},
                                                  {"easing", l.recovering},
                                                  {"not_ready", l.not_ready},
                                                  {"cold", l.slow_start}};
    for (const auto& [name, value] : now) gauges_.at(name)->Set(value);
    rounds_->Increment();
    const auto up_to = [](Counter& counter, double value) {
        if (value > counter.Value()) counter.Increment(value - counter.Value());
    };
    up_to(*recorder_dropped_, l.recorder_dropped);
    up_to(*log_lost_, l.log_dropped);
    up_to(*unreachable_, l.unreachable);
    for (const auto& [objection, value] : l.refused) {
        Counter*& counter = by_objection_[objection];
        if (!counter) counter = &refused_->Add({{"objection", objection}});
        up_to(*counter, value);
    }
    for (const auto& [invariant, value] : l.invariants_broken) {
        Counter*& counter = by_invariant_[invariant];
        if (!counter) counter = &invariants_broken_->Add({{"invariant", invariant}});
        up_to(*counter, value);
    }
}

void GatewayMetrics::review() {
    for (const std::string& name : tenants_.review().ended) {
        const auto it = by_tenant_.find(name);
        if (it == by_tenant_.end()) continue;
        for (const auto& [request_class, counters] : it->second.by_use_case)
            for (Counter* counter : counters) requests_->Remove(counter);
        by_tenant_.erase(it);
    }
    for (const std::string& name : functions_.review().ended) {
        const auto it = by_function_.find(name);
        if (it == by_function_.end()) continue;
        function_requests_->Remove(it->second);
        by_function_.erase(it);
    }
}

std::string GatewayMetrics::exposition() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace plumkeel::metrics
