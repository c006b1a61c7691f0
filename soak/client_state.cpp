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
constexpr Time resend_window = 50ms;  // a request sent this shortly before its connection is lost may be sent again
constexpr Time unread_connection_duration = 5s;
constexpr Time malformed_delay = 5ms;
constexpr std::size_t function_count = 40, read_buffer_bytes = 16 * 1024;
constexpr std::size_t short_body_bytes = 40, long_body_bytes = 9000;
constexpr int max_pending_per_connection = 32, malformed_budget_ms = 1500;

// FastCGI record format: the length of a header, and record types.
constexpr std::size_t record_header_bytes = 8;
constexpr std::size_t abort_request_type = 2, end_request_type = 3, stdout_type = 6;

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
      last_request_id_(options_.request_id_base) {}

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
    const auto connect_result = co_await loop_.connect(options_.controller, connect_timeout);
    if (connect_result.error) co_return false;
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, connect_result.stream);
    write_queue->send(bytes::message(1, {{"SCRIPT_NAME", "/_health"}}));
    std::string answer;
    std::vector<char> chunk(512);
    auto stream = connect_result.stream;
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
        send_random_request();
    }
}

Request ClientState::new_request() {
    Request request;
    request.id = ++last_request_id_;
    request.controller_number = options_.controller_number;
    request.controller_run_index = options_.controller_run_index;
    return request;
}

std::size_t ClientState::add_request(Request request, RequestContent content) {
    const std::size_t request_index = requests_.size();
    requests_.push_back(request);
    contents_[request_index] = std::move(content);
    return request_index;
}

void ClientState::send_random_request() {
    const double class_draw = random_.next();
    Request request = new_request();
    request.request_class = class_draw < 0.7    ? RequestClass::preview
                            : class_draw < 0.85 ? RequestClass::tagged
                                                : RequestClass::ledger;
    request.budget_ms = random_.next() < 0.03 ? 2 + static_cast<int>(random_.next() * 30)
                                              : 300 + static_cast<int>(random_.next() * 2200);
    const bool is_abandoned = random_.next() < 0.06, closes_connection = is_abandoned && random_.next() < 0.5;
    const Time abandon_after(static_cast<Time::rep>(random_.next() * request.budget_ms * 1000));
    // The product of two random numbers makes functions with low numbers more frequent.
    const auto function = static_cast<std::uint64_t>(function_count * random_.next() * random_.next());
    const std::size_t body_size = random_.next() < 0.2 ? long_body_bytes : short_body_bytes;
    const std::size_t request_index = add_request(request, {bytes::hex16(function), std::string(body_size, 'b')});
    loop_.spawn(
        send(request_index, closes_connection, is_abandoned ? std::optional<Time>(abandon_after) : std::nullopt));
}

std::string ClientState::request_message(std::size_t request_index, int fastcgi_id) const {
    const Request& request = requests_[request_index];
    const RequestContent& content = contents_.at(request_index);
    bytes::Fields fields = {{"SCRIPT_NAME", std::string("/invoke/") + class_name(request.request_class)},
                            {"HTTP_REQUEST_ID", bytes::hex16(request.id)},
                            {"HTTP_BUDGET_MS", std::to_string(request.budget_ms)},
                            {"HTTP_ACCOUNT", "acme"},
                            {"HTTP_RESOURCE_KEY", content.function},
                            {"HTTP_X_TAGS", "memory_mb:64;lanes:4"}};
    if (request.request_class == RequestClass::tagged)
        fields.emplace_back("HTTP_ONCE_KEY", "once-" + bytes::hex16(request.id));
    return bytes::message(fastcgi_id, fields, content.body);
}

// Returns the open connection with the fewest pending requests, or null if the caller should open another one.
ClientState::ConnectionPointer ClientState::reusable_connection() const {
    ConnectionPointer least_loaded;
    std::size_t open_connections = 0;
    for (const auto& connection : connections_) {
        if (connection->ended || connection->exclusive) continue;
        ++open_connections;
        const std::size_t pending = connection->pending.size();
        if (pending < max_pending_per_connection && (!least_loaded || pending < least_loaded->pending.size()))
            least_loaded = connection;
    }
    return least_loaded && (least_loaded->pending.empty() || open_connections >= options_.connection_count)
               ? least_loaded
               : nullptr;
}

Task<ClientState::ConnectionPointer> ClientState::open_connection(bool exclusive) {
    const auto connect_result = co_await loop_.connect(options_.controller, connect_timeout);
    if (connect_result.error) co_return nullptr;
    const auto connection = std::make_shared<Connection>();
    connection->stream = connect_result.stream;
    connection->write_queue = std::make_shared<net::WriteQueue>(loop_, connect_result.stream);
    connection->exclusive = exclusive;
    connections_.push_back(connection);
    loop_.spawn(read(connection));
    co_return connection;
}

Task<> ClientState::send(std::size_t request_index, bool exclusive, std::optional<Time> abandon_after) {
    const auto self = shared_from_this();
    ConnectionPointer connection = exclusive ? nullptr : reusable_connection();
    if (!connection) connection = co_await open_connection(exclusive);
    if (!connection) {
        // The connection failed, so the request was never sent and the judge must not expect an answer.
        requests_[request_index].answer_valid = true;
        requests_[request_index].lost_with_process = true;
        requests_[request_index].answered_us = never;
        requests_[request_index].abandoned_us = requests_[request_index].sent_us = now_us();
        co_return;
    }
    const int fastcgi_id = connection->next_fastcgi_id++;
    connection->pending[fastcgi_id] = request_index;
    connection->last_used = loop_.now();
    connection->write_queue->send(request_message(request_index, fastcgi_id));
    requests_[request_index].sent_us = now_us();
    if (!abandon_after) co_return;
    co_await loop_.sleep(*abandon_after);
    abandon(request_index, connection, fastcgi_id);
}

void ClientState::abandon(std::size_t request_index, const ConnectionPointer& connection, int fastcgi_id) {
    if (requests_[request_index].answer_count > 0 || connection->ended || !connection->pending.count(fastcgi_id))
        return;
    requests_[request_index].abandoned_us = now_us();
    if (connection->exclusive)
        end(connection);
    else
        connection->write_queue->send(bytes::record(abort_request_type, fastcgi_id, ""));
}

Task<> ClientState::read(ConnectionPointer connection) {
    const auto self = shared_from_this();
    std::string buffer;
    std::vector<char> chunk(read_buffer_bytes);
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

// Removes the complete FastCGI records from the front of the buffer and handles them.
void ClientState::handle_records(std::string& buffer, Connection& connection) {
    while (buffer.size() >= record_header_bytes) {
        const auto byte = [&](std::size_t i) {
            return static_cast<std::size_t>(static_cast<unsigned char>(buffer[i]));
        };
        const std::size_t type = byte(1), content = byte(4) << 8 | byte(5), padding = byte(6);
        if (buffer.size() < record_header_bytes + content + padding) return;
        const int fastcgi_id = static_cast<int>(byte(2) << 8 | byte(3));
        if (type == stdout_type) connection.partial_text[fastcgi_id] += buffer.substr(record_header_bytes, content);
        if (type == end_request_type) handle_answer(connection, fastcgi_id);
        buffer.erase(0, record_header_bytes + content + padding);
    }
}

void ClientState::handle_answer(Connection& connection, int fastcgi_id) {
    const auto pending = connection.pending.find(fastcgi_id);
    const std::string answer_text = std::exchange(connection.partial_text[fastcgi_id], {});
    connection.partial_text.erase(fastcgi_id);
    if (pending == connection.pending.end()) {
        if (const auto earlier_answer = answered_requests_.find({&connection, fastcgi_id});
            earlier_answer != answered_requests_.end())
            ++requests_[earlier_answer->second].answer_count;
        return;
    }
    Request& request = requests_[pending->second];
    answered_requests_[{&connection, fastcgi_id}] = pending->second;
    connection.pending.erase(pending);
    connection.last_used = loop_.now();
    if (request.abandoned_us != never && answer_text.empty()) return;  // an empty answer confirms the cancellation
    ++request.answer_count;
    request.answered_us = now_us();
    const auto head_end = answer_text.find("\r\n\r\n");
    request.answer_valid = answer_text.starts_with("Status: ") && head_end != std::string::npos;
    if (!request.answer_valid) return;
    request.status = std::atoi(answer_text.c_str() + std::string_view("Status: ").size());
    if (request.status == 200)
        request.answer_valid = answer_text.substr(head_end + 4) == "made for " + bytes::hex16(request.id);
}

// Called when reading from the connection fails before this client has closed it.
void ClientState::handle_lost_connection(const ConnectionPointer& connection) {
    const auto pending = connection->pending;
    end(connection);
    for (const auto& [fastcgi_id, request_index] : pending) {
        Request& request = requests_[request_index];
        if (request.answer_count > 0 || request.abandoned_us != never) continue;
        const bool may_resend =
            !request.resent && now_us() - request.sent_us < resend_window / 1us && pending.size() == 1;
        if (controller_killed_) {
            request.lost_with_process = true;
        } else if (may_resend) {
            request.resent = true;
            loop_.spawn(send(request_index, false, std::nullopt));
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
    std::erase_if(answered_requests_, [&](const auto& answered) { return answered.first.first == connection.get(); });
}

void ClientState::open_faulty_connection(std::string bytes, ReadMode read_mode) {
    loop_.spawn(run_faulty_connection(std::move(bytes), read_mode));
}

Task<> ClientState::run_faulty_connection(std::string bytes, ReadMode read_mode) {
    const auto self = shared_from_this();
    const auto connect_result = co_await loop_.connect(options_.controller, connect_timeout);
    if (connect_result.error) co_return;
    const auto stream = connect_result.stream;
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    write_queue->send(std::move(bytes));
    if (read_mode == ReadMode::none) co_await loop_.sleep(unread_connection_duration);
    std::vector<char> chunk(4096);
    while (read_mode == ReadMode::until_closed && !(co_await stream->read(net::asio::buffer(chunk))).error) {
    }
    write_queue->abandon();
    stream->close();
}

void ClientState::send_malformed_record() {
    loop_.spawn(run_malformed_client());
}

// Sends a valid request, and a few milliseconds later bytes that are no FastCGI record on the same connection.
Task<> ClientState::run_malformed_client() {
    const auto self = shared_from_this();
    Request request = new_request();
    request.budget_ms = malformed_budget_ms;
    const std::size_t request_index = add_request(request, {bytes::hex16(1), "b"});
    co_await send(request_index, true, std::nullopt);
    co_await loop_.sleep(malformed_delay);
    for (const auto& connection : connections_)
        if (connection->exclusive && connection->pending.size() == 1 &&
            connection->pending.begin()->second == request_index)
            connection->write_queue->send("\x07 no record at all");
}

}  // namespace plumkeel::soak
