#include "emulator/simulation_faults.hpp"

#include <algorithm>
#include <cmath>

#include "config/jsonnet_reader.hpp"

namespace plumkeel::emulator {
namespace {

using namespace std::chrono_literals;
namespace json = boost::json;
using Kind = ScenarioEvent::Kind;

constexpr double default_duration_us = 10e6, default_invoker_share = 0.15, max_replaced_share = 0.8;
constexpr double max_freeze_ms = 1000;
constexpr Time min_duration = 1s;

double number(const json::value& value) {
    return value.to_number<double>();
}

std::string text(double value) {
    return std::to_string(value);
}

Time microseconds(double us) {
    return Time(static_cast<Time::rep>(us));
}

/// One fault of the simulation.
struct SimulatedFault {
    const json::object& object;
    std::string kind;
    double size, extra;  // parameters whose meaning depends on the kind of fault

    explicit SimulatedFault(const json::object& fault)
        : object(fault), kind(fault.at("kind").as_string()), size(number_or("size", 1)), extra(number_or("extra", 1)) {}

    double number_or(const char* key, double fallback) const {
        const auto* value = object.if_contains(key);
        return value && value->is_number() ? number(*value) : fallback;
    }
};

class FaultImporter {
public:
    FaultImporter(const json::object& simulation, const std::string& file, Scenario& scenario)
        : simulation_(simulation),
          file_(file),
          scenario_(scenario),
          simulated_length_us_(number(simulation.at("length"))),
          time_scale_(static_cast<double>(scenario.length.count()) / simulated_length_us_),
          simulated_servers_(static_cast<double>(simulation.at("servers").as_array().size())) {}

    void import(const SimulatedFault& fault) {
        event_ = {};
        event_.at = scaled(fault.number_or("at", simulated_length_us_ / 3));
        event_.duration = std::max(scaled(fault.number_or("len", default_duration_us)), min_duration);
        if (!import_process_fault(fault) && !import_invoker_fault(fault) && !import_client_fault(fault) &&
            !import_service_fault(fault))
            throw ConfigError(file_ + ": troubles: kind: found '" + fault.kind +
                              "', expected crash, vanish, deploy, balancer_stall, pauses, ageing, answer_lost, "
                              "tenant_burst, hot_key, heavy_tail, scan, retry_abuse, origin_slow or discovery_stale");
    }

private:
    Time scaled(double simulated_us) const { return microseconds(simulated_us * time_scale_); }

    // Chooses the invokers in turn, so that successive faults affect different ones.
    std::vector<std::string> choose_invokers(double share) {
        const auto count = static_cast<int>(scenario_.invokers.size());
        std::vector<std::string> chosen;
        for (int remaining = std::clamp(static_cast<int>(share * count + 0.5), 1, count - 2); remaining > 0;
             --remaining)
            chosen.push_back(scenario_.invokers[next_invoker_++ % scenario_.invokers.size()].name);
        return chosen;
    }

    std::vector<std::string> choose_invokers(const SimulatedFault& fault) {
        const auto* servers = fault.object.if_contains("on");
        const bool lists_servers = servers && servers->is_array() && !servers->as_array().empty();
        return choose_invokers(lists_servers ? static_cast<double>(servers->as_array().size()) / simulated_servers_
                                             : default_invoker_share);
    }

    void add(Kind kind, std::vector<std::string> targets) {
        event_.kind = kind;
        event_.targets = std::move(targets);
        scenario_.events.push_back(event_);
    }

    void add_command(std::vector<std::string> targets, std::string command, std::string undo) {
        event_.command = std::move(command);
        event_.undo_command = std::move(undo);
        add(Kind::command, std::move(targets));
    }

    bool import_process_fault(const SimulatedFault& fault) {
        if (fault.kind == "crash" || fault.kind == "vanish") {
            event_.removal_delay = 1s;
            add(fault.kind == "crash" ? Kind::crash : Kind::vanish, choose_invokers(fault));
        } else if (fault.kind == "deploy") {
            import_deploy(fault);
        } else if (fault.kind == "balancer_stall") {
            import_freezes(fault);
        } else {
            return false;
        }
        return true;
    }

    void import_deploy(const SimulatedFault& fault) {
        double stopped_servers = 0;
        for (const auto& step : fault.object.at("steps").as_array())
            stopped_servers += static_cast<double>(step.as_object().at("stop").as_array().size());
        auto targets = choose_invokers(std::min(stopped_servers / simulated_servers_, max_replaced_share));
        event_.interval = event_.duration / static_cast<int>(targets.size());
        event_.drain = 1s;
        add(Kind::replace, std::move(targets));
    }

    void import_freezes(const SimulatedFault& fault) {
        const Time end = event_.at + event_.duration;
        event_.duration = microseconds(std::min(fault.size, max_freeze_ms) * 1000);
        const Time period = std::max(microseconds(fault.extra * 1e6), 2 * event_.duration);
        for (; event_.at < end; event_.at += period) add(Kind::freeze, {"c1"});
    }

    bool import_invoker_fault(const SimulatedFault& fault) {
        if (fault.kind == "pauses") {
            add_command(choose_invokers(fault),
                        "pause ms=" + text(fault.size) + " every=" + text(std::max(2 * fault.size, fault.extra * 1000)),
                        "pause ms=0 every=1000");
        } else if (fault.kind == "ageing") {
            import_ageing(fault);
        } else if (fault.kind == "answer_lost") {
            const bool resets = fault.object.at("how").as_string() == "reset";
            const std::string command = resets ? "cut_head share=" : "lose share=";
            add_command(choose_invokers(fault), command + text(fault.size), command + "0");
        } else {
            return false;
        }
        return true;
    }

    // The invokers become slower and slower; at the end of the fault they are killed and restarted.
    void import_ageing(const SimulatedFault& fault) {
        const auto targets = choose_invokers(fault);
        const double seconds = std::chrono::duration<double>(event_.duration).count();
        add_command(targets, "age per_s=" + text(fault.size / std::max(1.0, seconds)), "age per_s=0");
        event_.at += event_.duration;
        event_.duration = 2s;
        event_.removal_delay = 1s;
        add(Kind::crash, targets);
    }

    bool import_client_fault(const SimulatedFault& fault) {
        const std::vector<std::string> clients = {"clients"};
        if (fault.kind == "tenant_burst") {
            const std::string tenant(simulation_.at("tenants").at(0).at("name").as_string());
            add_command(clients, "tenant " + tenant + " factor=" + text(std::max(2.0, fault.size)),
                        "tenant " + tenant + " factor=1");
        } else if (fault.kind == "hot_key") {
            add_command(clients,
                        "favourite share=" + text(std::clamp(fault.size, 0.03, 0.25)) +
                            " count=" + text(std::max(1.0, std::floor(fault.extra))),
                        "favourite share=0");
        } else if (fault.kind == "heavy_tail") {
            add_command(clients,
                        "heavy share=" + text(std::clamp(fault.extra, 0.005, 0.03)) +
                            " factor=" + text(std::clamp(fault.size, 2.0, 30.0)),
                        "heavy share=0");
        } else if (fault.kind == "scan") {
            add_command(clients, "scan share=" + text(std::clamp(fault.size, 0.03, 0.2)), "scan share=0");
        } else if (fault.kind == "retry_abuse") {
            add_command(clients, "at_once on", "at_once off");
        } else {
            return false;
        }
        return true;
    }

    bool import_service_fault(const SimulatedFault& fault) {
        if (fault.kind == "origin_slow")
            add_command({"store"}, "slow factor=" + text(std::max(2.0, fault.size)), "slow factor=1");
        else if (fault.kind == "discovery_stale")
            add_command({"list"}, "delay ms=" + text(std::max(1000.0, fault.size * 1000 * time_scale_)), "delay ms=0");
        else
            return false;
        return true;
    }

    const json::object& simulation_;
    const std::string& file_;
    Scenario& scenario_;
    const double simulated_length_us_, time_scale_, simulated_servers_;
    std::size_t next_invoker_{};
    ScenarioEvent event_;  // the event that is being built
};

}  // namespace

void import_faults(const json::object& simulation, const std::string& file, Scenario& scenario) {
    const json::value* faults = simulation.if_contains("troubles");
    if (!faults) return;
    FaultImporter importer(simulation, file, scenario);
    for (const auto& fault : faults->as_array()) importer.import(SimulatedFault(fault.as_object()));
}

}  // namespace plumkeel::emulator
