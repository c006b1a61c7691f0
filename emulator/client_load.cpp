#include "emulator/client_load.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "config/jsonnet_reader.hpp"
#include "emulator/processes.hpp"
#include "emulator/record_schema.hpp"
#include "web/protocol.hpp"

namespace plumkeel::emulator {
namespace {

namespace field = protocol::field;

constexpr Time min_try_timeout = 50ms;
constexpr Time response_slack = 300ms;  // a client waits this much longer than the remaining time that it sends
constexpr std::size_t large_response_bytes = 200'000;

Time scaled(Time duration, double factor) {
    return Time(static_cast<Time::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

ClientLoad::ClientLoad(const std::string& settings_file, const std::string& record_file)
    : log_(record_file), random_(1) {
    read_settings(settings_file);
    double sum = 0;
    for (std::size_t rank = 1; rank <= functions_; ++rank)
        cumulative_popularity_.push_back(sum += std::pow(static_cast<double>(rank), -zipf_exponent_));
    read_commands(loop_, [this](const Command& command) { execute(command); });
    record_lag(loop_, log_);
}

void ClientLoad::read_settings(const std::string& settings_file) {
    const auto settings = evaluate_jsonnet(settings_file);
    JsonnetReader reader(settings, settings_file);
    std::size_t seed = 1;
    reader.read("seed", seed);
    reader.require("rate", requests_per_second_);
    reader.read("functions", functions_, 1);
    reader.read("zipf", zipf_exponent_);
    reader.read("retries", retry_limit_);
    reader.read("again_after", retry_delay_);
    reader.read("impatient", abandoned_share_);
    reader.read("try_share", max_try_time_share_);
    reader.read("large_share", large_response_share_);
    reader.read("work_sigma", run_time_sigma_);
    if (const auto* addresses = reader.raw("controllers"))
        for (const auto& address : addresses->as_array())
            controllers_.push_back(*net::Address::parse(std::string(address.as_string())));
    reader.read_members("use_cases", [this](const std::string& name, JsonnetReader& member) {
        RequestClass request_class;
        request_class.name = name;
        member.read("repeat", request_class.idempotency);
        member.read("share", request_class.share);
        member.read("work_ms", request_class.run_time_ms);
        member.read("load_ms", request_class.load_time_ms);
        member.read("expiry", request_class.deadline);
        member.read("promised", request_class.latency_target);
        member.read("lanes", request_class.concurrency);
        member.read("memory", request_class.memory_mb);
        request_classes_.push_back(request_class);
    });
    reader.read_members("tenants", [this](const std::string& name, JsonnetReader& member) {
        Tenant tenant{name};
        member.read("share", tenant.share);
        tenants_.push_back(tenant);
    });
    reader.reject_unknown_fields();
    random_ = RandomSource(seed);
}

// Commands: start; stop; rate factor=F; tenant NAME factor=F; favourite share=S count=N; scan share=S;
// heavy share=S factor=F; at_once on|off (retries without a delay).
void ClientLoad::execute(const Command& command) {
    const std::string& verb = command.verb();
    if (verb == "start" && !std::exchange(sending_, true)) loop_.spawn(send_arrivals());
    if (verb == "stop") sending_ = false;
    if (verb == "rate") rate_factor_ = command.number("factor", 1);
    if (verb == "tenant") set_tenant_rate(command.words.at(1), command.number("factor", 1));
    if (verb == "favourite") {
        popular_share_ = command.number("share", 0);
        popular_functions_ = std::max(1.0, command.number("count", 1));
        ++popularity_changes_;
    }
    if (verb == "scan") one_time_share_ = command.number("share", 0);
    if (verb == "heavy") {
        long_run_share_ = command.number("share", 0);
        long_run_factor_ = command.number("factor", 10);
    }
    if (verb == "at_once") retry_immediately_ = command.words.at(1) == "on";
}

void ClientLoad::set_tenant_rate(const std::string& name, double factor) {
    for (Tenant& tenant : tenants_)
        if (tenant.name == name) tenant.rate_factor = factor;
}

net::Task<> ClientLoad::send_arrivals() {
    Time next_arrival = loop_.now();
    while (sending_) {
        next_arrival += Time(static_cast<Time::rep>(1e6 * random_.exponential(1 / arrivals_per_second())));
        if (next_arrival > loop_.now()) co_await loop_.sleep(next_arrival - loop_.now());
        if (sending_) create_request();
    }
}

double ClientLoad::arrivals_per_second() const {
    double weighted_shares = 0, total_shares = 0;
    for (const Tenant& tenant : tenants_) {
        weighted_shares += tenant.share * tenant.rate_factor;
        total_shares += tenant.share;
    }
    return requests_per_second_ * rate_factor_ * (total_shares > 0 ? weighted_shares / total_shares : 1);
}

template <class Items, class Weight>
auto& ClientLoad::draw_weighted(Items& items, Weight weight) {
    double sum = 0;
    for (auto& item : items) sum += weight(item);
    double remaining_weight = random_.next() * sum;
    for (auto& item : items)
        if ((remaining_weight -= weight(item)) < 0) return item;
    return items.back();
}

void ClientLoad::create_request() {
    auto request = std::make_shared<ClientRequest>();
    request->request_class = &draw_weighted(request_classes_, [](const RequestClass& each) { return each.share; });
    if (!tenants_.empty())
        request->tenant =
            draw_weighted(tenants_, [](const Tenant& tenant) { return tenant.share * tenant.rate_factor; }).name;
    request->function = draw_function(*request->request_class);
    request->run_time_ms = random_.lognormal(request->request_class->run_time_ms, run_time_sigma_);
    if (random_.next() < long_run_share_) request->run_time_ms *= long_run_factor_;
    if (random_.next() < large_response_share_) request->response_bytes = large_response_bytes;
    request->client_request_id = fmt::format("o{}", ++created_requests_);
    request->created_at = loop_.now();
    loop_.spawn(run_request(request));
}

std::string ClientLoad::draw_function(const RequestClass& request_class) {
    const double random_value = random_.next();
    if (random_value < one_time_share_) return fmt::format("{}-once-{}", request_class.name, ++one_time_functions_);
    if (random_value < one_time_share_ + popular_share_)
        return fmt::format("{}-new-{}-{}", request_class.name, popularity_changes_,
                           static_cast<int>(random_.next() * popular_functions_));
    const auto drawn_function = std::lower_bound(cumulative_popularity_.begin(), cumulative_popularity_.end(),
                                                 random_.next() * cumulative_popularity_.back());
    return fmt::format("{}-f{}", request_class.name, drawn_function - cumulative_popularity_.begin());
}

Time ClientLoad::try_timeout(const ClientRequest& request) const {
    const Time deadline = request.request_class->deadline;
    return std::min(request.created_at + deadline - loop_.now(), scaled(deadline, max_try_time_share_));
}

net::Task<> ClientLoad::run_request(std::shared_ptr<ClientRequest> request) {
    ++open_requests_;
    for (;;) {
        const Time remaining = try_timeout(*request);
        if (remaining < min_try_timeout) break;
        const TryResult result = co_await send_try(*request, remaining);
        ++request->sent_tries;
        if (result.outcome == client_outcome::succeeded || request->sent_tries > retry_limit_) break;
        const bool has_no_effect =
            result.outcome == client_outcome::rejected || result.outcome == client_outcome::unreachable;
        if (!has_no_effect && request->request_class->idempotency != "replayable") break;
        Time delay = retry_delay_;
        if (has_no_effect) delay = std::max(delay, result.retry_after);
        if (!retry_immediately_) co_await loop_.sleep(delay);
    }
    if (--open_requests_ == 0 && !sending_) log_.write(event::idle, {});
}

std::string ClientLoad::request_head(const ClientRequest& request, net::Address controller, Time remaining,
                                     std::size_t body_bytes) const {
    const RequestClass& request_class = *request.request_class;
    http::HeadWriter head("POST /v1/jobs/" + http::percent_encode(request.function) + " HTTP/1.1");
    head.add("Host", controller.to_string()).add("Connection", "close").add(field::request_class, request_class.name);
    head.add(field::remaining, remaining / 1ms).add(field::concurrency, std::int64_t{request_class.concurrency});
    head.add(field::memory, std::int64_t{request_class.memory_mb});
    if (!request.tenant.empty()) head.add(field::tenant, request.tenant);
    if (request_class.idempotency == "referenced") head.add(field::idempotency_key, request.client_request_id);
    if (request.sent_tries > 0) head.add(field::client_retry, "1");
    head.add("Content-Length", static_cast<std::int64_t>(body_bytes));
    return head.finish();
}

net::Task<ClientLoad::TryResult> ClientLoad::send_try(const ClientRequest& request, Time remaining) {
    const std::uint64_t id = ++sent_tries_;
    const auto controller_index = static_cast<std::size_t>(random_.next() * static_cast<double>(controllers_.size()));
    const net::Address controller = controllers_[controller_index];
    std::string body = fmt::format("{} {:.1f} {:.1f} {}\n", request.client_request_id, request.run_time_ms,
                                   request.request_class->load_time_ms, request.response_bytes);
    std::string head = request_head(request, controller, remaining, body.size());
    Time timeout = remaining + response_slack;
    const bool abandons = random_.next() < abandoned_share_;
    if (abandons) timeout = scaled(remaining, random_.next());
    log_.write(event::sent, {{key::id, id},
                             {key::origin, request.client_request_id},
                             {key::try_number, request.sent_tries},
                             {key::to, controller.to_string()},
                             {key::request_class, request.request_class->name},
                             {key::function, request.function},
                             {key::tenant, request.tenant},
                             {key::remaining_us, remaining.count()},
                             {key::latency_target_us, request.request_class->latency_target.count()}});
    const auto exchange_result = co_await http::exchange(loop_, controller, std::move(head), std::move(body), timeout);
    co_return record_answer(id, request, exchange_result, abandons);
}

ClientLoad::TryResult ClientLoad::record_answer(std::uint64_t id, const ClientRequest& request,
                                                const http::ExchangeResult& exchange_result, bool abandons) {
    TryResult result;
    boost::json::object record_fields{{key::id, id}, {key::origin, request.client_request_id}};
    if (!exchange_result.error) {
        result.outcome = http::field(exchange_result.response, field::outcome);
        if (const auto reason = http::field(exchange_result.response, field::rejection_reason); !reason.empty()) {
            record_fields[key::rejection_reason] = reason;
            if (result.outcome.empty()) result.outcome = client_outcome::malformed;
        }
        record_fields[key::status] = exchange_result.response.result_int();
        record_fields[key::controller] = http::field(exchange_result.response, field::controller);
        record_fields[key::request] = http::field(exchange_result.response, field::request);
        record_fields[key::attempts] = http::field(exchange_result.response, field::attempts);
        if (const auto ms = http::parse_number<int>(http::field(exchange_result.response, field::retry_after_ms)))
            result.retry_after = std::chrono::milliseconds(*ms);
    } else if (exchange_result.error == net::asio::error::connection_refused) {
        result.outcome = client_outcome::unreachable;
    } else if (exchange_result.error == net::asio::error::timed_out) {
        result.outcome = abandons ? client_outcome::abandoned : client_outcome::no_response;
    } else {
        result.outcome = client_outcome::connection_lost;
        record_fields[key::error] = exchange_result.error.message();
    }
    record_fields[key::outcome] = result.outcome;
    log_.write(event::answer, std::move(record_fields));
    return result;
}

int run_client_load(const std::string& settings_file, const std::string& record_file) {
    ClientLoad(settings_file, record_file).run();
    return 0;
}

}  // namespace plumkeel::emulator
