#include "cli/client.hpp"

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "config/jsonnet_reader.hpp"
#include "http/exchange.hpp"
#include "net/socket_event_loop.hpp"
#include "web/protocol.hpp"

namespace plumkeel::cli {
namespace {

using namespace std::chrono_literals;
namespace field = protocol::field;

constexpr Time status_timeout = 5s;
constexpr Time response_margin = 2s;  // added to the request's remaining time, for the response to arrive
constexpr unsigned http_ok = 200;

// Values of the response's outcome header.
constexpr std::string_view succeeded_outcome = "honoured", rejected_outcome = "bounced";

using Response = http::beast_http::response<http::beast_http::string_body>;

// Sends one HTTP request and waits for the response. Without a response, prints the reason and returns nothing.
std::optional<Response> exchange(const std::string& gateway, std::string head, std::string body, Time timeout) {
    const auto address = net::Address::parse(gateway);
    if (!address) throw ConfigError("--at: found \"" + gateway + "\", expected an address such as 127.0.0.1:7400");
    net::SocketEventLoop loop;
    http::ExchangeResult result;
    auto run = [&]() -> net::Task<> {
        result = co_await http::exchange(loop, *address, std::move(head), std::move(body), timeout);
        loop.stop();
    };
    loop.spawn(run());
    loop.run();
    if (!result.error) return std::move(result.response);
    std::cerr << "plumkeel: no response from " << gateway << ": " << result.error.message() << '\n';
    return {};
}

std::string read_body(const std::string& path) {
    if (path.empty()) return {};
    if (path == "-") return {std::istreambuf_iterator<char>(std::cin), {}};
    std::ifstream input(path, std::ios::binary);
    if (!input) throw ConfigError(path + ": the file can't be read");
    return {std::istreambuf_iterator<char>(input), {}};
}

std::string request_head(const std::string& address, const SendOptions& options, Time remaining,
                         std::size_t body_bytes) {
    http::HeadWriter head("POST /v1/jobs/" + http::percent_encode(options.function) + " HTTP/1.1");
    head.add("Host", address).add("Connection", "close").add(field::request_class, options.request_class);
    head.add(field::remaining, remaining / 1ms).add(field::concurrency, std::int64_t{options.concurrency});
    if (!options.tenant.empty()) head.add(field::tenant, options.tenant);
    if (!options.idempotency_key.empty()) head.add(field::idempotency_key, options.idempotency_key);
    if (options.memory_mb > 0) head.add(field::memory, std::int64_t{options.memory_mb});
    if (options.is_client_retry) head.add(field::client_retry, "1");
    head.add("Content-Length", static_cast<std::int64_t>(body_bytes));
    return head.finish();
}

void print_outcome(const Response& response) {
    const std::string_view rejection = http::field(response, field::rejection_reason);
    std::cerr << (rejection.empty() ? http::field(response, field::outcome) : rejection) << ", status "
              << response.result_int();
    if (const auto attempts = http::field(response, field::attempts); !attempts.empty())
        std::cerr << ", attempts " << attempts;
    if (const auto delay = http::field(response, field::retry_after_ms); !delay.empty())
        std::cerr << ", retry after " << delay << " ms";
    std::cerr << '\n';
}

}  // namespace

int status(const std::string& address) {
    http::HeadWriter head("GET /v1/status HTTP/1.1");
    head.add("Host", address).add("Connection", "close");
    const auto response = exchange(address, head.finish(), "", status_timeout);
    if (!response) return no_response;
    std::cout << response->body();
    return response->result_int() == http_ok ? success : no_response;
}

int send(const std::string& address, const SendOptions& options) {
    const Time remaining = parse_duration(options.remaining);
    std::string body = read_body(options.body_file);
    std::string head = request_head(address, options, remaining, body.size());
    const auto response = exchange(address, std::move(head), std::move(body), remaining + response_margin);
    if (!response) return no_response;
    print_outcome(*response);
    std::cout << response->body();
    if (!http::field(*response, field::rejection_reason).empty()) return request_refused;
    const std::string_view outcome = http::field(*response, field::outcome);
    if (outcome == succeeded_outcome) return success;
    return outcome == rejected_outcome ? request_rejected : request_failed;
}

}  // namespace plumkeel::cli
