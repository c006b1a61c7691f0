#include "metrics/meters.hpp"

#include <prometheus/text_serializer.h>

namespace plumkeel::metrics {
namespace {

using prometheus::Histogram;

constexpr const char* outcomes[] = {"honoured", "late", "bounced", "written_off", "abandoned"};
constexpr const char* endings[] = {"honoured",   "errored", "turned_away", "unreachable", "never_sent",
                                   "not_loaded", "overdue", "cut_off",     "called_off"};
constexpr const char* notes[] = {"none", "stood", "begun", "joined", "broken"};

std::size_t outcome_of(const JobEnd& end) {
    if (end.state == JobState::honoured) return end.late ? 1 : 0;
    if (end.state == JobState::bounced) return 2;
    return end.state == JobState::written_off ? 3 : 4;
}

std::string reason_of(Why why) {
    switch (why) {
        case Why::crowded:
            return "crowded";
        case Why::none_usable:
            return "none_usable";
        case Why::hops_used:
            return "hops_used";
        case Why::park_full:
            return "park_full";
        case Why::parked_long:
            return "parked_long";
        case Why::time_up:
            return "time_up";
        case Why::may_have_run:
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

Meters::Meters(MeterRules rules, const std::string& controller)
    : rules_(rules), tenants_(rules.tenants, rules.tenants * 10), functions_(rules.functions, rules.functions * 10) {
    const prometheus::Labels own = {{"controller", controller}};
    const auto counter = [&](const char* name, const char* help) {
        return &prometheus::BuildCounter().Name(std::string("plumkeel_") + name).Help(help).Labels(own).Register(registry_);
    };
    const auto histograms = [&](const char* name, const char* help) {
        return &prometheus::BuildHistogram().Name(std::string("plumkeel_") + name).Help(help).Labels(own).Register(registry_);
    };
    const auto gauge = [&](const char* name, const char* help) {
        return &prometheus::BuildGauge().Name(std::string("plumkeel_") + name).Help(help).Labels(own).Register(registry_);
    };
    jobs_ = counter("jobs_total", "Jobs ended, by what came of them");
    function_jobs_ = counter("function_jobs_total", "Jobs ended, by function");
    bounces_ = counter("given_up_total", "Jobs that the controller gave up, by reason");
    hops_ = counter("hops_total", "Hops ended, by ending");
    loads_ = counter("copies_met_total", "How honoured hops found their copy");
    turned_back_ = counter("turned_back_total", "What the door turned back, by objection");
    invariants_broken_ = counter("invariants_broken_total", "Rules found broken at run time, by invariant: 0 for ever");
    took_ = histograms("job_seconds", "From taken to its answer, of honoured jobs");
    waited_ = histograms("waited_seconds", "Until a job's first hop left, or its end");
    hop_count_ = histograms("job_hops", "Hops of a job");
    taken_ = &counter("jobs_taken_total", "Jobs taken")->Add({});
    again_ = &counter("jobs_again_total", "Jobs that their clients had sent before")->Add({});
    looks_ = &counter("looks_total", "Looks at all levels: it stands still while the controller does")->Add({});
    probes_ = &counter("probes_total", "Probes sent")->Add({});
    orders_ = &counter("orders_total", "Orders to load or unload sent")->Add({});
    beliefs_wrong_ = &counter("beliefs_wrong_total", "Hops to a copy taken to stand that had to be loaded")->Add({});
    loads_unfinished_ = &counter("loads_unfinished_total", "Hops that were to load their function and were not honoured")->Add({});
    recorder_dropped_ = &counter("trace_records_dropped_total", "Trace records that the recorder dropped")->Add({});
    log_lost_ = &counter("log_lines_lost_total", "Log lines not written")->Add({});
    unreachable_ = &counter("lines_unreachable_total", "Connections to invokers that did not come about")->Add({});
    hop_took_ = &histograms("hop_seconds", "Honoured hops on a copy that stood there")->Add({}, spans);
    load_took_ = &histograms("load_seconds", "Honoured hops that began a load")->Add({}, spans);
    invokers_ = gauge("invokers", "Invokers by standing");
    for (const char* standing : {"trusted", "suspect", "aside", "easing", "not_ready", "cold"})
        gauges_[standing] = &invokers_->Add({{"standing", standing}});
    const std::pair<const char*, const char*> levels[] = {
        {"open_jobs", "Jobs not answered yet"}, {"parked_jobs", "Jobs parked"}, {"door_held_bytes", "Bodies held"},
        {"door_connections", "Clients' connections"}, {"functions", "Functions known"}, {"lines_open", "Connections to invokers"},
        {"hops_at_doubted", "Hops out at invokers doubted or set aside"},
        {"oldest_drain_seconds", "For how long an invoker that takes no more has had hops out"},
        {"pace_median", "Slowness learned of invokers, 1 as their kind: the median"}, {"pace_worst", "And the slowest"},
        {"list_age_seconds", "Since the list was told"}, {"loop_lag_seconds", "By how much the last look came late"}};
    for (const auto& [name, help] : levels) gauges_[name] = &gauge(name, help)->Add({});
    for (std::size_t i = 0; i < by_ending_.size(); ++i) by_ending_[i] = &hops_->Add({{"ending", endings[i]}});
    for (std::size_t i = 0; i < by_note_.size(); ++i) by_note_[i] = &loads_->Add({{"copy", notes[i]}});
}

prometheus::Counter& Meters::jobs_of(std::string_view use_case, std::string_view tenant, std::size_t outcome) {
    auto at = by_tenant_.find(tenant);
    if (at == by_tenant_.end()) at = by_tenant_.emplace(std::string(tenant), Tenants{}).first;
    auto& uses = at->second.by_use_case;
    auto use = uses.find(use_case);
    if (use == uses.end()) {
        // All outcomes at once, from 0: of a counter that begins with its first event, that event is in no rate.
        use = uses.emplace(std::string(use_case), std::array<Counter*, 5>{}).first;
        for (std::size_t i = 0; i < std::size(outcomes); ++i)
            use->second[i] = &jobs_->Add({{"outcome", outcomes[i]}, {"use_case", std::string(use_case)}, {"tenant", std::string(tenant)}});
    }
    return *use->second[outcome];
}

prometheus::Histogram& Meters::histogram(prometheus::Family<Histogram>& family, std::map<std::string, Histogram*, std::less<>>& known,
                                         std::string_view use_case) {
    const auto it = known.find(use_case);
    if (it != known.end()) return *it->second;
    Histogram& made = family.Add({{"use_case", std::string(use_case)}}, &family == hop_count_ ? counts : spans);
    known.emplace(std::string(use_case), &made);
    return made;
}

void Meters::job_ended(const JobEnd& end) {
    const bool own_tenant = end.tenant.empty() || tenants_.feed(end.tenant);
    jobs_of(end.use_case, own_tenant ? end.tenant : Heaviest::others, outcome_of(end)).Increment();
    const std::string_view function = functions_.feed(end.function) ? end.function : Heaviest::others;
    auto it = by_function_.find(function);
    if (it == by_function_.end())
        it = by_function_.emplace(std::string(function), &function_jobs_->Add({{"function", std::string(function)}})).first;
    it->second->Increment();
    histogram(*waited_, waited_by_, end.use_case).Observe(seconds(end.waited));
    histogram(*hop_count_, hops_by_, end.use_case).Observe(static_cast<double>(end.hops));
    if (end.state == JobState::honoured) histogram(*took_, took_by_, end.use_case).Observe(seconds(end.took));
    if (end.state != JobState::bounced && end.state != JobState::written_off) return;
    const std::string reason = reason_of(end.why);
    Counter*& counter = by_reason_[reason];
    if (!counter) counter = &bounces_->Add({{"reason", reason}});
    counter->Increment();
}

void Meters::hop_ended(const HopEnd& end) {
    by_ending_[static_cast<std::size_t>(end.ending)]->Increment();
    if (end.loads && end.ending != Ending::honoured) loads_unfinished_->Increment();
    if (end.ending != Ending::honoured) return;
    by_note_[static_cast<std::size_t>(end.note)]->Increment();
    if (end.expected_warm && end.note == Note::began_load) beliefs_wrong_->Increment();
    if (end.note == Note::began_load)
        load_took_->Observe(seconds(end.took));
    else if (end.expected_warm)
        hop_took_->Observe(seconds(end.took));
}

void Meters::set(const Levels& l) {
    const std::pair<const char*, double> now[] = {
        {"open_jobs", l.open_jobs}, {"parked_jobs", l.parked}, {"door_held_bytes", l.held_bytes}, {"door_connections", l.connections},
        {"functions", l.functions}, {"lines_open", l.connections_open}, {"hops_at_doubted", l.out_at_doubted},
        {"oldest_drain_seconds", l.oldest_drain_s}, {"pace_median", l.pace_median}, {"pace_worst", l.pace_worst},
        {"list_age_seconds", l.list_age_s}, {"loop_lag_seconds", l.lag_s}, {"trusted", l.trusted}, {"suspect", l.suspect},
        {"aside", l.aside}, {"easing", l.easing}, {"not_ready", l.not_ready}, {"cold", l.cold}};
    for (const auto& [name, value] : now) gauges_.at(name)->Set(value);
    looks_->Increment();
    const auto up_to = [](Counter& counter, double value) {
        if (value > counter.Value()) counter.Increment(value - counter.Value());
    };
    up_to(*recorder_dropped_, l.recorder_dropped);
    up_to(*log_lost_, l.log_lost);
    up_to(*unreachable_, l.unreachable);
    for (const auto& [objection, value] : l.turned_back) {
        Counter*& counter = by_objection_[objection];
        if (!counter) counter = &turned_back_->Add({{"objection", objection}});
        up_to(*counter, value);
    }
    for (const auto& [invariant, value] : l.invariants_broken) {
        Counter*& counter = by_invariant_[invariant];
        if (!counter) counter = &invariants_broken_->Add({{"invariant", invariant}});
        up_to(*counter, value);
    }
}

void Meters::review() {
    for (const std::string& name : tenants_.review().ended) {
        const auto it = by_tenant_.find(name);
        if (it == by_tenant_.end()) continue;
        for (const auto& [use_case, counters] : it->second.by_use_case)
            for (Counter* counter : counters) jobs_->Remove(counter);
        by_tenant_.erase(it);
    }
    for (const std::string& name : functions_.review().ended) {
        const auto it = by_function_.find(name);
        if (it == by_function_.end()) continue;
        function_jobs_->Remove(it->second);
        by_function_.erase(it);
    }
}

std::string Meters::exposition() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace plumkeel::metrics
