#include "emulator/auditor.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <set>

namespace plumkeel::emulator {

std::string Auditor::Event::text(const char* key) const {
    const auto* value = line.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t Auditor::Event::figure(const char* key) const {
    const auto* value = line.if_contains(key);
    if (!value) return 0;
    if (value->is_string()) return std::atoll(value->as_string().c_str());
    return value->is_number() ? value->to_number<std::int64_t>() : 0;
}

double Auditor::Event::real(const char* key) const {
    const auto* value = line.if_contains(key);
    return value && value->is_number() ? value->to_number<double>() : 0;
}

void Auditor::read(const std::string& kind, const std::string& name, const boost::json::object& line) {
    Event event{0, kind, name, line};
    event.t = event.figure("t");
    events_.push_back(std::move(event));
}

void Auditor::breach(const std::string& rule, const std::string& request, std::int64_t at, const std::string& what) {
    const std::int64_t first = events_.empty() ? 0 : events_.front().t;
    verdict_.breaches.push_back({rule, request, what, at - first});
}

std::int64_t Auditor::lag_near(const std::string& kind, const std::string& name, std::int64_t t) const {
    std::int64_t worst = 0;
    const auto it = lags_.find(kind + " " + name);
    if (it == lags_.end()) return 0;
    for (const auto& [at, us] : it->second)
        if (at - us - 20'000 <= t && t <= at + 20'000) worst = std::max(worst, us);
    return worst;
}

bool Auditor::controller_died(const std::string& address, std::int64_t from, std::int64_t to) const {
    const auto it = deaths_.find(address);
    return it != deaths_.end() && std::any_of(it->second.begin(), it->second.end(), [&](const auto& span) {
               return span.second >= from && span.first <= to;
           });
}

std::int64_t Auditor::frozen_past(const std::string& address, std::int64_t t) const {
    std::int64_t past = 0;
    const auto it = frozen_.find(address);
    if (it == frozen_.end()) return 0;
    for (const auto& [from, to] : it->second)
        if (from - 20'000 <= t + past && t <= to) past = std::max(past, to - t + 20'000);
    return past;
}

Verdict Auditor::judge() {
    std::stable_sort(events_.begin(), events_.end(), [](const Event& a, const Event& b) { return a.t < b.t; });
    gather();
    check_answers();
    check_effects();
    for (const auto& [name, request] : jobs_) check_hops(name, request);
    check_drains();
    check_cold();
    check_loads();
    std::stable_sort(verdict_.breaches.begin(), verdict_.breaches.end(),
                     [](const Breach& a, const Breach& b) { return a.at < b.at; });
    return verdict_;
}

// Lays each job's hops side by side, and its client's tries beside them.
void Auditor::gather() {
    for (const Event& event : events_) {
        const std::string e = event.text("e");
        if (e == "lag") lags_[event.kind + " " + event.name].emplace_back(event.t, event.figure("us"));
        if (event.kind == "day" && e == "controller_killed")
            deaths_[event.text("address")].emplace_back(event.t - event.figure("us"), event.t);
        if (event.kind == "day" && e == "controller_frozen")
            frozen_[event.text("address")].emplace_back(event.t - event.figure("us"), event.t);
        if (event.kind != "invoker" || event.line.if_contains("job") == nullptr) continue;
        Job& request = jobs_[event.text("controller") + "#" + event.text("job")];
        request.controller = event.text("controller");
        request.use = event.text("use");
        request.origin = event.text("origin");
        if (e == "hop") {
            request.attempts.push_back({event.figure("hop"), event.t, 0, event.name, "", event.text("mark")});
            ++verdict_.attempts;
            continue;
        }
        for (Hop& attempt : request.attempts)
            if (attempt.number == event.figure("hop") && attempt.invoker == event.name) {
                if (e == "run") attempt.ran = true;
                if (e == "answer") attempt.word = event.text("word");
                if ((e == "answer" || e == "cut" || e == "gone") && !attempt.ended) attempt.ended = event.t;
            }
        verdict_.effects += e == "run";
    }
    for (const Event& event : events_)
        if (event.kind == "clients" && event.text("e") == "answer" && !event.text("job").empty())
            if (const auto it = jobs_.find(event.text("controller") + "#" + event.text("job")); it != jobs_.end())
                it->second.answer = &event;
}

// Rule 1: each job that a controller took has one final answer before its expiry.
void Auditor::check_answers() {
    struct Try {
        const Event* sent{};
        std::vector<const Event*> answers;
    };
    std::map<std::pair<std::string, std::int64_t>, Try> tries;
    for (const Event& event : events_) {
        if (event.kind != "clients" || !event.line.if_contains("id")) continue;
        Try& one = tries[{event.name, event.figure("id")}];
        if (event.text("e") == "sent") one.sent = &event;
        if (event.text("e") == "answer") one.answers.push_back(&event);
    }
    for (const auto& [id, one] : tries) {
        if (!one.sent) continue;
        ++verdict_.requests;
        const std::string request = one.sent->text("origin") + " try " + std::to_string(one.sent->figure("try"));
        if (one.answers.empty()) {
            breach("no job lost", request, one.sent->t, "no end of it was seen at all");
            continue;
        }
        if (one.answers.size() > 1) breach("no job lost", request, one.answers[1]->t, "it was answered twice");
        const Event& answer = *one.answers.front();
        const std::string outcome = answer.text("outcome");
        const std::int64_t expiry = one.sent->t + one.sent->figure("left_us");
        const bool died = controller_died(one.sent->text("to"), one.sent->t, answer.t);
        const bool final = outcome == "honoured" || outcome == "bounced" || outcome == "written-off";
        if (outcome == "honoured") {
            ++verdict_.honoured;
            if (answer.t > one.sent->t + one.sent->figure("promised_us")) ++verdict_.late;
        } else if (outcome == "bounced") {
            ++verdict_.bounced;
        } else if (outcome == "written-off") {
            ++verdict_.written_off;
        } else if (outcome == "left") {
            ++verdict_.left;
        } else if (outcome == "unreachable" || outcome == "objected") {
            ++verdict_.turned_back;
        } else if (died) {
            ++verdict_.lost_with_controller;
        } else if (frozen_past(one.sent->text("to"), expiry) > 0) {
            ++verdict_.lost_with_controller;
        } else {
            breach("no job lost", request, answer.t, "its end was '" + outcome + "' and its controller lived");
        }
        const std::int64_t slack =
            stated_.slack + lag_near("clients", answer.name, answer.t) + frozen_past(one.sent->text("to"), expiry);
        if (final && answer.t > expiry + slack && !died)
            breach("no job lost", request, answer.t,
                   fmt::format("answered {} ms after its expiry", (answer.t - expiry) / 1000));
    }

    // After the final answer nothing more is sent for a job. The invoker notes a hop when it reads it.
    for (const auto& [name, request] : jobs_)
        for (const Hop& attempt : request.attempts) {
            if (!request.answer) break;
            const std::int64_t slack = stated_.slack + lag_near("invoker", attempt.invoker, attempt.arrived);
            if (attempt.arrived > request.answer->t + slack && attempt.number >= request.answer->figure("hops"))
                breach("no job lost", name, attempt.arrived,
                       fmt::format("hop {} reached {} after the final answer", attempt.number, attempt.invoker));
        }
}

// Rule 2, by effects: what ran, over all tries of one client's job.
void Auditor::check_effects() {
    struct Run {
        std::int64_t t;
        std::string invoker, request;
    };
    std::map<std::string, std::vector<Run>> runs;  // by origin
    std::map<std::string, std::string> uses;
    for (const Event& event : events_)
        if (event.kind == "invoker" && event.text("e") == "run") {
            const std::string origin = event.text("origin");
            runs[origin].push_back({event.t, event.name, event.text("controller") + "#" + event.text("job")});
            uses[origin] = event.text("use");
        }
    for (const auto& [origin, all] : runs) {
        const auto use = stated_.request_classes.find(uses[origin]);
        if (use == stated_.request_classes.end() || use->second.repeat == "replayable") continue;
        for (std::size_t i = 1; i < all.size(); ++i) {
            if (use->second.repeat == "single_use") {
                breach("no effect twice", all[i].request, all[i].t,
                       fmt::format("single-use {} ran at {} and again at {}", origin, all[0].invoker, all[i].invoker));
                continue;
            }
            // The group drops repeats for as long as it remembers: outside of that the effect is a second one.
            const auto a = stated_.places.find(all[0].invoker), b = stated_.places.find(all[i].invoker);
            bool same = a != stated_.places.end() && b != stated_.places.end();
            if (same && use->second.reach == "zone") same = a->second.zone == b->second.zone;
            if (same && use->second.reach == "cell") same = a->second.cell == b->second.cell;
            if (!same || all[i].t > all[0].t + use->second.remembered + stated_.slack)
                breach("no effect twice", all[i].request, all[i].t,
                       fmt::format("referenced {} ran at {} and again at {}, outside its group or time", origin,
                                   all[0].invoker, all[i].invoker));
        }
    }
}

// Rule 2, by what was sent, and the limits on hops.
void Auditor::check_hops(const std::string& name, const Job& request) {
    if (static_cast<int>(request.attempts.size()) > stated_.attempts)
        breach("hops", name, request.attempts.back().arrived, fmt::format("{} hops", request.attempts.size()));
    const auto found = stated_.request_classes.find(request.use);
    const Stated::Use use = found == stated_.request_classes.end() ? Stated::Use{} : found->second;
    std::vector<const Hop*> order;
    for (const Hop& attempt : request.attempts) order.push_back(&attempt);
    std::sort(order.begin(), order.end(), [](const Hop* a, const Hop* b) { return a->number < b->number; });
    for (std::size_t i = 1; i < order.size(); ++i)
        for (std::size_t k = 0; k < i; ++k) {
            const Hop &before = *order[k], &after = *order[i];
            const bool never_ran = before.word == "turned-away" || before.word == "not-loaded";
            // The end of a line is seen by the invoker a little after the controller let it go.
            const bool over = before.ended && before.ended <= after.arrived + stated_.slack;
            if (!stated_.second_copies && !over)
                breach("hops", name, after.arrived,
                       fmt::format("hop {} was out at {} beside hop {} at {}", after.number, after.invoker,
                                   before.number, before.invoker));
            if (never_ran && over) continue;
            if (use.repeat == "single_use")
                breach("no effect twice", name, after.arrived,
                       fmt::format("single-use hop {} at {} though hop {} at {} may have run", after.number,
                                   after.invoker, before.number, before.invoker));
            if (use.repeat != "referenced") continue;
            if (after.arrived > before.arrived + use.remembered + stated_.slack)
                breach("no effect twice", name, after.arrived, "a referenced hop after its mark was forgotten");
            const auto a = stated_.places.find(before.invoker), b = stated_.places.find(after.invoker);
            if (a == stated_.places.end() || b == stated_.places.end()) continue;
            if ((use.reach == "zone" && a->second.zone != b->second.zone) ||
                (use.reach == "cell" && a->second.cell != b->second.cell))
                breach("no effect twice", name, after.arrived,
                       fmt::format("referenced hop {} left the group of {}", after.number, before.invoker));
        }
    if (use.repeat == "replayable") return;
    // A bounce says that a further try is harmless.
    if (!request.answer || request.answer->text("outcome") != "bounced") return;
    for (const Hop& attempt : request.attempts) {
        const bool never_ran = attempt.word == "turned-away" || attempt.word == "not-loaded";
        if (never_ran || request.answer->t < attempt.arrived) continue;
        const bool harmless = use.repeat == "referenced" && use.reach == "everywhere" &&
                              request.answer->t < attempt.arrived + use.remembered + stated_.slack;
        if (!harmless)
            breach("no effect twice", name, request.answer->t,
                   fmt::format("bounced though hop {} at {} may have run", attempt.number, attempt.invoker));
    }
}

// Rule 3, from what the list told each controller.
void Auditor::check_drains() {
    struct Known {
        std::map<std::string, std::int64_t> barred;  // invoker, since when
        std::map<std::string, std::int64_t> seen;    // invoker, its start time
    };
    std::map<std::string, Known> known;  // by controller and incarnation
    for (const Event& event : events_) {
        const std::string e = event.text("e");
        if (event.kind == "list" && e == "told") {
            Known& k = known[event.text("to")];
            std::set<std::string> ready;
            for (const auto& entry : event.line.at("list").as_array()) {
                const auto& parts = entry.as_array();
                const std::string name(parts.at(0).as_string());
                k.seen[name] = 0;
                if (parts.at(1).as_string() == "ready") ready.insert(name);
            }
            // An empty list is doubted once and asked for again; both tellings count from the first.
            for (const auto& [name, start] : k.seen) {
                if (ready.count(name))
                    k.barred.erase(name);
                else
                    k.barred.try_emplace(name, event.t);
            }
        }
        const bool order = e == "order" && event.figure("copies") > 0;
        if (event.kind != "invoker" || (e != "hop" && !order)) continue;
        const Known& k = known[event.text("controller")];
        const auto it = k.barred.find(event.name);
        if (it == k.barred.end()) continue;
        const std::int64_t late = event.t - it->second - stated_.drain_grace;
        if (late > stated_.slack + lag_near("invoker", event.name, event.t))
            breach("drains kept", event.text("controller") + "#" + event.text("job"), event.t,
                   fmt::format("{} reached {} {} ms after the grace", order ? "an order" : "a hop", event.name,
                               late / 1000));
    }
}

// Rule 4: what all controllers together sent to a cold invoker, in any window.
void Auditor::check_cold() {
    struct Cold {
        std::int64_t started{};
        double capacity{}, share{}, multiple{}, work{};
        std::int64_t cold{}, span{};
        std::deque<std::int64_t> attempts;
        bool told{};
    };
    std::map<std::string, Cold> cold;
    for (const Event& event : events_) {
        if (event.kind != "invoker") continue;
        const std::string e = event.text("e");
        if (e == "start") {
            cold.erase(event.name);
            const auto* flag = event.line.if_contains("cold");
            if (!flag || !flag->is_bool() || !flag->as_bool()) continue;
            cold[event.name] = {event.t,
                                event.real("capacity"),
                                event.real("cold_share"),
                                event.real("multiple"),
                                event.real("mean_work_ms") / 1000,
                                event.figure("cold_us"),
                                event.figure("span_us"),
                                {},
                                false};
        }
        const auto it = cold.find(event.name);
        if (it == cold.end()) continue;
        Cold& c = it->second;
        if (e == "fell") breach("no cold invoker pushed over", event.name, event.t, event.name + " fell over");
        if (e != "hop" || event.t > c.started + c.cold + c.span) continue;
        c.attempts.push_back(event.t);
        while (c.attempts.front() + c.span < event.t) c.attempts.pop_front();
        const double risen = std::min(1.0, static_cast<double>(event.t - c.started) / static_cast<double>(c.cold));
        const double budget =
            c.multiple * c.capacity * (c.share + (1 - c.share) * risen) * static_cast<double>(c.span) / 1e6 +
            3 * c.work;
        const double used = static_cast<double>(c.attempts.size()) * c.work / budget;
        verdict_.nearest_push = std::max(verdict_.nearest_push, used);
        if (used > 1 && !c.told) {
            c.told = true;
            breach("no cold invoker pushed over", event.name, event.t,
                   fmt::format("{} was sent {:.0f}% of its budget", event.name, used * 100));
        }
    }
}

// Rule 5, where a limit is stated.
void Auditor::check_loads() {
    if (stated_.load_span == 0) return;
    std::map<std::string, std::deque<std::int64_t>> orders, taken;
    std::map<std::string, std::string> address;  // of a controller, by its name
    for (const Event& event : events_)
        if (event.kind == "day" && event.text("e") == "controller_started")
            address[event.text("name")] = event.text("address");
    for (const Event& event : events_) {
        if (event.kind == "clients" && event.text("e") == "sent") taken[event.text("to")].push_back(event.t);
        if (event.kind != "invoker" || event.text("e") != "order" || event.figure("copies") == 0) continue;
        const std::string who = event.text("controller");
        auto& out = orders[who];
        auto& in = taken[address[who.substr(0, who.find('/'))]];
        out.push_back(event.t);
        while (out.front() + stated_.load_span < event.t) out.pop_front();
        while (!in.empty() && in.front() + stated_.load_span + stated_.slack < event.t) in.pop_front();
        const double limit = stated_.free_loads + stated_.loads_per_job * static_cast<double>(in.size());
        if (static_cast<double>(out.size()) > limit + 1e-9)
            breach("loads rationed", who, event.t, fmt::format("{} orders, {:.1f} allowed", out.size(), limit));
    }
}

std::string Verdict::line() const {
    if (breaches.empty())
        return fmt::format("verdict: rules kept; jobs {}, honoured {}, bounced {}, written off {}, late {}", requests,
                           honoured, bounced, written_off, late);
    const Breach& first = breaches.front();
    return fmt::format("verdict: {} breaches; first: {}: {} at {:.3f} s: {}", breaches.size(), first.rule,
                       first.request, static_cast<double>(first.at) / 1e6, first.what);
}

}  // namespace plumkeel::emulator
