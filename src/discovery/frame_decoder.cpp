#include "discovery/frame_decoder.hpp"

#include <fmt/format.h>

namespace plumkeel::discovery {
namespace {

constexpr std::size_t length_bytes = 4, fixed_bytes = 9, record_bytes = 27;
enum Kind : unsigned char { nothing = 0, whole_list = 1, changes = 2 };
enum State : unsigned char { up = 0, draining = 1, gone = 2 };

std::uint64_t big(std::string_view bytes, std::size_t at, std::size_t count) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < count; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
    return value;
}

std::string place_of(const std::vector<std::string>& names, std::size_t at) {
    return at < names.size() ? names[at] : std::string();
}

void put(WatchEvent& event, gateway::Endpoint entry, bool is_gone) {
    if (is_gone)
        event.removed.push_back(std::move(entry.name));
    else
        event.endpoints.push_back(std::move(entry));
}

}  // namespace

const char* name_of(FrameError broken) {
    static constexpr const char* words[] = {"none", "length", "kind", "record"};
    return words[static_cast<int>(broken)];
}

bool FrameDecoder::next(std::string_view& bytes, WatchEvent& event) {
    while (!bytes.empty() && error_ == FrameError::none) {
        const std::size_t wanted = length_bytes + (frame_.size() < length_bytes ? 0 : big(frame_, 0, length_bytes));
        const std::string_view part = bytes.substr(0, wanted - frame_.size());
        frame_ += part;
        bytes.remove_prefix(part.size());
        if (frame_.size() < wanted) return false;
        if (wanted == length_bytes) {
            const std::size_t length = big(frame_, 0, length_bytes);
            if (length < fixed_bytes || length > fixed_bytes + max_records * record_bytes) error_ = FrameError::length;
            continue;
        }
        const bool read_it = read(event);
        frame_.clear();
        return read_it;
    }
    return false;
}

bool FrameDecoder::read(WatchEvent& event) {
    const std::string_view it = std::string_view(frame_).substr(length_bytes);
    const auto kind = static_cast<unsigned char>(it[8]);
    event = {};
    event.number = big(it, 0, 8);
    event.has_changes = kind != nothing;
    event.is_complete = kind == whole_list;
    std::string_view records = it.substr(fixed_bytes);
    if (kind > changes) error_ = FrameError::kind;
    if (records.size() % record_bytes || (kind == nothing && !records.empty())) error_ = FrameError::record;
    for (; !records.empty() && error_ == FrameError::none; records.remove_prefix(record_bytes)) {
        const auto state = static_cast<unsigned char>(records[10]);
        if (state > gone) error_ = FrameError::record;
        gateway::Endpoint entry;
        entry.name = fmt::format("s-{:08x}", big(records, 0, 4));
        entry.address = fmt::format("{}.{}.{}.{}:{}", big(records, 4, 1), big(records, 5, 1), big(records, 6, 1),
                                    big(records, 7, 1), big(records, 8, 2));
        entry.ready = state == up;
        entry.zone = place_of(labels_.zones, big(records, 11, 1));
        entry.type = place_of(labels_.types, big(records, 12, 1));
        entry.cell = static_cast<int>(big(records, 13, 2));
        entry.capacity = static_cast<double>(big(records, 15, 4)) / 1000;
        if (const std::uint64_t started = big(records, 19, 8); started > 0 && started < 1ULL << 50)
            entry.started_at = std::chrono::milliseconds(started);
        put(event, std::move(entry), state == gone);
    }
    return error_ == FrameError::none;
}

std::string encode_subscription(std::uint64_t last) {
    std::string out;
    for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>(last >> shift & 255);
    return out;
}

std::vector<WatchEvent> parse_initial_events(const platform_settings::json& known) {
    using platform_settings::get;
    using platform_settings::json;
    using platform_settings::need;
    std::vector<WatchEvent> out;
    for (const json& notice : get<json>(known, "notices", json::array())) {
        WatchEvent& event = out.emplace_back();
        const json& pool = platform_settings::part(notice, "pool");
        event.number = need<std::uint64_t>(notice, "rev");
        event.has_changes = true;
        event.is_complete = out.size() == 1 || get<bool>(pool, "all");
        const json targets = get<json>(pool, "targets", json::array());
        if (targets.size() > max_records)
            throw platform_settings::SettingsError(
                fmt::format("field 'targets' of 'known' names {} invokers; {} at most", targets.size(), max_records));
        for (const json& target : targets) {
            gateway::Endpoint entry;
            entry.name = need<std::string>(target, "uid");
            entry.address = need<std::string>(target, "endpoint");
            const auto state = need<std::string>(target, "state");
            entry.ready = state == "up";
            entry.zone = get<std::string>(target, "az");
            entry.type = get<std::string>(target, "model");
            entry.cell = get<int>(target, "pod_group");
            entry.capacity = get<double>(target, "capacity_hint", 1.0);
            if (const auto started = get<double>(target, "boot_ms"); started > 0)
                entry.started_at = platform_settings::from_ms(started);
            put(event, std::move(entry), state == "removed");
        }
    }
    return out;
}

SequenceCheck EventSequence::check(const WatchEvent& event) {
    if (!event.has_changes) return event.number > last_ ? SequenceCheck::gap : SequenceCheck::heartbeat;
    if (event.number <= last_) return SequenceCheck::duplicate;
    // A whole list makes good whatever was missed before it.
    if (event.number > last_ + 1 && !event.is_complete) return SequenceCheck::gap;
    last_ = event.number;
    return SequenceCheck::accepted;
}

}  // namespace plumkeel::discovery
