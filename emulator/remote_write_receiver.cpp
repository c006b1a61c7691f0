#include "emulator/remote_write_receiver.hpp"

#include <fmt/format.h>
#include <snappy.h>

#include <algorithm>
#include <bit>
#include <cmath>

#include "write.pb.h"

namespace plumkeel::emulator {
namespace {

constexpr std::size_t max_violations = 100;
constexpr std::string_view response_to_truncate = "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n";
constexpr std::size_t truncated_response_bytes = 10;

bool same_bits(double a, double b) {
    return std::bit_cast<std::uint64_t>(a) == std::bit_cast<std::uint64_t>(b);
}

}  // namespace

RemoteWriteReceiver::RemoteWriteReceiver(net::EventLoop& loop, std::shared_ptr<net::Listener> listener) : loop_(loop) {
    handler_ = {[this](const auto& connection, auto request) { handle_request(connection, request); },
                [this](const auto&) { --pending_requests_; }};
    accept_connections(loop_, std::move(listener), handler_);
}

void RemoteWriteReceiver::set_mode(Mode mode, unsigned status, std::string retry_after) {
    mode_ = mode;
    status_ = status;
    retry_after_ = std::move(retry_after);
}

void RemoteWriteReceiver::add_violation(std::string description) {
    if (violations_.size() < max_violations) violations_.push_back(std::move(description));
}

void RemoteWriteReceiver::handle_request(const std::shared_ptr<HttpConnection>& connection,
                                         const HttpConnection::Request& request) {
    ++requests_;
    most_concurrent_ = std::max(most_concurrent_, ++pending_requests_);
    if (mode_ == Mode::stall) return;
    if (mode_ == Mode::respond_status) return reply(connection, status_);
    if (mode_ == Mode::reset) {
        --pending_requests_;
        return connection->reply_truncated(std::string(response_to_truncate), truncated_response_bytes);
    }
    if (failing_share_ > 0 && random_.next() < failing_share_) return reply(connection, failing_status_);
    if (!accept(request)) return reply(connection, 400);
    if (mode_ == Mode::accept_without_response) return;
    if (response_delay_ == Time{}) return reply(connection, 204);
    loop_.call_at(loop_.now() + response_delay_, [this, connection] {
        if (connection->is_request_pending()) reply(connection, 204);
    });
}

void RemoteWriteReceiver::reply(const std::shared_ptr<HttpConnection>& connection, unsigned status) {
    --pending_requests_;
    http::HeadWriter head(http::status_line(status));
    if (!retry_after_.empty()) head.add("Retry-After", retry_after_);
    connection->reply(head.add("Content-Length", "0").finish(), "");
}

// Returns false if the body can't be decoded. Violations of other rules are recorded, but the samples are accepted.
bool RemoteWriteReceiver::accept(const HttpConnection::Request& request) {
    check_headers(request);
    std::string uncompressed;
    if (!snappy::Uncompress(request.body().data(), request.body().size(), &uncompressed)) {
        add_violation("the body is not a valid snappy block");
        return false;
    }
    remote_write::wire::WriteRequest message;
    if (!message.ParseFromString(uncompressed)) {
        add_violation("the body is not a valid WriteRequest message");
        return false;
    }
    for (const auto& time_series : message.timeseries()) {
        remote_write::Labels labels;
        for (const auto& label : time_series.labels()) labels.emplace_back(label.name(), label.value());
        check_labels(labels);
        Samples& samples = series_[labels];
        for (const auto& sample : time_series.samples())
            accept_sample(samples, labels, sample.timestamp(), sample.value());
    }
    return true;
}

void RemoteWriteReceiver::check_headers(const HttpConnection::Request& request) {
    const std::pair<const char*, const char*> expected[] = {{"Content-Encoding", "snappy"},
                                                            {"Content-Type", "application/x-protobuf"},
                                                            {"X-Prometheus-Remote-Write-Version", "0.1.0"}};
    for (const auto& [name, value] : expected)
        if (http::field(request, name) != value) add_violation(fmt::format("header field {} is not {}", name, value));
    if (http::field(request, "User-Agent").empty()) add_violation("header field User-Agent is missing");
}

void RemoteWriteReceiver::check_labels(const remote_write::Labels& labels) {
    if (!std::is_sorted(labels.begin(), labels.end())) add_violation("labels are not sorted by name");
    const auto same_name = [](const auto& a, const auto& b) { return a.first == b.first; };
    if (std::adjacent_find(labels.begin(), labels.end(), same_name) != labels.end())
        add_violation("a series has two labels of the same name");
    const auto is_metric_name = [](const auto& label) { return label.first == "__name__" && !label.second.empty(); };
    if (std::none_of(labels.begin(), labels.end(), is_metric_name)) add_violation("a series has no label __name__");
    const auto has_no_value = [](const auto& label) { return label.second.empty(); };
    if (std::any_of(labels.begin(), labels.end(), has_no_value)) add_violation("a label has an empty value");
}

void RemoteWriteReceiver::accept_sample(Samples& samples, const remote_write::Labels& labels, std::int64_t timestamp,
                                        double value) {
    if (samples.empty() || timestamp > samples.back().first) {
        samples.emplace_back(timestamp, value);
        ++samples_;
        ++samples_by_second_[loop_.now() / 1s];
        return;
    }
    // A sender that got no response sends the same samples again.
    const auto accepted_sample = std::lower_bound(samples.begin(), samples.end(), std::pair(timestamp, -HUGE_VAL));
    if (accepted_sample != samples.end() && accepted_sample->first == timestamp &&
        same_bits(accepted_sample->second, value))
        ++repeated_;
    else
        add_violation(
            fmt::format("a sample of {} is neither newer than the last one nor a repetition", labels.front().second));
}

}  // namespace plumkeel::emulator
