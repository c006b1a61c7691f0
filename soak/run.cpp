#include "soak/run.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <set>

#include "emulator/faults/fault_plan.hpp"
#include "emulator/faults/process.hpp"
#include "emulator/protocol_bytes.hpp"
#include "scale/hollow_peers.hpp"
#include "soak/clients.hpp"
#include "soak/control.hpp"

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using faults::Call;
using faults::Process;
using net::Time;

constexpr Time look_every = 10ms, settle = 1s, ready_limit = 10s, last_answers = 6s, first_trouble = 1500ms;
constexpr std::uint16_t controller_port = 7001, discovery_port = 2379, proxy_port = 7001, invoker_port = 8001;
constexpr SlowStart slow_start{0.16, 2.0, 6'000'000, 2'000'000};
constexpr std::int64_t discovery_grace_us = 4'000'000;  // what a lost watch would have told counts as told after it
constexpr std::int64_t own_lateness_us = 50'000;
constexpr Time discovery_rest = 3s;  // between two outages
constexpr std::uint64_t ids_of_a_life = 1'000'000;

// Of the process's own part of loopback, so that runs side by side don't meet.
std::string host(std::uint32_t group, std::uint32_t last) {
    return fmt::format("127.{}.{}.{}", 100 + (::getpid() >> 6) % 64, (::getpid() & 63) * 4 + static_cast<int>(group),
                       last + 1);
}

struct Controller {
    std::uint32_t number{};
    net::Address address;
    std::unique_ptr<faults::PlanFile> faults;
    std::unique_ptr<Process> process;
    std::unique_ptr<Clients> clients;
    enum class State { starting, up, ending } state{};
    int life = -1;
    bool paused{};
    std::int64_t pause_from{};
};

struct Server {
    std::uint32_t number{};
    std::unique_ptr<Process> process;
    bool listed{}, draining{}, paused{};
    std::int64_t unix_ms{};  // its start; 0: long ago
};

class Run {
public:
    explicit Run(const RunPlan& plan)
        : plan_(plan), random_(plan.seed), control_(plan.folder + "/control", ControlFile::Mode::make) {}

    RunResult play() {
        start_fleet();
        for (std::uint32_t i = 0; i < plan_.controllers; ++i) {
            controllers_.emplace_back();
            Controller& it = controllers_.back();
            it.number = i;
            it.address = {host(0, i), controller_port};
            it.faults = std::make_unique<faults::PlanFile>(fmt::format("{}/faults-{}", plan_.folder, i));
            it.faults->plan().seed = plan_.seed * 1000 + i;
            start(it);
        }
        loop_.call_at(loop_.now() + first_trouble, [this] { trouble(); });
        loop_.call_at(loop_.now() + std::chrono::seconds(plan_.seconds), [this] { calm_down(); });
        look();
        loop_.run();
        return result();
    }

private:
    std::size_t any(std::size_t count) { return static_cast<std::size_t>(random_.next() * static_cast<double>(count)); }
    Time between(Time least, Time most) {
        return least + Time(static_cast<Time::rep>(random_.next() * static_cast<double>((most - least).count())));
    }
    void after(Time span, std::function<void()> what) { loop_.call_at(loop_.now() + span, std::move(what)); }

    // ---------------------------------------------------------------- the fleet and its list

    void start_fleet() {
        for (std::uint32_t i = 0; i < plan_.invokers; ++i) {
            Server& it = *servers_.emplace_back(std::make_unique<Server>());
            it.number = i;
            it.listed = true;
            launch(it);
            books_.invokers[i] = {i, 0, never};
        }
        for (std::uint32_t p = 0; p < plan_.proxies; ++p) {
            std::vector<std::string> command{plan_.self,  "proxy",
                                             "--record",  fmt::format("{}/proxy-{}.events", plan_.folder, p),
                                             "--control", control_.path()};
            // Numbers of replaced invokers count up: each proxy listens for all that may come before its part.
            for (std::uint32_t i = p; i < most_invokers; i += plan_.proxies)
                command.insert(command.end(), {"--way", fmt::format("{}:{}={}:{}={}", host(1, i), proxy_port,
                                                                    host(2, i), invoker_port, i)});
            proxies_.push_back(std::make_unique<Process>(std::move(command), std::map<std::string, std::string>{},
                                                         fmt::format("{}/proxy-{}.log", plan_.folder, p)));
        }
        for (const std::uint32_t i : {0u, 1u}) {
            discovery_.push_back(
                std::make_unique<scale::HollowDiscovery>(loop_, net::Address{host(3, i), discovery_port}));
            if (const net::Error error = discovery_.back()->open())
                throw std::runtime_error("discovery: " + error.message());
        }
    }

    void launch(Server& it) {
        it.process = std::make_unique<Process>(
            std::vector<std::string>{
                plan_.self, "invoker", "--listen", fmt::format("{}:{}", host(2, it.number), invoker_port), "--record",
                fmt::format("{}/invoker-{}.events", plan_.folder, it.number), "--control", control_.path(), "--number",
                std::to_string(it.number), "--seed", std::to_string(plan_.seed + it.number)},
            std::map<std::string, std::string>{}, fmt::format("{}/invoker-{}.log", plan_.folder, it.number));
    }

    bytes::Row row(const Server& it, int state) const {
        return {it.number + 1, host(1, it.number), proxy_port, state, static_cast<std::uint64_t>(it.unix_ms)};
    }

    void tell(const std::vector<bytes::Row>& rows) {
        std::string payload;
        for (const bytes::Row& each : rows) payload += bytes::row(each);
        for (const auto& each : discovery_) last_event_ = each->tell(payload);
    }

    // When every controller has been told of what is told now, or counts as told.
    std::int64_t told_us() const { return discovery_down_ ? now_us() + discovery_grace_us : now_us(); }

    std::string known() const {
        std::string targets;
        for (const auto& it : servers_) {
            if (!it->listed) continue;
            targets += fmt::format(
                R"({}{{"uid":"s-{:08x}","endpoint":"{}:{}","az":"a","model":"k","pod_group":0,"state":"{}","capacity_hint":5,"boot_ms":{}}})",
                targets.empty() ? "" : ",", it->number + 1, host(1, it->number), proxy_port,
                it->draining ? "draining" : "up", it->unix_ms);
        }
        return fmt::format(R"({{"rev":{0},"notices":[{{"rev":{0},"pool":{{"rev":{0},"all":true,"targets":[{1}]}}}}]}})",
                           last_event_, targets);
    }

    // Takes an invoker off in the ordinary way, or kills it, and puts a new one in its place.
    void replace(Server& it, bool kill) {
        if (!it.listed || it.draining || next_number() >= most_invokers) return;
        if (kill) {
            it.process.reset();
            gone(it);
        } else {
            it.draining = true;
            books_.invokers[it.number].drained_told_us = told_us();
            tell({row(it, 1)});
            after(3s, [this, &it] {
                gone(it);
                after(2500ms, [&it] { it.process.reset(); });
            });
        }
        after(between(100ms, 700ms), [this] { arrive(); });
    }

    std::uint32_t next_number() const { return static_cast<std::uint32_t>(servers_.size()); }

    void gone(Server& it) {
        if (!std::exchange(it.listed, false)) return;
        std::int64_t& told = books_.invokers[it.number].drained_told_us;
        told = std::min(told, told_us());
        tell({row(it, 2)});
    }

    void arrive() {
        if (next_number() >= most_invokers) return;
        Server& it = *servers_.emplace_back(std::make_unique<Server>());
        it.number = next_number() - 1;
        launch(it);
        it.unix_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count();
        books_.invokers[it.number] = {it.number, now_us(), never};
        it.listed = true;
        tell({row(it, 0)});
    }

    // ---------------------------------------------------------------- controllers

    void write_config(const Controller& it) {
        const std::string file = config_of(it), fresh = file + ".new";
        std::ofstream(fresh)
            << fmt::format(
                   R"({{"name":"c{}","listen":"{}","seed":"{:x}","board":"{}:{}","limits":{{"cores":1.0,"memory_mb":48,"sockets":{}}},"known":{},)",
                   it.number, it.address.to_string(), plan_.seed * 100 + it.number + 1, host(3, board_), discovery_port,
                   descriptors_of(it), known())
            << fmt::format(
                   R"("settings":{{"areas":["a"],"kinds":["k"],"fleet_size":{},"discovery":"automatic","weight_source":"nominal","quantum":1.0,
 "classes":[{{"name":"preview","aim":800.0,"deadline":3000.0,"semantics":"retryable","group":"all","repeat_window":5000.0}},
  {{"name":"tagged","aim":800.0,"deadline":3000.0,"semantics":"dedup","group":"all","repeat_window":5000.0}},
  {{"name":"ledger","aim":800.0,"deadline":3000.0,"semantics":"fragile","group":"all","repeat_window":5000.0}}],
 "realms":[{{"name":"acme","quota_per_s":1000.0}}],"report":{{"fields":["active","waiting"],"how":"pull"}},
 "rules":{{"cold":{:.1f},"cold_share":{},"fall_multiple":{},"overload_for":{:.1f},"stop_sending_within":2000.0,"grace_to_answer":8.0}},
 "family_info":{{"if_cold":"load","linger_idle":5000.0,"may_order":false,"says_company":true,"answer_within":4000.0}},
 "limits":{{"may_cancel":{},"probes":true,"second_copies":{},"retry_after":true,"send_cap":5,"max_retry_after":2000.0,
  "connect_timeout":250.0,"conn_idle":10000.0,"streams_per_conn":32}}}}}})",
                   plan_.controllers, static_cast<double>(slow_start.cold_us) / 1000, slow_start.cold_share,
                   slow_start.multiple, static_cast<double>(slow_start.window_us) / 1000, plan_.seed % 5 != 0,
                   plan_.seed % 2 == 0);
        std::filesystem::rename(fresh, file);
    }
    // Some have few, so that connections have to make way for each other.
    static int descriptors_of(const Controller& it) { return it.number % 4 == 3 ? 88 : 256; }
    std::string config_of(const Controller& it) const {
        return fmt::format("{}/controller-{}.json", plan_.folder, it.number);
    }
    std::string log_of(const Controller& it) const {
        return fmt::format("{}/controller-{}.log", plan_.folder, it.number);
    }

    void start(Controller& it) {
        write_config(it);
        it.faults->heal();
        it.process = std::make_unique<Process>(
            std::vector<std::string>{"/bin/sh", "-c",
                                     fmt::format("trap '' HUP; ulimit -n {}; exec \"$0\" platform", descriptors_of(it)),
                                     plan_.program},
            std::map<std::string, std::string>{{"EDGE_CONFIG", config_of(it)},
                                               {"PLUMKEEL_LOG", "debug"},
                                               {"LD_PRELOAD", plan_.preload},
                                               {faults::plan_variable, it.faults->path()},
                                               {"ASAN_OPTIONS", "verify_asan_link_order=0:detect_leaks=0"}},
            log_of(it));
        ++it.life;
        it.state = Controller::State::starting;
        it.paused = false;
        books_.controllers[it.number].emplace_back().started_us = now_us();
        ClientPlan plan;
        plan.controller = it.address;
        plan.number = it.number;
        plan.life = static_cast<std::uint32_t>(it.life);
        plan.per_second = plan_.per_second;
        plan.seed = plan_.seed * 7919 + it.number * 131 + plan.life;
        plan.first_id = (static_cast<std::uint64_t>(it.number + 1) * 1000 + plan.life) * ids_of_a_life;
        it.clients = std::make_unique<Clients>(loop_, plan, books_.requests);
        it.clients->begin([this, &it] {
            if (it.state == Controller::State::starting) it.state = Controller::State::up;
            life_of(it).ready = true;
            if (calming_) it.clients->end_sending();
        });
    }

    Life& life_of(const Controller& it) { return books_.controllers[it.number].back(); }

    void kill(Controller& it) {
        if (it.state == Controller::State::ending) return;
        resume(it);
        it.state = Controller::State::ending;
        it.clients->killed();
        life_of(it).killed = true;
        it.process->signal(SIGKILL);
    }

    void term(Controller& it) {
        if (it.state != Controller::State::up) return;
        it.state = Controller::State::ending;
        life_of(it).told_to_end_us = now_us();
        it.process->signal(SIGTERM);
        Clients* const clients = it.clients.get();
        after(400ms, [this, &it, clients] {
            if (it.clients.get() == clients) clients->end_sending();
        });
    }

    void pause(Controller& it, Time span) {
        if (it.state == Controller::State::starting || it.paused || life_of(it).ended_us != never) return;
        it.paused = true;
        it.pause_from = now_us();
        it.process->signal(SIGSTOP);
        const int life = it.life;
        after(span, [this, &it, life] {
            if (it.life == life) resume(it);
        });
    }

    void resume(Controller& it) {
        if (!std::exchange(it.paused, false)) return;
        life_of(it).pauses.push_back({it.pause_from, now_us()});
        it.process->signal(SIGCONT);
    }

    // Ends of processes, and new starts of those that are to go on.
    void look() {
        const std::int64_t now = now_us(), due = std::exchange(look_due_, now + look_every / 1us);
        if (due > 0 && now - due > own_lateness_us) books_.own_pauses.push_back({due, now});
        for (Controller& it : controllers_) {
            const auto ending = it.process->ended();
            if (!ending || life_of(it).ended_us != never) continue;
            Life& life = life_of(it);
            life.ended_us = now_us();
            it.state = Controller::State::ending;
            const bool asked = life.told_to_end_us != never && ending->exited && ending->code == 0;
            if (!life.killed && !asked) {
                life.crash = fmt::format(
                    "ended {} ms after its start{} with {} {}", (life.ended_us - life.started_us) / 1000,
                    life.told_to_end_us == never
                        ? ""
                        : fmt::format(", {} ms after SIGTERM,", (life.ended_us - life.told_to_end_us) / 1000),
                    ending->exited ? "status" : "signal", ending->code);
                it.clients->killed();
                say(fmt::format("controller {} {}", it.number, life.crash));
            }
            it.clients->end_sending();
            retired_.push_back(std::move(it.clients));
            ++restarts_;
            if (!calming_)
                after(between(50ms, 400ms), [this, &it] {
                    if (!calming_) start(it);
                });
        }
        after(look_every, [this] { look(); });
    }

    // ---------------------------------------------------------------- troubles

    Controller& some_controller() { return controllers_[any(controllers_.size())]; }
    Server* some_server() {
        std::vector<Server*> listed;
        for (const auto& each : servers_)
            if (each->listed && !each->draining) listed.push_back(each.get());
        return listed.empty() ? nullptr : listed[any(listed.size())];
    }

    using Trouble = std::pair<const char*, void (Run::*)(Time)>;
    static const std::vector<Trouble>& troubles() {
        static const std::vector<Trouble> all = {
            {"pause", &Run::pauses},
            {"term", &Run::terms},
            {"kill", &Run::kills},
            {"reload", &Run::reloads},
            {"wall", &Run::wall_steps},
            {"calls", &Run::calls_fail},
            {"short", &Run::calls_short},
            {"replace", &Run::replacement},
            {"release", &Run::release},
            {"hang", &Run::hangs},
            {"cut", &Run::cuts},
            {"unread", &Run::unread},
            {"refuse", &Run::refusals},
            {"resets", &Run::resets},
            {"idle-ends", &Run::idle_ends},
            {"errors", &Run::errors},
            {"twice", &Run::second_answers},
            {"full", &Run::full},
            {"slow", &Run::slowness},
            {"discovery", &Run::discovery_gone},
            {"bad-clients", &Run::bad_clients},
            {"silent", &Run::unanswered},
            {"freeze", &Run::freezes},
            {"unread-answers", &Run::unread_answers},
            {"term-all", &Run::terms_of_all},
        };
        return all;
    }
    friend std::vector<std::string> soak::trouble_names();

    // The next one starts while one or two earlier ones go on.
    void trouble() {
        if (calming_) return;
        std::vector<Trouble> mine;
        for (const Trouble& each : troubles())
            if (plan_.only.empty() || plan_.only.count(each.first)) mine.push_back(each);
        const auto& [name, begin] = mine[any(mine.size())];
        const Time span = between(200ms, 2500ms);
        ++counts_[name];
        say(fmt::format("{} for {} ms", name, span / 1ms));
        (this->*begin)(span);
        after(between(std::chrono::milliseconds(plan_.gap_ms / 4), std::chrono::milliseconds(plan_.gap_ms)),
              [this] { trouble(); });
    }

    void pauses(Time span) {
        for (std::size_t i = 0; i < 1 + any(3); ++i) pause(some_controller(), span);
    }
    void freezes(Time span) {
        for (Controller& it : controllers_) pause(it, span);
    }
    void terms_of_all(Time) {
        int place = 0;
        for (Controller& it : controllers_) after(place++ * between(20ms, 300ms), [this, &it] { term(it); });
    }
    void terms(Time) {
        Controller& it = some_controller();
        term(it);
        if (random_.next() >= 0.3) return;
        after(between(0ms, 900ms), [this, &it, life = it.life] {
            if (it.life == life) it.process->signal(random_.next() < 0.5 ? SIGHUP : SIGTERM);
        });
    }
    void kills(Time) { kill(some_controller()); }
    void reloads(Time) {
        board_ = 1 - board_;
        const int times = 1 + static_cast<int>(any(3));
        for (int i = 0; i < times; ++i)
            after(i * between(1ms, 60ms), [this, i] {
                if (i % 2) board_ = 1 - board_;
                for (Controller& it : controllers_) {
                    if (life_of(it).ended_us != never) continue;
                    write_config(it);
                    it.process->signal(SIGHUP);
                }
            });
    }
    void wall_steps(Time) {
        const std::int64_t steps[] = {3'600'000'000, -3'600'000'000, 7'000'000, -7'000'000};
        const std::int64_t by = steps[any(4)];
        for (Controller& it : controllers_)
            if (random_.next() < 0.5) it.faults->plan().wall_ahead_us += by;
    }
    void calls_fail(Time span) {
        Controller& it = some_controller();
        const auto rate = static_cast<std::uint32_t>(10'000 + random_.next() * 90'000);
        it.faults->fail(Call::accept, rate, {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, EINTR, EPROTO});
        it.faults->fail(Call::connect, rate,
                        {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, EINTR, ECONNREFUSED});
        it.faults->fail(Call::send, rate, {EINTR, ENOBUFS, ENOMEM});
        it.faults->fail(Call::receive, rate, {EINTR, ENOMEM});
        it.faults->fail(Call::wait, rate, {EINTR});
        after(span, [&it] { it.faults->heal(); });
    }
    void calls_short(Time span) {
        Controller& it = some_controller();
        it.faults->cut_short(Call::send, 300'000);
        it.faults->cut_short(Call::receive, 300'000);
        after(span, [&it] { it.faults->heal(); });
    }
    void replacement(Time) {
        if (Server* const it = some_server()) replace(*it, random_.next() < 0.5);
    }
    void release(Time) {
        std::size_t listed = 0;
        for (const auto& each : servers_) listed += each->listed && !each->draining;
        for (std::size_t i = 0; i < listed / 3; ++i) after(between(0ms, 1500ms), [this] { replacement({}); });
    }
    void hangs(Time span) {
        Server* const it = some_server();
        if (!it || it->paused || !it->process) return;
        it->paused = true;
        it->process->signal(SIGSTOP);
        after(span, [it] {
            it->paused = false;
            if (it->process) it->process->signal(SIGCONT);
        });
    }
    void passing(Passing how, Time span, std::size_t servers) {
        for (std::size_t i = 0; i < servers; ++i)
            if (Server* const it = some_server()) {
                control_.slot(it->number).passing = how;
                after(span, [this, it] { control_.slot(it->number).passing = Passing::on; });
            }
    }
    void cuts(Time span) { passing(Passing::held, span, 1 + any(4)); }
    void unread(Time span) { passing(Passing::unread, span, 1 + any(2)); }
    void refusals(Time span) { passing(Passing::refused, span, 1 + any(3)); }
    void resets(Time) {
        for (std::size_t i = 0; i < 1 + any(4); ++i)
            if (Server* const it = some_server()) ++control_.slot(it->number).reset_count;
    }
    void idle_ends(Time span) {
        for (Time at{}; at < span; at += 100ms)
            after(at, [this] {
                for (const auto& each : servers_) ++control_.slot(each->number).idle_end_count;
            });
    }
    void rate(std::atomic<std::uint32_t> Slot::*which, std::uint32_t value, std::uint32_t otherwise, Time span) {
        for (std::size_t i = 0; i < 1 + any(3); ++i)
            if (Server* const it = some_server()) {
                control_.slot(it->number).*which = value;
                after(span, [this, it, which, otherwise] { control_.slot(it->number).*which = otherwise; });
            }
    }
    void errors(Time span) { rate(&Slot::failing, 600'000, 0, span); }
    void second_answers(Time span) { rate(&Slot::twice, 800'000, 0, span); }
    void full(Time span) { rate(&Slot::full, 500'000, 0, span); }
    void unanswered(Time span) { rate(&Slot::unanswered, 500'000, 0, span); }
    void slowness(Time span) { rate(&Slot::slowness, 800, 100, span); }
    void discovery_gone(Time span) {
        // Whoever is told in a moment between two outages, too short to come again in, can't know: none is so short
        // here.
        if (discovery_down_ || loop_.now() < discovery_back_ + discovery_rest) return;
        discovery_down_ = true;
        for (const auto& each : discovery_) each->vanish();
        after(span * 2, [this] {
            discovery_down_ = false;
            discovery_back_ = loop_.now();
            for (const auto& each : discovery_)
                if (const net::Error error = each->open()) say("discovery: " + error.message());
        });
    }
    void unread_answers(Time) {
        Controller& it = some_controller();
        if (it.state == Controller::State::up) it.clients->read_nothing(6);
    }
    void bad_clients(Time) {
        Controller& it = some_controller();
        if (it.state != Controller::State::up) return;
        it.clients->flood_halves(12);
        it.clients->idle(60);
        for (int i = 0; i < 3; ++i) it.clients->malformed_behind_a_request();
    }

    // ---------------------------------------------------------------- the end

    // Troubles end, requests get their last answers, and the controllers are told to end.
    void calm_down() {
        calming_ = true;
        for (std::size_t i = 0; i < most_invokers; ++i) {
            control_.slot(i).passing = Passing::on;
            control_.slot(i).failing = control_.slot(i).full = control_.slot(i).twice = control_.slot(i).unanswered = 0;
        }
        for (Controller& it : controllers_) {
            resume(it);
            it.faults->heal();
            if (it.clients && it.state != Controller::State::starting) it.clients->end_sending();
        }
        after(settle + 3s, [this] {
            for (Controller& it : controllers_)
                if (it.state == Controller::State::up) term(it);
        });
        after(settle + last_answers + 3s, [this] { loop_.stop(); });
    }

    RunResult result() {
        RunResult out;
        for (Controller& it : controllers_) {
            Life& life = life_of(it);
            if (life.ended_us == never && life.told_to_end_us != never) {
                life.crash = "did not end";
            }
            std::ifstream in(log_of(it));
            for (std::string line; std::getline(in, line);)
                if (line.find("\"invariant_broken\"") != std::string::npos) {
                    ++books_.invariants_broken;
                    if (books_.invariants_broken <= 5) say(line);
                }
            for (const auto& [name, call] : std::map<std::string, Call>{{"accept", Call::accept},
                                                                        {"connect", Call::connect},
                                                                        {"send", Call::send},
                                                                        {"receive", Call::receive},
                                                                        {"wait", Call::wait}})
                out.failed_calls[name] += it.faults->rule(call).failed;
        }
        for (auto& each : proxies_) each.reset();
        for (const auto& each : servers_) each->process.reset();
        for (const auto& entry : std::filesystem::directory_iterator(plan_.folder))
            if (entry.path().extension() == ".events")
                for (const Event& each : read_events(entry.path())) books_.events.push_back(each);
        books_.slow_start = slow_start;
        out.verdict = judge(books_);
        out.troubles = counts_;
        out.restarts = restarts_;
        for (const Pause& each : books_.own_pauses)
            out.own_pause_ms = std::max(out.own_pause_ms, (each.to_us - each.from_us) / 1000);
        return out;
    }

    void say(const std::string& what) const {
        if (!plan_.quiet)
            std::cerr << fmt::format("{:7.2f} {}\n", static_cast<double>(loop_.now().count()) / 1e6, what);
    }

    const RunPlan plan_;
    Pcg random_;
    net::SocketEventLoop loop_;
    ControlFile control_;
    Books books_;
    std::deque<Controller> controllers_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Process>> proxies_;
    std::vector<std::unique_ptr<scale::HollowDiscovery>> discovery_;
    std::vector<std::unique_ptr<Clients>> retired_;
    std::map<std::string, int> counts_;
    std::uint64_t last_event_ = 1, restarts_{};
    std::uint32_t board_{};
    std::int64_t look_due_{};
    Time discovery_back_{};
    bool calming_{}, discovery_down_{};
};

}  // namespace

std::vector<std::string> trouble_names() {
    std::vector<std::string> out;
    for (const auto& [name, begin] : Run::troubles()) out.emplace_back(name);
    return out;
}

RunResult run(const RunPlan& plan) {
    std::filesystem::remove_all(plan.folder);
    std::filesystem::create_directories(plan.folder);
    return Run(plan).play();
}

}  // namespace plumkeel::soak
