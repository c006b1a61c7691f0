#include "soak/invoker.hpp"

#include <cmath>
#include <iostream>

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using net::Task;
using net::Time;

constexpr Time mean_run_time = 40ms, load_time = 150ms, duplicate_delay = 3ms;
constexpr std::size_t concurrency_limit = 24, cache_limit = 12, read_size = 16 * 1024;
constexpr double full_speed_runs = 6;  // more at once share the invoker's speed
constexpr std::uint32_t million = 1'000'000;
constexpr std::string_view function_field = "asset=";
constexpr std::size_t function_length = 16;

std::string function_of(const Message& message) {
    const std::string& fields = message.words[2];
    return fields.substr(fields.find(function_field) + function_field.size(), function_length);
}

}  // namespace

SoakInvoker::SoakInvoker(const InvokerOptions& options)
    : options_(options),
      events_(options.record),
      control_(options.control, ControlFile::Mode::open),
      random_(options.seed) {}

net::Error SoakInvoker::open() {
    auto listened = loop_.listen(*net::Address::parse(options_.listen));
    if (listened.error) return listened.error;
    listener_ = std::move(listened.listener);
    loop_.spawn(accept());
    return {};
}

Task<> SoakInvoker::accept() {
    for (;;) {
        const auto accepted = co_await listener_->accept();
        if (accepted.error) continue;
        const auto connection = std::make_shared<Connection>();
        connection->stream = accepted.stream;
        connection->write_queue = std::make_shared<net::WriteQueue>(loop_, accepted.stream);
        loop_.spawn(serve(connection));
    }
}

Task<> SoakInvoker::serve(std::shared_ptr<Connection> connection) {
    std::string buffer;
    std::vector<char> chunk(read_size);
    for (;;) {
        const net::TransferResult read = co_await connection->stream->read(net::asio::buffer(chunk));
        if (read.error) break;
        buffer.append(chunk.data(), read.bytes);
        while (const auto message = take_controller_message(buffer)) handle(*message, connection);
    }
    for (auto& [id, run] : connection->runs) run->cancelled = true;
    connection->write_queue->abandon();
    connection->stream->close();
}

void SoakInvoker::handle(const Message& message, const std::shared_ptr<Connection>& connection) {
    if (message.words.size() < 2) return;
    const std::string& type = message.words.front();
    const std::string& id = message.words[1];
    if (type == load_message || type == ping_message) {
        connection->write_queue->send(id + " well l=active:" + std::to_string(running_) + ";waiting:0 0\r\n\r\n");
    } else if (type == cancel_message) {
        if (const auto run = connection->runs.find(id); run != connection->runs.end()) run->second->cancelled = true;
    } else if (type == run_message) {
        loop_.spawn(run_attempt(message, id, connection));
    }
}

bool SoakInvoker::happens(const std::atomic<std::uint32_t>& rate) {
    return rate > 0 && random_.next() * million < static_cast<double>(rate.load());
}

Task<> SoakInvoker::run_attempt(Message message, std::string id, std::shared_ptr<Connection> connection) {
    const InvokerControl& control = control_.invoker(options_.number);
    const std::uint64_t request = request_id(id);
    if (running_ >= concurrency_limit || happens(control.rejecting)) {
        events_.write(EventType::run_rejected, request, options_.number);
        co_return answer(connection, id, "full", "peers_in=1", "");
    }
    events_.write(EventType::run_started, request, options_.number);
    const auto run = std::make_shared<Run>();
    connection->runs[id] = run;
    ++running_;
    const bool is_loaded = loaded_.count(function_of(message)) > 0;
    const Time run_time = draw_run_time(!is_loaded);
    if (!is_loaded) load(function_of(message));
    co_await loop_.sleep(run_time);
    --running_;
    connection->runs.erase(id);
    events_.write(EventType::run_ended, request, options_.number);
    if (run->cancelled || happens(control.unanswered)) co_return;
    if (happens(control.failing)) co_return answer(connection, id, "failed", "-", "");
    answer(connection, id, "data", is_loaded ? "n=reused" : "n=init", "made for " + id);
}

Time SoakInvoker::draw_run_time(bool with_load) {
    double us = static_cast<double>(mean_run_time.count()) * std::exp(0.5 * (random_.next() + random_.next() - 1));
    us *= std::max(1.0, static_cast<double>(running_) / full_speed_runs) *
          control_.invoker(options_.number).run_time_percent / 100;
    if (with_load) us += static_cast<double>(load_time.count());
    return Time(static_cast<Time::rep>(us));
}

void SoakInvoker::load(const std::string& function) {
    if (loaded_.size() >= cache_limit) loaded_.erase(loaded_.begin());
    loaded_.insert(function);
}

void SoakInvoker::answer(const std::shared_ptr<Connection>& connection, const std::string& id,
                         const std::string& result, const std::string& fields, const std::string& body) {
    const std::string text =
        id + " " + result + " " + fields + " " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
    connection->write_queue->send(text);
    if (!happens(control_.invoker(options_.number).duplicating)) return;
    loop_.call_at(loop_.now() + duplicate_delay, [connection, text] { connection->write_queue->send(text); });
}

int run_invoker(const InvokerOptions& options) {
    SoakInvoker invoker(options);
    if (const net::Error error = invoker.open()) {
        std::cerr << options.listen << ": " << error.message() << '\n';
        return 1;
    }
    invoker.run();
    return 0;
}

}  // namespace plumkeel::soak
