// A list source that speaks Consul's published health endpoint with blocking queries.
#include <fmt/format.h>

#include <deque>

#include "config/jsonnet_reader.hpp"
#include "emulator/common.hpp"

namespace plumkeel::emulator {
namespace {

namespace json = boost::json;

struct Entry {
    std::string address, zone, kind, state = "ready";
    double units = 1;
    int cell{};
    std::int64_t start{};
};

class List {
public:
    List(const std::string& file, const std::string& record) : record_(record) {
        const auto settings = evaluate_jsonnet(file);
        JsonnetReader in(settings, file);
        std::size_t port = 0;
        in.require("port", port);
        in.reject_unknown_fields();
        side_ = {[this](const auto& talk, auto message) { asked(talk, message); },
                 [this](const auto& talk) { std::erase_if(waiting_, [&](auto& each) { return each.talk == talk; }); }};
        accept_talks(loop_, must_listen(loop_, static_cast<std::uint16_t>(port)), side_);
        Commands(loop_, [this](const auto& words, const auto& options) { command(words, options); });
        watch_lag(loop_, record_);
    }
    int run() {
        loop_.run();
        return 0;
    }

private:
    struct Waiting {
        std::shared_ptr<Talk> talk;
        std::string asker;
        std::uint64_t index;
        net::EventLoop::TimerKey until;
    };

    // set NAME address= zone= kind= units= cell= start= ; drain NAME ; remove NAME ; delay ms= ; answers_late ms= ;
    // empty on|off ; broken on|off ; index_back
    void command(const Commands::Words& words, const Commands::Options& options) {
        const std::string& verb = words[0];
        if (verb == "delay") {
            delay_ = std::chrono::milliseconds(static_cast<int>(Commands::figure(options, "ms", 0)));
        } else if (verb == "answers_late") {
            late_ = std::chrono::milliseconds(static_cast<int>(Commands::figure(options, "ms", 0)));
        } else if (verb == "empty" || verb == "broken") {
            (verb == "empty" ? empty_ : broken_) = words.at(1) == "on";
            bump();
        } else if (verb == "index_back") {
            index_ = 1;
            wake_all();
        } else {
            // What changes is seen after the delay, in order.
            loop_.call_at(loop_.now() + delay_, [this, words, options] { change(words, options); });
        }
    }

    void change(const Commands::Words& words, const Commands::Options& options) {
        const std::string& name = words.at(1);
        if (words[0] == "set") {
            Entry& entry = entries_[name];
            entry.address = Commands::text(options, "address", entry.address);
            entry.zone = Commands::text(options, "zone", entry.zone);
            entry.kind = Commands::text(options, "kind", entry.kind);
            entry.units = Commands::figure(options, "units", entry.units);
            entry.cell = static_cast<int>(Commands::figure(options, "cell", entry.cell));
            entry.start = std::stoll(Commands::text(options, "start", std::to_string(entry.start)));
            entry.state = "ready";
        } else if (words[0] == "drain") {
            entries_[name].state = "drains";
        } else if (words[0] == "remove") {
            entries_.erase(name);
        }
        bump();
    }

    void bump() {
        ++index_;
        wake_all();
    }

    void wake_all() {
        for (auto& each : std::exchange(waiting_, {})) {
            loop_.cancel(each.until);
            answer(each.talk, each.asker);
        }
    }

    void asked(const std::shared_ptr<Talk>& talk, const Talk::Message& message) {
        const std::string asker(http::field(message, "plumkeel-controller"));
        if (broken_) return talk->reset();
        std::uint64_t index = 0;
        Time wait = 5min;
        for (const auto& [key, value] : http::query_parameters(http::view(message.target()))) {
            if (key == "index") index = http::parse_number<std::uint64_t>(value).value_or(0);
            if (key == "wait") wait = parse_duration(value);
        }
        if (index == 0 || index != index_) return answer(talk, asker);
        auto ticket = loop_.call_at(loop_.now() + wait, [this, talk, asker] {
            std::erase_if(waiting_, [&](auto& each) { return each.talk == talk; });
            answer(talk, asker);
        });
        waiting_.push_back({talk, asker, index, ticket});
    }

    void answer(const std::shared_ptr<Talk>& talk, const std::string& asker) {
        json::array told, rows;
        if (!empty_)
            for (const auto& [name, entry] : entries_) {
                const auto colon = entry.address.rfind(':');
                json::object meta{{"zone", entry.zone},
                                  {"kind", entry.kind},
                                  {"units", fmt::format("{:g}", entry.units)},
                                  {"cell", std::to_string(entry.cell)}};
                if (entry.start) meta["start"] = std::to_string(entry.start);
                const bool ready = entry.state == "ready";
                rows.push_back(
                    {{"Node", {{"Node", "n-" + name}, {"Address", entry.address.substr(0, colon)}}},
                     {"Service",
                      {{"ID", name},
                       {"Service", "invokers"},
                       {"Address", entry.address.substr(0, colon)},
                       {"Port", std::stoi(entry.address.substr(colon + 1))},
                       {"Meta", meta}}},
                     {"Checks", json::array{{{"CheckID", ready ? "serfHealth" : "_service_maintenance:" + name},
                                             {"Status", ready ? "passing" : "critical"}}}}});
                told.push_back(json::array{name, entry.state, entry.start});
            }
        auto send = [this, talk, asker, told, body = json::serialize(rows), index = index_] {
            if (!talk->open()) return;
            record_.write("told", {{"to", asker}, {"list", told}});
            talk->reply(http::HeadWriter("HTTP/1.1 200 OK")
                            .add("Content-Type", "application/json")
                            .add("X-Consul-Index", static_cast<std::int64_t>(index))
                            .add("Content-Length", static_cast<std::int64_t>(body.size()))
                            .finish(),
                        body);
        };
        if (late_ > Time{})
            loop_.call_at(loop_.now() + late_, send);
        else
            send();
    }

    net::SocketEventLoop loop_;
    Record record_;
    Talk::Side side_;
    std::map<std::string, Entry> entries_;
    std::vector<Waiting> waiting_;
    std::uint64_t index_ = 1;
    Time delay_{}, late_{};
    bool empty_{}, broken_{};
};

}  // namespace

int run_list(const std::string& file, const std::string& record) {
    return List(file, record).run();
}

}  // namespace plumkeel::emulator
