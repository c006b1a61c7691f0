#include "gateway/gateway.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

#include "trace/words.hpp"

namespace plumkeel::gateway {

using namespace std::chrono_literals;

// While requests are open this thread has something due so often: by how late it comes a pause of the process is noticed.
constexpr Time pulse_every = 40ms;
constexpr Time longest_quiet = 250ms;  // with no request open: sweeps of the module and looks of its host
constexpr Time answer_grace = 58ms;  // rules.grace_to_answer as the protocol page gives it, and the 50 ms of sockets

class HopErrand : public Errand {
public:
    HopErrand(Gateway& gateway, Ward& of, Hop& as) : Errand(Kind::hop), gateway_(gateway), ward(of), hop(as) {
        Errand::ward = &of;
        Errand::hop = &as;
    }

    void ended(Outcome outcome) override { gateway_.hop_ended(*this, std::move(outcome)); }
    void leaves() override {
        left = gateway_.world_.now();
        gateway_.check_leaving(*this);
    }
    bool begins(unsigned status, const std::string& passed) override {
        return gateway_.hop_begins(*this, status, passed);
    }
    void part(std::string bytes) override {
        if (ward.visit) ward.visit->part(ward, std::move(bytes));
    }
    net::Task<bool> room() override {
        if (!ward.visit) co_return false;
        co_return co_await ward.visit->room();
    }

private:
    Gateway& gateway_;

public:
    Ward& ward;
    Hop& hop;
    std::optional<Time> left;  // when its first byte did
    std::optional<Outcome> held_back;  // it ended while another hop's answer streams
};

class ProbeErrand : public Errand {
public:
    ProbeErrand(Gateway& gateway, Post& post) : Errand(Kind::probe), gateway_(gateway), post_(post) {}
    void ended(Outcome outcome) override {
        const bool answered = outcome.status && outcome.ending == Ending::honoured;
        gateway_.feed([&](trace::Watched& it, Time now) { return it.probe_answered(now, post_, answered, outcome.report); });
    }

private:
    Gateway& gateway_;
    Post& post_;
};

class OrderErrand : public Errand {
public:
    OrderErrand(Gateway& gateway, Post& post, const CopyOrder& order)
        : Errand(order.copies > 0 ? Kind::hold_copies : Kind::drop_copies), gateway_(gateway), post_(post) {
        function = order.function->name;
        copies = order.copies;
    }
    void ended(Outcome outcome) override {
        const auto it = gateway_.functions_.find(function);
        if (kind == Kind::drop_copies || it == gateway_.functions_.end()) return;
        gateway_.feed([&](trace::Watched& controller, Time now) {
            return controller.load_answered(now, *it->second, post_, outcome.ending, outcome.copies);
        });
    }

private:
    Gateway& gateway_;
    Post& post_;
};

namespace {

double pace_told(const Invoker& invoker) {
    return invoker.kind ? invoker.kind->pace * invoker.pace : invoker.pace;
}

trace::Start start_of(const Charter& charter, std::uint64_t seed) {
    trace::Start start{charter.name, seed, charter.rulebook, charter.allowances, {}, {}};
    for (const auto& [name, use] : charter.use_cases) start.use_cases.emplace_back(name, use);
    for (const auto& [name, tenant] : charter.tenants) start.tenants.emplace_back(name, tenant.share_per_s);
    return start;
}

// In the order of start_of().
std::vector<const UseCase*> use_cases_of(const Charter& charter) {
    std::vector<const UseCase*> out;
    for (const auto& [name, use] : charter.use_cases) out.push_back(&use);
    return out;
}

std::vector<const Tenant*> tenants_of(const std::map<std::string, Tenant>& tenants) {
    std::vector<const Tenant*> out;
    for (const auto& [name, tenant] : tenants) out.push_back(&tenant);
    return out;
}

}  // namespace

Gateway::Gateway(net::World& world, Charter charter, Log& log, std::uint64_t seed, PoolFor pool_for, trace::Recorded recorded)
    : world_(world),
      charter_(std::move(charter)),
      log_(log),
      pool_for_(std::move(pool_for)),
      admission_(charter_.admission),
      incarnation_(fmt::format("{}/{:x}", charter_.name, world.wall() / 1ms)),
      tenants_(charter_.tenants),
      controller_(start_of(charter_, seed), use_cases_of(charter_), tenants_of(tenants_), std::move(recorded),
                  charter_.trace.reasons),
      invariants_(log) {
    start_clock_.look(world_.now(), world_.wall());
    if (charter_.metrics.on) meters_ = std::make_unique<metrics::Meters>(charter_.metrics.rules, charter_.name);
}

Gateway::~Gateway() {
    world_.drop(look_);
    world_.drop(pulse_);
}

void Gateway::begin() {
    look_at_ = world_.now();
    if (meters_) look();
}

void Gateway::close(std::function<void()> then) {
    then_ = std::move(then);
    admission_.close();
    see_whether_done();
}

void Gateway::see_whether_done() {
    if (!then_ || admission_.open_jobs() > 0) return;
    world_.at(world_.now(), std::exchange(then_, nullptr));
}

// ---------------------------------------------------------------- what happens

template <class Call>
void Gateway::feed(Call call) {
    assert(!feeding_);  // carrying out never calls back before it returns
    feeding_ = true;
    fed_at_ = world_.now();
    const Results results = call(controller_, fed_at_);
    carry_out(results);
    feeding_ = false;
}

Ward* Gateway::take(Wanted wanted, std::shared_ptr<Visit> visit) {
    std::unique_ptr<Function>& function = functions_[wanted.function];
    if (!function) function = std::make_unique<Function>();
    function->name = wanted.function;
    function->lanes = wanted.lanes;
    if (wanted.told_load) function->told_load = wanted.told_load;

    auto fresh = std::make_unique<Ward>();
    Ward& ward = *fresh;
    ward.id = ++ids_;
    ward.use_case = wanted.use_case;
    ward.function = function.get();
    const Time since_read = wanted.read_at ? world_.now() - *wanted.read_at : Time{};
    ward.time_left = std::max(Time{}, wanted.left - wanted.waited - since_read);
    ward.again = wanted.again;
    if (const auto tenant = tenants_.find(wanted.tenant); tenant != tenants_.end()) {
        ward.tenant = &tenant->second;
        ward.tenant_name = tenant->first;
    }
    ward.visit = std::move(visit);
    ward.held = wanted.held;
    ward.name = std::move(wanted.name);
    ward.place = wanted.place;
    ward.mark = std::move(wanted.mark);
    ward.passed = std::move(wanted.passed);
    ward.lanes = wanted.lanes;
    ward.memory = wanted.memory;
    ward.body = std::make_shared<const std::string>(std::move(wanted.body));
    jobs_[ward.id] = std::move(fresh);
    ++tally_.taken;
    if (meters_) meters_->job_taken(wanted.again);

    if (!pulse_.second) pulse();
    feed([&](trace::Watched& it, Time now) { return it.take(now, ward); });
    const auto still = jobs_.find(ids_);
    return still == jobs_.end() || ward.answered() ? nullptr : &ward;
}

// How long what is read now may have stood in its socket. Its client's time has run since it came.
Time Gateway::waited_unread(Time late) const {
    late = std::max(late, world_.late());
    if (late <= net::World::stood_still) return {};
    return late + (pulse_.second ? pulse_every : longest_quiet);  // the pause began up to so long before something was due
}

void Gateway::pulse() {
    pulse_ = {};
    if (admission_.open_jobs() == 0) return;
    pulse_ = world_.at(world_.now() + pulse_every, [this] { pulse(); });
}

void Gateway::client_left(Ward& ward) {
    ward.visit = nullptr;
    feed([&](trace::Watched& it, Time now) { return it.client_left(now, ward); });
    count(ward);
    let_on(ward);
}

bool Gateway::hop_begins(HopErrand& errand, unsigned status, const std::string& passed) {
    Ward& ward = errand.ward;
    if (ward.answered() || ward.streams || !ward.visit) return false;
    ward.streams = &errand;
    feed([&](trace::Watched& it, Time now) { return it.hop_accepted(now, errand.hop); });
    ++tally_.streamed;
    ward.visit->begin(ward, status, passed);
    // The job is bound to this answer: no other hop of it can be of use any more.
    for (const auto& other : ward.errands)
        if (other.get() != &errand && other->hop.out) static_cast<Post&>(*other->hop.invoker).pool->call_off(*other);
    return true;
}

void Gateway::hop_ended(HopErrand& errand, Outcome outcome) {
    Ward& ward = errand.ward;
    // While an answer streams, the module is told of the others' ends behind it: they decide nothing.
    if (ward.streams && ward.streams != &errand && !ward.answered()) {
        errand.held_back = std::move(outcome);
        return;
    }
    const bool late = ward.answered();
    if (meters_)
        meters_->hop_ended({outcome.ending, outcome.note, errand.hop.expected_warm, errand.hop.loads, world_.now() - errand.hop.sent});
    const bool whole = outcome.ending == Ending::honoured;
    if (late && whole) ++tally_.late;
    if (log_.wants(Log::Level::debug))
        log_.line(Log::Level::debug, "hop_ended",
                  {{"request", ward.name}, {"job", ward.id}, {"hop", errand.hop.number}, {"invoker", errand.hop.invoker->name},
                   {"left", errand.left.has_value()}, {"ending", trace::word_of(outcome.ending)}, {"late", late}, {"note", trace::word_of(outcome.note)},
                   {"company", outcome.company}, {"warm", errand.hop.expected_warm}, {"function", ward.function->name},
                   {"crowd", errand.hop.crowd}, {"took_ms", static_cast<double>((world_.now() - errand.hop.sent).count()) / 1000}});
    const std::uint64_t id = ward.id;
    // The client's answer leaves before what the end of the hop sets going.
    feed([&](trace::Watched& it, Time now) {
        Results results = it.hop_ended(now, errand.hop, outcome.ending, outcome.note, outcome.company, outcome.report);
        if (!late && ward.answered() && ward.state != JobState::bounced && ward.state != JobState::written_off) {
            if (ward.visit) check_answer(ward);
            const auto visit = std::exchange(ward.visit, nullptr);
            if (!visit) {
            } else if (ward.streams) {
                visit->end(ward, whole);
            } else if (whole) {
                visit->honoured(ward, outcome.status, outcome.passed, std::move(outcome.body));
            }
            count(ward);
        }
        return results;
    });
    // An answer that the module gave by itself may have closed the job meanwhile.
    if (jobs_.count(id)) let_on(ward);
}

// Tells the module of the ends that were held back behind a streaming answer, and lets a closed job go.
void Gateway::let_on(Ward& ward) {
    const auto errands = ward.errands;
    for (const auto& errand : errands)
        if (ward.answered() && errand->held_back) {
            const Outcome then = *std::exchange(errand->held_back, std::nullopt);
            feed([&](trace::Watched& it, Time now) {
                return it.hop_ended(now, errand->hop, then.ending, then.note, then.company, then.report);
            });
        }
    drop_if_closed(ward);
}

void Gateway::look_at_clocks() {
    const std::size_t steps = start_clock_.steps();
    start_clock_.look(world_.now(), world_.wall());
    if (start_clock_.steps() != steps)
        log_.line(Log::Level::warn, "wall_clock_stepped", {{"steps", start_clock_.steps()}});
}

void Gateway::fleet_told(const std::vector<fleet::Entry>& changed, bool complete) {
    std::vector<Invoker*> invokers;
    look_at_clocks();
    std::size_t left_out = 0;
    for (const fleet::Entry& entry : changed) {
        if (posts_.size() >= charter_.pool.most_invokers && !posts_.count(entry.name)) {
            ++left_out;
            continue;
        }
        std::unique_ptr<Post>& post = posts_[entry.name];
        if (!post) post = std::make_unique<Post>();
        post->name = entry.name;
        post->ready = entry.ready;
        post->units = entry.units;
        post->zone = entry.zone;
        post->kind = &kinds_[entry.kind];
        post->cell = entry.cell;
        post->drains_since = entry.ready ? std::nullopt : post->drains_since ? post->drains_since : world_.now();
        // The same start told again is the same moment, whatever the clocks have done since.
        if (entry.started != post->told_start) {
            post->told_start = entry.started;
            post->started.reset();
            if (entry.started) post->started = start_clock_.moment_of(*entry.started, world_.now());
        }
        const auto address = net::Address::parse(entry.address);
        if (post->pool)
            post->pool->move_to(*address);
        else
            post->pool = pool_for_(*address, connection_counts_);
        invokers.push_back(post.get());
    }
    if (left_out > 0)
        log_.line(Log::Level::error, "list_over_bound", {{"left_out", left_out}, {"most", charter_.pool.most_invokers}});
    feed([&](trace::Watched& it, Time now) { return it.fleet_changed(now, invokers, complete); });
    if (complete)
        for (const auto& [name, post] : posts_) withdraw(*post);
    else
        for (Invoker* invoker : invokers) withdraw(static_cast<Post&>(*invoker));
}

void Gateway::fleet_gone(const std::vector<std::string>& names) {
    std::vector<Invoker*> gone;
    for (const std::string& name : names)
        if (const auto found = posts_.find(name); found != posts_.end() && found->second->listed) gone.push_back(found->second.get());
    const auto still_listed = [&] {
        std::vector<Invoker*> out;
        for (const auto& [name, post] : posts_)
            if (post->listed && std::find(gone.begin(), gone.end(), post.get()) == gone.end()) out.push_back(post.get());
        return out;
    };
    feed([&](trace::Watched& it, Time now) { return it.fleet_left(now, gone, still_listed); });
    for (Invoker* invoker : gone) withdraw(static_cast<Post&>(*invoker));
}

// The module sends nothing new to what takes no more; what waits here for a connection is new as well.
void Gateway::withdraw(Post& post) {
    if (post.ready && post.listed) return;
    if (!post.drains_since) post.drains_since = world_.now();
    post.pool->withdraw();
}

// ---------------------------------------------------------------- carrying out

void Gateway::carry_out(const Results& results) {
    for (Hop* hop : results.called_off) {
        const auto& errand = static_cast<Ward*>(hop->job)->errands[static_cast<std::size_t>(hop->number)];
        static_cast<Post*>(hop->invoker)->pool->call_off(*errand);
    }
    for (Job* job : results.answered) answer(static_cast<Ward&>(*job));
    for (Hop* hop : results.started) send_hop(*hop);
    for (Invoker* invoker : results.probed) send_probe(static_cast<Post&>(*invoker));
    for (const CopyOrder& order : results.ordered) send_order(order);
    for (Job* job : results.answered) drop_if_closed(static_cast<Ward&>(*job));
    for (const Function* function : results.forgotten) functions_.erase(std::string(function->name));
    for (Invoker* invoker : results.released) let_go(static_cast<Post&>(*invoker));
    if (results.next_wake < wake_at_) {
        world_.drop(wake_);
        wake_at_ = results.next_wake;
        wake_ = world_.at(wake_at_, [this] {
            wake_ = {};
            wake_at_ = Time::max();
            look_at_clocks();
            feed([](trace::Watched& it, Time now) { return it.wake(now); });
        });
    }
}

// Its connections close by themselves, and what waits for its turn there must find it: it goes a little later.
void Gateway::let_go(Post& post) {
    const auto found = posts_.find(post.name);
    const std::shared_ptr<Post> it = std::move(found->second);
    posts_.erase(found);
    it->pool->close();
    see_off(it);
}

void Gateway::see_off(std::shared_ptr<Post> post) {
    const std::size_t open = post->pool->open() + post->pool->waiting();
    world_.at(world_.now() + 1s, [this, open, it = std::move(post)] {
        if (open > 0) see_off(it);
    });
}

void Gateway::dispatch(std::shared_ptr<Errand> errand, Post& post, Time within) {
    errand->invoker = post.name;
    errand->until = fed_at_ + within;  // from when it was decided: a pause since then is its own
    post.pool->send(std::move(errand));
}

void Gateway::send_hop(Hop& hop) {
    Ward& ward = static_cast<Ward&>(*hop.job);
    const auto errand = std::make_shared<HopErrand>(*this, ward, hop);
    ward.errands.push_back(errand);
    // An invoker may close a connection that idled at the very moment when a hop leaves on it. What may run but
    // once is not put at that risk: it leaves on a connection of its own.
    errand->fresh_connection = ward.use_case->repeat == Repeat::single_use;
    ++tally_.hops;
    dispatch(errand, static_cast<Post&>(*hop.invoker), hop.limit);
}

// Whether the attempt has taken effect for all that is known: it has left, and nothing proves that it never ran.
static bool may_have_run(const HopErrand& errand) {
    if (!errand.left) return false;
    if (errand.hop.out) return true;
    switch (errand.hop.ending.value_or(Ending::cut_off)) {
        case Ending::turned_away:
        case Ending::unreachable:
        case Ending::never_sent:
        case Ending::not_loaded:
            return false;
        default:
            return true;
    }
}

void Gateway::check_leaving(const HopErrand& errand) {
    const Ward& ward = errand.ward;
    const Hop& hop = errand.hop;
    const Post& post = static_cast<const Post&>(*hop.invoker);
    const Time now = world_.now();
    const auto fields = [&] {
        return Invariants::Fields{{"request", ward.name}, {"job", ward.id}, {"attempt", hop.number}, {"invoker", post.name},
                                  {"state", trace::word_of(ward.state)}, {"age_ms", (now - ward.taken) / 1ms},
                                  {"left_ms", (ward.expires - now) / 1ms}};
    };
    const Allowances& may = charter_.allowances;
    invariants_.check(!ward.answered() && ward.visit, Invariant::attempt_after_end, fields);
    invariants_.check(now <= ward.expires && errand.until <= ward.expires, Invariant::attempt_past_deadline, fields);
    invariants_.check(hop.number < may.hops, Invariant::too_many_attempts, fields);
    invariants_.check(post.ready && post.listed, Invariant::attempt_to_drained, fields);
    for (const auto& other : ward.errands) {
        if (other.get() == &errand || !may_have_run(*other)) continue;
        invariants_.check(may.second_copies || !other->hop.out, Invariant::two_attempts_out, fields);
        invariants_.check(may_repeat(*ward.use_case, *other->hop.invoker, *other->left, post, now), Invariant::unsafe_repeat, fields);
    }
}

// Of a request that gets its final answer now, whoever gives it.
void Gateway::check_answer(const Ward& ward) {
    const Time now = world_.now();
    const auto fields = [&] {
        return Invariants::Fields{{"request", ward.name}, {"job", ward.id}, {"state", trace::word_of(ward.state)},
                                  {"attempts", ward.errands.size()}, {"late_ms", (now - ward.expires) / 1ms}};
    };
    // What is late since this thread itself was held up has had its answer as soon as it could.
    invariants_.check(now <= ward.expires + answer_grace + world_.late() || ward.streams, Invariant::answered_late, fields);
    if (ward.state != JobState::bounced) return;
    for (const auto& each : ward.errands)
        if (may_have_run(*each))
            invariants_.check(may_promise_no_effect(*ward.use_case, *each->left, now), Invariant::refused_what_may_have_run, fields);
}

void Gateway::send_probe(Post& post) {
    ++tally_.probes;
    if (meters_) meters_->probe_sent();
    dispatch(std::make_shared<ProbeErrand>(*this, post), post, charter_.pool.probe_within);
}

void Gateway::send_order(const CopyOrder& order) {
    ++tally_.orders;
    if (meters_) meters_->copies_ordered();
    Post& post = static_cast<Post&>(*order.invoker);
    dispatch(std::make_shared<OrderErrand>(*this, post, order), post, charter_.pool.order_within);
}

// A final answer that the module gives by itself.
void Gateway::answer(Ward& ward) {
    const bool bounced = ward.state == JobState::bounced;
    log_.line(Log::Level::info, bounced ? "job_bounced" : "job_written_off",
              {{"request", ward.name}, {"job", ward.id}, {"function", ward.function->name}, {"use_case", static_cast<const StatedUseCase*>(ward.use_case)->name},
               {"hops", ward.hops.size()}, {"why", trace::words_of(ward.why)}, {"again", ward.again},
               {"after_ms", (world_.now() - ward.taken) / 1ms}});
    if (ward.visit) check_answer(ward);
    if (const auto visit = std::exchange(ward.visit, nullptr))
        visit->turned(ward);
    count(ward);
}

// Once for each job, when it has its final answer or its client has left.
void Gateway::count(const Ward& ward) {
    admission_.job_left();
    admission_.let_go(ward.held);
    for (const auto& errand : ward.errands) static_cast<Post&>(*errand->hop.invoker).pool->take_back(*errand);
    if (meters_) {
        const Time now = world_.now(), left = ward.hops.empty() ? now : ward.hops.front().sent;
        meters_->job_ended({static_cast<const StatedUseCase*>(ward.use_case)->name, ward.tenant_name, ward.function->name, ward.state, ward.why,
                            now > ward.promised, now - ward.taken, left - ward.taken, ward.hops.size()});
    }
    switch (ward.state) {
        case JobState::honoured:
            ++tally_.honoured;
            break;
        case JobState::bounced:
            ++tally_.bounced;
            break;
        case JobState::written_off:
            ++tally_.written_off;
            break;
        default:
            ++tally_.abandoned;
    }
    if (log_.wants(Log::Level::debug))
        log_.line(Log::Level::debug, "job_ended",
                  {{"request", ward.name}, {"job", ward.id}, {"state", trace::word_of(ward.state)}, {"hops", ward.hops.size()}, {"why", trace::words_of(ward.why)},
                   {"after_ms", (world_.now() - ward.taken) / 1ms}});
    see_whether_done();
}

void Gateway::drop_if_closed(Ward& ward) {
    if (ward.closed()) jobs_.erase(ward.id);
}

// Levels are looked at now and then, by one timer; how late it comes tells how long the controller stood still.
void Gateway::look() {
    metrics::Levels now = levels();
    now.lag_s = std::max(0.0, std::chrono::duration<double>(world_.now() - look_at_).count());
    if (measure_also_) measure_also_(now);
    meters_->set(now);
    constexpr std::uint64_t looks_a_review = 5;
    if (++looks_ % looks_a_review == 0) meters_->review();
    look_at_ = world_.now() + charter_.metrics.rules.every;
    look_ = world_.at(look_at_, [this] { look(); });
}

metrics::Levels Gateway::levels() const {
    const auto in_seconds = [](Time t) { return std::chrono::duration<double>(t).count(); };
    metrics::Levels out;
    out.open_jobs = static_cast<double>(admission_.open_jobs());
    out.held_bytes = static_cast<double>(admission_.held_bytes());
    out.connections = static_cast<double>(admission_.connections());
    out.functions = static_cast<double>(functions_.size());
    out.parked = static_cast<double>(controller_.parked());
    std::vector<double> paces;
    for (const auto& [name, post] : posts_) {
        out.connections_open += static_cast<double>(post->pool->open());
        if (post->drains_since && !post->out.empty()) out.oldest_drain_s = std::max(out.oldest_drain_s, in_seconds(world_.now() - *post->drains_since));
        if (!post->ready || !post->listed) {
            ++out.not_ready;
            continue;
        }
        out.cold += post->cold_since.has_value();
        paces.push_back(post->pace * post->press);
        double* const by_standing[] = {&out.trusted, &out.suspect, &out.aside, &out.easing};
        ++*by_standing[static_cast<int>(post->standing)];
        if (post->standing == Standing::suspect || post->standing == Standing::aside) out.out_at_doubted += static_cast<double>(post->out.size());
    }
    if (!paces.empty()) {
        const auto middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
        std::nth_element(paces.begin(), middle, paces.end());
        out.pace_median = *middle;
        out.pace_worst = *std::max_element(paces.begin(), paces.end());
    }
    if (const auto told_at = list_told()) out.list_age_s = in_seconds(world_.now() - *told_at);
    for (int i = 0; i < static_cast<int>(Invariant::count_); ++i)
        out.invariants_broken[std::string(word_of(static_cast<Invariant>(i)))] = static_cast<double>(invariants_.broken(static_cast<Invariant>(i)));
    out.log_lost = static_cast<double>(log_.lost());
    out.unreachable = static_cast<double>(connection_counts_.unreachable);
    for (int i = 1; i < static_cast<int>(Objection::count_); ++i) {
        const auto objection = static_cast<Objection>(i);
        if (admission_.counted(objection)) out.turned_back[std::string(told(objection).word)] = static_cast<double>(admission_.counted(objection));
    }
    return out;
}

boost::json::array Gateway::believed() const {
    static constexpr const char* words[] = {"trusted", "suspect", "aside", "easing"};
    boost::json::array out;
    const auto tenths = [](double x) { return static_cast<double>(static_cast<long>(x * 10 + 0.5)) / 10; };
    for (const auto& [name, post] : posts_) {
        if (!post->listed && post->out.empty() && post->pool->open() == 0) continue;
        boost::json::object row{{"i", name}, {"s", post->ready && post->listed ? words[static_cast<int>(post->standing)] : "not_ready"},
                                {"out", post->out.size()}, {"lines_out", post->pool->out()}, {"queued", post->pool->waiting()},
                                {"lines", post->pool->open()}, {"pace", tenths(pace_told(*post))}};
        if (post->held) row["told"] = tenths(*post->held);
        if (post->cold_since) row["cold"] = true;
        out.push_back(std::move(row));
    }
    return out;
}

boost::json::object Gateway::status() const {
    boost::json::object admission;
    for (int i = 1; i < static_cast<int>(Objection::count_); ++i) {
        const auto objection = static_cast<Objection>(i);
        if (admission_.counted(objection)) admission[told(objection).word] = admission_.counted(objection);
    }
    std::size_t open_connections = 0;
    boost::json::object standings{{"trusted", 0}, {"suspect", 0}, {"aside", 0}, {"easing", 0}, {"not_ready", 0}};
    static constexpr const char* words[] = {"trusted", "suspect", "aside", "easing"};
    for (const auto& [name, post] : posts_) {
        open_connections += post->pool->open();
        auto& slot = standings[post->ready && post->listed ? words[static_cast<int>(post->standing)] : "not_ready"];
        slot = slot.as_int64() + 1;
    }
    const auto told_at = list_told();
    boost::json::object broken;
    for (int i = 0; i < static_cast<int>(Invariant::count_); ++i) {
        const auto invariant = static_cast<Invariant>(i);
        if (invariants_.broken(invariant)) broken[word_of(invariant)] = invariants_.broken(invariant);
    }
    return {{"controller", incarnation_},
            {"up_s", static_cast<double>(world_.now().count()) / 1e6},
            {"closing", admission_.closing()},
            {"jobs",
             {{"taken", tally_.taken}, {"honoured", tally_.honoured}, {"bounced", tally_.bounced},
              {"written_off", tally_.written_off}, {"client_left", tally_.abandoned}, {"open", admission_.open_jobs()},
              {"parked", controller_.parked()}, {"streamed", tally_.streamed}, {"late_answers", tally_.late}}},
            {"hops", tally_.hops},
            {"probes", tally_.probes},
            {"orders", tally_.orders},
            {"door", {{"connections", admission_.connections()}, {"held_bytes", admission_.held_bytes()}, {"turned_back", admission}}},
            {"lines",
             {{"open", open_connections}, {"opened", connection_counts_.opened}, {"reused", connection_counts_.reused},
              {"unreachable", connection_counts_.unreachable}, {"late", connection_counts_.late}, {"spoilt", connection_counts_.spoilt}}},
            {"functions", functions_.size()},
            {"invokers", standings},
            {"list_age_s", told_at ? boost::json::value(static_cast<double>((world_.now() - *told_at).count()) / 1e6)
                                   : boost::json::value(nullptr)},
            {"invariants_broken", broken},
            {"wall_clock_steps", start_clock_.steps()},
            {"log_lost", log_.lost()}};
}

}  // namespace plumkeel::gateway
