// What a controller is given at its start, decoded once from a Jsonnet template and checked.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "charter/reader.hpp"
#include "dispatch/types.hpp"
#include "admission/admission.hpp"
#include "metrics/rules.hpp"
#include "remote/ship.hpp"
#include "trace/recorder.hpp"

namespace plumkeel {

struct StatedUseCase : UseCase {
    std::string name;
};

struct StatedInvoker {  // one of a fixed list
    std::string name, address, zone, kind;
    double units = 1;
    int cell{};
};

struct ListSource {
    std::string consul;  // host:port of its HTTP interface; empty: `fixed` is the whole list
    std::string service = "invokers";
    Time wait = std::chrono::seconds(30);
    Time answer_slack = std::chrono::seconds(5);  // beyond the wait, before a poll counts as lost
    std::vector<StatedInvoker> fixed;
};

struct PoolRules {  // the connections to one invoker
    std::size_t most = 256;
    std::size_t most_invokers = 40'000;  // held at once, those that left in the last seconds among them; further ones are not taken up
    std::size_t most_all = 100'000;  // to all invokers together; each has one all the same
    std::size_t hops_a_connection = 1;     // where the protocol carries several
    std::size_t queued = 1024;  // hops that wait for a connection; beyond: turned back as never sent
    Time connect_within = std::chrono::milliseconds(250);
    Time idle_for = std::chrono::seconds(15);
    Time probe_within = std::chrono::milliseconds(500);
    Time order_within = std::chrono::seconds(10);
    Time answer_within = std::chrono::milliseconds(500);  // from its first byte to its last, where others wait behind it
    std::size_t answer_held = 64 * 1024;  // larger answers stream to the client
    std::size_t stream_ahead = 256 * 1024;  // of a streamed answer, kept for a slow client
};

struct LogRules {
    std::string file;  // empty: standard error
    std::string level = "info";
    double lines_per_s = 20;  // of one kind
    double burst = 100;
    std::size_t queued = 8192;
};

struct Measurements {
    bool on = true;
    metrics::MeterRules rules;
};

struct Charter {
    std::string name = "controller";
    std::string listen = "127.0.0.1:7400";
    Rulebook rulebook;
    Allowances allowances;
    AdmissionRules admission;
    ListSource list;
    PoolRules pool;
    LogRules log;
    trace::RecorderRules trace;
    Measurements metrics;
    remote::Shipping remote;
    bool says_company = true;
    std::map<std::string, StatedUseCase, std::less<>> use_cases;
    std::map<std::string, Tenant> tenants;
};

// Throws CharterFault.
Charter read_charter(const std::string& file, const std::map<std::string, std::string>& given = {});

}  // namespace plumkeel
