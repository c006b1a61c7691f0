#include "consul/blocking_query.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <map>
#include <set>

namespace plumkeel::consul {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;

constexpr Time first_pause = 100ms, longest_pause = 5s, spin_pause = 10ms;

const json::value* part(const json::value* value, std::string_view key) {
    if (!value || !value->is_object()) return nullptr;
    return value->as_object().if_contains({key.data(), key.size()});
}

std::string text(const json::value* value) {
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

template <class Number>
std::optional<Number> figure(const std::string& digits) {
    Number number{};
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc{} || end != digits.data() + digits.size()) return {};
    return number;
}

// Maintenance, of the node or of the service, drains it, and so does any check that is critical.
bool well(const json::value* checks) {
    if (!checks || !checks->is_array()) return true;
    for (const auto& check : checks->as_array())
        if (text(part(&check, "Status")) == "critical") return false;
    return true;
}

std::optional<Endpoint> entry_of(const json::value& value) {
    const json::value* service = part(&value, "Service");
    const json::value* node = part(&value, "Node");
    Endpoint entry;
    entry.name = text(part(service, "ID"));
    std::string host = text(part(service, "Address"));
    if (host.empty()) host = text(part(node, "Address"));
    const json::value* port = part(service, "Port");
    if (entry.name.empty() || host.empty() || !port || !port->is_int64()) return {};
    const auto number = port->as_int64();
    if (number < 1 || number > 65535) return {};
    entry.address = (host.find(':') == std::string::npos ? host : "[" + host + "]") + ":" + std::to_string(number);
    // What the service itself says goes before what its node says.
    auto meta = [&](const char* key) {
        const std::string own = text(part(part(service, "Meta"), key));
        return own.empty() ? text(part(part(node, "Meta"), key)) : own;
    };
    entry.ready = well(part(&value, "Checks"));
    entry.zone = meta("zone");
    entry.type = meta("kind");
    if (const auto units = figure<double>(meta("units")); units && *units > 0 && *units < 1e9) entry.capacity = *units;
    if (const auto cell = figure<int>(meta("cell"))) entry.cell = *cell;
    if (const auto start = figure<std::int64_t>(meta("start")); start && *start > 0 && *start < 1LL << 50)
        entry.started_at = std::chrono::milliseconds(*start);
    return entry;
}

}  // namespace

std::optional<std::vector<Endpoint>> read_health(std::string_view body, std::size_t& left_out) {
    boost::system::error_code error;
    const json::value value = json::parse({body.data(), body.size()}, error);
    if (error || !value.is_array()) return {};
    std::vector<Endpoint> entries;
    std::set<std::string> names;
    for (const auto& each : value.as_array()) {
        auto entry = entry_of(each);
        if (entry && names.insert(entry->name).second)
            entries.push_back(std::move(*entry));
        else
            ++left_out;
    }
    std::sort(entries.begin(), entries.end(), [](const Endpoint& a, const Endpoint& b) { return a.name < b.name; });
    return entries;
}

BlockingQuery::BlockingQuery(Time wait, std::uint64_t seed) : wait_(wait), random_(seed) {}

BlockingQuery::Poll BlockingQuery::again(bool at_once) {
    // A source that answers at once although nothing changed must not be asked in a tight loop.
    return {at_once ? 0 : index_, wait_, spin_pause};
}

BlockingQuery::Step BlockingQuery::lost(Time) {
    ++failures_;
    Step step;
    step.result = PollResult::failed;
    const Time pause = std::min(longest_pause, first_pause * (1 << std::min(failures_ - 1, 6)));
    // Spread, so that all controllers do not come back to a source in one moment.
    step.next = {index_, wait_,
                 Time(static_cast<Time::rep>(static_cast<double>(pause.count()) * (0.5 + random_.next())))};
    return step;
}

BlockingQuery::Step BlockingQuery::answered(Time now, const Answer& answer) {
    if (answer.status != 200) {
        Step step = lost(now);
        step.result = PollResult::malformed;
        return step;
    }
    auto entries = read_health(answer.body, skipped_);
    if (!entries) {
        Step step = lost(now);
        step.result = PollResult::malformed;
        step.next.index = 0;
        return step;
    }
    failures_ = 0;
    Step step;
    const std::uint64_t index = answer.index.value_or(0);
    const bool back = index < index_, emptied = entries->empty() && !list_.empty();
    if ((back || emptied) && !unconfirmed_) {
        unconfirmed_ = true;
        step.result = PollResult::unconfirmed;
        step.next = again(true);
        return step;
    }
    unconfirmed_ = false;
    index_ = index;  // 0 is never waited on: the next answer comes at once, after a pause
    confirmed_at_ = now;
    step.next = again(false);
    if (index_ == 0) step.next.pause = 1s;
    if (*entries == list_) {
        step.result = PollResult::unchanged;
        return step;
    }
    step.result = PollResult::updated;
    std::map<std::string, const Endpoint*> before, after;
    for (const Endpoint& entry : list_) before[entry.name] = &entry;
    for (const Endpoint& entry : *entries) after[entry.name] = &entry;
    step.complete = std::any_of(list_.begin(), list_.end(), [&](const Endpoint& e) { return !after.count(e.name); });
    for (const Endpoint& entry : *entries) {
        const auto old = before.find(entry.name);
        if (step.complete || old == before.end() || !(*old->second == entry)) step.changed.push_back(entry);
    }
    list_ = std::move(*entries);
    return step;
}

}  // namespace plumkeel::consul
