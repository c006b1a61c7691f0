/// Emulates the clients of the controllers. Sends requests at random times that don't depend on the responses (open
/// loop), for functions with a Zipf distribution of popularity and for several tenants, with deadlines, retries, and
/// clients that abandon their requests.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/command_input.hpp"
#include "emulator/event_log.hpp"
#include "emulator/random_source.hpp"
#include "http/exchange.hpp"

namespace plumkeel::emulator {

class ClientLoad {
public:
    ClientLoad(const std::string& settings_file, const std::string& record_file);
    void run() { loop_.run(); }

private:
    struct RequestClass {
        std::string name, idempotency = "replayable";  // "replayable", "referenced" or "single_use"
        double share = 1, run_time_ms = 100, load_time_ms = 300;
        Time deadline = 4s, latency_target = 1500ms;
        int concurrency = 2, memory_mb = 300;
    };
    struct Tenant {
        std::string name;
        double share = 1, rate_factor = 1;
    };
    /// A request of a client. It may be sent several times; each time is a try.
    struct ClientRequest {
        const RequestClass* request_class;
        std::string tenant, function, client_request_id;
        double run_time_ms{};
        Time created_at{};
        int sent_tries{};
        std::size_t response_bytes{};
    };
    struct TryResult {
        std::string outcome;  // a value of client_outcome
        Time retry_after{};   // delay before a retry that the controller asked for; 0 if it asked for none
    };

    void read_settings(const std::string& settings_file);
    void execute(const Command& command);
    void set_tenant_rate(const std::string& name, double factor);
    net::Task<> send_arrivals();
    double arrivals_per_second() const;
    template <class Items, class Weight>
    auto& draw_weighted(Items& items, Weight weight);
    void create_request();
    std::string draw_function(const RequestClass& request_class);
    net::Task<> run_request(std::shared_ptr<ClientRequest> request);
    Time try_timeout(const ClientRequest& request) const;
    net::Task<TryResult> send_try(const ClientRequest& request, Time remaining);
    std::string request_head(const ClientRequest& request, net::Address controller, Time remaining,
                             std::size_t body_bytes) const;
    TryResult record_answer(std::uint64_t id, const ClientRequest& request, const http::ExchangeResult& exchange_result,
                            bool abandons);

    net::SocketEventLoop loop_;
    EventLog log_;
    RandomSource random_;
    std::vector<net::Address> controllers_;
    std::vector<RequestClass> request_classes_;
    std::vector<Tenant> tenants_;
    std::vector<double> cumulative_popularity_;  // sum of the popularity of the functions up to each rank

    double requests_per_second_{}, zipf_exponent_ = 1.1, run_time_sigma_ = 0.3;
    double abandoned_share_{}, large_response_share_{};
    double max_try_time_share_ = 1;  // share of a request's deadline that one try may take
    std::size_t functions_ = 40;
    int retry_limit_ = 1;
    Time retry_delay_ = 200ms;

    // State that commands change.
    bool sending_{}, retry_immediately_{};
    double rate_factor_ = 1;
    double popular_share_{}, popular_functions_ = 1;  // share of requests for a few new functions, and their number
    double one_time_share_{};                         // share of requests for functions that are requested only once
    double long_run_share_{}, long_run_factor_ = 10;  // share of requests that run longer, and the factor

    std::uint64_t sent_tries_{}, created_requests_{}, one_time_functions_{}, open_requests_{}, popularity_changes_{};
};

}  // namespace plumkeel::emulator
