// Clients: open-loop arrivals over uneven favourites and tenants, with retries, impatience and expiries.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "config/jsonnet_reader.hpp"
#include "emulator/common.hpp"
#include "http/exchange.hpp"
#include "web/protocol.hpp"

namespace plumkeel::emulator {
namespace {

namespace field = protocol::field;

struct UseCase {
    std::string name, repeat = "replayable";
    double share = 1, work_ms = 100, load_ms = 300;
    Time expiry = 4s, promised = 1500ms;
    int lanes = 2, memory = 300;
};

struct Tenant {
    std::string name;
    double share = 1, boost = 1;
};

struct Job {
    const UseCase* use;
    std::string tenant, function, origin;
    double work_ms{};
    Time born{};
    int tries{};
    std::size_t bytes_back{};
};

class Clients {
public:
    Clients(const std::string& file, const std::string& record) : record_(record), chance_(1) {
        const auto settings = evaluate_jsonnet(file);
        JsonnetReader in(settings, file);
        std::size_t seed = 1;
        in.read("seed", seed);
        in.require("rate", rate_);
        in.read("functions", functions_, 1);
        in.read("zipf", zipf_);
        in.read("retries", retries_);
        in.read("again_after", again_after_);
        in.read("impatient", impatient_);
        in.read("try_share", try_share_);
        in.read("large_share", large_share_);
        in.read("work_sigma", work_sigma_);
        if (const auto* list = in.raw("controllers"))
            for (const auto& each : list->as_array())
                controllers_.push_back(*net::Address::parse(std::string(each.as_string())));
        in.read_members("use_cases", [&](const std::string& name, JsonnetReader& part) {
            UseCase use;
            use.name = name;
            part.read("repeat", use.repeat);
            part.read("share", use.share);
            part.read("work_ms", use.work_ms);
            part.read("load_ms", use.load_ms);
            part.read("expiry", use.expiry);
            part.read("promised", use.promised);
            part.read("lanes", use.lanes);
            part.read("memory", use.memory);
            use_cases_.push_back(use);
        });
        in.read_members("tenants", [&](const std::string& name, JsonnetReader& part) {
            Tenant tenant{name};
            part.read("share", tenant.share);
            tenants_.push_back(tenant);
        });
        in.reject_unknown_fields();
        chance_ = Chance(seed);
        double sum = 0;
        for (std::size_t i = 0; i < functions_; ++i)
            weights_.push_back(sum += std::pow(static_cast<double>(i + 1), -zipf_));
        Commands(loop_, [this](const auto& words, const auto& options) { command(words, options); });
        watch_lag(loop_, record_);
    }
    int run() {
        loop_.run();
        return 0;
    }

private:
    // start ; stop ; rate factor= ; tenant NAME factor= ; favourite share= count= ; scan share= ;
    // heavy share= factor= ; at_once on|off (retries without a wait)
    void command(const Commands::Words& words, const Commands::Options& options) {
        const std::string& verb = words[0];
        if (verb == "start" && !std::exchange(on_, true)) loop_.spawn(arrivals());
        if (verb == "stop") on_ = false;
        if (verb == "rate") factor_ = Commands::figure(options, "factor", 1);
        if (verb == "tenant")
            for (Tenant& tenant : tenants_)
                if (tenant.name == words.at(1)) tenant.boost = Commands::figure(options, "factor", 1);
        if (verb == "favourite") {
            favourite_ = Commands::figure(options, "share", 0);
            favourites_ = std::max(1.0, Commands::figure(options, "count", 1));
            ++spell_;
        }
        if (verb == "scan") scan_ = Commands::figure(options, "share", 0);
        if (verb == "heavy") {
            heavy_ = Commands::figure(options, "share", 0);
            heavy_factor_ = Commands::figure(options, "factor", 10);
        }
        if (verb == "at_once") at_once_ = words.at(1) == "on";
    }

    net::Task<> arrivals() {
        Time next = loop_.now();
        while (on_) {
            double boost = 0, whole = 0;
            for (const Tenant& tenant : tenants_) {
                boost += tenant.share * tenant.boost;
                whole += tenant.share;
            }
            const double rate = rate_ * factor_ * (whole > 0 ? boost / whole : 1);
            next += Time(static_cast<Time::rep>(1e6 * chance_.exponential(1 / rate)));
            if (next > loop_.now()) co_await loop_.sleep(next - loop_.now());
            if (on_) born();
        }
    }

    template <class Items, class Weight>
    auto& pick(Items& items, Weight weight) {
        double sum = 0;
        for (auto& each : items) sum += weight(each);
        double at = chance_.next() * sum;
        for (auto& each : items)
            if ((at -= weight(each)) < 0) return each;
        return items.back();
    }

    void born() {
        auto request = std::make_shared<Job>();
        request->use = &pick(use_cases_, [](const UseCase& u) { return u.share; });
        if (!tenants_.empty()) request->tenant = pick(tenants_, [](const Tenant& t) { return t.share * t.boost; }).name;
        const double draw = chance_.next();
        if (draw < scan_) {
            request->function = fmt::format("{}-once-{}", request->use->name, ++once_);
        } else if (draw < scan_ + favourite_) {
            request->function =
                fmt::format("{}-new-{}-{}", request->use->name, spell_, static_cast<int>(chance_.next() * favourites_));
        } else {
            const auto at = std::lower_bound(weights_.begin(), weights_.end(), chance_.next() * weights_.back());
            request->function = fmt::format("{}-f{}", request->use->name, at - weights_.begin());
        }
        request->work_ms = chance_.lognormal(request->use->work_ms, work_sigma_);
        if (chance_.next() < heavy_) request->work_ms *= heavy_factor_;
        if (chance_.next() < large_share_) request->bytes_back = 200'000;
        request->origin = fmt::format("o{}", ++origins_);
        request->born = loop_.now();
        loop_.spawn(life(request));
    }

    net::Task<> life(std::shared_ptr<Job> request) {
        ++open_;
        for (;;) {
            const Time left_of_all = request->born + request->use->expiry - loop_.now();
            const Time left =
                std::min(left_of_all,
                         Time(static_cast<Time::rep>(static_cast<double>(request->use->expiry.count()) * try_share_)));
            if (left < 50ms) break;
            const Tried tried = co_await one_try(*request, left);
            const std::string& outcome = tried.outcome;
            ++request->tries;
            if (outcome == "honoured" || request->tries > retries_) break;
            const bool told_harmless = outcome == "bounced" || outcome == "unreachable";
            if (!told_harmless && request->use->repeat != "replayable") break;
            Time pause = again_after_;
            if (told_harmless) pause = std::max(pause, tried.pause);
            if (!at_once_) co_await loop_.sleep(pause);
        }
        if (--open_ == 0 && !on_) record_.write("quiet", {});
    }

    struct Tried {
        std::string outcome;
        Time pause{};  // the controller asked to stay away for so long
    };
    net::Task<Tried> one_try(const Job& request, Time left) {
        const std::uint64_t id = ++tries_;
        const std::size_t to = static_cast<std::size_t>(chance_.next() * static_cast<double>(controllers_.size()));
        const net::Address address = controllers_[to];
        std::string body = fmt::format("{} {:.1f} {:.1f} {}\n", request.origin, request.work_ms, request.use->load_ms,
                                       request.bytes_back);
        http::HeadWriter head("POST /v1/jobs/" + http::percent_encode(request.function) + " HTTP/1.1");
        head.add("Host", address.to_string()).add("Connection", "close").add(field::request_class, request.use->name);
        head.add(field::time_left, left / 1ms).add(field::lanes, std::int64_t{request.use->lanes});
        head.add(field::memory, std::int64_t{request.use->memory});
        if (!request.tenant.empty()) head.add(field::tenant, request.tenant);
        if (request.use->repeat == "referenced") head.add(field::mark, request.origin);
        if (request.tries > 0) head.add(field::again, "1");
        head.add("Content-Length", static_cast<std::int64_t>(body.size()));
        // Some leave before the time that they told.
        Time patience = left + 300ms;
        const bool leaves = chance_.next() < impatient_;
        if (leaves) patience = Time(static_cast<Time::rep>(static_cast<double>(left.count()) * chance_.next()));
        record_.write("sent", {{"id", id},
                               {"origin", request.origin},
                               {"try", request.tries},
                               {"to", address.to_string()},
                               {"use", request.use->name},
                               {"function", request.function},
                               {"tenant", request.tenant},
                               {"left_us", left.count()},
                               {"promised_us", request.use->promised.count()}});
        auto got = co_await http::exchange(loop_, address, head.finish(), std::move(body), patience);
        std::string outcome;
        Time pause{};
        boost::json::object line{{"id", id}, {"origin", request.origin}};
        if (!got.error) {
            outcome = http::field(got.response, field::outcome);
            if (const auto objection = http::field(got.response, field::objection); !objection.empty()) {
                line["objection"] = objection;
                if (outcome.empty()) outcome = "objected";
            }
            line["status"] = got.response.result_int();
            line["controller"] = http::field(got.response, field::controller);
            line["job"] = http::field(got.response, field::request);
            line["hops"] = http::field(got.response, field::attempts);
            if (const auto ms = http::parse_number<int>(http::field(got.response, field::retry_after_ms)))
                pause = std::chrono::milliseconds(*ms);
        } else if (got.error == net::asio::error::connection_refused) {
            outcome = "unreachable";
        } else if (got.error == net::asio::error::timed_out) {
            outcome = leaves ? "left" : "nothing";
        } else {
            outcome = "cut";
            line["why"] = got.error.message();
        }
        line["outcome"] = outcome;
        record_.write("answer", std::move(line));
        co_return Tried{outcome, pause};
    }

    net::SocketEventLoop loop_;
    Record record_;
    Chance chance_;
    std::vector<net::Address> controllers_;
    std::vector<UseCase> use_cases_;
    std::vector<Tenant> tenants_;
    std::vector<double> weights_;
    double rate_{}, zipf_ = 1.1, impatient_{}, try_share_ = 1, large_share_{}, work_sigma_ = 0.3;
    double factor_ = 1, favourite_{}, favourites_ = 1, scan_{}, heavy_{}, heavy_factor_ = 10;
    std::size_t functions_ = 40;
    int retries_ = 1;
    Time again_after_ = 200ms;
    bool on_{}, at_once_{};
    std::uint64_t tries_{}, origins_{}, once_{}, open_{}, spell_{};
};

}  // namespace

int run_clients(const std::string& file, const std::string& record) {
    return Clients(file, record).run();
}

}  // namespace plumkeel::emulator
