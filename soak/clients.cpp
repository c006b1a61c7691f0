#include "soak/clients.hpp"

#include "emulator/protocol_bytes.hpp"
#include "soak/client_state.hpp"

namespace plumkeel::soak {
namespace {

constexpr int incomplete_requests_per_connection = 32, unread_requests_per_connection = 400, unread_fastcgi_ids = 20;
constexpr std::size_t incomplete_body_bytes = 15'000, omitted_bytes = 8;

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

void Clients::handle_controller_killed() {
    state_->handle_controller_killed();
}

void Clients::send_incomplete_requests(int connection_count) {
    std::string incomplete_messages;
    for (int fastcgi_id = 1; fastcgi_id <= incomplete_requests_per_connection; ++fastcgi_id) {
        const std::string complete_message =
            bytes::message(fastcgi_id, {{"SCRIPT_NAME", "/invoke/preview"}}, std::string(incomplete_body_bytes, 'h'));
        incomplete_messages += complete_message.substr(0, complete_message.size() - omitted_bytes);
    }
    for (int i = 0; i < connection_count; ++i)
        state_->open_faulty_connection(incomplete_messages, ClientState::ReadMode::until_closed);
}

// Half of the connections send nothing; the others send one health request and then nothing.
void Clients::open_idle_connections(int connection_count) {
    for (int i = 0; i < connection_count; ++i)
        state_->open_faulty_connection(i % 2 ? "" : bytes::message(1, {{"SCRIPT_NAME", "/_health"}}),
                                       ClientState::ReadMode::until_closed);
}

void Clients::send_without_reading(int connection_count) {
    std::string requests;
    for (int i = 0; i < unread_requests_per_connection; ++i)
        requests += bytes::message(1 + i % unread_fastcgi_ids, {{"SCRIPT_NAME", "/invoke/nothing"}});
    for (int i = 0; i < connection_count; ++i) state_->open_faulty_connection(requests, ClientState::ReadMode::none);
}

void Clients::send_malformed_bytes_after_request() {
    state_->send_malformed_record();
}

}  // namespace plumkeel::soak
