// An invoker that only pretends to work: it loads functions on demand from a shared store, has memory, lanes,
// a queue and cores, starts cold and falls over when pushed, and plays faults on command.
//
// A hop's body is "origin work_ms load_ms bytes_back", as the stand-in clients write it.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <sstream>

#include "config/jsonnet_reader.hpp"
#include "emulator/common.hpp"
#include "http/exchange.hpp"
#include "orca/orca.hpp"
#include "web/protocol.hpp"

namespace plumkeel::emulator {
namespace {

namespace field = protocol::field;

struct Hop {
    std::shared_ptr<Talk> talk;
    std::string controller, request, attempt, function, request_class, origin, mark;
    double work_ms = 100, load_ms = 300;
    std::size_t bytes_back{};
    int lanes = 1, memory = 300, concurrent_requests{};
    LoadEvent note = LoadEvent::none;
    bool waits = true;
};

struct Copy {
    std::string function;
    int memory{}, lanes{}, busy{};
    bool standing{};
    Time idle_since{};
};

class Invoker {
public:
    Invoker(const std::string& file, const std::string& record) : record_(record), chance_(1) {
        const auto settings = evaluate_jsonnet(file);
        JsonnetReader in(settings, file);
        std::size_t port = 0, seed = 1;
        in.require("name", name_);
        in.require("port", port);
        in.require("store", store_);
        in.read("cores", cores_);
        in.read("speed", speed_);
        in.read("memory", memory_);
        in.read("queue", queue_most_);
        in.read("loads_at_once", loads_at_once_);
        in.read("keep_alive", keep_alive_);
        in.read("cold", cold_);
        in.read("cold_share", cold_share_);
        in.read("cold_for", cold_for_);
        in.read("push_multiple", push_multiple_);
        in.read("push_span", push_span_);
        in.read("mean_work_ms", mean_work_ms_);
        in.read("remembers", remembers_);
        in.read("seed", seed);
        in.reject_unknown_fields();
        chance_ = Chance(seed);
        port_ = static_cast<std::uint16_t>(port);
        side_ = {[this](const auto& talk, auto message) { asked(talk, std::move(message)); },
                 [this](const auto& talk) { left(talk); }};
        record_.write("start", {{"cold", cold_},
                                {"capacity", cores_ * speed_},
                                {"cold_share", cold_share_},
                                {"cold_us", cold_for_.count()},
                                {"multiple", push_multiple_},
                                {"span_us", push_span_.count()},
                                {"mean_work_ms", mean_work_ms_},
                                {"remembers_us", remembers_.count()}});
        listen();
        Commands(loop_, [this](const auto& words, const auto& options) { command(words, options); });
        watch_lag(loop_, record_);
        loop_.spawn(tidy());
    }

    int run() {
        loop_.run();
        return 0;
    }

private:
    // silent on|off ; pause ms= every= ; slow factor= ; age per_s= ; lose share= ; refuse on|off ;
    // turn_away on|off ; cut_head share= ; cut_body share= ; cut_on_arrival share= ; close_idle on|off ; drain
    void command(const Commands::Words& words, const Commands::Options& options) {
        const std::string& verb = words[0];
        const bool on = words.size() > 1 && words[1] == "on";
        const double share = Commands::figure(options, "share", 0);
        if (verb == "silent") silent_ = on;
        if (verb == "turn_away") turn_away_ = on;
        if (verb == "close_idle") close_idle_ = on;
        if (verb == "slow") slow_ = Commands::figure(options, "factor", 1);
        if (verb == "age") {
            age_per_s_ = Commands::figure(options, "per_s", 0);
            ages_since_ = loop_.now();
        }
        if (verb == "lose") lose_ = share;
        if (verb == "cut_head") cut_head_ = share;
        if (verb == "cut_body") cut_body_ = share;
        if (verb == "cut_on_arrival") cut_on_arrival_ = share;
        if (verb == "refuse") {
            if (on && listener_) {
                listener_->close();
                listener_.reset();
            } else if (!on && !listener_ && !fallen_) {
                listen();
            }
        }
        if (verb == "pause") {
            pause_ = std::chrono::milliseconds(static_cast<int>(Commands::figure(options, "ms", 0)));
            pause_every_ = std::chrono::milliseconds(static_cast<int>(Commands::figure(options, "every", 1000)));
        }
        record_.write("fault", {{"verb", verb}, {"on", on}});
    }

    void listen() {
        listener_ = must_listen(loop_, port_);
        accept_talks(loop_, listener_, side_);
    }

    // While it stands still nothing goes on, but what arrives is noted when it arrives.
    Time held_until() const {
        if (pause_ == Time{}) return Time{};
        const Time into = loop_.now() % pause_every_;
        return into < pause_ ? loop_.now() - into + pause_ : Time{};
    }

    double capacity_now() const {
        double risen = 1;
        if (cold_)
            risen =
                std::min(1.0, std::chrono::duration<double>(loop_.now()) / std::chrono::duration<double>(cold_for_));
        return cores_ * speed_ * (cold_share_ + (1 - cold_share_) * risen);
    }

    // The fourth rule, as the invoker suffers it.
    void weigh() {
        if (!cold_ || loop_.now() > cold_for_ + push_span_) return;
        pushed_.push_back(loop_.now());
        while (pushed_.front() + push_span_ < loop_.now()) pushed_.pop_front();
        const double work = static_cast<double>(pushed_.size()) * mean_work_ms_ / 1000;
        const double slack = 3 * mean_work_ms_ / 1000;
        const double span = std::chrono::duration<double>(push_span_).count();
        if (work <= push_multiple_ * capacity_now() * span + slack) return;
        record_.write("fell", {{"work_s", work}});
        fallen_ = true;
        if (listener_) listener_->close();
        listener_.reset();
        for (const auto& attempt : held_) attempt->talk->reset();
        held_.clear();
    }

    void asked(const std::shared_ptr<Talk>& talk, Talk::Message message) {
        if (fallen_) return talk->reset();
        const auto path = http::path_segments(http::view(message.target()));
        const auto method = message.method();
        const std::string controller(http::field(message, field::controller));
        if (path.size() == 2 && path[1] == "load") {
            if (silent_) return;
            return later([this, talk] {
                if (!silent_) answer(talk, 200, {}, "");
            });
        }
        if (path.size() != 3) return answer(talk, 404, {}, "");
        if (path[1] == "copies") return order(talk, path[2], controller, message);
        if (path[1] != "run" || method != http::bh::verb::post) return answer(talk, 404, {}, "");
        auto attempt = std::make_shared<Hop>();
        attempt->talk = talk;
        attempt->controller = controller;
        attempt->request = http::field(message, field::request);
        attempt->attempt = http::field(message, field::attempt);
        attempt->function = path[2];
        attempt->request_class = http::field(message, field::request_class);
        attempt->mark = http::field(message, field::mark);
        attempt->lanes = http::parse_number<int>(http::field(message, field::lanes)).value_or(1);
        attempt->memory = http::parse_number<int>(http::field(message, field::memory)).value_or(300);
        std::istringstream(message.body()) >> attempt->origin >> attempt->work_ms >> attempt->load_ms >>
            attempt->bytes_back;
        note("hop", *attempt);
        weigh();
        if (fallen_) return;
        if (chance_.next() < cut_on_arrival_) {
            note("cut", *attempt);
            return talk->reset();
        }
        if (silent_) return;  // it hears, and says and does nothing
        if (turn_away_) return turn_away(*attempt);
        for (const auto& other : held_) attempt->concurrent_requests += other->function == attempt->function;
        held_.push_back(attempt);
        later([this, attempt] { place(attempt); });
    }

    void place(const std::shared_ptr<Hop>& attempt) {
        if (!holds(attempt)) return;
        if (Copy* copy = free_copy(attempt->function)) {
            if (attempt->note == LoadEvent::none) attempt->note = LoadEvent::was_loaded;
            return start(attempt, *copy);
        }
        if (queue_.size() >= queue_most_) {
            std::erase(held_, attempt);
            return turn_away(*attempt);
        }
        queue_.push_back(attempt);
        const auto loading = std::count_if(copies_.begin(), copies_.end(), [&](const auto& c) {
            return c->function == attempt->function && !c->standing;
        });
        const auto waits = std::count_if(queue_.begin(), queue_.end(),
                                         [&](const auto& h) { return h->function == attempt->function; });
        if (loading * attempt->lanes < waits && load(attempt->function, *attempt))
            attempt->note = LoadEvent::started_load;
        else if (attempt->note == LoadEvent::none && loading)
            attempt->note = LoadEvent::joined_load;
    }

    bool holds(const std::shared_ptr<Hop>& attempt) const {
        return std::find(held_.begin(), held_.end(), attempt) != held_.end();
    }

    Copy* free_copy(const std::string& function) {
        for (const auto& copy : copies_)
            if (copy->function == function && copy->standing && copy->busy < copy->lanes) return copy.get();
        return nullptr;
    }

    // Begins a load, where there is room or room can be made.
    bool load(const std::string& function, const Hop& attempt) {
        if (static_cast<int>(std::count_if(copies_.begin(), copies_.end(),
                                           [](const auto& c) { return !c->standing; })) >= loads_at_once_)
            return false;
        int used = 0;
        for (const auto& copy : copies_) used += copy->memory;
        while (used + attempt.memory > memory_) {
            auto oldest = copies_.end();
            for (auto it = copies_.begin(); it != copies_.end(); ++it)
                if ((*it)->standing && (*it)->busy == 0 &&
                    (oldest == copies_.end() || (*it)->idle_since < (*oldest)->idle_since))
                    oldest = it;
            if (oldest == copies_.end()) return false;
            used -= (*oldest)->memory;
            copies_.erase(oldest);
        }
        auto copy = std::make_shared<Copy>();
        copy->function = function;
        copy->memory = attempt.memory;
        copy->lanes = attempt.lanes;
        copies_.push_back(copy);
        record_.write("load", {{"function", function}});
        loop_.spawn(fetch(copy, attempt.load_ms));
        return true;
    }

    net::Task<> fetch(std::shared_ptr<Copy> copy, double load_ms) {
        const double share = 0.6;  // of a load's time is the fetch, the rest the start
        const std::string target =
            fmt::format("/v1/fetch/{}?ms={:.1f}", http::percent_encode(copy->function), load_ms * share);
        const auto got = co_await http::exchange(
            loop_, *net::Address::parse(store_),
            http::HeadWriter("GET " + target + " HTTP/1.1").add("Host", store_).add("Connection", "close").finish(), "",
            30s);
        if (got.error || got.response.result_int() != 200) {
            std::erase(copies_, copy);
            record_.write("load_broke", {{"function", copy->function}});
            for (const auto& attempt : std::deque(queue_))
                if (attempt->function == copy->function && !free_copy(attempt->function)) {
                    std::erase(queue_, attempt);
                    std::erase(held_, attempt);
                    if (!silent_) answer_word(*attempt, "not-loaded", LoadEvent::load_failed);
                }
            co_return;
        }
        co_await loop_.sleep(Time(static_cast<Time::rep>(load_ms * (1 - share) * 1000)));
        copy->standing = true;
        copy->idle_since = loop_.now();
        settle();
    }

    // Starts what waits for a free lane; loads what waits for a copy that none loads.
    void settle() {
        if (fallen_) return;
        for (const auto& attempt : std::deque(queue_)) {
            if (Copy* copy = free_copy(attempt->function)) {
                std::erase(queue_, attempt);
                if (attempt->note == LoadEvent::none) attempt->note = LoadEvent::joined_load;
                start(attempt, *copy);
                continue;
            }
            const bool any = std::any_of(copies_.begin(), copies_.end(),
                                         [&](const auto& c) { return c->function == attempt->function; });
            if (!any && load(attempt->function, *attempt)) attempt->note = LoadEvent::started_load;
        }
        for (auto& [talk, function, count, until] : std::exchange(orders_, {}))
            await_copies(talk, function, count, until);
    }

    void start(const std::shared_ptr<Hop>& attempt, Copy& copy) {
        ++copy.busy;
        ++running_;
        // A repeat whose mark this invoker remembers does nothing again.
        const auto known = marks_.find(attempt->mark);
        const bool repeat = !attempt->mark.empty() && known != marks_.end() && known->second + remembers_ > loop_.now();
        if (!attempt->mark.empty() && !repeat) marks_[attempt->mark] = loop_.now();
        note(repeat ? "repeat" : "run", *attempt);
        const double aged = 1 + age_per_s_ * std::chrono::duration<double>(loop_.now() - ages_since_).count();
        const double crowd = std::max(1.0, running_ / cores_);
        const double ms =
            attempt->work_ms / speed_ * crowd * slow_ * aged * cores_ * speed_ / std::max(capacity_now(), 0.01);
        std::shared_ptr<Copy> held;
        for (const auto& each : copies_)
            if (each.get() == &copy) held = each;
        loop_.call_at(loop_.now() + Time(static_cast<Time::rep>(ms * 1000)),
                      [this, attempt, held] { later([this, attempt, held] { finish(attempt, *held); }); });
    }

    void finish(const std::shared_ptr<Hop>& attempt, Copy& copy) {
        --copy.busy;
        --running_;
        copy.idle_since = loop_.now();
        if (holds(attempt)) {
            std::erase(held_, attempt);
            if (silent_ || chance_.next() < lose_) {
                note("lost", *attempt);  // it ran, and its answer is never sent
            } else {
                const std::string body(std::max<std::size_t>(attempt->bytes_back, 2), 'x');
                const std::string head =
                    head_of(200,
                            {{std::string(field::note), note_word(attempt->note)},
                             {std::string(field::concurrent_requests), std::to_string(attempt->concurrent_requests)}},
                            body.size());
                const bool in_head = chance_.next() < cut_head_, in_body = !in_head && chance_.next() < cut_body_;
                if (in_head || in_body) {
                    note("cut", *attempt);
                    attempt->talk->reply_cut(head + body, in_head ? head.size() / 2 : head.size() + body.size() / 2);
                } else {
                    note("answer", *attempt, "honoured");
                    attempt->talk->reply(head, body);
                    if (close_idle_) {
                        // Closes at the moment when the next hop may leave on it.
                        loop_.call_at(loop_.now() + Time(static_cast<Time::rep>(chance_.next() * 20000)),
                                      [talk = attempt->talk] {
                                          if (!talk->open()) talk->close();
                                      });
                    }
                }
            }
        }
        settle();
    }

    void left(const std::shared_ptr<Talk>& talk) {
        for (const auto& attempt : std::vector(held_))
            if (attempt->talk == talk) {
                note("gone", *attempt);
                std::erase(held_, attempt);
                std::erase(queue_, attempt);  // what waited is dropped; what runs goes on
            }
    }

    void order(const std::shared_ptr<Talk>& talk, const std::string& function, const std::string& controller,
               const Talk::Message& message) {
        if (message.method() == http::bh::verb::delete_) {
            std::erase_if(copies_,
                          [&](const auto& c) { return c->function == function && c->standing && c->busy == 0; });
            return answer(talk, 200, {}, "");
        }
        const int count = http::parse_number<int>(http::field(message, field::copies)).value_or(0);
        record_.write("order", {{"controller", controller}, {"function", function}, {"copies", count}});
        if (silent_) return;
        if (turn_away_) return answer(talk, 503, {{std::string(field::never_ran), "turned-away"}}, "");
        Hop like;
        int have = static_cast<int>(
            std::count_if(copies_.begin(), copies_.end(), [&](const auto& c) { return c->function == function; }));
        while (have < count && load(function, like)) ++have;
        await_copies(talk, function, count, loop_.now() + 8s);
    }

    void await_copies(const std::shared_ptr<Talk>& talk, const std::string& function, int count, Time until) {
        int standing = 0, loading = 0;
        for (const auto& copy : copies_)
            if (copy->function == function) ++(copy->standing ? standing : loading);
        if (standing < count && loading > 0 && loop_.now() < until) {
            orders_.push_back({talk, function, count, until});
            return;
        }
        if (talk->open())
            answer(talk, standing >= count ? 200 : 503, {{std::string(field::copies), std::to_string(standing)}}, "");
    }

    net::Task<> tidy() {
        for (;;) {
            co_await loop_.sleep(200ms);
            std::erase_if(copies_, [&](const auto& c) {
                return c->standing && c->busy == 0 && c->idle_since + keep_alive_ < loop_.now();
            });
            settle();
            if (marks_.size() > 10000)
                std::erase_if(marks_, [&](const auto& m) { return m.second + remembers_ < loop_.now(); });
        }
    }

    void later(std::function<void()> what) {
        const Time until = held_until();
        if (until == Time{})
            what();
        else
            loop_.call_at(until, std::move(what));
    }

    void turn_away(const Hop& attempt) { answer_word(attempt, "turned-away", LoadEvent::none); }

    void answer_word(const Hop& attempt, const std::string& word, LoadEvent told) {
        note("answer", attempt, word);
        answer(attempt.talk, 503, {{std::string(field::never_ran), word}, {std::string(field::note), note_word(told)}},
               "");
    }

    static std::string note_word(LoadEvent told) {
        static const char* words[] = {"", "stood-loaded", "began-load", "joined-load", "load-broke"};
        return words[static_cast<int>(told)];
    }

    std::string head_of(unsigned status, const std::vector<std::pair<std::string, std::string>>& fields,
                        std::size_t bytes) {
        http::HeadWriter head(http::status_line(status));
        for (const auto& [name, value] : fields)
            if (!value.empty()) head.add(name, value);
        LoadReport report;
        report.in_flight = static_cast<double>(held_.size());
        report.queued = static_cast<double>(queue_.size());
        return head.add(orca::header, orca::format(report))
            .add("Content-Length", static_cast<std::int64_t>(bytes))
            .finish();
    }

    void answer(const std::shared_ptr<Talk>& talk, unsigned status,
                const std::vector<std::pair<std::string, std::string>>& fields, const std::string& body) {
        if (talk->open()) talk->reply(head_of(status, fields, body.size()), body);
    }

    void note(std::string_view event, const Hop& attempt, std::string_view word = "") {
        boost::json::object line{{"controller", attempt.controller}, {"job", attempt.request},
                                 {"hop", attempt.attempt},           {"function", attempt.function},
                                 {"use", attempt.request_class},     {"origin", attempt.origin}};
        if (!attempt.mark.empty()) line["mark"] = attempt.mark;
        if (!word.empty()) line["word"] = word;
        record_.write(event, std::move(line));
    }

    struct Order {
        std::shared_ptr<Talk> talk;
        std::string function;
        int count;
        Time until;
    };

    net::SocketEventLoop loop_;
    Record record_;
    Chance chance_;
    Talk::Side side_;
    std::shared_ptr<net::Listener> listener_;
    std::uint16_t port_{};
    std::string name_, store_;
    double cores_ = 4, speed_ = 1, cold_share_ = 0.2, push_multiple_ = 2, mean_work_ms_ = 100;
    int memory_ = 8000, loads_at_once_ = 4;
    std::size_t queue_most_ = 32;
    bool cold_{};
    Time keep_alive_ = 10s, cold_for_ = 10s, push_span_ = 2s, remembers_ = 5s;
    std::vector<std::shared_ptr<Copy>> copies_;
    std::vector<std::shared_ptr<Hop>> held_;
    std::deque<std::shared_ptr<Hop>> queue_;
    std::vector<Order> orders_;
    std::deque<Time> pushed_;
    std::map<std::string, Time> marks_;
    int running_{};
    bool silent_{}, turn_away_{}, close_idle_{}, fallen_{};
    double slow_ = 1, age_per_s_{}, lose_{}, cut_head_{}, cut_body_{}, cut_on_arrival_{};
    Time pause_{}, pause_every_ = 1s, ages_since_{};
};

}  // namespace

int run_invoker(const std::string& file, const std::string& record) {
    return Invoker(file, record).run();
}

}  // namespace plumkeel::emulator
