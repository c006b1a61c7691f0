/// A receiver of Prometheus remote write 1.0 for tests and scenarios. Checks the headers, compression, labels and order
/// of samples of each message strictly.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "emulator/http_server.hpp"
#include "emulator/random_source.hpp"
#include "remote_write/sample.hpp"

namespace plumkeel::emulator {

class RemoteWriteReceiver {
public:
    RemoteWriteReceiver(net::EventLoop& loop, std::shared_ptr<net::Listener> listener);

    enum class Mode {
        accept,
        stall,                    ///< never answers
        respond_status,           ///< answers with a status and accepts no samples
        reset,                    ///< resets the connection in the middle of the response
        accept_without_response,  ///< accepts the samples and never answers
    };
    void set_mode(Mode mode, unsigned status = 503, std::string retry_after = "");
    /// Answers a share of the requests with `status` and accepts none of their samples.
    void fail_share(double share, unsigned status) { failing_share_ = share, failing_status_ = status; }
    void delay_responses(Time delay) { response_delay_ = delay; }
    /// Deletes all series, like a restart of a receiver without storage.
    void clear() { series_.clear(); }

    using Samples = std::vector<std::pair<std::int64_t, double>>;  // timestamp in Unix milliseconds, value
    const std::map<remote_write::Labels, Samples>& series() const { return series_; }
    /// Descriptions of the first protocol violations in received messages.
    const std::vector<std::string>& violations() const { return violations_; }
    /// Number of accepted samples, without repeated ones.
    std::uint64_t samples() const { return samples_; }
    /// Number of samples that were received again with the same timestamp and value.
    std::uint64_t repeated() const { return repeated_; }
    std::uint64_t requests() const { return requests_; }
    /// Highest number of requests that waited for an answer at the same time.
    std::size_t most_concurrent() const { return most_concurrent_; }
    /// Number of accepted samples by second of the event loop's clock.
    const std::map<std::int64_t, std::uint64_t>& samples_by_second() const { return samples_by_second_; }

private:
    void handle_request(const std::shared_ptr<HttpConnection>& connection, const HttpConnection::Request& request);
    bool accept(const HttpConnection::Request& request);
    void check_headers(const HttpConnection::Request& request);
    void check_labels(const remote_write::Labels& labels);
    void accept_sample(Samples& samples, const remote_write::Labels& labels, std::int64_t timestamp, double value);
    void reply(const std::shared_ptr<HttpConnection>& connection, unsigned status);
    void add_violation(std::string description);

    net::EventLoop& loop_;
    HttpConnection::Handler handler_;
    Mode mode_{};
    unsigned status_ = 503, failing_status_ = 503;
    std::string retry_after_;
    double failing_share_{};
    Time response_delay_{};
    RandomSource random_{5};
    std::map<remote_write::Labels, Samples> series_;
    std::vector<std::string> violations_;
    std::uint64_t samples_{}, repeated_{}, requests_{};
    std::size_t pending_requests_{}, most_concurrent_{};
    std::map<std::int64_t, std::uint64_t> samples_by_second_;
};

}  // namespace plumkeel::emulator
