/// How a soak run switches faults of its invokers and proxies while they run: a page of memory that the processes share
/// through a file, with a part for each invoker.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace plumkeel::soak {

constexpr std::size_t max_invokers = 64;

/// Of the network between the controllers and an invoker.
enum class NetworkState : std::uint32_t {
    up,
    partitioned,  ///< bytes of both directions are held back and arrive late
    unread,       ///< the proxy reads nothing from controllers: their sockets fill
    refusing,     ///< new connections are reset
};

/// Rates are in millionths of the invoker's responses.
struct InvokerControl {
    std::atomic<NetworkState> network{NetworkState::up};
    std::atomic<std::uint32_t> delay_ms{};          // of bytes towards the invoker
    std::atomic<std::uint32_t> reset_count{};       // incremented: the proxy resets all connections of the invoker
    std::atomic<std::uint32_t> idle_close_count{};  // incremented: it closes those on which no attempt is in flight
    std::atomic<std::uint32_t> failing{}, rejecting{}, duplicating{}, unanswered{};
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
