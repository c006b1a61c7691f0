#include "soak/clients.hpp"

#include "emulator/protocol_bytes.hpp"
#include "soak/client_state.hpp"

namespace plumkeel::soak {
namespace {

constexpr int incomplete_requests = 32, unread_requests = 400, unread_numbers = 20;
constexpr std::size_t incomplete_body = 15'000, missing_bytes = 8;

}  // namespace

Clients::Clients(net::EventLoop& loop, ClientOptions options, std::vector<Request>& requests)
    : state_(std::make_shared<ClientState>(loop, std::move(options), requests)) {}

Clients::~Clients() {
    state_->stop_sending();
}

void Clients::start(std::function<void()> on_ready) {
    state_->start(std::move(on_ready));
}

void Clients::stop_sending() {
    state_->stop_sending();
}

void Clients::controller_killed() {
    state_->controller_killed();
}

void Clients::send_incomplete_requests(int connections) {
    std::string incomplete;
    for (int number = 1; number <= incomplete_requests; ++number) {
        const std::string whole =
            bytes::message(number, {{"SCRIPT_NAME", "/invoke/preview"}}, std::string(incomplete_body, 'h'));
        incomplete += whole.substr(0, whole.size() - missing_bytes);
    }
    for (int i = 0; i < connections; ++i) state_->send_faulty(incomplete, ClientState::Reading::until_closed);
}

// Half of them say nothing, the others nothing after one request.
void Clients::open_idle_connections(int connections) {
    for (int i = 0; i < connections; ++i)
        state_->send_faulty(i % 2 ? "" : bytes::message(1, {{"SCRIPT_NAME", "/_health"}}),
                            ClientState::Reading::until_closed);
}

void Clients::send_without_reading(int connections) {
    std::string requests;
    for (int i = 0; i < unread_requests; ++i)
        requests += bytes::message(1 + i % unread_numbers, {{"SCRIPT_NAME", "/invoke/nothing"}});
    for (int i = 0; i < connections; ++i) state_->send_faulty(requests, ClientState::Reading::none);
}

void Clients::send_malformed_bytes_after_request() {
    state_->send_malformed();
}

}  // namespace plumkeel::soak
