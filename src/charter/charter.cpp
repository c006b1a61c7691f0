#include "charter/charter.hpp"

#include <sys/stat.h>

#include <fstream>

#include "net/world.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

void read_rulebook(Reader& in, Rulebook& book) {
    book.cold_for = 10s;
    book.cold_share = 0.2;
    book.push_multiple = 2;
    book.push_span = 2s;
    in.read("cold_for", book.cold_for);
    in.read("cold_share", book.cold_share);
    in.read("push_multiple", book.push_multiple);
    in.read("push_span", book.push_span);
    in.read("load_span", book.load_span);
    in.read("free_loads", book.free_loads);
    in.read("loads_per_job", book.loads_per_job);
    if (book.cold_share <= 0 || book.cold_share > 1) in.complain("cold_share", "is not above 0 and at most 1");
    if (book.push_span <= Time{}) in.complain("push_span", "is not above 0");
    if (book.cold_for <= Time{}) in.complain("cold_for", "is not above 0");
}

void read_allowances(Reader& in, Allowances& may) {
    may = {.call_off = true,
           .probe = true,
           .second_copies = true,
           .retry_after = true,
           .order_copies = false,
           .ask_for_list = false,
           .loads_on_demand = true,
           .steady_units = true,
           .hops = 5,
           .controllers = 1,
           .longest_retry_after = 2s,
           .keep_alive = 10s,
           .tick = 5ms,
           .memory_price = 0,
           .probe_price = 0};
    in.read("call_off", may.call_off);
    in.read("probe", may.probe);
    in.read("second_copies", may.second_copies);
    in.read("retry_after", may.retry_after);
    in.read("order_copies", may.order_copies);
    in.read("loads_on_demand", may.loads_on_demand);
    in.read("steady_units", may.steady_units);
    in.read("hops", may.hops, 1);
    in.read("controllers", may.controllers, 1);
    in.read("longest_retry_after", may.longest_retry_after);
    in.read("keep_alive", may.keep_alive);
    in.read("tick", may.tick);
    in.read("memory_price", may.memory_price);
    in.read("probe_price", may.probe_price);
    if (may.tick < 1ms || may.tick > 100ms) in.complain("tick", "is not from 1ms to 100ms");
    if (!may.order_copies && !may.loads_on_demand)
        in.complain("loads_on_demand", "and order_copies are both false: nothing could ever be loaded");
}

void read_use_case(const std::string& name, Reader& in, StatedUseCase& use) {
    use.name = name;
    in.need("promised", use.promised);
    in.read_word<Repeat>("repeat",
                         {{"replayable", Repeat::replayable},
                          {"referenced", Repeat::referenced},
                          {"single_use", Repeat::single_use}},
                         use.repeat);
    in.read_word<Reach>(
        "reach", {{"everywhere", Reach::everywhere}, {"zone", Reach::zone}, {"cell", Reach::cell}}, use.reach);
    in.read("remembered", use.remembered);
    if (use.promised <= Time{}) in.complain("promised", "is not above 0");
    if (use.repeat == Repeat::referenced && use.remembered <= Time{})
        in.complain("remembered", "is missing: how long invokers know a mark");
    if (!in.has("repeat")) in.complain("repeat", "is missing: replayable, referenced or single_use");
}

void read_admission(Reader& in, AdmissionRules& admission) {
    in.read("connections", admission.connections, 1);
    in.read("open_jobs", admission.open_jobs, 1);
    in.read("head_bytes", admission.head_bytes, 512);
    in.read("body_bytes", admission.body_bytes);
    in.read("memory_bytes", admission.memory_bytes, 1);
    in.read("name_bytes", admission.name_bytes, 1);
    in.read("head_within", admission.head_within);
    in.read("idle_for", admission.idle_for);
    in.read("least_rate", admission.least_rate);
    in.read("unread_for", admission.unread_for);
    in.read("longest_left", admission.longest_left);
    in.read("shortest_left", admission.shortest_left);
    if (in.has("assumed_left")) {
        admission.assumed_left = Time{};
        in.read("assumed_left", *admission.assumed_left);
        if (*admission.assumed_left < admission.shortest_left || *admission.assumed_left > admission.longest_left)
            in.complain("assumed_left", "is not from shortest_left to longest_left");
    }
    // A head has to fit into the buffer that it is read through.
    if (admission.head_bytes > 64 * 1024) in.complain("head_bytes", "is over 65536");
}

void check_address(Reader& in, std::string_view key, const std::string& text) {
    if (!net::Address::parse(text)) in.complain(key, "'" + text + "' is no address such as 127.0.0.1:7400");
}

void read_list(Reader& in, ListSource& list) {
    in.read("consul", list.consul);
    in.read("service", list.service);
    in.read("wait", list.wait);
    in.read("answer_slack", list.answer_slack);
    in.each("fixed", [&](Reader& entry) {
        StatedInvoker& invoker = list.fixed.emplace_back();
        entry.need("address", invoker.address);
        check_address(entry, "address", invoker.address);
        invoker.name = invoker.address;
        entry.read("name", invoker.name);
        entry.read("zone", invoker.zone);
        entry.read("kind", invoker.kind);
        entry.read("units", invoker.units);
        entry.read("cell", invoker.cell);
    });
    if (!list.consul.empty()) check_address(in, "consul", list.consul);
    if (list.consul.empty() == list.fixed.empty()) in.complain("consul", "or fixed, just one of them, tells the invokers");
    if (list.wait < 100ms || list.wait > 10min) in.complain("wait", "is not from 100ms to 10min");
}

void read_lines(Reader& in, PoolRules& lines) {
    in.read("most", lines.most, 1);
    in.read("queued", lines.queued);
    in.read("connect_within", lines.connect_within);
    in.read("idle_for", lines.idle_for);
    in.read("probe_within", lines.probe_within);
    in.read("order_within", lines.order_within);
    in.read("answer_held", lines.answer_held);
    in.read("stream_ahead", lines.stream_ahead, 1);
}

void read_log(Reader& in, LogRules& log) {
    in.read("file", log.file);
    in.read("level", log.level);
    in.read("lines_per_s", log.lines_per_s);
    in.read("burst", log.burst);
    in.read("queued", log.queued, 16);
    if (log.level != "debug" && log.level != "info" && log.level != "warn" && log.level != "error")
        in.complain("level", "is none of: debug, info, warn, error");
}

void read_trace(Reader& in, trace::RecorderRules& trace) {
    in.read("folder", trace.folder);
    in.read("memory_bytes", trace.memory_bytes, 1024 * 1024);
    in.read("block_bytes", trace.block_bytes, 4096);
    in.read("file_bytes", trace.file_bytes, 1024 * 1024);
    in.read("file_for", trace.file_for);
    in.read("keep_files", trace.keep_files, 1);
    in.read("keep_for", trace.keep_for);
    in.read("sample", trace.sample);
    in.read("reasons", trace.reasons);
    if (!(trace.sample >= 0 && trace.sample <= 1)) in.complain("sample", "is not from 0 to 1");
    if (trace.block_bytes > trace::largest_block / 2) in.complain("block_bytes", "is over 8388608");
}

// A token that others on the machine could read is not taken.
std::string read_token(Reader& in, const std::string& file) {
    struct stat facts {};
    std::ifstream text(file);
    std::string token;
    if (::stat(file.c_str(), &facts) != 0 || !std::getline(text, token) || token.empty())
        in.complain("bearer_file", "can't be read, or its first line is empty");
    else if (facts.st_mode & (S_IRWXG | S_IRWXO))
        in.complain("bearer_file", "may be read by others: chmod 600");
    return token;
}

void read_receiver(const std::string& name, Reader& in, remote::ReceiverRules& receiver) {
    std::string bearer_file;
    receiver.name = name;
    in.need("address", receiver.address);
    check_address(in, "address", receiver.address);
    in.read("path", receiver.path);
    in.read("within", receiver.within);
    in.read("bearer_file", bearer_file);
    in.read("most_samples", receiver.pace.most_samples, 1);
    in.read("catch_up", receiver.pace.catch_up);
    if (!bearer_file.empty()) receiver.bearer = read_token(in, bearer_file);
    if (!(receiver.pace.catch_up > 1)) in.complain("catch_up", "is not over 1: a backlog would never end");
    receiver.pace.least_samples = std::min(receiver.pace.least_samples, receiver.pace.most_samples);
}

void read_remote(Reader& in, remote::Shipping& remote) {
    std::size_t parts = 4;
    Time age = remote.spool.age;
    in.read("folder", remote.spool.folder);
    in.read("bytes", remote.spool.bytes, 1024 * 1024);
    in.read("age", age);
    in.read("parts", parts, 1);
    in.read("every", remote.every);
    in.read("farewell", remote.farewell);
    in.members("receivers", [&](const std::string& name, Reader& part) {
        read_receiver(name, part, remote.receivers.emplace_back());
    });
    if (parts > 64) in.complain("parts", "is over 64");
    if (remote.every < std::chrono::milliseconds(100)) in.complain("every", "is under 100ms");
    if (!remote.receivers.empty() && remote.spool.folder.empty()) in.complain("folder", "is missing: samples wait there for their receivers");
    remote.spool.parts = static_cast<int>(parts);
    remote.spool.age = std::chrono::duration_cast<std::chrono::milliseconds>(age);
    for (remote::ReceiverRules& each : remote.receivers) each.pace.lanes = remote.spool.parts;
}

void read_metrics(Reader& in, Measurements& metrics) {
    in.read("on", metrics.on);
    in.read("tenants", metrics.rules.tenants, 1);
    in.read("functions", metrics.rules.functions, 1);
    in.read("every", metrics.rules.every);
    if (metrics.rules.every < std::chrono::milliseconds(100)) in.complain("every", "is under 100ms");
}

}  // namespace

Charter read_charter(const std::string& file, const std::map<std::string, std::string>& given) {
    const boost::json::value value = evaluate(file, given);
    Charter charter;
    Reader in(value, file);
    in.read("name", charter.name);
    in.read("listen", charter.listen);
    check_address(in, "listen", charter.listen);
    in.read("says_company", charter.says_company);
    in.within("rulebook", [&](Reader& part) { read_rulebook(part, charter.rulebook); });
    in.within("allowances", [&](Reader& part) { read_allowances(part, charter.allowances); });
    in.within("door", [&](Reader& part) { read_admission(part, charter.admission); });
    in.within("list", [&](Reader& part) { read_list(part, charter.list); });
    in.within("lines", [&](Reader& part) { read_lines(part, charter.pool); });
    in.within("log", [&](Reader& part) { read_log(part, charter.log); });
    in.within("trace", [&](Reader& part) { read_trace(part, charter.trace); });
    in.within("metrics", [&](Reader& part) { read_metrics(part, charter.metrics); });
    in.within("remote", [&](Reader& part) { read_remote(part, charter.remote); });
    in.members("use_cases", [&](const std::string& name, Reader& part) {
        read_use_case(name, part, charter.use_cases[name]);
    });
    in.members("tenants", [&](const std::string& name, Reader& part) {
        part.read("share_per_s", charter.tenants[name].share_per_s);
    });
    charter.remote.controller = charter.name;
    in.finish();
    if (charter.use_cases.empty()) in.complain("use_cases", "is missing: at least one is needed");
    return charter;
}

}  // namespace plumkeel
