#include "scale/client_stub.hpp"

#include <array>

#include "emulator/protocol_bytes.hpp"
#include "scale/stub_bytes.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr net::Time connect_timeout = 1s;
constexpr int requests_per_connection = 32, budget_ms = 3000;

// Of a FastCGI record.
constexpr std::size_t record_header_size = 8;
constexpr std::uint64_t end_request = 3, stdout_data = 6;

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
        loop_.spawn(read(connection));
    }
}

void ClientStub::send_request(const std::string& function) {
    Connection* chosen = nullptr;
    for (const auto& connection : connections_)
        if (!chosen || connection->sent_at.size() < chosen->sent_at.size()) chosen = connection.get();
    if (!chosen || chosen->sent_at.size() >= requests_per_connection) return;
    int number = 1;
    while (chosen->sent_at.count(number)) ++number;
    chosen->sent_at[number] = loop_.now();
    const std::string id = bytes::hex16(++sent_ << 8 | 1);
    chosen->write_queue->send(bytes::message(number, bytes::request_fields(id, function, budget_ms), "ask"));
}

void ClientStub::close() {
    for (const auto& connection : connections_) connection->stream->close();
    connections_.clear();
}

net::Task<> ClientStub::read(std::shared_ptr<Connection> connection) {
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
    while (buffer.size() >= record_header_size) {
        const std::size_t content = big_endian_at(buffer, 4, 2), padding = big_endian_at(buffer, 6, 1);
        const std::size_t size = record_header_size + content + padding;
        if (buffer.size() < size) return;
        const std::uint64_t type = big_endian_at(buffer, 1, 1);
        const auto pending = connection.sent_at.find(static_cast<int>(big_endian_at(buffer, 2, 2)));
        if (pending != connection.sent_at.end()) {
            if (type == stdout_data && buffer.find("Status: 200") < size) {
                ++served_;
                latency_sum_ms_ += std::chrono::duration<double, std::milli>(loop_.now() - pending->second).count();
            }
            if (type == end_request) {
                ++ended_;
                connection.sent_at.erase(pending);
            }
        }
        buffer.erase(0, size);
    }
}

}  // namespace plumkeel::scale
