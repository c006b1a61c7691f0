#include "trace/calls.hpp"

#include <fmt/format.h>

#include <bit>
#include <set>

namespace plumkeel::trace {
namespace {

// Writes and reads the bodies of records. Reading past the end, or what can't be, throws Fault.
class Pen {
public:
    Pen& number(std::uint64_t value) {
        for (; value >= 0x80; value >>= 7) out_.push_back(static_cast<char>(value | 0x80));
        out_.push_back(static_cast<char>(value));
        return *this;
    }
    Pen& signed_number(std::int64_t value) {
        return number(static_cast<std::uint64_t>(value) << 1 ^ static_cast<std::uint64_t>(value >> 63));
    }
    Pen& time(Time value) { return signed_number(value.count()); }
    Pen& figure(double value) {
        const auto bits = std::bit_cast<std::uint64_t>(value);
        for (int i = 0; i < 8; ++i) out_.push_back(static_cast<char>(bits >> (8 * i)));
        return *this;
    }
    Pen& text(std::string_view value) {
        number(value.size());
        out_ += value;
        return *this;
    }
    template <class T, class Write>
    Pen& maybe(const std::optional<T>& value, Write write) {
        number(value ? 1 : 0);
        if (value) write(*value);
        return *this;
    }
    std::string done() { return std::move(out_); }

private:
    std::string out_;
};

class Eye {
public:
    explicit Eye(std::string_view in) : in_(in) {}
    std::uint64_t number() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            const auto byte = take_byte();
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (!(byte & 0x80)) return value;
        }
        throw Fault("a number is too long");
    }
    std::int64_t signed_number() {
        const std::uint64_t value = number();
        return static_cast<std::int64_t>(value >> 1) ^ -static_cast<std::int64_t>(value & 1);
    }
    Time time() { return Time(signed_number()); }
    double figure() {
        std::uint64_t bits = 0;
        for (int i = 0; i < 8; ++i) bits |= static_cast<std::uint64_t>(take_byte()) << (8 * i);
        return std::bit_cast<double>(bits);
    }
    std::string text() {
        const std::uint64_t n = number();
        if (n > in_.size()) throw Fault("a text is longer than its record");
        std::string out(in_.substr(0, n));
        in_.remove_prefix(n);
        return out;
    }
    bool flag() { return number() != 0; }
    bool more() const { return !in_.empty(); }

private:
    unsigned char take_byte() {
        if (in_.empty()) throw Fault("a record ends early");
        const auto byte = static_cast<unsigned char>(in_.front());
        in_.remove_prefix(1);
        return byte;
    }
    std::string_view in_;
};

void put(Pen& pen, const Report& report) {
    pen.maybe(report.held, [&](double v) { pen.figure(v); }).maybe(report.queued, [&](double v) { pen.figure(v); });
}

Report report_of(Eye& eye) {
    Report report;
    if (eye.flag()) report.held = eye.figure();
    if (eye.flag()) report.queued = eye.figure();
    return report;
}

std::string text_of(const Start& start) {
    Pen pen;
    const Rulebook& r = start.rules;
    const Allowances& m = start.may;
    pen.number(start.seed).time(r.cold_for).figure(r.cold_share).figure(r.push_multiple).time(r.push_span);
    pen.time(r.load_span).figure(r.free_loads).figure(r.loads_per_job);
    for (const bool flag : {m.call_off, m.probe, m.second_copies, m.retry_after, m.order_copies, m.ask_for_list,
                            m.loads_on_demand, m.steady_units})
        pen.number(flag);
    pen.signed_number(m.hops).signed_number(m.controllers).time(m.longest_retry_after).time(m.keep_alive).time(m.tick);
    pen.figure(m.memory_price).number(start.use_cases.size());
    for (const auto& [name, use] : start.use_cases)
        pen.text(name).time(use.promised).number(static_cast<int>(use.repeat)).number(static_cast<int>(use.reach)).time(use.remembered);
    pen.number(start.tenants.size());
    for (const auto& [name, share] : start.tenants) pen.text(name).figure(share);
    return pen.done();
}

Start start_of(std::string_view text) {
    Eye eye(text);
    Start start;
    Rulebook& r = start.rules;
    Allowances& m = start.may;
    start.seed = eye.number();
    r.cold_for = eye.time();
    r.cold_share = eye.figure();
    r.push_multiple = eye.figure();
    r.push_span = eye.time();
    r.load_span = eye.time();
    r.free_loads = eye.figure();
    r.loads_per_job = eye.figure();
    for (bool* flag : {&m.call_off, &m.probe, &m.second_copies, &m.retry_after, &m.order_copies, &m.ask_for_list,
                       &m.loads_on_demand, &m.steady_units})
        *flag = eye.flag();
    m.hops = static_cast<int>(eye.signed_number());
    m.controllers = static_cast<int>(eye.signed_number());
    m.longest_retry_after = eye.time();
    m.keep_alive = eye.time();
    m.tick = eye.time();
    m.memory_price = eye.figure();
    for (auto n = eye.number(); n > 0; --n) {
        auto& [name, use] = start.use_cases.emplace_back();
        name = eye.text();
        use.promised = eye.time();
        use.repeat = static_cast<Repeat>(eye.number());
        use.reach = static_cast<Reach>(eye.number());
        use.remembered = eye.time();
    }
    for (auto n = eye.number(); n > 0; --n) {
        auto& [name, share] = start.tenants.emplace_back();
        name = eye.text();
        share = eye.figure();
    }
    return start;
}

// The same bytes for the same answer, whoever's objects it points to.
template <class FunctionNumber, class InvokerNumber>
std::string text_of(const Results& r, FunctionNumber function, InvokerNumber invoker) {
    Pen pen;
    pen.number(r.called_off.size());
    for (const Hop* hop : r.called_off) pen.number(hop->job->id).number(static_cast<std::uint64_t>(hop->number));
    pen.number(r.answered.size());
    for (const Job* job : r.answered) pen.number(job->id).number(static_cast<int>(job->state)).time(job->retry_after);
    pen.number(r.started.size());
    for (const Hop* hop : r.started)
        pen.number(hop->job->id).number(static_cast<std::uint64_t>(hop->number)).number(invoker(*hop->invoker)).time(hop->limit);
    pen.number(r.probed.size());
    for (const Invoker* each : r.probed) pen.number(invoker(*each));
    pen.number(r.ordered.size());
    for (const CopyOrder& order : r.ordered)
        pen.number(function(*order.function)).number(invoker(*order.invoker)).signed_number(order.copies);
    pen.number(r.forgotten.size());
    for (const Function* each : r.forgotten) pen.number(function(*each));
    return pen.number(r.follow_list).time(r.next_wake).done();
}

}  // namespace

Watched::Watched(Start start, std::vector<const UseCase*> use_cases, std::vector<const Tenant*> tenants, Recorded recorded)
    : controller_(start.seed, start.rules, start.may), recorded_(std::move(recorded)) {
    for (const UseCase* each : use_cases) use_cases_.emplace(each, use_cases_.size());
    for (const Tenant* each : tenants) tenants_.emplace(each, tenants_.size());
    if (recorded_) recorded_({Time{}, Told::settings, 0, text_of(start)});
}

std::uint64_t Watched::number_of(const Function& function, Time now) {
    const auto [it, fresh] = functions_.try_emplace(&function, functions_known_);
    if (fresh) {
        ++functions_known_;
        recorded_({now, Told::function_known, 0, Pen().text(function.name).done()});
    }
    return it->second;
}

std::uint64_t Watched::number_of(const Invoker& invoker) {
    return invokers_.try_emplace(&invoker, invokers_.size()).first->second;
}

Results Watched::tell(Time now, std::uint64_t job, Results results) {
    if (!recorded_) return results;
    recorded_({now, Told::answered, job,
               text_of(results, [&](const Function& f) { return number_of(f, now); }, [&](const Invoker& i) { return number_of(i); })});
    for (const Function* each : results.forgotten) functions_.erase(each);
    return results;
}

Results Watched::take(Time now, Job& job) {
    if (recorded_) {
        const std::uint64_t function = number_of(*job.function, now);
        Pen pen;
        pen.number(use_cases_.at(job.use_case)).number(job.tenant ? 1 + tenants_.at(job.tenant) : 0).number(function);
        pen.signed_number(job.function->lanes).maybe(job.function->told_load, [&](Time t) { pen.time(t); });
        pen.time(job.time_left).number(job.again);
        recorded_({now, Told::take, job.id, pen.done()});
    }
    const std::uint64_t id = job.id;
    return tell(now, id, controller_.take(now, job));
}

Results Watched::hop_accepted(Time now, Hop& hop) {
    const std::uint64_t id = hop.job->id;
    if (recorded_) recorded_({now, Told::hop_accepted, id, Pen().number(static_cast<std::uint64_t>(hop.number)).done()});
    return tell(now, id, controller_.hop_accepted(now, hop));
}

Results Watched::hop_ended(Time now, Hop& hop, Ending ending, Note note, int company, const Report& report) {
    const std::uint64_t id = hop.job->id;
    if (recorded_) {
        Pen pen;
        pen.number(static_cast<std::uint64_t>(hop.number)).number(static_cast<int>(ending)).number(static_cast<int>(note)).signed_number(company);
        put(pen, report);
        recorded_({now, Told::hop_ended, id, pen.done()});
    }
    return tell(now, id, controller_.hop_ended(now, hop, ending, note, company, report));
}

Results Watched::client_left(Time now, Job& job) {
    const std::uint64_t id = job.id;
    if (recorded_) recorded_({now, Told::client_left, id, ""});
    return tell(now, id, controller_.client_left(now, job));
}

Results Watched::fleet_changed(Time now, const std::vector<Invoker*>& changed, bool complete) {
    if (recorded_) {
        Pen pen;
        pen.number(complete).number(changed.size());
        for (const Invoker* each : changed) {
            pen.number(number_of(*each)).text(each->name).number(each->ready).figure(each->units).text(each->zone);
            pen.number(kinds_.try_emplace(each->kind, kinds_.size()).first->second).signed_number(each->cell);
            pen.maybe(each->started, [&](Time t) { pen.time(t); });
        }
        recorded_({now, Told::fleet_changed, 0, pen.done()});
    }
    return tell(now, 0, controller_.fleet_changed(now, changed, complete));
}

Results Watched::list_broke(Time now) {
    if (recorded_) recorded_({now, Told::list_broke, 0, ""});
    return tell(now, 0, controller_.list_broke(now));
}

Results Watched::probe_answered(Time now, Invoker& invoker, bool came, const Report& report) {
    if (recorded_) {
        Pen pen;
        pen.number(number_of(invoker)).number(came);
        put(pen, report);
        recorded_({now, Told::probe_answered, 0, pen.done()});
    }
    return tell(now, 0, controller_.probe_answered(now, invoker, came, report));
}

Results Watched::load_answered(Time now, Function& function, Invoker& invoker, Ending ending, int copies) {
    if (recorded_) {
        const std::uint64_t number = number_of(function, now);
        recorded_({now, Told::load_answered, 0,
                   Pen().number(number).number(number_of(invoker)).number(static_cast<int>(ending)).signed_number(copies).done()});
    }
    return tell(now, 0, controller_.load_answered(now, function, invoker, ending, copies));
}

Results Watched::wake(Time now) {
    if (recorded_) recorded_({now, Told::wake, 0, ""});
    return tell(now, 0, controller_.wake(now));
}

// ---------------------------------------------------------------- deciding again

struct Again::State {
    std::function<void(Start&)> change;
    Start start;
    std::unique_ptr<Controller> controller;
    std::vector<UseCase> use_cases;
    std::vector<Tenant> tenants;
    std::vector<std::unique_ptr<Function>> functions;
    std::map<std::uint64_t, std::unique_ptr<Invoker>> invokers;
    std::map<std::uint64_t, Kind> kinds;
    std::unordered_map<std::uint64_t, std::unique_ptr<Job>> jobs;
    std::unordered_map<const Function*, std::uint64_t> numbers;
    std::unordered_map<const Invoker*, std::uint64_t> places;
    std::set<std::uint64_t> odd_jobs;
    Record call;
    std::optional<std::string> now;  // the fresh controller's answer to `call`
    Comparison found;

    Invoker* invoker(std::uint64_t number) {
        const auto it = invokers.find(number);
        if (it == invokers.end()) throw Fault("a record names an invoker that was never listed");
        return it->second.get();
    }
    Function* function(std::uint64_t number) {
        if (number >= functions.size() || !functions[number]) throw Fault("a record names a function that is not known");
        return functions[number].get();
    }
    Hop* hop(std::uint64_t job, std::uint64_t number) {
        const auto it = jobs.find(job);
        if (it == jobs.end() || number >= it->second->hops.size()) return nullptr;
        Hop* found_hop = &it->second->hops[number];
        return found_hop->out ? found_hop : nullptr;
    }
    std::optional<Results> decide(const Record& record);
    void settle(const Results& results);
};

Again::Again(std::function<void(Start&)> change) : state_(std::make_unique<State>()) {
    state_->change = std::move(change);
}

Again::~Again() = default;

std::optional<Results> Again::State::decide(const Record& record) {
    Eye eye(record.body);
    Controller& it = *controller;
    const Time at = record.at;
    switch (record.kind) {
        case Told::take: {
            auto fresh = std::make_unique<Job>();
            Job& job = *fresh;
            job.id = record.job;
            const auto use = eye.number(), tenant = eye.number();
            if (use >= use_cases.size() || tenant > tenants.size()) throw Fault("a record names what the settings do not");
            job.use_case = &use_cases[use];
            if (tenant) job.tenant = &tenants[tenant - 1];
            job.function = function(eye.number());
            job.function->lanes = static_cast<int>(eye.signed_number());
            if (eye.flag()) job.function->told_load = eye.time();
            job.time_left = eye.time();
            job.again = eye.flag();
            jobs[job.id] = std::move(fresh);
            ++found.jobs;
            return it.take(at, job);
        }
        case Told::hop_accepted: {
            Hop* one = hop(record.job, eye.number());
            if (!one) return {};
            return it.hop_accepted(at, *one);
        }
        case Told::hop_ended: {
            Hop* one = hop(record.job, eye.number());
            if (!one) return {};
            const auto ending = static_cast<Ending>(eye.number());
            const auto note = static_cast<Note>(eye.number());
            const int company = static_cast<int>(eye.signed_number());
            return it.hop_ended(at, *one, ending, note, company, report_of(eye));
        }
        case Told::client_left: {
            const auto job = jobs.find(record.job);
            if (job == jobs.end()) return {};
            return it.client_left(at, *job->second);
        }
        case Told::fleet_changed: {
            const bool complete = eye.flag();
            std::vector<Invoker*> changed;
            for (auto n = eye.number(); n > 0; --n) {
                const auto number = eye.number();
                auto& one = invokers[number];
                if (!one) one = std::make_unique<Invoker>();
                places[one.get()] = number;
                one->name = eye.text();
                one->ready = eye.flag();
                one->units = eye.figure();
                one->zone = eye.text();
                one->kind = &kinds[eye.number()];
                one->cell = static_cast<int>(eye.signed_number());
                one->started.reset();
                if (eye.flag()) one->started = eye.time();
                changed.push_back(one.get());
            }
            return it.fleet_changed(at, changed, complete);
        }
        case Told::list_broke:
            return it.list_broke(at);
        case Told::probe_answered: {
            Invoker* one = invoker(eye.number());
            const bool came = eye.flag();
            return it.probe_answered(at, *one, came, report_of(eye));
        }
        case Told::load_answered: {
            const auto number = eye.number();
            if (number >= functions.size() || !functions[number]) return {};
            Invoker* one = invoker(eye.number());
            const auto ending = static_cast<Ending>(eye.number());
            return it.load_answered(at, *functions[number], *one, ending, static_cast<int>(eye.signed_number()));
        }
        case Told::wake:
            return it.wake(at);
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
        functions[it->second].reset();
        numbers.erase(it);
    }
}

void Again::feed(const Record& record) {
    State& s = *state_;
    if (record.kind == Told::settings) {
        s.start = start_of(record.body);
        if (s.change) s.change(s.start);
        s.use_cases.clear();
        for (const auto& [name, use] : s.start.use_cases) s.use_cases.push_back(use);
        s.tenants.assign(s.start.tenants.size(), {});
        for (std::size_t i = 0; i < s.tenants.size(); ++i) s.tenants[i].share_per_s = s.start.tenants[i].second;
        s.controller = std::make_unique<Controller>(s.start.seed, s.start.rules, s.start.may);
        return;
    }
    if (!s.controller) throw Fault("the trace begins in mid-flight, without the settings: it can't be decided again");
    if (record.kind == Told::function_known) {
        s.functions.push_back(std::make_unique<Function>());
        s.functions.back()->name = Eye(record.body).text();
        s.numbers[s.functions.back().get()] = s.functions.size() - 1;
        return;
    }
    if (record.kind != Told::answered) {
        s.call = record;
        s.now.reset();
        ++s.found.calls;
        if (const auto results = s.decide(record)) {
            s.now = text_of(*results, [&](const Function& f) { return s.numbers.at(&f); },
                            [&](const Invoker& i) { return s.places.at(&i); });
            s.settle(*results);
        }
        return;
    }
    if (s.now && *s.now == record.body) return;
    ++s.found.different_calls;
    if (record.job) s.odd_jobs.insert(record.job);
    if (s.found.first) return;
    Record now = record;
    now.body = s.now.value_or("");
    s.found.first = Difference{s.found.calls, s.call, words_of(record), s.now ? words_of(now) : "nothing: the call no longer fits"};
}

Comparison Again::compare() {
    state_->found.different_jobs = state_->odd_jobs.size();
    return state_->found;
}

std::string words_of(const Record& results) {
    static const char* states[] = {"fresh", "hopping", "parked", "streaming", "honoured", "bounced", "written off", "abandoned"};
    Eye eye(results.body);
    std::string out;
    auto add = [&](std::string words) { out += (out.empty() ? "" : "; ") + std::move(words); };
    auto state = [&](std::uint64_t word) { return word < std::size(states) ? states[word] : "?"; };
    for (auto n = eye.number(); n > 0; --n) {
        const auto job = eye.number(), hop = eye.number();
        add(fmt::format("calls hop {} of job {} off", hop, job));
    }
    for (auto n = eye.number(); n > 0; --n) {
        const auto job = eye.number(), word = eye.number();
        const Time pause = eye.time();
        add(fmt::format("job {} is {}{}", job, state(word), pause > Time{} ? fmt::format(", to come back after {} ms", pause.count() / 1000) : ""));
    }
    for (auto n = eye.number(); n > 0; --n) {
        const auto job = eye.number(), hop = eye.number(), invoker = eye.number();
        add(fmt::format("hop {} of job {} goes to invoker #{} for {} ms", hop, job, invoker, eye.time().count() / 1000));
    }
    for (auto n = eye.number(); n > 0; --n) add(fmt::format("probes invoker #{}", eye.number()));
    for (auto n = eye.number(); n > 0; --n) {
        const auto function = eye.number(), invoker = eye.number();
        add(fmt::format("orders {} copies of function #{} at invoker #{}", eye.signed_number(), function, invoker));
    }
    for (auto n = eye.number(); n > 0; --n) add(fmt::format("forgets function #{}", eye.number()));
    if (eye.flag()) add("follows the list");
    add(fmt::format("wakes at {:.3f} s", static_cast<double>(eye.time().count()) / 1e6));
    return out;
}

}  // namespace plumkeel::trace
