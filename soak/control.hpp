/// A memory-mapped file by which the soak run switches faults in the processes of its invokers and proxies. It has one
/// InvokerControl per invoker.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace plumkeel::soak {

constexpr std::size_t max_invokers = 64;

/// State of the network between the controllers and one invoker, applied by the invoker's proxy.
enum class NetworkState : std::uint32_t {
    up,
    partitioned,      ///< the proxy holds back the bytes of both directions until the state changes
    reading_stopped,  ///< the proxy reads nothing from controllers, so their send buffers fill
    refusing,         ///< the proxy resets new connections
};

/// Faults of one invoker and of its proxy. Fields that end in `per_million` are probabilities
/// for each attempt or answer.
struct InvokerControl {
    std::atomic<NetworkState> network{NetworkState::up};
    std::atomic<std::uint32_t> to_invoker_delay_ms{};  // added by the proxy to bytes sent to the invoker
    std::atomic<std::uint32_t> reset_count{};  // incremented to make the proxy reset all connections of the invoker
    std::atomic<std::uint32_t> idle_close_count{};  // incremented to make the proxy close all idle connections
    std::atomic<std::uint32_t> failures_per_million{}, rejections_per_million{}, duplicates_per_million{},
        drops_per_million{};
    std::atomic<std::uint32_t> run_time_percent{100};
};

struct ControlPage {
    InvokerControl invokers[max_invokers];
};

class ControlFile {
public:
    enum class Mode { create, open };
    ControlFile(std::string path, Mode mode);  // throws std::runtime_error
    ~ControlFile();
    ControlFile(const ControlFile&) = delete;
    ControlFile& operator=(const ControlFile&) = delete;
    InvokerControl& invoker(std::size_t number) { return page_->invokers[number % max_invokers]; }
    const std::string& path() const { return path_; }

private:
    const std::string path_;
    ControlPage* page_{};
};

}  // namespace plumkeel::soak
