/// The `plumkeel` program, which has one subcommand for each task.
#include <CLI/CLI.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cli/alerts.hpp"
#include "cli/client.hpp"
#include "cli/serve.hpp"
#include "cli/trace.hpp"
#include "config/gateway_config.hpp"
#include "platform/serve.hpp"

namespace {

using namespace plumkeel;

constexpr int exit_error = 2;

/// Runs one subcommand and returns its exit status; returns nothing if the command line names another subcommand.
using Command = std::function<std::optional<int>()>;

std::map<std::string, std::string> parse_variables(const std::vector<std::string>& assignments) {
    std::map<std::string, std::string> values_by_name;
    for (const std::string& assignment : assignments) {
        const auto equals = assignment.find('=');
        if (equals == std::string::npos) throw ConfigError("--var: found \"" + assignment + "\", expected NAME=VALUE");
        values_by_name[assignment.substr(0, equals)] = assignment.substr(equals + 1);
    }
    return values_by_name;
}

struct SettingsOptions {
    std::string file;
    std::vector<std::string> variables;
    GatewayConfig load() const { return load_config(file, parse_variables(variables)); }
};

void add_settings_options(CLI::App& command, SettingsOptions& options) {
    command.add_option("settings", options.file, "settings file, a Jsonnet template")->required();
    command.add_option("--var", options.variables, "NAME=VALUE, read in the template as std.extVar(NAME)");
}

Command add_serve(CLI::App& app) {
    CLI::App* command = app.add_subcommand("serve", "run a gateway until SIGTERM");
    const auto options = std::make_shared<SettingsOptions>();
    const auto seed = std::make_shared<std::optional<std::uint64_t>>();
    add_settings_options(*command, *options);
    command->add_option("--seed", *seed, "seed of the scheduler's random numbers; a random seed if not given");
    return [=]() -> std::optional<int> {
        if (!*command) return {};
        return cli::serve(options->load(), *seed);
    };
}

Command add_check(CLI::App& app) {
    CLI::App* command = app.add_subcommand("check", "load settings and report errors in them");
    const auto options = std::make_shared<SettingsOptions>();
    add_settings_options(*command, *options);
    return [=]() -> std::optional<int> {
        if (!*command) return {};
        options->load();
        std::cout << options->file << ": valid\n";
        return 0;
    };
}

Command add_platform(CLI::App& app) {
    CLI::App* command = app.add_subcommand("platform", "run a gateway on the platform until SIGTERM");
    const auto config = std::make_shared<std::string>();
    const auto log_level = std::make_shared<std::string>("info");
    command->add_option("--config", *config, "file with the platform's configuration (JSON)")
        ->envname("EDGE_CONFIG")
        ->required();
    command->add_option("--log", *log_level, "least severe level that is logged")
        ->check(CLI::IsMember({"debug", "info", "warn", "error"}))
        ->envname("PLUMKEEL_LOG");
    return [=]() -> std::optional<int> {
        if (!*command) return {};
        return platform::serve(*config, *log_level);
    };
}

void add_address_option(CLI::App& command, std::string& address) {
    command.add_option("--at", address, "address of the gateway")->capture_default_str();
}

const char* const default_address = "127.0.0.1:7400";

Command add_status(CLI::App& app) {
    CLI::App* command = app.add_subcommand("status", "print the status of a running gateway");
    const auto address = std::make_shared<std::string>(default_address);
    add_address_option(*command, *address);
    return [=]() -> std::optional<int> {
        if (!*command) return {};
        return cli::status(*address);
    };
}

Command add_send(CLI::App& app) {
    CLI::App* command = app.add_subcommand("send", "send one request and print its response");
    const auto address = std::make_shared<std::string>(default_address);
    const auto options = std::make_shared<cli::SendOptions>();
    add_address_option(*command, *address);
    command->add_option("function", options->function)->required();
    command->add_option("--use-case", options->request_class, "request class")->required();
    command->add_option("--body", options->body_file, "file with the request body, or - for standard input");
    command->add_option("--tenant", options->tenant);
    command->add_option("--time-left", options->remaining, "time until the request's deadline, such as 4s")
        ->capture_default_str();
    command->add_option("--lanes", options->concurrency, "requests that one copy of the function runs at once");
    command->add_option("--memory", options->memory_mb, "memory of one loaded copy of the function, in MB");
    command->add_option("--mark", options->idempotency_key, "idempotency key of a deduplicated request");
    command->add_flag("--again", options->is_client_retry, "mark the request as a retry by the client");
    return [=]() -> std::optional<int> {
        if (!*command) return {};
        return cli::send(*address, *options);
    };
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);  // writing to a closed pipe or socket must not end the process
    CLI::App app("plumkeel: a gateway that runs requests on invokers, which load functions on demand");
    app.require_subcommand(1);
    std::vector<Command> commands{add_serve(app), add_check(app), add_platform(app), add_status(app), add_send(app)};
    const auto run_trace = cli::add_trace(app);
    const auto run_alerts = cli::add_alerts(app);
    CLI11_PARSE(app, argc, argv);

    try {
        for (const Command& run : commands)
            if (const std::optional<int> exit_status = run()) return *exit_status;
        return app.got_subcommand("alerts") ? run_alerts() : run_trace();
    } catch (const std::exception& error) {
        std::cerr << "plumkeel: " << error.what() << '\n';
        return exit_error;
    }
}
