#include "soak/client_state.hpp"

#include <cmath>

#include "emulator/protocol_bytes.hpp"

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using net::Task;
using net::Time;

constexpr Time connect_timeout = 1s, health_poll_interval = 20ms;
constexpr Time idle_timeout = 4s, idle_poll_interval = 200ms;
constexpr Time resend_window = 50ms;  // a request sent so shortly before its connection ends may not have been read
constexpr Time unread_time = 5s;      // how long a client that reads nothing stays
constexpr Time malformed_delay = 5ms;
constexpr std::size_t functions = 40, read_size = 16 * 1024;
constexpr std::size_t short_body = 40, long_body = 9000;
constexpr int requests_per_connection = 32, malformed_budget_ms = 1500;

// Of a FastCGI record.
constexpr std::size_t record_header_size = 8;
constexpr std::size_t abort_request = 2, end_request = 3, stdout_data = 6;

const char* class_name(RequestClass request_class) {
    static constexpr const char* names[] = {"preview", "tagged", "ledger"};
    return names[static_cast<int>(request_class)];
}

}  // namespace

ClientState::ClientState(net::EventLoop& loop, ClientOptions options, std::vector<Request>& requests)
    : loop_(loop),
      options_(std::move(options)),
      requests_(requests),
      random_(options_.seed),
      last_id_(options_.first_id) {}

void ClientState::start(std::function<void()> on_ready) {
    loop_.spawn(run(std::move(on_ready)));
}

Task<> ClientState::run(std::function<void()> on_ready) {
    const auto self = shared_from_this();
    while (!stopped_ && !(co_await is_healthy())) co_await loop_.sleep(health_poll_interval);
    if (stopped_) co_return;
    on_ready();
    loop_.spawn(send_requests());
}

Task<bool> ClientState::is_healthy() {
    const auto connected = co_await loop_.connect(options_.controller, connect_timeout);
    if (connected.error) co_return false;
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, connected.stream);
    write_queue->send(bytes::message(1, {{"SCRIPT_NAME", "/_health"}}));
    std::string answer;
    std::vector<char> chunk(512);
    auto stream = connected.stream;
    auto timeout = loop_.call_at(loop_.now() + connect_timeout, [stream] { stream->close(); });
    while (answer.find("\r\n\r\n") == std::string::npos) {
        const net::TransferResult read = co_await stream->read(net::asio::buffer(chunk));
        if (read.error) break;
        answer.append(chunk.data(), read.bytes);
    }
    loop_.cancel(timeout);
    stream->close();
    co_return answer.find("Status: 200") != std::string::npos;
}

Task<> ClientState::send_requests() {
    const auto self = shared_from_this();
    while (!stopped_) {
        const double seconds = -std::log(1 - random_.next()) / options_.requests_per_second;
        co_await loop_.sleep(Time(static_cast<Time::rep>(seconds * 1e6)));
        if (stopped_) co_return;
        send_drawn_request();
    }
}

Request ClientState::new_request() {
    Request request;
    request.id = ++last_id_;
    request.controller_number = options_.number;
    request.controller_run_index = options_.controller_run;
    return request;
}

std::size_t ClientState::add_request(Request request, RequestBody body) {
    const std::size_t place = requests_.size();
    requests_.push_back(request);
    bodies_[place] = std::move(body);
    return place;
}

void ClientState::send_drawn_request() {
    const double draw = random_.next();
    Request request = new_request();
    request.request_class = draw < 0.7    ? RequestClass::preview
                            : draw < 0.85 ? RequestClass::tagged
                                          : RequestClass::ledger;
    request.budget_ms = random_.next() < 0.03 ? 2 + static_cast<int>(random_.next() * 30)
                                              : 300 + static_cast<int>(random_.next() * 2200);
    const bool is_abandoned = random_.next() < 0.06, closes = is_abandoned && random_.next() < 0.5;
    const Time abandon_after(static_cast<Time::rep>(random_.next() * request.budget_ms * 1000));
    // The product of two draws: some functions are more popular than others.
    const auto function = static_cast<std::uint64_t>(functions * random_.next() * random_.next());
    const std::size_t body_size = random_.next() < 0.2 ? long_body : short_body;
    const std::size_t place = add_request(request, {bytes::hex16(function), std::string(body_size, 'b')});
    loop_.spawn(send(place, closes, is_abandoned ? std::optional<Time>(abandon_after) : std::nullopt));
}

std::string ClientState::request_message(std::size_t place, int number) const {
    const Request& request = requests_[place];
    const RequestBody& body = bodies_.at(place);
    bytes::Fields fields = {{"SCRIPT_NAME", std::string("/invoke/") + class_name(request.request_class)},
                            {"HTTP_REQUEST_ID", bytes::hex16(request.id)},
                            {"HTTP_BUDGET_MS", std::to_string(request.budget_ms)},
                            {"HTTP_ACCOUNT", "acme"},
                            {"HTTP_RESOURCE_KEY", body.function},
                            {"HTTP_X_TAGS", "memory_mb:64;lanes:4"}};
    if (request.request_class == RequestClass::tagged)
        fields.emplace_back("HTTP_ONCE_KEY", "once-" + bytes::hex16(request.id));
    return bytes::message(number, fields, body.body);
}

// Of the open connections the one with the fewest requests; null where a further one shall be opened.
ClientState::ConnectionPointer ClientState::reusable_connection() const {
    ConnectionPointer best;
    std::size_t count = 0;
    for (const auto& connection : connections_) {
        if (connection->ended || connection->exclusive) continue;
        ++count;
        const std::size_t pending = connection->pending.size();
        if (pending < requests_per_connection && (!best || pending < best->pending.size())) best = connection;
    }
    return best && (best->pending.empty() || count >= options_.connections) ? best : nullptr;
}

Task<ClientState::ConnectionPointer> ClientState::open_connection(bool exclusive) {
    const auto connected = co_await loop_.connect(options_.controller, connect_timeout);
    if (connected.error) co_return nullptr;
    const auto connection = std::make_shared<Connection>();
    connection->stream = connected.stream;
    connection->write_queue = std::make_shared<net::WriteQueue>(loop_, connected.stream);
    connection->exclusive = exclusive;
    connections_.push_back(connection);
    loop_.spawn(read(connection));
    co_return connection;
}

Task<> ClientState::send(std::size_t place, bool exclusive, std::optional<Time> abandon_after) {
    const auto self = shared_from_this();
    ConnectionPointer connection = exclusive ? nullptr : reusable_connection();
    if (!connection) connection = co_await open_connection(exclusive);
    if (!connection) {
        // It was never sent: no answer is due.
        requests_[place].answer_valid = true;
        requests_[place].lost_with_process = true;
        requests_[place].answered_us = never;
        requests_[place].abandoned_us = requests_[place].sent_us = now_us();
        co_return;
    }
    const int number = connection->next_number++;
    connection->pending[number] = place;
    connection->last_used = loop_.now();
    connection->write_queue->send(request_message(place, number));
    requests_[place].sent_us = now_us();
    if (!abandon_after) co_return;
    co_await loop_.sleep(*abandon_after);
    abandon(place, connection, number);
}

void ClientState::abandon(std::size_t place, const ConnectionPointer& connection, int number) {
    if (requests_[place].answers > 0 || connection->ended || !connection->pending.count(number)) return;
    requests_[place].abandoned_us = now_us();
    if (connection->exclusive)
        end(connection);
    else
        connection->write_queue->send(bytes::record(abort_request, number, ""));
}

Task<> ClientState::read(ConnectionPointer connection) {
    const auto self = shared_from_this();
    std::string buffer;
    std::vector<char> chunk(read_size);
    loop_.spawn(close_when_idle(connection));
    for (;;) {
        const net::TransferResult read = co_await connection->stream->read(net::asio::buffer(chunk));
        if (read.error) break;
        buffer.append(chunk.data(), read.bytes);
        handle_records(buffer, *connection);
    }
    if (!connection->ended) handle_lost_connection(connection);
}

Task<> ClientState::close_when_idle(ConnectionPointer connection) {
    const auto self = shared_from_this();
    while (!connection->ended) {
        co_await loop_.sleep(idle_poll_interval);
        const bool is_idle = connection->pending.empty() && loop_.now() - connection->last_used > idle_timeout;
        if (!connection->ended && is_idle) end(connection);
    }
}

// Takes whole records off the front of the buffer.
void ClientState::handle_records(std::string& buffer, Connection& connection) {
    while (buffer.size() >= record_header_size) {
        const auto byte = [&](std::size_t i) {
            return static_cast<std::size_t>(static_cast<unsigned char>(buffer[i]));
        };
        const std::size_t type = byte(1), content = byte(4) << 8 | byte(5), padding = byte(6);
        if (buffer.size() < record_header_size + content + padding) return;
        const int number = static_cast<int>(byte(2) << 8 | byte(3));
        if (type == stdout_data) connection.partial_text[number] += buffer.substr(record_header_size, content);
        if (type == end_request) handle_answer(connection, number);
        buffer.erase(0, record_header_size + content + padding);
    }
}

void ClientState::handle_answer(Connection& connection, int number) {
    const auto pending = connection.pending.find(number);
    const std::string text = std::exchange(connection.partial_text[number], {});
    connection.partial_text.erase(number);
    if (pending == connection.pending.end()) {
        if (const auto earlier = answered_by_.find({&connection, number}); earlier != answered_by_.end())
            ++requests_[earlier->second].answers;
        return;
    }
    Request& request = requests_[pending->second];
    answered_by_[{&connection, number}] = pending->second;
    connection.pending.erase(pending);
    connection.last_used = loop_.now();
    if (request.abandoned_us != never && text.empty()) return;  // the controller confirms the cancellation
    ++request.answers;
    request.answered_us = now_us();
    const auto head_end = text.find("\r\n\r\n");
    request.answer_valid = text.starts_with("Status: ") && head_end != std::string::npos;
    if (!request.answer_valid) return;
    request.status = std::atoi(text.c_str() + std::string_view("Status: ").size());
    if (request.status == 200)
        request.answer_valid = text.substr(head_end + 4) == "made for " + bytes::hex16(request.id);
}

// The controller has ended the connection, or the kernel has.
void ClientState::handle_lost_connection(const ConnectionPointer& connection) {
    const auto pending = connection->pending;
    end(connection);
    for (const auto& [number, place] : pending) {
        Request& request = requests_[place];
        if (request.answers > 0 || request.abandoned_us != never) continue;
        const bool may_resend =
            !request.resent && now_us() - request.sent_us < resend_window / 1us && pending.size() == 1;
        if (controller_killed_) {
            request.lost_with_process = true;
        } else if (may_resend) {
            request.resent = true;
            loop_.spawn(send(place, false, std::nullopt));
        } else {
            request.connection_lost_us = now_us();
        }
    }
}

void ClientState::end(const ConnectionPointer& connection) {
    if (std::exchange(connection->ended, true)) return;
    connection->write_queue->abandon();
    connection->stream->close();
    std::erase(connections_, connection);
    std::erase_if(answered_by_, [&](const auto& answered) { return answered.first.first == connection.get(); });
}

void ClientState::send_faulty(std::string bytes, Reading reading) {
    loop_.spawn(run_faulty(std::move(bytes), reading));
}

Task<> ClientState::run_faulty(std::string bytes, Reading reading) {
    const auto self = shared_from_this();
    const auto connected = co_await loop_.connect(options_.controller, connect_timeout);
    if (connected.error) co_return;
    const auto stream = connected.stream;
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    write_queue->send(std::move(bytes));
    if (reading == Reading::none) co_await loop_.sleep(unread_time);
    std::vector<char> chunk(4096);
    while (reading == Reading::until_closed && !(co_await stream->read(net::asio::buffer(chunk))).error) {
    }
    write_queue->abandon();
    stream->close();
}

void ClientState::send_malformed() {
    loop_.spawn(run_malformed());
}

// A request, and then bytes that are no record: the request was received before.
Task<> ClientState::run_malformed() {
    const auto self = shared_from_this();
    Request request = new_request();
    request.budget_ms = malformed_budget_ms;
    const std::size_t place = add_request(request, {bytes::hex16(1), "b"});
    co_await send(place, true, std::nullopt);
    co_await loop_.sleep(malformed_delay);
    for (const auto& connection : connections_)
        if (connection->exclusive && connection->pending.size() == 1 && connection->pending.begin()->second == place)
            connection->write_queue->send("\x07 no record at all");
}

}  // namespace plumkeel::soak
