#include "scale/client_stub.hpp"

#include <array>

#include "emulator/protocol_bytes.hpp"
#include "scale/stub_bytes.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr net::Time connect_timeout = 1s;
constexpr int max_pending_per_connection = 32, request_budget_ms = 3000;

// Header size and types of FastCGI records.
constexpr std::size_t record_header_bytes = 8;
constexpr std::uint64_t end_request_type = 3, stdout_type = 6;

}  // namespace

ClientStub::ClientStub(net::EventLoop& loop, net::Address controller)
    : loop_(loop), controller_(std::move(controller)) {}

net::Task<bool> ClientStub::is_healthy() {
    auto [error, stream] = co_await loop_.connect(controller_, connect_timeout);
    if (error) co_return false;
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    write_queue->send(bytes::message(1, {{"SCRIPT_NAME", "/_health"}}));
    std::array<char, 1024> chunk;
    const net::TransferResult read = co_await stream->read(net::asio::buffer(chunk));
    stream->close();
    const std::string_view answer(chunk.data(), read.error ? 0 : read.bytes);
    co_return answer.find("Status: 200") != std::string_view::npos;
}

net::Task<> ClientStub::open(std::size_t connections) {
    for (std::size_t i = 0; i < connections; ++i) {
        auto [error, stream] = co_await loop_.connect(controller_, connect_timeout);
        if (error) continue;
        const auto connection =
            std::make_shared<Connection>(Connection{stream, std::make_shared<net::WriteQueue>(loop_, stream), {}});
        connections_.push_back(connection);
        loop_.spawn(read_responses(connection));
    }
}

void ClientStub::send_request(const std::string& function) {
    Connection* least_loaded = nullptr;
    for (const auto& connection : connections_)
        if (!least_loaded || connection->sent_at_by_id.size() < least_loaded->sent_at_by_id.size())
            least_loaded = connection.get();
    if (!least_loaded || least_loaded->sent_at_by_id.size() >= max_pending_per_connection) return;
    int fastcgi_id = 1;
    while (least_loaded->sent_at_by_id.count(fastcgi_id)) ++fastcgi_id;
    least_loaded->sent_at_by_id[fastcgi_id] = loop_.now();
    const std::string request_id = bytes::hex16(++sent_ << 8 | 1);
    least_loaded->write_queue->send(
        bytes::message(fastcgi_id, bytes::request_fields(request_id, function, request_budget_ms), "ask"));
}

void ClientStub::close() {
    for (const auto& connection : connections_) connection->stream->close();
    connections_.clear();
}

net::Task<> ClientStub::read_responses(std::shared_ptr<Connection> connection) {
    std::string buffer;
    std::array<char, 8192> chunk;
    for (;;) {
        const net::TransferResult read = co_await connection->stream->read(net::asio::buffer(chunk));
        if (read.error) co_return;
        buffer.append(chunk.data(), read.bytes);
        handle_records(buffer, *connection);
    }
}

void ClientStub::handle_records(std::string& buffer, Connection& connection) {
    while (buffer.size() >= record_header_bytes) {
        const std::size_t content_bytes = big_endian_at(buffer, 4, 2), padding_bytes = big_endian_at(buffer, 6, 1);
        const std::size_t record_bytes = record_header_bytes + content_bytes + padding_bytes;
        if (buffer.size() < record_bytes) return;
        const std::uint64_t record_type = big_endian_at(buffer, 1, 1);
        const auto pending = connection.sent_at_by_id.find(static_cast<int>(big_endian_at(buffer, 2, 2)));
        if (pending != connection.sent_at_by_id.end()) {
            if (record_type == stdout_type && buffer.find("Status: 200") < record_bytes) {
                ++served_;
                latency_sum_ms_ += std::chrono::duration<double, std::milli>(loop_.now() - pending->second).count();
            }
            if (record_type == end_request_type) {
                ++ended_;
                connection.sent_at_by_id.erase(pending);
            }
        }
        buffer.erase(0, record_bytes);
    }
}

}  // namespace plumkeel::scale
