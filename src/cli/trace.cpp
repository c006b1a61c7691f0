#include "cli/trace.hpp"

#include <memory>

#include "cli/trace_commands.hpp"

namespace plumkeel::cli {
namespace {

using Command = int (*)(const TraceOptions&);

/// Adds the commands; all of them share one set of options, as only one is run.
class TraceCommandLine {
public:
    explicit TraceCommandLine(CLI::App& app) : trace_(app.add_subcommand("trace", "read traces")) {
        trace_->require_subcommand(1);
        add_reading_commands();
        add_deriving_commands();
        add_replay_command();
        for (const auto& [command, handler] : commands_)
            command->add_option("files", options_.files, "in any order")->required();
    }

    int run() const {
        for (const auto& [command, handler] : commands_)
            if (*command) return handler(options_);
        return 2;
    }

private:
    CLI::App& add(const char* name, const char* description, Command handler) {
        CLI::App* command = trace_->add_subcommand(name, description);
        commands_.emplace_back(command, handler);
        return *command;
    }

    void add_reading_commands() {
        add("verify", "say what the files hold, and what is damaged", verify_traces);

        CLI::App& show = add("show", "what happened to one request", show_request);
        show.add_option("request", options_.request, "as in plumkeel-job, or NUMBER@CONTROLLER")->required();
        show.add_flag("--reasons", options_.reasons, "replay the trace, to show the candidate invokers");

        CLI::App& find = add("find", "a line for each request that matches", find_requests);
        find.add_option("--limit", options_.limit, "stop after so many")->capture_default_str();
        add_filter(find);
        add_offset(find);

        CLI::App& summarize =
            add("summarise", "outcomes, latencies and attempts, in all and over time", summarize_trace);
        summarize.alias("summarize");
        summarize.add_option("--svg", options_.svg, "draw a chart in this file");
        summarize.add_option("--top", options_.top, "rows of a table")->capture_default_str();
        summarize.add_option("--step", options_.step, "of the table over time")->capture_default_str();
        add_filter(summarize);
        add_offset(summarize);

        CLI::App& export_command = add("export", "the requests that match, for other tools", export_requests);
        export_command.add_option("--format", options_.format, "json: a line a request; chrome: trace events")
            ->capture_default_str();
        add_output(export_command);
        add_filter(export_command);
        add_offset(export_command);
    }

    void add_deriving_commands() {
        CLI::App& cut = add("cut", "a file with the requests that match", cut_trace);
        add_output(cut);
        add_filter(cut);
        add_offset(cut);

        CLI::App& merge = add("merge", "a file with several controllers' traces", merge_controllers);
        add_output(merge);
        add_offset(merge);

        CLI::App& anonymise = add("anonymise", "a file without names", pseudonymize_trace);
        anonymise.alias("pseudonymize");
        anonymise.add_option("--key", options_.key_file,
                             "a file whose first line is the key; a random key if left out");
        add_output(anonymise);
        add_offset(anonymise);
    }

    void add_replay_command() {
        CLI::App& redecide = add("redecide", "replay the traces and compare all decisions", replay_traces);
        redecide.alias("replay");
        redecide.add_option("--change", options_.changes,
                            "NAME=VALUE of a safety rule or a capability, as in the settings");
    }

    void add_output(CLI::App& command) {
        command.add_option("-o,--out", options_.output, "the file to write")->required();
    }

    void add_offset(CLI::App& command) {
        command.add_option("--offset", options_.offsets,
                           "CONTROLLER=DURATION to add to its clock; merge estimates them if none is given");
    }

    void add_filter(CLI::App& command) {
        command.add_option("--from", options_.from,
                           "requests received at or after this time from the trace's start, as 90s or 5m");
        command.add_option("--to", options_.to, "and before this");
        command.add_option("--use-case,--request-class", options_.filter.request_class);
        command.add_option("--tenant", options_.filter.tenant);
        command.add_option("--function", options_.filter.function);
        command.add_option("--invoker", options_.filter.invoker, "that any of the request's attempts went to");
        command.add_option("--outcome", options_.outcome, std::string(trace_analysis::outcome_filter_words));
    }

    CLI::App* trace_;
    TraceOptions options_;
    std::vector<std::pair<CLI::App*, Command>> commands_;
};

}  // namespace

std::function<int()> add_trace(CLI::App& app) {
    // CLI11 keeps pointers to the options until the command line is parsed.
    const auto command_line = std::make_shared<TraceCommandLine>(app);
    return [command_line] { return command_line->run(); };
}

}  // namespace plumkeel::cli
