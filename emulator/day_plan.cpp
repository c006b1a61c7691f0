#include <algorithm>
#include <cmath>
#include <set>

#include "emulator/day.hpp"

namespace plumkeel::emulator {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

std::vector<std::string> texts(JsonnetReader& in, std::string_view key) {
    std::vector<std::string> out;
    const json::value* value = in.raw(key);
    if (!value) return out;
    if (value->is_string()) return {std::string(value->as_string())};
    if (!value->is_array()) in.fail(key, "is no list of names");
    for (const auto& each : value->as_array()) {
        if (!each.is_string()) in.fail(key, "is no list of names");
        out.emplace_back(each.as_string());
    }
    return out;
}

json::object object(JsonnetReader& in, std::string_view key) {
    const json::value* value = in.raw(key);
    if (!value) return {};
    if (!value->is_object()) in.fail(key, "is no object");
    return value->as_object();
}

// What the auditor holds the controllers to is what their settings state.
void state(DayPlan& plan) {
    auto part = [&](std::string_view a, std::string_view b) -> const json::value* {
        const json::value* outer = plan.controller.if_contains({a.data(), a.size()});
        return outer && outer->is_object() ? outer->as_object().if_contains({b.data(), b.size()}) : nullptr;
    };
    Stated& stated = plan.stated;
    if (const auto* attempts = part("allowances", "hops")) stated.attempts = attempts->to_number<int>();
    if (const auto* second = part("allowances", "second_copies")) stated.second_copies = second->as_bool();
    if (const auto* span = part("rulebook", "load_span"))
        stated.load_span = parse_duration(std::string_view(span->as_string())).count();
    if (const auto* few = part("rulebook", "free_loads")) stated.free_loads = few->to_number<double>();
    if (const auto* share = part("rulebook", "loads_per_job")) stated.loads_per_job = share->to_number<double>();
    if (const auto* uses = plan.controller.if_contains("use_cases"); uses && uses->is_object())
        for (const auto& [name, use] : uses->as_object()) {
            Stated::Use& into = stated.request_classes[std::string(name)];
            if (const auto* word = use.as_object().if_contains("repeat")) into.repeat = std::string(word->as_string());
            if (const auto* word = use.as_object().if_contains("reach")) into.reach = std::string(word->as_string());
            if (const auto* span = use.as_object().if_contains("remembered"))
                into.remembered = parse_duration(std::string_view(span->as_string())).count();
        }
    for (const InvokerPlan& invoker : plan.invokers) stated.places[invoker.name] = {invoker.zone, invoker.cell};
}

}  // namespace

DayPlan read_day(const std::string& file) {
    const auto value = evaluate_jsonnet(file);
    JsonnetReader in(value, file);
    DayPlan plan;
    in.read("length", plan.length);
    in.read("controllers", plan.controllers, 1);
    in.read("fresh", plan.fresh);
    plan.controller = object(in, "controller");
    plan.clients = object(in, "clients");
    plan.store = object(in, "store");
    plan.invoker_common = object(in, "invoker");
    Time grace = 2s;
    in.read("drain_grace", grace);
    plan.stated.drain_grace = grace.count();
    Time slack(plan.stated.slack);
    in.read("slack", slack);
    plan.stated.slack = slack.count();
    std::set<std::string> names = {"store", "list", "clients", "receiver"};
    in.read_array("invokers", [&](JsonnetReader& part) {
        InvokerPlan& invoker = plan.invokers.emplace_back();
        part.require("name", invoker.name);
        part.read("zone", invoker.zone);
        part.read("kind", invoker.kind);
        part.read("cell", invoker.cell);
        part.read("cores", invoker.cores);
        part.read("speed", invoker.speed);
        part.read("memory", invoker.memory);
        if (!names.insert(invoker.name).second) part.fail("name", "'" + invoker.name + "' comes twice");
    });
    for (int i = 1; i <= plan.controllers; ++i) names.insert("c" + std::to_string(i));
    in.read_array("happenings", [&](JsonnetReader& part) {
        Happening& it = plan.happenings.emplace_back();
        part.require("at", it.at);
        part.require("kind", it.kind);
        part.read("lasts", it.lasts);
        part.read("notice", it.notice);
        part.read("drain", it.drain);
        part.read("each", it.each);
        part.read("say", it.say);
        part.read("then", it.then);
        it.who = texts(part, "who");
        static const std::set<std::string> kinds = {"command", "crash",           "vanish",
                                                    "replace", "kill_controller", "freeze"};
        if (!kinds.count(it.kind)) part.fail("kind", "'" + it.kind + "' is no kind of happening");
        if (it.who.empty()) part.fail("who", "is missing");
        for (const std::string& who : it.who)
            if (!names.count(who)) part.fail("who", "'" + who + "' is no part of this day");
        if (it.kind == "command" && it.say.empty()) part.fail("say", "is missing");
    });
    in.reject_unknown_fields();
    if (plan.invokers.empty()) in.fail("invokers", "is missing");
    state(plan);
    return plan;
}

DayPlan read_bench_day(const std::string& file, Time length) {
    const json::value value = evaluate_jsonnet(file);
    const json::object& day = value.as_object();
    auto number = [](const json::value& v) { return v.to_number<double>(); };
    const double whole = number(day.at("length"));
    const double pace = static_cast<double>(length.count()) / whole;

    DayPlan plan;
    plan.length = length;
    plan.controllers = 3;
    const int invokers = 12;
    for (int i = 0; i < invokers; ++i) {
        InvokerPlan& invoker = plan.invokers.emplace_back();
        invoker.name = "i" + std::to_string(i + 1);
        invoker.cores = 4;
    }
    const json::object& allow = day.at("allow").as_object();
    // Loads are told to be on demand or not; what the bench's families allow beyond that is kept.
    json::object uses, client_uses, tenants, shares;
    double mean_work = 0;
    for (const auto& each : day.at("classes").as_array()) {
        const json::object& use = each.as_object();
        const std::string name(use.at("name").as_string());
        static const std::map<std::string, std::string> repeats = {
            {"safe", "replayable"}, {"keyed", "referenced"}, {"unsafe", "single_use"}};
        static const std::map<std::string, std::string> reaches = {
            {"all", "everywhere"}, {"zone", "zone"}, {"cell", "cell"}};
        auto ms = [&](const char* key) {
            return std::to_string(static_cast<std::int64_t>(number(use.at(key)) / 1000)) + "ms";
        };
        const std::string repeat = repeats.at(std::string(use.at("effect").as_string()));
        uses[name] = {{"promised", ms("aim")},
                      {"repeat", repeat},
                      {"reach", reaches.at(std::string(use.at("group").as_string()))},
                      {"remembered", ms("window")}};
        const double work = number(use.at("work")) / 1000;
        client_uses[name] = {
            {"repeat", repeat},         {"share", use.at("share")}, {"work_ms", work}, {"load_ms", 600},
            {"expiry", ms("deadline")}, {"promised", ms("aim")},    {"lanes", 2},      {"memory", 400}};
        mean_work += work * number(use.at("share"));
    }
    for (const auto& each : day.at("tenants").as_array()) {
        const std::string name(each.at("name").as_string());
        tenants[name] = {{"share_per_s", 1000.0}};
        shares[name] = {{"share", each.at("traffic")}};
    }
    // The bench's own share of the capacity in use, of the small fleet.
    const double load = std::min(0.7, number(day.at("traffic").at("load")));
    const double rate = load * invokers * 4 * 1000 / mean_work;
    const json::object& clients = day.at("clients").as_object();
    plan.clients = {{"rate", rate},
                    {"functions", 60},
                    {"zipf", 1.1},
                    {"use_cases", client_uses},
                    {"tenants", shares},
                    {"retries", static_cast<int>(number(clients.at("retries")))},
                    {"try_share", number(clients.at("try_share"))},
                    {"impatient", number(clients.at("impatient"))}};
    plan.controller = {
        {"use_cases", uses},
        {"tenants", tenants},
        {"rulebook", {{"cold_for", "5s"}, {"cold_share", 0.2}, {"push_multiple", 2}, {"push_span", "2s"}}},
        {"allowances",
         {{"second_copies", allow.at("second_copies")},
          {"hops", static_cast<int>(number(allow.at("max_attempts")))},
          {"keep_alive", "6s"}}}};
    plan.invoker_common = {{"cold_share", 0.2},  {"cold_for", "5s"},          {"push_multiple", 2}, {"push_span", "2s"},
                           {"keep_alive", "6s"}, {"mean_work_ms", mean_work}, {"queue", 24}};
    plan.stated.drain_grace = static_cast<std::int64_t>(number(day.at("drain_grace")));

    auto scaled = [&](double us) { return Time(static_cast<Time::rep>(us * pace)); };
    int turn = 0;
    auto some = [&](double part) {
        std::vector<std::string> who;
        const int count = std::clamp(static_cast<int>(part * invokers + 0.5), 1, invokers - 2);
        for (int i = 0; i < count; ++i) who.push_back(plan.invokers[static_cast<std::size_t>(turn++ % invokers)].name);
        return who;
    };
    const json::value* troubles = day.if_contains("troubles");
    for (const auto& each : troubles ? troubles->as_array() : json::array()) {
        const json::object& trouble = each.as_object();
        const std::string kind(trouble.at("kind").as_string());
        auto figure = [&](const char* key, double otherwise) {
            const auto* v = trouble.if_contains(key);
            return v && v->is_number() ? v->to_number<double>() : otherwise;
        };
        Happening it;
        it.at = scaled(figure("at", whole / 3));
        it.lasts = std::max<Time>(scaled(figure("len", 10e6)), 1s);
        const auto* on = trouble.if_contains("on");
        double part =
            on && on->is_array() && on->as_array().size()
                ? static_cast<double>(on->as_array().size()) / static_cast<double>(day.at("servers").as_array().size())
                : 0.15;
        const double size = figure("size", 1), extra = figure("extra", 1);
        auto command = [&](std::vector<std::string> who, std::string say, std::string then) {
            it.kind = "command";
            it.who = std::move(who);
            it.say = std::move(say);
            it.then = std::move(then);
            plan.happenings.push_back(it);
        };
        auto text = [](double v) { return std::to_string(v); };
        if (kind == "crash" || kind == "vanish") {
            it.kind = kind;
            it.who = some(part);
            it.notice = 1s;
            plan.happenings.push_back(it);
        } else if (kind == "deploy") {
            it.kind = "replace";
            double stops = 0;
            for (const auto& step : trouble.at("steps").as_array())
                stops += static_cast<double>(step.as_object().at("stop").as_array().size());
            part = stops / static_cast<double>(day.at("servers").as_array().size());
            it.who = some(std::min(part, 0.8));
            it.each = it.lasts / static_cast<int>(it.who.size());
            it.drain = 1s;
            plan.happenings.push_back(it);
        } else if (kind == "pauses") {
            command(some(part), "pause ms=" + text(size) + " every=" + text(std::max(2 * size, extra * 1000)),
                    "pause ms=0 every=1000");
        } else if (kind == "ageing") {
            const auto who = some(part);
            command(who, "age per_s=" + text(size / std::max(1.0, std::chrono::duration<double>(it.lasts).count())),
                    "age per_s=0");
            it.kind = "crash";
            it.at += it.lasts;
            it.lasts = 2s;
            it.notice = 1s;
            plan.happenings.push_back(it);
        } else if (kind == "answer_lost") {
            const bool resets = trouble.at("how").as_string() == "reset";
            const std::string verb = resets ? "cut_head share=" : "lose share=";
            command(some(part), verb + text(size), verb + "0");
        } else if (kind == "balancer_stall") {
            it.kind = "freeze";
            it.who = {"c1"};
            const Time ends = it.at + it.lasts;
            it.lasts = Time(static_cast<Time::rep>(std::min(size, 1000.0) * 1000));
            for (; it.at < ends; it.at += std::max<Time>(Time(static_cast<Time::rep>(extra * 1e6)), 2 * it.lasts))
                plan.happenings.push_back(it);
        } else if (kind == "tenant_burst") {
            const std::string name(day.at("tenants").at(0).at("name").as_string());
            command({"clients"}, "tenant " + name + " factor=" + text(std::max(2.0, size)),
                    "tenant " + name + " factor=1");
        } else if (kind == "hot_key") {
            command({"clients"},
                    "favourite share=" + text(std::clamp(size, 0.03, 0.25)) +
                        " count=" + text(std::max(1.0, std::floor(extra))),
                    "favourite share=0");
        } else if (kind == "heavy_tail") {
            command(
                {"clients"},
                "heavy share=" + text(std::clamp(extra, 0.005, 0.03)) + " factor=" + text(std::clamp(size, 2.0, 30.0)),
                "heavy share=0");
        } else if (kind == "scan") {
            command({"clients"}, "scan share=" + text(std::clamp(size, 0.03, 0.2)), "scan share=0");
        } else if (kind == "retry_abuse") {
            command({"clients"}, "at_once on", "at_once off");
        } else if (kind == "origin_slow") {
            command({"store"}, "slow factor=" + text(std::max(2.0, size)), "slow factor=1");
        } else if (kind == "discovery_stale") {
            command({"list"}, "delay ms=" + text(std::max(1000.0, size * 1000 * pace)), "delay ms=0");
        } else {
            throw ConfigError(file + ": troubles: '" + kind + "' can't be played on sockets");
        }
    }
    state(plan);
    return plan;
}

}  // namespace plumkeel::emulator
