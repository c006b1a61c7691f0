// plumkeel: one binary, one command a task.
#include <CLI/CLI.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>

#include "cli/alerts.hpp"
#include "cli/client.hpp"
#include "cli/trace.hpp"
#include "config/gateway_config.hpp"
#include "log/log.hpp"
#include "net/listening_process.hpp"
#include "net/socket_event_loop.hpp"
#include "platform/serve.hpp"
#include "remote_write/exporter.hpp"
#include "web/server.hpp"

namespace {

using namespace plumkeel;

std::map<std::string, std::string> variables(const std::vector<std::string>& given) {
    std::map<std::string, std::string> out;
    for (const std::string& each : given) {
        const auto equals = each.find('=');
        if (equals == std::string::npos) throw ConfigError("--var " + each + ": is no NAME=VALUE");
        out[each.substr(0, equals)] = each.substr(equals + 1);
    }
    return out;
}

int serve(const GatewayConfig& config, std::optional<std::uint64_t> seed) {
    // A file at its size limit is an error of that write, not the end of the controller.
    std::signal(SIGXFSZ, SIG_IGN);
    net::SocketEventLoop loop;
    Log log(loop, config.log);
    const std::uint64_t chosen = seed ? *seed : std::random_device{}() | std::uint64_t{std::random_device{}()} << 32;
    std::unique_ptr<trace::Recorder> recorder;
    trace::RecordCallback recorded;
    if (!config.trace.folder.empty()) {
        recorder = std::make_unique<trace::Recorder>(config.trace, config.name, loop.wall_clock());
        recorded = [&recorder](const trace::Record& record) { recorder->offer(record); };
    }
    web::Server gateway(loop, config, log, chosen, std::move(recorded));
    gateway.set_extra_levels([&](metrics::Levels& levels) {
        if (recorder) levels.recorder_dropped = static_cast<double>(recorder->dropped());
    });
    if (const net::Error error = gateway.open()) {
        std::string why = error.message();
        if (error == net::asio::error::address_in_use)
            if (const std::string who = net::listening_process(net::Address::parse(config.listen)->port); !who.empty())
                why += ": held by " + who;
        std::cerr << "plumkeel: can't listen on " << config.listen << ": " << why << '\n';
        return 1;
    }
    log.write(Log::Level::info, "serving",
              {{"listen", gateway.address().to_string()}, {"name", config.name}, {"seed", std::to_string(chosen)}});
    std::function<void()> hand_over = [&] {
        recorder->flush();
        loop.call_at(loop.now() + std::chrono::milliseconds(500), hand_over);
    };
    if (recorder) hand_over();
    std::unique_ptr<remote_write::Exporter> ship;
    if (gateway.metrics() && !config.remote_write.receivers.empty())
        ship = std::make_unique<remote_write::Exporter>(
            config.remote_write, [&gateway] { return gateway.metrics()->collect(); },
            [&loop, &log](remote_write::ExportEvent event, const std::string& detail) {
                net::asio::post(loop.executor(), [&log, event, detail] {
                    log.write(Log::Level::warn, remote_write::to_string(event), {{"detail", detail}});
                });
            });
    loop.on_termination([&] {
        log.write(Log::Level::info, "closing");
        gateway.close([&] {
            log.write(Log::Level::info, "closed");
            loop.stop();
        });
    });
    loop.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);  // whoever reads our log or output may go before us
    CLI::App app("plumkeel: a gateway that runs jobs on invokers which load functions on demand");
    app.require_subcommand(1);
    std::string file, at = "127.0.0.1:7400";
    std::vector<std::string> vars;
    std::optional<std::uint64_t> seed;

    CLI::App* serve_command = app.add_subcommand("serve", "run a controller until SIGTERM");
    CLI::App* check_command = app.add_subcommand("check", "read settings and say what is wrong with them");
    for (CLI::App* command : {serve_command, check_command}) {
        command->add_option("settings", file, "Jsonnet template")->required();
        command->add_option("--var", vars, "NAME=VALUE, read in the template as std.extVar(NAME)");
    }
    serve_command->add_option("--seed", seed, "of the controller's chance; random if left out");

    CLI::App* platform_command = app.add_subcommand("platform", "run a controller on the platform until SIGTERM");
    std::string config;
    platform_command->add_option("--config", config, "the platform's configuration, JSON")
        ->envname("EDGE_CONFIG")
        ->required();
    std::string log_level = "info";
    platform_command->add_option("--log", log_level, "least level of its log")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}))
        ->envname("PLUMKEEL_LOG");

    CLI::App* status_command = app.add_subcommand("status", "ask a running controller how it is");
    CLI::App* send_command = app.add_subcommand("send", "send one job and print its answer");
    for (CLI::App* command : {status_command, send_command})
        command->add_option("--at", at, "address of the controller")->capture_default_str();
    cli::Job request;
    send_command->add_option("function", request.function)->required();
    send_command->add_option("--use-case", request.request_class)->required();
    send_command->add_option("--body", request.body, "a file, or - for the standard input");
    send_command->add_option("--tenant", request.tenant);
    send_command->add_option("--time-left", request.time_left, "such as 4s")->capture_default_str();
    send_command->add_option("--lanes", request.lanes);
    send_command->add_option("--memory", request.memory, "MB of a loaded copy");
    send_command->add_option("--mark", request.mark, "by which a repeat of a referenced job is known");
    send_command->add_flag("--again", request.again, "this job was tried before");
    const auto run_trace = cli::add_trace(app);
    const auto run_alerts = cli::add_alerts(app);
    CLI11_PARSE(app, argc, argv);

    try {
        if (*serve_command) return serve(load_config(file, variables(vars)), seed);
        if (*platform_command) return platform::serve(config, log_level);
        if (*check_command) {
            load_config(file, variables(vars));
            std::cout << file << ": good\n";
            return 0;
        }
        if (*status_command) return cli::status(at);
        if (*send_command) return cli::send(at, request);
        return app.got_subcommand("alerts") ? run_alerts() : run_trace();
    } catch (const std::exception& fault) {
        std::cerr << "plumkeel: " << fault.what() << '\n';
        return 2;
    }
}
