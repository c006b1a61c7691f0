#include "scale/hollow_peers.hpp"

#include <fmt/format.h>

#include <array>

#include "emulator/protocol_bytes.hpp"
#include "random/pcg.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr net::Time connect_limit = 1s, heartbeat = 1s;
constexpr int request_numbers = 32;  // open at once on a client's connection
constexpr std::size_t record_head = 8, frame_length = 4, frame_number = 8;

std::uint64_t number_at(std::string_view bytes, std::size_t at, std::size_t count) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < count; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
    return value;
}

}  // namespace

// ---------------------------------------------------------------- discovery

HollowDiscovery::HollowDiscovery(net::EventLoop& loop, net::Address address)
    : loop_(loop), address_(std::move(address)) {}

net::Error HollowDiscovery::open() {
    auto [error, listener] = loop_.listen(address_);
    if (error) return error;
    listener_ = listener;
    loop_.spawn(accept(listener));
    if (!std::exchange(beating_, true)) loop_.spawn(beat());
    return {};
}

void HollowDiscovery::vanish() {
    listener_->close();
    for (const auto& [id, connection] : open_) connection.first->reset();
    open_.clear();
}

net::Task<> HollowDiscovery::accept(std::shared_ptr<net::Listener> listener) {
    for (;;) {
        const auto accepted = co_await listener->accept();
        if (accepted.error) co_return;
        ++connections_;
        loop_.spawn(serve(accepted.stream));
    }
}

net::Task<> HollowDiscovery::serve(std::shared_ptr<net::Stream> stream) {
    std::string asked;
    std::array<char, 64> room;
    while (asked.size() < frame_number) {
        const net::TransferResult moved = co_await stream->read(net::asio::buffer(room));
        if (moved.error) co_return;
        asked.append(room.data(), moved.bytes);
    }
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    for (auto it = changes_.upper_bound(number_at(asked, 0, frame_number)); it != changes_.end(); ++it)
        send(*write_queue, it->second);
    const std::uint64_t id = ++accepted_;
    open_[id] = {stream, write_queue};
    while (!(co_await stream->read(net::asio::buffer(room))).error) {
    }
    open_.erase(id);
    stream->close();
}

net::Task<> HollowDiscovery::beat() {
    for (;;) {
        co_await loop_.sleep(heartbeat);
        const std::string frame = bytes::frame(last_, 0);
        for (const auto& [id, connection] : open_) send(*connection.second, frame);
    }
}

std::uint64_t HollowDiscovery::tell(const std::string& payload) {
    const std::uint64_t number = ++last_;
    const std::string frame = bytes::big(9 + payload.size(), 4) + bytes::big(number, 8) + '\2' + payload;
    changes_[number] = frame;
    for (const auto& [id, connection] : open_) send(*connection.second, frame);
    return number;
}

void HollowDiscovery::send(net::WriteQueue& write_queue, const std::string& frame) {
    bytes_sent_ += frame.size();
    write_queue.send(frame);
}

// ---------------------------------------------------------------- watchers

HollowWatcher::HollowWatcher(net::EventLoop& loop, net::Address discovery, std::uint64_t seed,
                             std::function<void(std::uint64_t)> told)
    : loop_(loop), discovery_(std::move(discovery)), told_(std::move(told)), seed_(seed) {
    loop_.spawn(run());
}

net::Task<> HollowWatcher::run() {
    constexpr double first_pause_s = 0.05, longest_pause_s = 0.8;  // as the program's own
    Pcg random(seed_);
    for (int lost = 0;; ++lost) {
        auto [error, stream] = co_await loop_.connect(discovery_, connect_limit);
        std::string got = bytes::big(last_, 8);
        if (!error) {
            const auto asking = net::asio::const_buffer(got.data(), got.size());
            stream->write_now({&asking, 1});
            connected_ = true;
            lost = 0;
        }
        got.clear();
        std::array<char, 4096> room;
        while (!error) {
            const net::TransferResult moved = co_await stream->read(net::asio::buffer(room));
            error = moved.error;
            got.append(room.data(), moved.bytes);
            while (got.size() >= frame_length && got.size() >= frame_length + number_at(got, 0, frame_length)) {
                const bool news = got[frame_length + frame_number] != 0;
                last_ = number_at(got, frame_length, frame_number);
                got.erase(0, frame_length + number_at(got, 0, frame_length));
                if (news) told_(last_);
            }
        }
        connected_ = false;
        if (stream) stream->close();
        const double pause =
            std::min(longest_pause_s, first_pause_s * (1 << std::min(lost, 6))) * (0.5 + random.next());
        co_await loop_.sleep(net::Time(static_cast<net::Time::rep>(pause * 1e6)));
    }
}

// ---------------------------------------------------------------- invokers

HollowInvokers::HollowInvokers(net::EventLoop& loop, std::uint16_t port, net::Time run)
    : loop_(loop), port_(port), run_(run) {}

net::Error HollowInvokers::open() {
    auto [error, listener] = loop_.listen({"0.0.0.0", port_});
    if (error) return error;
    listener_ = listener;
    loop_.spawn(accept());
    return {};
}

net::Task<> HollowInvokers::accept() {
    for (;;) {
        const auto accepted = co_await listener_->accept();
        if (accepted.error) co_return;
        ++connections_;
        loop_.spawn(serve(accepted.stream));
    }
}

net::Task<> HollowInvokers::serve(std::shared_ptr<net::Stream> stream) {
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    std::string got;
    std::array<char, 4096> room;
    for (;;) {
        const net::TransferResult moved = co_await stream->read(net::asio::buffer(room));
        if (moved.error) break;
        bytes_ += moved.bytes;
        got.append(room.data(), moved.bytes);
        take(got, write_queue);
    }
    write_queue->abandon();
    stream->close();
}

void HollowInvokers::take(std::string& got, const std::shared_ptr<net::WriteQueue>& write_queue) {
    for (auto end = got.find("\r\n"); end != std::string::npos; end = got.find("\r\n")) {
        const std::string line = got.substr(0, end);
        const std::string rest = line.substr(std::min(line.size(), line.find(' ') + 1));
        std::size_t taken = end + 2;
        if (line.starts_with("RUN ")) {
            taken += std::stoul(line.substr(line.rfind(' ') + 1)) + 2;
            if (got.size() < taken) return;
            ++runs_;
            loop_.spawn(answer(write_queue, rest.substr(0, rest.find(' '))));
        } else if (line.starts_with("INFO ") || line.starts_with("NOOP ")) {
            ++probes_;
            send(*write_queue, rest + " well l=active:1;waiting:0 0\r\n\r\n");
        }
        got.erase(0, taken);
    }
}

net::Task<> HollowInvokers::answer(std::shared_ptr<net::WriteQueue> write_queue, std::string id) {
    co_await loop_.sleep(run_);
    send(*write_queue, id + " data n=reused 4\r\ndone\r\n");
}

void HollowInvokers::send(net::WriteQueue& write_queue, std::string text) {
    bytes_ += text.size();
    write_queue.send(std::move(text));
}

// ---------------------------------------------------------------- client

HollowClient::HollowClient(net::EventLoop& loop, net::Address controller)
    : loop_(loop), controller_(std::move(controller)) {}

net::Task<bool> HollowClient::healthy() {
    auto [error, stream] = co_await loop_.connect(controller_, connect_limit);
    if (error) co_return false;
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    write_queue->send(bytes::message(1, {{"SCRIPT_NAME", "/_health"}}));
    std::array<char, 1024> room;
    const net::TransferResult moved = co_await stream->read(net::asio::buffer(room));
    stream->close();
    co_return !moved.error && std::string_view(room.data(), moved.bytes).find("Status: 200") != std::string_view::npos;
}

net::Task<> HollowClient::open(std::size_t connections) {
    for (std::size_t i = 0; i < connections; ++i) {
        auto [error, stream] = co_await loop_.connect(controller_, connect_limit);
        if (error) continue;
        const auto connection =
            std::make_shared<Connection>(Connection{stream, std::make_shared<net::WriteQueue>(loop_, stream), {}});
        connections_.push_back(connection);
        loop_.spawn(listen(connection));
    }
}

void HollowClient::call(const std::string& function) {
    Connection* emptiest = nullptr;
    for (const auto& connection : connections_)
        if (!emptiest || connection->sent.size() < emptiest->sent.size()) emptiest = connection.get();
    if (!emptiest || emptiest->sent.size() >= request_numbers) return;
    int number = 1;
    while (emptiest->sent.count(number)) ++number;
    emptiest->sent[number] = loop_.now();
    emptiest->write_queue->send(
        bytes::message(number, bytes::job_fields(bytes::hex16(++sent_ << 8 | 1), function, 3000), "ask"));
}

void HollowClient::close() {
    for (const auto& connection : connections_) connection->stream->close();
    connections_.clear();
}

net::Task<> HollowClient::listen(std::shared_ptr<Connection> connection) {
    std::string got;
    std::array<char, 8192> room;
    for (;;) {
        const net::TransferResult moved = co_await connection->stream->read(net::asio::buffer(room));
        if (moved.error) co_return;
        got.append(room.data(), moved.bytes);
        take(got, *connection);
    }
}

void HollowClient::take(std::string& got, Connection& connection) {
    constexpr int stdout_record = 6, end_record = 3;
    while (got.size() >= record_head) {
        const std::size_t whole = record_head + number_at(got, 4, 2) + number_at(got, 6, 1);
        if (got.size() < whole) return;
        const int type = static_cast<int>(number_at(got, 1, 1)), number = static_cast<int>(number_at(got, 2, 2));
        const auto sent = connection.sent.find(number);
        if (sent != connection.sent.end() && type == stdout_record && got.find("Status: 200") < whole) {
            ++served_;
            waited_ms_ += std::chrono::duration<double, std::milli>(loop_.now() - sent->second).count();
        }
        if (sent != connection.sent.end() && type == end_record) {
            ++ended_;
            connection.sent.erase(sent);
        }
        got.erase(0, whole);
    }
}

}  // namespace plumkeel::scale
