// The adapter to the simulator's wire: one line of JSON in, one out. It decodes into calls of the decision
// module, encodes what they return, hosts an instance of the module for each controller, and turns ids into
// objects. All names of the wire end here, and nothing is decided here.
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "platform_settings/settings.hpp"
#ifdef PLUMKEEL_TRACED
#include "simulator_adapter/traced.hpp"
#else
#include "simulator_adapter/plain.hpp"
#endif

namespace {

using namespace plumkeel;
using platform_settings::from_ms;
using platform_settings::get;
using platform_settings::has;
using platform_settings::json;
using platform_settings::need;
using platform_settings::SettingsError;
using platform_settings::span;

double to_ms(Time t) {
    return static_cast<double>(t.count()) / 1000.0;
}

AttemptOutcome ending_of(const std::string& word) {
    if (word == "completed") return AttemptOutcome::succeeded;
    if (word == "saturated") return AttemptOutcome::rejected;
    if (word == "refused_conn") return AttemptOutcome::unreachable;
    if (word == "superseded") return AttemptOutcome::never_sent;
    if (word == "lookup_miss") return AttemptOutcome::load_failed;
    if (word == "overdue") return AttemptOutcome::timed_out;
    if (word == "severed") return AttemptOutcome::connection_lost;
    if (word == "recalled") return AttemptOutcome::cancelled;
    return AttemptOutcome::failed;  // the wire's own word, or one not known here: nothing is proven
}

LoadEvent note_of(std::int64_t remark) {
    switch (remark % 8) {
        case 1:
            return LoadEvent::was_loaded;
        case 2:
            return LoadEvent::started_load;
        case 3:
            return LoadEvent::joined_load;
        case 4:
            return LoadEvent::load_failed;
        default:
            return LoadEvent::none;
    }
}

class Instance {
public:
    Instance(std::string who, Time clock, const json& hello) : who_(std::move(who)), start_(clock) {
        const platform_settings::PlatformSettings told =
            platform_settings::read(platform_settings::part(hello, "setup"));
        use_cases_ = told.request_classes;
        tenants_ = told.tenants;
        fields_ = told.report_fields;
        says_company_ = told.reports_concurrency;
        scheduler_ = host(who_, start_, seed_of(hello), told.safety_rules, told.capabilities, use_cases_, tenants_);
    }

    void event(const std::string& kind, const json& e, Time clock, const json* bank, json& actions) {
        const Time now = clock - start_;
        if (kind == "ASK") {
            take(e, now, actions);
        } else if (kind == "DONE" || kind == "ACCEPTED") {
            const auto it = jobs_.find(need<std::uint64_t>(e, "txn"));
            const auto number = need<std::uint64_t>(e, "seq_no");
            if (it == jobs_.end() || number >= it->second->attempts.size()) return;
            Attempt& attempt = it->second->attempts[number];
            if (!attempt.in_flight) return;
            if (kind == "ACCEPTED") return carry_out(scheduler_->response_started(now, attempt), now, actions);
            const auto remark = get<std::int64_t>(e, "remark");
            const int concurrent_requests = says_company_ ? static_cast<int>(remark / 8) : 0;
            const AttemptOutcome ending = ending_of(need<std::string>(e, "state_code"));
            carry_out(scheduler_->attempt_ended(now, attempt, ending, note_of(remark), concurrent_requests, report(e)),
                      now, actions);
            drop_if_closed(need<std::uint64_t>(e, "txn"));
        } else if (kind == "HANGUP") {
            const auto it = jobs_.find(need<std::uint64_t>(e, "txn"));
            if (it == jobs_.end()) return;
            carry_out(scheduler_->client_disconnected(now, *it->second), now, actions);
            drop_if_closed(need<std::uint64_t>(e, "txn"));
        } else if (kind == "WAKEUP") {
            if (get<std::string>(e, "ref") != std::to_string(armings_)) return;  // an older timer
            armed_ = Time::max();
            carry_out(scheduler_->wake(now), now, actions);
        } else if (kind == "DIRECTORY_UPDATE") {
            list(e, now, bank, actions);
        } else if (kind == "CHECK_RESULT") {
            Invoker* invoker = known(e);
            if (!invoker) return;
            const bool answered = need<std::string>(e, "state_code") == "completed";
            carry_out(scheduler_->health_check_ended(now, *invoker, answered, report(e)), now, actions);
        } else if (kind == "LOAD_DONE") {
            Invoker* invoker = known(e);
            const auto it = functions_.find(need<std::string>(e, "function"));
            if (!invoker || it == functions_.end()) return;
            const AttemptOutcome ending = ending_of(need<std::string>(e, "state_code"));
            carry_out(scheduler_->preload_ended(now, *it->second, *invoker, ending, get<int>(e, "count")), now,
                      actions);
        }
    }

private:
    static std::uint64_t seed_of(const json& hello) {
        const auto it = hello.find("init_seed");
        if (it == hello.end() || !it->is_number()) return 0;
        return it->is_number_integer() ? it->get<std::uint64_t>() : static_cast<std::uint64_t>(it->get<double>());
    }

    void take(const json& e, Time now, json& actions) {
        const auto use = use_cases_.find(need<std::string>(e, "cls"));
        if (use == use_cases_.end()) throw SettingsError("a job of a use case that the settings do not name");
        const auto name = get<std::string>(e, "function");
        std::unique_ptr<Function>& function = functions_[name];
        if (!function) function = std::make_unique<Function>();
        function->name = name;
        function->concurrency = get<int>(e, "per_copy", 1);
        if (has(e, "warm_ms")) function->declared_load_time = span(e, "warm_ms");
        const auto id = need<std::uint64_t>(e, "txn");
        auto [it, fresh] = jobs_.try_emplace(id, std::make_unique<Request>());
        if (!fresh) throw SettingsError("a job's id came twice");
        Request& request = *it->second;
        request.id = id;
        request.request_class = &use->second;
        request.function = function.get();
        request.remaining = from_ms(need<double>(e, "time_left"));
        request.is_client_retry = get<bool>(e, "is_retry");
        if (const auto tenant = e.find("user_group"); tenant != e.end() && tenant->is_string())
            if (const auto found = tenants_.find(tenant->get<std::string>()); found != tenants_.end())
                request.tenant = &found->second;
        carry_out(scheduler_->submit(now, request), now, actions);
    }

    void list(const json& e, Time now, const json* bank, json& actions) {
        const auto mode = need<std::string>(e, "mode");
        if (mode == "error") return carry_out(scheduler_->endpoint_stream_lost(now), now, actions);
        if (!bank) throw SettingsError("a list refers to a bank that never came");
        std::vector<Invoker*> changed;
        for (const json& entry : *bank) {
            const auto name = need<std::string>(entry, "invoker");
            std::unique_ptr<Invoker>& invoker = invokers_[name];
            if (!invoker) invoker = std::make_unique<Invoker>();
            invoker->name = name;
            invoker->ready = get<std::string>(entry, "readiness") == "Ready";
            invoker->capacity = get<double>(entry, "units", 1.0);
            invoker->zone = get<std::string>(entry, "locality");
            invoker->type = &kinds_[get<std::string>(entry, "shape")];
            invoker->cell = get<int>(entry, "unit_group");
            invoker->started_at.reset();
            if (const Time started = span(entry, "start_time"); started != Time{})
                invoker->started_at = started - start_;
            changed.push_back(invoker.get());
        }
        carry_out(scheduler_->endpoints_changed(now, changed, mode != "diff"), now, actions);
    }

    void drop_if_closed(std::uint64_t id) {
        if (const auto it = jobs_.find(id); it != jobs_.end() && it->second->is_settled()) jobs_.erase(it);
    }

    Invoker* known(const json& e) {
        const auto it = invokers_.find(need<std::string>(e, "invoker"));
        return it == invokers_.end() ? nullptr : it->second.get();
    }

    LoadReport report(const json& e) const {
        LoadReport out;
        const auto it = e.find("gauge");
        if (it == e.end() || !it->is_array()) return out;
        for (std::size_t i = 0; i < it->size() && i < fields_.size(); ++i) {
            if (!(*it)[i].is_number()) continue;
            platform_settings::put_figure(out, fields_[i], (*it)[i].get<double>());
        }
        return out;
    }

    void carry_out(const Actions& results, Time now, json& actions) {
        auto act = [&](const char* kind) -> json& {
            actions.push_back({{"msg", kind}, {"who", who_}});
            return actions.back();
        };
        if (results.subscribe_endpoints) act("WATCH")["active"] = true;
        for (const Attempt* attempt : results.to_cancel) {
            json& a = act("STOP_ATTEMPT");
            a["txn"] = attempt->request->id;
            a["seq_no"] = attempt->number;
        }
        for (const Request* request : results.completed) {
            json& a = act(request->state == RequestState::rejected ? "NOT_NOW" : "ERROR");
            a["txn"] = request->id;
            if (request->state == RequestState::rejected && request->retry_after > Time{})
                a["pause"] = to_ms(request->retry_after);
        }
        for (const Attempt* attempt : results.to_send) {
            json& a = act("CALL_OUT");
            a["txn"] = attempt->request->id;
            a["invoker"] = attempt->invoker->name;
            a["within"] = to_ms(std::max(attempt->timeout, Time(1)));
        }
        for (const Invoker* invoker : results.to_probe) act("PROBE")["invoker"] = invoker->name;
        for (const PreloadCommand& order : results.to_preload) {
            json& a = act(order.copies > 0 ? "HOLD_THERE" : "SHELVE");
            a["invoker"] = order.invoker->name;
            a["function"] = order.function->name;
            if (order.copies > 0) a["count"] = order.copies;
        }
        for (const Request* request : results.completed) drop_if_closed(request->id);
        for (const Function* function : results.released_functions) functions_.erase(std::string(function->name));
        for (const Invoker* invoker : results.released_invokers) invokers_.erase(std::string(invoker->name));
        if (results.next_wake < armed_) {
            armed_ = results.next_wake;
            json& a = act("AFTER");
            a["after"] = to_ms(std::max(armed_ - now, Time{}));
            a["ref"] = std::to_string(++armings_);
        }
    }

    const std::string who_;
    const Time start_;
    std::map<std::string, RequestClass> use_cases_;
    std::map<std::string, Tenant> tenants_;
    std::map<std::string, InvokerType> kinds_;
    std::vector<std::string> fields_;
    bool says_company_{};
    std::unordered_map<std::uint64_t, std::unique_ptr<Request>> jobs_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::unordered_map<std::string, std::unique_ptr<Invoker>> invokers_;
    std::unique_ptr<Hosted> scheduler_;
    Time armed_ = Time::max();
    std::uint64_t armings_{};
};

class Host {
public:
    json answer(const json& batch) {
        if (!batch.is_object()) throw SettingsError("a batch is no object");
        const Time clock = from_ms(need<double>(batch, "sim_time"));
        json actions = json::array();
        const auto events = batch.find("in");
        if (events == batch.end() || !events->is_array()) throw SettingsError("field 'in' is missing or no array");
        for (const json& e : *events) {
            if (!e.is_object()) throw SettingsError("an event is no object");
            event(e, clock, actions);
        }
        return {{"actions", std::move(actions)}};
    }

private:
    void event(const json& e, Time clock, json& actions) {
        const auto kind = need<std::string>(e, "msg");
        if (kind == "MANIFEST") {
            banks_[need<int>(e, "bank")] = need<json>(e, "nodes_list");
            return;
        }
        if (!has(e, "who")) return;
        const auto who = need<std::string>(e, "who");
        if (kind == "HELLO") {
            instances_[who] = std::make_unique<Instance>(who, clock, e);
            return;
        }
        const auto it = instances_.find(who);
        if (it == instances_.end()) throw SettingsError("event " + kind + " for the unknown instance " + who);
        if (kind == "CRASH_NOW") {
            instances_.erase(it);
            return;
        }
        const json* bank = nullptr;
        if (kind == "DIRECTORY_UPDATE")
            if (const auto found = banks_.find(get<int>(e, "bank")); found != banks_.end()) bank = &found->second;
        it->second->event(kind, e, clock, bank, actions);
    }

    std::map<int, json> banks_;
    std::map<std::string, std::unique_ptr<Instance>> instances_;
};

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    Host host;
    std::string line;
    std::uint64_t number = 0;
    while (std::getline(std::cin, line)) {
        ++number;
        if (line.empty()) continue;
        try {
            std::cout << host.answer(json::parse(line)).dump() << '\n' << std::flush;
        } catch (const json::parse_error&) {
            std::cerr << "plumkeel_simhost: line " << number << ": not JSON\n";
            return 1;
        } catch (const std::exception& fault) {
            std::cerr << "plumkeel_simhost: line " << number << ": " << fault.what() << '\n';
            return 1;
        }
    }
    return 0;
}
