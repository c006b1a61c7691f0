// The notice board's events, as frames and as the configuration's JSON: bytes in, entries of the list or a named
// fault out. Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/follower.hpp"
#include "settings/fields.hpp"

namespace plumkeel::discovery {

// Records in one event; a larger one is not read.
constexpr std::size_t most_records = 20'000;

struct Event {
    std::uint64_t number{};
    bool news{};   // else it says only that there is nothing new
    bool whole{};  // `entries` is the whole list, else what has changed
    std::vector<fleet::Entry> entries;
    std::vector<std::string> gone;  // names, of changes
};

// Zones and kinds are told by their places in the settings' lists.
struct Places {
    std::vector<std::string> zones, kinds;
};

enum class Broken { none, length, kind, record };
const char* word_of(Broken broken);

class Frames {
public:
    explicit Frames(Places places) : places_(std::move(places)) {}
    // Takes bytes until an event is whole, and removes them from `bytes`. True: `event` holds it.
    bool next(std::string_view& bytes, Event& event);
    Broken broken() const { return broken_; }

private:
    bool read(Event& event);

    const Places places_;
    std::string frame_;
    Broken broken_{};
};

// The 8 bytes by which a controller says which event it has.
std::string asking(std::uint64_t last);

// The configuration's `known`. Throws settings::Fault.
std::vector<Event> read_known(const settings::json& known);

// Which events are believed: each once, in order, none left out.
enum class Heard { news, nothing, repeat, gap };
class Order {
public:
    explicit Order(std::uint64_t last) : last_(last) {}
    Heard hear(const Event& event);
    std::uint64_t last() const { return last_; }

private:
    std::uint64_t last_;
};

}  // namespace plumkeel::discovery
