#include "emulator/day.hpp"

#include <fmt/format.h>
#include <signal.h>

#include <boost/process.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

#include "emulator/common.hpp"
#include "net/machine_clock.hpp"
#include "net/socket_event_loop.hpp"

namespace plumkeel::emulator {
namespace {

namespace bp = boost::process;
namespace fs = std::filesystem;
namespace json = boost::json;

void merge(json::object& into, const json::object& from) {
    for (const auto& [key, value] : from) {
        auto* old = into.if_contains(key);
        if (old && old->is_object() && value.is_object())
            merge(old->as_object(), value.as_object());
        else
            into[key] = value;
    }
}

// A process of the day. It is killed with this object; a stand-in ends by itself once its input is closed.
class Part {
public:
    Part(std::string program, std::vector<std::string> words, const std::string& log)
        : child_(bp::exe = program, bp::args = words, bp::std_in<in_, bp::std_out> log, bp::std_err > log) {}
    ~Part() { kill(); }

    void say(const std::string& line) {
        if (!child_.running()) return;
        in_ << line << std::endl;
    }
    void signal(int number) { ::kill(child_.id(), number); }
    void kill() {
        std::error_code ignored;
        if (child_.valid()) child_.terminate(ignored);
        child_.wait(ignored);
    }
    bool running() { return child_.running(); }
    int wait(std::chrono::milliseconds limit) {
        std::error_code ignored;
        if (!child_.wait_for(limit, ignored)) return -1;
        return child_.exit_code();
    }
    void close_input() {
        in_.flush();
        in_.pipe().close();
    }

private:
    bp::opstream in_;
    bp::child child_;
};

class Day {
public:
    Day(const DayPlan& plan, std::string folder, std::string programs, bool talk)
        : plan_(plan), folder_(std::move(folder)), programs_(std::move(programs)), talk_(talk) {
        fs::create_directories(folder_);
        record_ = std::make_unique<Record>(folder_ + "/day.jsonl");
    }

    Verdict play() {
        // A part that dies closes its pipe; telling it something then must not end the day.
        ::signal(SIGPIPE, SIG_IGN);
        choose_ports();
        start_all();
        loop_.spawn(script());
        loop_.run();
        end_all();
        Verdict verdict = audit();
        for (const std::string& fault : faults_) verdict.breaches.push_back({"program", "", fault, 0});
        return verdict;
    }

private:
    struct Place {
        InvokerPlan plan;
        std::uint16_t port{};
        int life{};
        std::unique_ptr<Part> part;
    };

    // All at once, so that no port comes twice; freed again just before the parts take them.
    void choose_ports() {
        const std::size_t replaced = 2;
        std::vector<std::shared_ptr<net::Listener>> held;
        for (std::size_t i = 0; i < plan_.invokers.size() * replaced + static_cast<std::size_t>(plan_.controllers) + 3;
             ++i) {
            held.push_back(must_listen(loop_, 0));
            ports_.push_back(held.back()->address().port);
        }
        for (const auto& each : held) each->close();
    }
    std::uint16_t port() {
        const auto chosen = ports_.back();
        ports_.pop_back();
        return chosen;
    }

    std::string settings(const std::string& name, const json::object& what) {
        const std::string file = folder_ + "/" + name + ".json";
        std::ofstream(file) << json::serialize(what) << '\n';
        return file;
    }

    std::unique_ptr<Part> stand(const std::string& kind, const std::string& name, const json::object& what) {
        return std::make_unique<Part>(programs_ + "/plumkeel-stand",
                                      std::vector<std::string>{kind, settings(name, what), "--record",
                                                               folder_ + "/" + kind + "-" + name + ".jsonl"},
                                      folder_ + "/" + name + ".out");
    }

    void start_all() {
        json::object store = plan_.store, list;
        store_port_ = port();
        store["port"] = store_port_;
        list_port_ = port();
        list["port"] = list_port_;
        store_ = stand("store", "store", store);
        list_ = stand("list", "list", list);
        receiver_port_ = port();
        receiver_ = stand("receiver", "receiver", {{"port", receiver_port_}});
        for (const InvokerPlan& invoker : plan_.invokers) {
            Place& place = places_[invoker.name];
            place.plan = invoker;
            place.port = port();
            start_invoker(place, plan_.fresh);
        }
        json::array controllers;
        for (int i = 1; i <= plan_.controllers; ++i) {
            const std::string name = "c" + std::to_string(i);
            controller_ports_[name] = port();
            controllers.push_back(json::string(address(controller_ports_[name])));
            start_controller(name);
        }
        json::object clients = plan_.clients;
        clients["controllers"] = controllers;
        clients_ = stand("clients", "clients", clients);
    }

    static std::string address(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }
    static std::int64_t unix_ms() {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void start_invoker(Place& place, bool cold) {
        json::object what = plan_.invoker_common;
        what["name"] = place.plan.name;
        what["port"] = place.port;
        what["store"] = address(store_port_);
        what["cores"] = place.plan.cores;
        what["speed"] = place.plan.speed;
        what["memory"] = place.plan.memory;
        what["cold"] = cold;
        what["seed"] = static_cast<std::int64_t>(place.port) * 100 + ++place.life;
        place.part = stand("invoker", place.plan.name, what);
        tell_list(place, cold);
    }

    void tell_list(const Place& place, bool cold) {
        list_->say(fmt::format("set {} address={} zone={} kind={} units={:g} cell={}{}", place.plan.name,
                               address(place.port), place.plan.zone, place.plan.kind,
                               place.plan.cores * place.plan.speed, place.plan.cell,
                               cold ? fmt::format(" start={}", unix_ms()) : ""));
    }

    void start_controller(const std::string& name) {
        json::object what = {{"log", {{"file", folder_ + "/" + name + ".log"}}},
                             {"trace", {{"folder", folder_ + "/traces"}}},
                             {"allowances", {{"controllers", plan_.controllers}}}};
        what["remote"] = {{"folder", folder_ + "/spool-" + name},
                          {"every", "500ms"},
                          {"farewell", "1s"},
                          {"receivers", {{"main", {{"address", address(receiver_port_)}}}}}};
        merge(what, plan_.controller);
        what["name"] = name;
        what["listen"] = address(controller_ports_[name]);
        what["list"] = {{"consul", address(list_port_)}, {"wait", "5s"}, {"answer_slack", "2s"}};
        controllers_[name] = std::make_unique<Part>(
            programs_ + "/plumkeel",
            std::vector<std::string>{"serve", settings(name, what), "--seed", std::to_string(name.back())},
            folder_ + "/" + name + ".out");
        record_->write("controller_started", {{"name", name}, {"address", address(controller_ports_[name])}});
    }

    net::Task<> script() {
        co_await loop_.sleep(1s);  // all parts are up and know each other
        const Time begin = loop_.now();
        clients_->say("start");
        std::vector<std::pair<Time, std::function<void()>>> steps;
        for (const Happening& it : plan_.happenings) lay_out(it, steps);
        std::stable_sort(steps.begin(), steps.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        for (auto& [at, what] : steps) {
            if (at >= plan_.length) break;
            const Time now = loop_.now() - begin;
            if (at > now) co_await loop_.sleep(at - now);
            what();
        }
        if (loop_.now() - begin < plan_.length) co_await loop_.sleep(plan_.length - (loop_.now() - begin));
        for (auto& [at, what] : steps)
            if (at >= plan_.length) what();  // every fault is taken back
        clients_->say("stop");
        co_await loop_.sleep(longest_expiry() + 1500ms);
        loop_.stop();
    }

    Time longest_expiry() const {
        Time longest = 1s;
        if (const auto* uses = plan_.clients.if_contains("use_cases"))
            for (const auto& [name, use] : uses->as_object())
                if (const auto* span = use.as_object().if_contains("expiry"))
                    longest = std::max(longest, parse_duration(std::string_view(span->as_string())));
        return longest;
    }

    using Steps = std::vector<std::pair<Time, std::function<void()>>>;

    void lay_out(const Happening& it, Steps& steps) {
        auto add = [&](Time at, std::function<void()> what) { steps.emplace_back(at, std::move(what)); };
        auto say = [this](const std::string& line) {
            if (talk_)
                std::cout << fmt::format("{:7.3f} s  {}\n", std::chrono::duration<double>(loop_.now() - 1s).count(),
                                         line)
                          << std::flush;
        };
        Time turn = it.at;
        for (const std::string& who : it.who) {
            if (it.kind == "command") {
                add(it.at, [=, this] {
                    say(who + ": " + it.say);
                    tell(who, it.say);
                });
                if (!it.then.empty())
                    add(it.at + it.lasts, [=, this] {
                        say(who + ": " + it.then);
                        tell(who, it.then);
                    });
            } else if (it.kind == "crash") {
                add(it.at, [=, this] {
                    say(who + " crashes");
                    places_.at(who).part->kill();
                });
                add(it.at + it.notice, [=, this] { list_->say("remove " + who); });
                add(it.at + it.lasts, [=, this] {
                    say(who + " is back, cold");
                    start_invoker(places_.at(who), true);
                });
            } else if (it.kind == "vanish") {
                add(it.at, [=, this] {
                    say(who + " falls silent");
                    tell(who, "silent on");
                });
                add(it.at + it.lasts, [=, this] {
                    say(who + " is back, cold");
                    places_.at(who).part->kill();
                    start_invoker(places_.at(who), true);
                });
            } else if (it.kind == "replace") {
                add(turn, [=, this] {
                    say(who + " drains");
                    list_->say("drain " + who);
                });
                add(turn + it.drain, [=, this] { replace(who, say); });
                turn += it.each;
            } else if (it.kind == "kill_controller") {
                add(it.at, [=, this] {
                    say(who + " is killed");
                    const Time before = net::machine_clock();
                    controllers_.at(who)->kill();
                    record_->write("controller_killed", {{"name", who},
                                                         {"address", address(controller_ports_.at(who))},
                                                         {"us", (net::machine_clock() - before).count() + 1000}});
                });
                add(it.at + it.lasts, [=, this] {
                    say(who + " is back");
                    start_controller(who);
                });
            } else if (it.kind == "freeze") {
                add(it.at, [=, this] {
                    say(who + " stands still");
                    controllers_.at(who)->signal(SIGSTOP);
                });
                add(it.at + it.lasts, [=, this] {
                    controllers_.at(who)->signal(SIGCONT);
                    record_->write("controller_frozen",
                                   {{"address", address(controller_ports_.at(who))}, {"us", it.lasts.count() + 20000}});
                });
            }
        }
    }

    // The successor has a name and a port of its own.
    void replace(const std::string& who, const std::function<void(const std::string&)>& say) {
        Place& old = places_.at(who);
        const std::string name = who + "b";
        say(name + " replaces " + who);
        list_->say("remove " + who);
        retired_.push_back(std::move(old.part));
        retired_.back()->say("refuse on");
        Place& place = places_[name];
        place.plan = old.plan;
        place.plan.name = name;
        place.port = port();
        start_invoker(place, true);
        old.part = nullptr;
    }

    void tell(const std::string& who, const std::string& line) {
        if (who == "store")
            store_->say(line);
        else if (who == "list")
            list_->say(line);
        else if (who == "clients")
            clients_->say(line);
        else if (who == "receiver")
            receiver_->say(line);
        else if (const auto& part = places_.at(who).part)
            part->say(line);
    }

    void end_all() {
        for (auto& [name, part] : controllers_) {
            if (!part->running()) {
                faults_.push_back(name + " had ended by itself, with status " + std::to_string(part->wait(1ms)));
                continue;
            }
            part->signal(SIGTERM);
            if (const int status = part->wait(10s); status != 0)
                faults_.push_back(name + " ended with status " + std::to_string(status));
        }
        clients_.reset();
        places_.clear();
        retired_.clear();
        list_.reset();
        store_.reset();
        receiver_->signal(SIGTERM);
        if (const int status = receiver_->wait(10s); status != 0)
            faults_.push_back("the receiver ended with status " + std::to_string(status) +
                              ": see its record for breaches of the protocol");
        receiver_.reset();
    }

    Verdict audit() {
        Stated stated = plan_.stated;
        for (const InvokerPlan& invoker : plan_.invokers)
            stated.places[invoker.name + "b"] = {invoker.zone, invoker.cell};
        Auditor auditor(stated);
        for (const auto& entry : fs::directory_iterator(folder_)) {
            if (entry.path().extension() != ".jsonl") continue;
            const std::string stem = entry.path().stem();
            const auto dash = stem.find('-');
            std::ifstream in(entry.path());
            for (std::string line; std::getline(in, line);) {
                boost::system::error_code error;
                const auto value = json::parse(line, error);
                if (!error && value.is_object())
                    auditor.read(stem.substr(0, dash), dash == std::string::npos ? stem : stem.substr(dash + 1),
                                 value.as_object());
            }
        }
        return auditor.judge();
    }

    const DayPlan& plan_;
    const std::string folder_, programs_;
    const bool talk_;
    net::SocketEventLoop loop_;
    std::unique_ptr<Record> record_;
    std::vector<std::uint16_t> ports_;
    std::uint16_t store_port_{}, list_port_{}, receiver_port_{};
    std::map<std::string, std::uint16_t> controller_ports_;
    std::unique_ptr<Part> store_, list_, receiver_, clients_;
    std::map<std::string, Place> places_;
    std::vector<std::unique_ptr<Part>> retired_;
    std::map<std::string, std::unique_ptr<Part>> controllers_;
    std::vector<std::string> faults_;
};

}  // namespace

Verdict play_day(const DayPlan& plan, const std::string& folder, const std::string& programs, bool talk) {
    fs::remove_all(folder);
    return Day(plan, folder, programs, talk).play();
}

}  // namespace plumkeel::emulator
