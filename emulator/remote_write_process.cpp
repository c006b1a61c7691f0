/// Runs the remote write receiver as a process. Commands change its behavior; when the process stops, it writes all
/// accepted samples to its record.
#include "config/jsonnet_reader.hpp"
#include "emulator/command_input.hpp"
#include "emulator/event_log.hpp"
#include "emulator/processes.hpp"
#include "emulator/record_schema.hpp"
#include "emulator/remote_write_receiver.hpp"

namespace plumkeel::emulator {
namespace {

std::uint16_t read_port(const std::string& settings_file) {
    const auto settings = evaluate_jsonnet(settings_file);
    JsonnetReader reader(settings, settings_file);
    std::size_t port = 0;
    reader.require("port", port);
    reader.reject_unknown_fields();
    return static_cast<std::uint16_t>(port);
}

// Commands:
//   takes   accepts samples and answers with status 204, or with 400 if the message is invalid
//   stalls  accepts no samples and never answers
//   status status=HTTP_STATUS retry_after=S
//           accepts no samples and answers with the status (default: 503) and, if given, the header Retry-After
//   cuts    accepts no samples and resets the connection in the middle of the response
//   late    accepts samples but does not answer, unless the message is invalid (400)
//   forget  deletes all series received so far
void execute(RemoteWriteReceiver& receiver, const Command& command) {
    using Mode = RemoteWriteReceiver::Mode;
    static const std::map<std::string, Mode> modes = {{"takes", Mode::accept},
                                                      {"stalls", Mode::stall},
                                                      {"status", Mode::respond_status},
                                                      {"cuts", Mode::reset},
                                                      {"late", Mode::accept_without_response}};
    if (const auto mode = modes.find(command.verb()); mode != modes.end())
        receiver.set_mode(mode->second, static_cast<unsigned>(command.number("status", 503)),
                          command.text("retry_after"));
    if (command.verb() == "forget") receiver.clear();
}

void record_series(EventLog& log, const remote_write::Labels& labels, const RemoteWriteReceiver::Samples& samples) {
    boost::json::object label_object;
    boost::json::array timestamps, values;
    for (const auto& [name, value] : labels) label_object[name] = value;
    for (const auto& [timestamp, value] : samples) {
        timestamps.push_back(timestamp);
        if (remote_write::is_stale_marker(value))
            values.push_back(nullptr);
        else
            values.push_back(value);
    }
    log.write(event::series, {{key::labels, std::move(label_object)},
                              {key::timestamps_ms, std::move(timestamps)},
                              {key::values, std::move(values)}});
}

void record_summary(EventLog& log, const RemoteWriteReceiver& receiver) {
    for (const std::string& violation : receiver.violations())
        log.write(event::violation, {{key::description, violation}});
    for (const auto& [labels, samples] : receiver.series()) record_series(log, labels, samples);
    log.write(event::summary, {{key::series, receiver.series().size()},
                               {key::samples, receiver.samples()},
                               {key::repeated, receiver.repeated()},
                               {key::violations, receiver.violations().size()},
                               {key::requests, receiver.requests()}});
}

}  // namespace

int run_remote_write_receiver(const std::string& settings_file, const std::string& record_file) {
    const std::uint16_t port = read_port(settings_file);
    net::SocketEventLoop loop;
    EventLog log(record_file);
    RemoteWriteReceiver receiver(loop, listen_or_exit(loop, port));
    read_commands(loop, [&](const Command& command) {
        execute(receiver, command);
        log.write(event::mode, {{key::mode, command.verb()}});
    });
    loop.on_termination([&loop] { loop.stop(); });
    loop.run();
    record_summary(log, receiver);
    return receiver.violations().empty() ? 0 : 1;
}

}  // namespace plumkeel::emulator
