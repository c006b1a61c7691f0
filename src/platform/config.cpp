#include "platform/config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>

#include "settings/settings.hpp"

namespace plumkeel::platform {
namespace {

using namespace std::chrono_literals;
using settings::Fault;
using settings::json;
using settings::need;
using settings::part;

std::uint64_t seed_of(const json& config) {
    const auto it = config.find("seed");
    if (it == config.end()) throw Fault("field 'seed' is missing");
    if (it->is_number_unsigned()) return it->get<std::uint64_t>();
    std::uint64_t seed = 0;
    const std::string text = it->is_string() ? it->get<std::string>() : "";
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) throw Fault("field 'seed' is no hexadecimal number");
    return seed;
}

net::Address address_of(const json& config, const char* key) {
    const auto text = need<std::string>(config, key);
    const auto address = net::Address::parse(text);
    if (!address) throw Fault(std::string("field '") + key + "': '" + text + "' is no address such as 10.0.0.4:7001");
    return *address;
}

// Who may hold how many descriptors. Clients hold a third at the most; half of the rest of what is left goes to
// invokers, so that neither bad clients nor a large fleet cost the board or the log theirs.
void share_descriptors(std::size_t descriptors, std::size_t invokers, Charter& charter) {
    const std::size_t own = 24;  // the listener, the board's old and new connection, the loop's, the log
    if (descriptors < 64) throw Fault("field 'sockets' is under 64: no room for clients and invokers");
    charter.admission.connections = descriptors / 2;
    charter.pool.most_all = descriptors - charter.admission.connections - own;
    charter.pool.most = std::clamp<std::size_t>(charter.pool.most_all / std::max<std::size_t>(1, invokers + invokers / 2), 1, 8);
}

// What the process holds beside bodies is 14 to 19 MB resident by its own state lines.
void share_memory(std::size_t memory_mb, Charter& charter) {
    const std::size_t bytes = memory_mb * 1024 * 1024;
    if (memory_mb < 24) throw Fault("field 'memory_mb' is under 24: the program alone takes more than half of it");
    charter.admission.memory_bytes = bytes / 6;
    charter.log.queued = 256;
}

Config decode(const json& config) {
    Config out;
    Charter& charter = out.charter;
    charter.name = need<std::string>(config, "name");
    charter.listen = address_of(config, "listen").text();
    out.seed = seed_of(config);
    out.discovery = address_of(config, "board");
    const json& limits = part(config, "limits");
    out.descriptors = need<std::size_t>(limits, "sockets");
    out.memory_mb = need<std::size_t>(limits, "memory_mb");

    const json& known = part(config, "known");
    out.known = discovery::read_known(known);
    for (const discovery::Event& event : out.known)
        for (const fleet::Entry& entry : event.entries)
            if (!net::Address::parse(entry.address)) throw Fault("field 'endpoint' of 'known': '" + entry.address + "' is no address");
    out.known_to = settings::get<std::uint64_t>(known, "rev");
    if (!out.known.empty()) out.known_to = std::max(out.known_to, out.known.back().number);

    if (!settings::has(config, "settings")) throw Fault("field 'settings' is missing");
    const settings::Settings told = settings::read(part(config, "settings"));
    charter.rulebook = told.rulebook;
    charter.allowances = told.allowances;
    charter.says_company = told.says_company;
    charter.tenants = told.tenants;
    for (const auto& [name, use] : told.use_cases) {
        StatedUseCase& stated = charter.use_cases[name];
        static_cast<UseCase&>(stated) = use;
        stated.name = name;
    }
    if (charter.use_cases.empty()) throw Fault("field 'classes' is missing: at least one is needed");
    // It bounds what a client may ask for: with none, every job would be turned back.
    if (told.longest_wait <= Time{}) throw Fault("field 'deadline' of 'classes' is missing");
    out.places = {told.zones, told.kinds};
    out.sight = {told.report_fields, told.says_company};

    charter.pool.connect_within = told.connect_within;
    charter.pool.probe_within = told.connect_within;
    charter.pool.order_within = told.order_within;
    // Ours close before the invoker's do, so that no hop crosses a close.
    charter.pool.idle_for = told.idle_for / 2;
    charter.pool.hops_a_connection = told.hops_a_connection;
    charter.admission.body_bytes = 16 * 1024;
    charter.admission.longest_left = told.longest_wait;
    charter.admission.head_within = 1500ms;  // bad clients are owed a word or a close within 3 s
    charter.admission.idle_for = 6s;         // clients close theirs after 4
    charter.admission.unread_for = 2s;
    charter.metrics.on = false;
    std::size_t invokers = 0;
    for (const discovery::Event& event : out.known) invokers = std::max(invokers, event.entries.size());
    share_descriptors(out.descriptors, invokers, charter);
    share_memory(out.memory_mb, charter);
    return out;
}

}  // namespace

Config read_config(const std::string& file) {
    std::ifstream in(file);
    if (!in) throw Fault(file + ": can't be read");
    const json config = json::parse(in, nullptr, false);
    if (config.is_discarded() || !config.is_object()) throw Fault(file + ": is no JSON object");
    try {
        return decode(config);
    } catch (const Fault& fault) {
        throw Fault(file + ": " + fault.what());
    }
}

}  // namespace plumkeel::platform
