#include "soak/invoker.hpp"

#include <cmath>
#include <iostream>

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using net::Task;
using net::Time;

constexpr Time mean_run_time = 40ms, load_time = 150ms, duplicate_delay = 3ms;
constexpr std::size_t max_concurrent_runs = 24, max_loaded_functions = 12, read_buffer_bytes = 16 * 1024;
constexpr double max_full_speed_runs = 6;  // more concurrent runs slow each other down
constexpr std::uint32_t million = 1'000'000;
constexpr std::string_view function_field_prefix = "asset=";
constexpr std::size_t function_id_length = 16;

std::string function_id_of(const Message& message) {
    const std::string& fields = message.words[2];
    return fields.substr(fields.find(function_field_prefix) + function_field_prefix.size(), function_id_length);
}

}  // namespace

SoakInvoker::SoakInvoker(const InvokerOptions& options)
    : options_(options),
      events_(options.event_path),
      control_(options.control_path, ControlFile::Mode::open),
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
    std::vector<char> chunk(read_buffer_bytes);
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
        connection->write_queue->send(id + " well l=active:" + std::to_string(running_count_) + ";waiting:0 0\r\n\r\n");
    } else if (type == cancel_message) {
        if (const auto run = connection->runs.find(id); run != connection->runs.end()) run->second->cancelled = true;
    } else if (type == run_message) {
        loop_.spawn(run_attempt(message, id, connection));
    }
}

bool SoakInvoker::random_event_occurs(const std::atomic<std::uint32_t>& rate_per_million) {
    return rate_per_million > 0 && random_.next() * million < static_cast<double>(rate_per_million.load());
}

Task<> SoakInvoker::run_attempt(Message message, std::string id, std::shared_ptr<Connection> connection) {
    const InvokerControl& control = control_.invoker(options_.number);
    const std::uint64_t request = request_id(id);
    if (running_count_ >= max_concurrent_runs || random_event_occurs(control.rejections_per_million)) {
        events_.write(EventType::run_rejected, request, options_.number);
        co_return send_answer(connection, id, "full", "peers_in=1", "");
    }
    events_.write(EventType::run_started, request, options_.number);
    const auto run = std::make_shared<Run>();
    connection->runs[id] = run;
    ++running_count_;
    const bool is_loaded = loaded_functions_.count(function_id_of(message)) > 0;
    const Time run_time = draw_run_time(!is_loaded);
    if (!is_loaded) load(function_id_of(message));
    co_await loop_.sleep(run_time);
    --running_count_;
    connection->runs.erase(id);
    events_.write(EventType::run_ended, request, options_.number);
    if (run->cancelled || random_event_occurs(control.drops_per_million)) co_return;
    if (random_event_occurs(control.failures_per_million)) co_return send_answer(connection, id, "failed", "-", "");
    send_answer(connection, id, "data", is_loaded ? "n=reused" : "n=init", "made for " + id);
}

Time SoakInvoker::draw_run_time(bool includes_load_time) {
    double run_time_us =
        static_cast<double>(mean_run_time.count()) * std::exp(0.5 * (random_.next() + random_.next() - 1));
    run_time_us *= std::max(1.0, static_cast<double>(running_count_) / max_full_speed_runs) *
                   control_.invoker(options_.number).run_time_percent / 100;
    if (includes_load_time) run_time_us += static_cast<double>(load_time.count());
    return Time(static_cast<Time::rep>(run_time_us));
}

void SoakInvoker::load(const std::string& function) {
    if (loaded_functions_.size() >= max_loaded_functions) loaded_functions_.erase(loaded_functions_.begin());
    loaded_functions_.insert(function);
}

void SoakInvoker::send_answer(const std::shared_ptr<Connection>& connection, const std::string& id,
                              const std::string& result, const std::string& fields, const std::string& body) {
    const std::string answer_text =
        id + " " + result + " " + fields + " " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
    connection->write_queue->send(answer_text);
    if (!random_event_occurs(control_.invoker(options_.number).duplicates_per_million)) return;
    loop_.call_at(loop_.now() + duplicate_delay,
                  [connection, answer_text] { connection->write_queue->send(answer_text); });
}

int run_invoker(const InvokerOptions& options) {
    SoakInvoker invoker(options);
    if (const net::Error error = invoker.open()) {
        std::cerr << options.listen << ": invoker cannot listen: " << error.message() << '\n';
        return 1;
    }
    invoker.run();
    return 0;
}

}  // namespace plumkeel::soak
