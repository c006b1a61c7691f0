// How a soak run leads its invokers and proxies while they run: a page of memory shared through a file, a slot an
// invoker.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace plumkeel::soak {

constexpr std::size_t most_invokers = 64;

enum class Passing : std::uint32_t {
    on,       // bytes pass both ways
    held,     // the network is cut: bytes wait, both ways, and come late
    unread,   // the proxy reads nothing from controllers: their sockets fill
    refused,  // connections are reset as they come up
};

// Rates are in answers of a million.
struct Slot {
    std::atomic<Passing> passing{Passing::on};
    std::atomic<std::uint32_t> delay_ms{};        // of bytes towards the invoker
    std::atomic<std::uint32_t> reset_count{};     // raised by one: the proxy resets all connections of the invoker
    std::atomic<std::uint32_t> idle_end_count{};  // raised by one: those on which nothing is out are closed
    std::atomic<std::uint32_t> failing{}, full{}, twice{}, unanswered{};
    std::atomic<std::uint32_t> slowness{100};  // percent of the ordinary run time
};

struct Control {
    Slot slot[most_invokers];
};

class ControlFile {
public:
    enum class Mode { make, open };
    ControlFile(std::string path, Mode mode);  // throws std::runtime_error
    ~ControlFile();
    ControlFile(const ControlFile&) = delete;
    ControlFile& operator=(const ControlFile&) = delete;
    Slot& slot(std::size_t invoker) { return control_->slot[invoker % most_invokers]; }
    const std::string& path() const { return path_; }

private:
    const std::string path_;
    Control* control_{};
};

}  // namespace plumkeel::soak
