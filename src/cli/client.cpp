#include "cli/client.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

#include "config/jsonnet_reader.hpp"
#include "http/exchange.hpp"
#include "net/socket_event_loop.hpp"
#include "web/protocol.hpp"

namespace plumkeel::cli {
namespace {

using namespace std::chrono_literals;
namespace field = protocol::field;

// The answer, or nothing once the reason is told.
std::optional<http::bh::response<http::bh::string_body>> ask(const std::string& at, std::string head, std::string body,
                                                             Time limit) {
    const auto address = net::Address::parse(at);
    if (!address) throw ConfigError("--at " + at + ": is no address such as 127.0.0.1:7400");
    net::SocketEventLoop loop;
    http::ExchangeResult got;
    auto run = [&]() -> net::Task<> {
        got = co_await http::exchange(loop, *address, std::move(head), std::move(body), limit);
        loop.stop();
    };
    loop.spawn(run());
    loop.run();
    if (!got.error) return std::move(got.response);
    std::cerr << "plumkeel: no answer from " << at << ": " << got.error.message() << '\n';
    return {};
}

std::string read_body(const std::string& from) {
    if (from.empty()) return {};
    if (from == "-") return {std::istreambuf_iterator<char>(std::cin), {}};
    std::ifstream in(from, std::ios::binary);
    if (!in) throw ConfigError(from + ": can't be read");
    return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

int status(const std::string& at) {
    const auto answer = ask(
        at, http::HeadWriter("GET /v1/status HTTP/1.1").add("Host", at).add("Connection", "close").finish(), "", 5s);
    if (!answer) return 1;
    std::cout << answer->body();
    return answer->result_int() == 200 ? 0 : 1;
}

int send(const std::string& at, const Job& request) {
    const Time left = parse_duration(request.time_left);
    std::string body = read_body(request.body);
    http::HeadWriter head("POST /v1/jobs/" + http::percent_encode(request.function) + " HTTP/1.1");
    head.add("Host", at).add("Connection", "close").add(field::request_class, request.request_class);
    head.add(field::time_left, left / 1ms).add(field::lanes, std::int64_t{request.lanes});
    if (!request.tenant.empty()) head.add(field::tenant, request.tenant);
    if (!request.mark.empty()) head.add(field::mark, request.mark);
    if (request.memory > 0) head.add(field::memory, std::int64_t{request.memory});
    if (request.again) head.add(field::again, "1");
    head.add("Content-Length", static_cast<std::int64_t>(body.size()));
    const auto answer = ask(at, head.finish(), std::move(body), left + 2s);
    if (!answer) return 1;
    const std::string_view outcome = http::field(*answer, field::outcome);
    const std::string_view objection = http::field(*answer, field::objection);
    std::cerr << (objection.empty() ? outcome : objection) << ", status " << answer->result_int();
    if (const auto attempts = http::field(*answer, field::attempts); !attempts.empty())
        std::cerr << ", hops " << attempts;
    if (const auto later = http::field(*answer, field::retry_after_ms); !later.empty())
        std::cerr << ", come back after " << later << " ms";
    std::cerr << '\n';
    std::cout << answer->body();
    if (!objection.empty()) return 5;
    if (outcome == "honoured") return 0;
    return outcome == "bounced" ? 3 : 4;
}

}  // namespace plumkeel::cli
