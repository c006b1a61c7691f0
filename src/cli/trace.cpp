#include "cli/trace.hpp"

#include <memory>

#include "cli/trace_commands.hpp"

namespace plumkeel::cli {
namespace {

using CommandHandler = int (*)(const TraceOptions&);

/// Adds the subcommands of `trace`. They share one set of options, because only one subcommand runs.
class TraceCommandLine {
public:
    explicit TraceCommandLine(CLI::App& app)
        : trace_command_(app.add_subcommand("trace", "inspect, convert and replay trace files")) {
        trace_command_->require_subcommand(1);
        add_reading_commands();
        add_deriving_commands();
        add_replay_command();
        for (const auto& [command, handler] : commands_)
            command->add_option("files", options_.files, "trace files, in any order")->required();
    }

    int run() const {
        for (const auto& [command, handler] : commands_)
            if (*command) return handler(options_);
        return 2;
    }

private:
    CLI::App& add(const char* name, const char* description, CommandHandler handler) {
        CLI::App* command = trace_command_->add_subcommand(name, description);
        commands_.emplace_back(command, handler);
        return *command;
    }

    void add_reading_commands() {
        add("verify", "print what the files contain and which parts are damaged", verify_traces);

        CLI::App& show = add("show", "print what happened to one request", show_request);
        show.add_option("request", options_.request,
                        "NUMBER, as in the response header plumkeel-job, or NUMBER@CONTROLLER")
            ->required();
        show.add_flag("--reasons", options_.show_candidates, "replay the trace to show the candidate invokers");

        CLI::App& find = add("find", "print one line for each matching request", find_requests);
        find.add_option("--limit", options_.max_requests, "greatest number of requests to print")
            ->capture_default_str();
        add_filter(find);
        add_offset(find);

        CLI::App& summarize =
            add("summarise", "print outcomes, latencies and attempts, in total and over time", summarize_trace);
        summarize.alias("summarize");
        summarize.add_option("--svg", options_.svg_file, "file to draw a chart in (SVG)");
        summarize.add_option("--top", options_.max_rows, "greatest number of rows in each table")
            ->capture_default_str();
        summarize.add_option("--step", options_.step, "duration that one row of the table over time covers")
            ->capture_default_str();
        add_filter(summarize);
        add_offset(summarize);

        CLI::App& export_command =
            add("export", "write the matching requests in a format for other tools", export_requests);
        export_command.add_option("--format", options_.format, "json: one line per request; chrome: trace events")
            ->capture_default_str();
        add_output(export_command);
        add_filter(export_command);
        add_offset(export_command);
    }

    void add_deriving_commands() {
        CLI::App& cut = add("cut", "write a trace file with the matching requests", cut_trace);
        add_output(cut);
        add_filter(cut);
        add_offset(cut);

        CLI::App& merge = add("merge", "merge the traces of several controllers into one file", merge_controllers);
        add_output(merge);
        add_offset(merge);

        CLI::App& anonymise =
            add("anonymise", "write a trace file with pseudonyms in place of names", pseudonymize_trace);
        anonymise.alias("pseudonymize");
        anonymise.add_option("--key", options_.key_file,
                             "file whose first line is the key of the pseudonyms; a random key if not given");
        add_output(anonymise);
        add_offset(anonymise);
    }

    void add_replay_command() {
        CLI::App& redecide =
            add("redecide", "replay the traces and compare the decisions with the recorded ones", replay_traces);
        redecide.alias("replay");
        redecide.add_option(
            "--change", options_.setting_changes,
            "NAME=VALUE, replaces the recorded value of a safety rule or capability; names as in the settings");
    }

    void add_output(CLI::App& command) {
        command.add_option("-o,--out", options_.output, "the file to write")->required();
    }

    void add_offset(CLI::App& command) {
        command.add_option(
            "--offset", options_.clock_offsets,
            "CONTROLLER=DURATION, added to that controller's clock; merge estimates the offsets if none is given");
    }

    void add_filter(CLI::App& command) {
        command.add_option("--from", options_.from,
                           "only requests received at or after this time since the trace's start, such as 90s or 5m");
        command.add_option("--to", options_.to, "only requests received before this time since the trace's start");
        command.add_option("--use-case,--request-class", options_.filter.request_class);
        command.add_option("--tenant", options_.filter.tenant);
        command.add_option("--function", options_.filter.function);
        command.add_option("--invoker", options_.filter.invoker, "only requests with an attempt at this invoker");
        command.add_option("--outcome", options_.outcome, std::string(trace_analysis::outcome_filter_words));
    }

    CLI::App* trace_command_;
    TraceOptions options_;
    std::vector<std::pair<CLI::App*, CommandHandler>> commands_;
};

}  // namespace

std::function<int()> add_trace(CLI::App& app) {
    // CLI11 holds pointers to the option fields, so they must exist until the command line is parsed.
    const auto command_line = std::make_shared<TraceCommandLine>(app);
    return [command_line] { return command_line->run(); };
}

}  // namespace plumkeel::cli
