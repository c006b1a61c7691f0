#include "cli/trace.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <random>

#include "cli/progress.hpp"
#include "config/jsonnet_reader.hpp"
#include "trace/file.hpp"
#include "trace/names.hpp"
#include "trace/recording_scheduler.hpp"
#include "trace_analysis/chart.hpp"
#include "trace_analysis/history_format.hpp"
#include "trace_analysis/merged_stream.hpp"
#include "trace_analysis/pseudonymizer.hpp"

namespace plumkeel::cli {
namespace {

using trace::Record;
using trace::Time;
using trace::TraceError;
using trace_analysis::ControllerTrace;
using trace_analysis::RequestHistory;

double seconds(Time t) {
    return static_cast<double>(t.count()) / 1e6;
}

// What the command line said; a command uses what it offers.
struct Given {
    std::vector<std::string> files, changes, offsets;
    std::string request, from, to, out, svg, key, format = "json", step = "10s";
    trace_analysis::HistoryFilter filter;
    std::size_t limit = 1000, top = 15;
    bool reasons{};
};

trace_analysis::HistoryFilter filter_of(const Given& given) {
    trace_analysis::HistoryFilter filter = given.filter;
    if (!given.from.empty()) filter.from = parse_duration(given.from);
    if (!given.to.empty()) filter.to = parse_duration(given.to);
    filter.check();
    return filter;
}

void tell_damage(const std::string& file, const trace::Reader& reader) {
    for (const trace::Damage& d : reader.damage())
        fmt::print(stderr, "{}: {} at byte {}, {} bytes lost{}{}\n", file, d.what, d.offset, d.bytes,
                   d.after ? fmt::format(", after {:.3f} s", seconds(*d.after)) : "",
                   d.before ? fmt::format(", before {:.3f} s", seconds(*d.before)) : "");
}

// The files given, as one stream.
class Reading {
public:
    explicit Reading(const Given& given, std::optional<Time> from = {})
        : parts_(trace_analysis::open_all(given.files, trace_analysis::files_on_disk())) {
        std::vector<ControllerTrace*> all;
        for (const auto& each : parts_) all.push_back(each.get());
        if (all.size() == 1) {
            all.front()->rewind(from);
            return;
        }
        std::vector<Time> offsets(all.size());
        for (const std::string& each : given.offsets) take_offset(each, offsets);
        braid_ = trace_analysis::merge_traces(all, offsets, from);
    }
    ~Reading() {
        for (const auto& each : parts_)
            for (const auto& file : each->files()) tell_damage(file.name, *file.reader);
    }
    Reading(const Reading&) = delete;

    trace_analysis::RecordStream& stream() {
        return braid_ ? *braid_ : static_cast<trace_analysis::RecordStream&>(*parts_.front());
    }
    std::vector<std::unique_ptr<ControllerTrace>>& parts() { return parts_; }

    // All records, with progress; `each` returns false to stop.
    void walk(const char* what, const std::function<bool(const Record&)>& each) {
        Progress progress(what);
        std::uint64_t n = 0;
        while (const auto record = stream().next()) {
            if (!each(*record)) return;
            if (++n % 4096 == 0) progress.at(stream().part_read());
        }
    }

    void take_offset(const std::string& text, std::vector<Time>& offsets) const {
        const auto equals = text.find('=');
        for (std::size_t i = 0; equals != std::string::npos && i < parts_.size(); ++i) {
            if (parts_[i]->controller() != text.substr(0, equals)) continue;
            const std::string span = text.substr(equals + 1);
            offsets[i] = span.starts_with('-') ? -parse_duration(span.substr(1)) : parse_duration(span);
            return;
        }
        throw TraceError("--offset " + text + ": is no CONTROLLER=SPAN, or no such controller is in the files");
    }

private:
    std::vector<std::unique_ptr<ControllerTrace>> parts_;
    std::unique_ptr<trace_analysis::RecordStream> braid_;
};

// Tales that fit, in the order in which they ended, until the filter's time is over.
void tales_of(Reading& reading, const trace_analysis::HistoryFilter& filter, const char* what,
              const std::function<bool(const RequestHistory&, const trace_analysis::NameTable&)>& each,
              const std::function<void(const Record&, const trace_analysis::NameTable&)>& beside = {}) {
    bool more = true;
    trace_analysis::HistoryBuilder* names = nullptr;
    trace_analysis::HistoryBuilder histories(
        [&](const RequestHistory& history) {
            if (more && filter.matches(history)) more = each(history, names->names());
        },
        true);
    names = &histories;
    reading.walk(what, [&](const Record& record) {
        histories.feed(record);
        if (beside) beside(record, histories.names());
        return more && !(filter.to && record.at > *filter.to + histories.max_remaining() + std::chrono::seconds(1));
    });
    histories.finish();
}

// ---------------------------------------------------------------- verify, show, find

int verify(const Given& given) {
    int status = 0;
    for (const std::string& name : given.files) {
        const trace::FileSource source(name);
        trace::Reader reader(source);
        std::uint64_t records = 0, gaps = 0;
        std::optional<Time> first;
        Time last{};
        std::string part;
        Progress progress(name);
        for (std::size_t at = 0; at < reader.places().size();) {
            for (const Record& record : reader.block(at)) {
                ++records;
                if (!first) first = record.at;
                last = record.at;
                gaps += record.type == trace::gap;
                if (record.type == trace::resumed) part = trace::unpack<trace::Resumed>(record.body).part;
            }
            progress.at(static_cast<double>(at) / static_cast<double>(reader.places().size()));
        }
        fmt::print("{}: {} records in {} blocks, {:.3f} to {:.3f} s, {}{}{}\n", name, records, reader.places().size(),
                   seconds(first.value_or(Time{})), seconds(last), reader.finished() ? "finished" : "not finished",
                   part.empty() ? "" : ", " + part,
                   gaps ? fmt::format(", {} gaps where the recorder dropped", gaps) : "");
        std::fflush(stdout);
        tell_damage(name, reader);
        if (!reader.damage().empty()) status = 1;
    }
    return status;
}

// The job's records, with the reasons that deciding again gives in place of those recorded.
std::vector<Record> with_reasons(ControllerTrace& chapters, std::uint64_t request) {
    std::vector<Record> out;
    std::size_t turns = 0;  // still to come
    for (const auto& file : chapters.files())
        file.reader->of_job(request, [&](const Record& record) {
            if (record.type == trace::transition)
                ++turns;
            else if (record.type != trace::actions)
                out.push_back(record);
            return true;
        });
    trace::Replayer again({}, [&](const Record& record) {
        if (record.request == request) out.push_back(record);
    });
    Progress progress("deciding again");
    chapters.rewind();
    while (turns > 0) {
        const auto record = chapters.next();
        if (!record) break;
        again.feed(*record);
        if (record->request == request && record->type == trace::transition) --turns;
        progress.at(chapters.part_read());
    }
    if (again.compare().first)
        fmt::print(stderr,
                   "plumkeel: this build decides otherwise than the one that recorded; its reasons may not be those of "
                   "then\n");
    // Of one moment the calls come first: what was turned came of them.
    std::stable_sort(out.begin(), out.end(), [](const Record& a, const Record& b) { return a.at < b.at; });
    return out;
}

int show(const Given& given) {
    Reading reading(given);
    const auto at = given.request.find('@');
    const std::string who = at == std::string::npos ? "" : given.request.substr(at + 1);
    std::uint64_t number = 0;
    try {
        number = std::stoull(given.request.substr(0, at));
    } catch (const std::logic_error&) {
        throw TraceError("'" + given.request + "' is no job's number, nor NUMBER@CONTROLLER");
    }
    bool any = false, reasons = false;
    for (const auto& chapters : reading.parts()) {
        std::vector<std::uint64_t> wanted = {number};
        trace_analysis::NameTable names(true);
        trace_analysis::HistoryBuilder histories(
            [&](const RequestHistory& history) {
                any = true;
                for (const trace_analysis::StateTransition& turn : history.transitions)
                    reasons = reasons || !turn.transition.candidates.empty();
                std::cout << trace_analysis::format_history(history, names);
            },
            true);
        for (const auto& file : chapters->files())
            file.reader->names([&](const Record& record) {
                if (record.type != trace::function_released) names.feed(record), histories.feed(record);
                return true;
            });
        if (const auto& controllers = names.controllers(); !controllers.empty()) {
            wanted.clear();
            for (std::size_t i = 0; i < controllers.size(); ++i)
                if (who.empty() || controllers[i] == who) wanted.push_back(number * controllers.size() + i);
        } else if (!who.empty() && chapters->controller() != who) {
            continue;
        }
        for (const std::uint64_t request : wanted) {
            if (given.reasons) {
                for (const Record& record : with_reasons(*chapters, request)) histories.feed(record);
                continue;
            }
            for (const auto& file : chapters->files())
                file.reader->of_job(request, [&](const Record& record) {
                    histories.feed(record);
                    return true;
                });
        }
        histories.finish();
    }
    if (!any) fmt::print(stderr, "plumkeel: no record of job {}\n", given.request);
    if (any && !reasons && !given.reasons)
        fmt::print("The invokers weighed were not recorded; --reasons finds them by deciding again.\n");
    return any ? 0 : 1;
}

int find(const Given& given) {
    const trace_analysis::HistoryFilter filter = filter_of(given);
    Reading reading(given, filter.from);
    std::size_t found = 0;
    tales_of(reading, filter, "finding", [&](const RequestHistory& history, const trace_analysis::NameTable& names) {
        std::cout << trace_analysis::format_line(history, names) << '\n';
        return ++found < given.limit;
    });
    fmt::print("{} jobs{}\n", found, found == given.limit ? ", and perhaps more: see --limit" : "");
    return found ? 0 : 1;
}

// ---------------------------------------------------------------- files made of others

class Output {
public:
    Output(const std::string& file, Time begun) : sink_(file), writer_(sink_, begun) {}
    // What is written is a part of a trace: the first record says which.
    void add(const Record& record, const std::string& part) {
        Record out = record;
        if (record.type == trace::resumed) {
            auto told = trace::unpack<trace::Resumed>(record.body);
            if (told.part.find(part) == std::string::npos) told.part += (told.part.empty() ? "" : ", and ") + part;
            out.body = trace::pack(told);
        } else if (!written_) {
            writer_.add({record.at, trace::resumed, 0, trace::pack(trace::Resumed{0, 0, part})});
        }
        writer_.add(out);
        ++written_;
    }
    std::uint64_t finish() {
        writer_.finish();
        return written_;
    }

private:
    trace::FileSink sink_;
    trace::Writer writer_;
    std::uint64_t written_{};
};

int cut(const Given& given) {
    const trace_analysis::HistoryFilter filter = filter_of(given);
    std::unordered_map<std::uint64_t, bool> wanted;
    {
        Reading reading(given);
        tales_of(reading, filter, "choosing", [&](const RequestHistory& history, const trace_analysis::NameTable&) {
            return wanted.emplace(history.request, true).second || true;
        });
    }
    Reading reading(given);
    Output out(given.out, reading.stream().begun());
    reading.walk("cutting", [&](const Record& record) {
        if (record.type == trace::actions || record.type == trace::wake) return true;
        const bool name = record.type > 0 && record.type <= trace::last_name_type && record.type != trace::gap;
        const bool in_time = (!filter.from || record.at >= *filter.from) && (!filter.to || record.at < *filter.to);
        if (name || (record.request ? wanted.count(record.request) > 0 : in_time)) out.add(record, "a cut");
        return true;
    });
    fmt::print("{}: {} jobs, {} records\n", given.out, wanted.size(), out.finish());
    return wanted.empty() ? 1 : 0;
}

int merge(const Given& given) {
    auto parts = trace_analysis::open_all(given.files, trace_analysis::files_on_disk());
    std::vector<ControllerTrace*> all;
    for (const auto& each : parts) all.push_back(each.get());
    std::vector<Time> offsets(all.size());
    if (given.offsets.empty()) {
        const auto estimated = trace_analysis::estimate_offsets(all);
        for (std::size_t i = 0; i < all.size(); ++i) {
            offsets[i] = estimated[i].offset;
            if (i == 0) continue;
            if (estimated[i].from)
                fmt::print(
                    "{}: its clock is corrected by {:+.1f} ms, by {} happenings that {} saw too (half within {:.1f} "
                    "ms)\n",
                    all[i]->controller(), seconds(offsets[i]) * 1e3, estimated[i].from, all[0]->controller(),
                    seconds(estimated[i].spread) * 1e3);
            else
                fmt::print("{}: too little that {} saw too; its clock is taken as it is\n", all[i]->controller(),
                           all[0]->controller());
        }
    } else {
        const Reading names(given);
        for (const std::string& each : given.offsets) names.take_offset(each, offsets);
    }
    const auto stream = trace_analysis::merge_traces(all, offsets);
    Output out(given.out, stream->begun());
    Progress progress("merging");
    std::uint64_t n = 0;
    while (const auto record = stream->next()) {
        out.add(*record, "merged of several controllers");
        if (++n % 4096 == 0) progress.at(stream->part_read());
    }
    fmt::print("{}: {} controllers, {} records\n", given.out, all.size(), out.finish());
    return 0;
}

std::string key_of(const Given& given) {
    if (!given.key.empty()) {
        std::ifstream in(given.key);
        std::string key;
        if (!std::getline(in, key)) throw TraceError(given.key + ": can't be read, or its first line is empty");
        return key;
    }
    std::random_device dice;  // a key that nobody keeps: the tokens fit no other file
    std::string key;
    for (int i = 0; i < 32; ++i) key.push_back(static_cast<char>(dice()));
    return key;
}

int anonymise(const Given& given) {
    trace_analysis::Pseudonymizer anonymous(key_of(given));
    Reading reading(given);
    Output out(given.out, reading.stream().begun());
    reading.walk("anonymising", [&](const Record& record) {
        if (const auto veiled = anonymous.pseudonymize(record)) out.add(*veiled, "without its names");
        return true;
    });
    fmt::print("{}: {} records\n", given.out, out.finish());
    return 0;
}

// ---------------------------------------------------------------- summarise, export

std::string ms_of(Time t) {
    return fmt::format("{:.1f}", seconds(t) * 1e3);
}

std::string share(std::uint64_t part, std::uint64_t all) {
    return all ? fmt::format("{:.1f}%", 100.0 * static_cast<double>(part) / static_cast<double>(all)) : "-";
}

void job_head(const char* what) {
    fmt::print("\n{:<22} {:>9} {:>9} {:>7} {:>7} {:>9} {:>9} {:>7} {:>8} {:>9} {:>9} {:>9} {:>9}\n", what, "jobs",
               "in time", "late", "bounced", "written", "abandoned", "open", "hops/job", "p50 ms", "p99 ms", "p99.9 ms",
               "parked p99");
}

void job_row(const std::string& name, const trace_analysis::RequestStats& requests) {
    const trace_analysis::Outcomes& o = requests.outcomes;
    fmt::print("{:<22} {:>9} {:>9} {:>7} {:>7} {:>9} {:>9} {:>7} {:>8.2f} {:>9} {:>9} {:>9} {:>9}\n",
               name.empty() ? "(none)" : name, o.total(), share(o.succeeded, o.total()), o.late, o.rejected, o.failed,
               o.cancelled, o.unfinished,
               o.total() ? static_cast<double>(requests.attempts) / static_cast<double>(o.total()) : 0,
               ms_of(requests.duration.quantile(0.5)), ms_of(requests.duration.quantile(0.99)),
               ms_of(requests.duration.quantile(0.999)), ms_of(requests.parked.quantile(0.99)));
}

template <class Row, class Key, class Print>
void table(const std::map<std::string, Row>& rows, std::size_t top, Key key, Print print) {
    std::vector<std::pair<std::uint64_t, const std::pair<const std::string, Row>*>> order;
    for (const auto& row : rows) order.emplace_back(key(row.second), &row);
    std::stable_sort(order.begin(), order.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    for (std::size_t i = 0; i < std::min(top, order.size()); ++i)
        print(order[i].second->first, order[i].second->second);
    if (order.size() > top) fmt::print("and {} more: see --top\n", order.size() - top);
}

void tell_summary(const trace_analysis::Summary& summary, const Given& given, Time step) {
    const auto requests = [](const trace_analysis::RequestStats& row) { return row.outcomes.total(); };
    job_head("");
    job_row("all", summary.all());
    for (const auto& [what, rows] : {std::pair{"by use case", &summary.request_classes()},
                                     {"by tenant", &summary.tenants()},
                                     {"by function", &summary.functions()}}) {
        job_head(what);
        table(*rows, given.top, requests, job_row);
    }
    fmt::print("\n{:<22} {:>9} {:>9} {:>9} {:>7} {:>11} {:>7} {:>10} {:>6} {:>6} {:>6} {:>9} {:>9}\n", "by invoker",
               "hops", "honoured", "turned", "cut", "unreachable", "overdue", "called off", "other", "out", "loads",
               "p50 ms", "p99 ms");
    table(
        summary.invokers(), given.top, [](const trace_analysis::AttemptStats& row) { return row.sent; },
        [](const std::string& name, const trace_analysis::AttemptStats& h) {
            fmt::print("{:<22} {:>9} {:>9} {:>9} {:>7} {:>11} {:>7} {:>10} {:>6} {:>6} {:>6} {:>9} {:>9}\n", name,
                       h.sent, share(h.succeeded, h.sent), h.rejected, h.connection_lost, h.unreachable, h.timed_out,
                       h.cancelled, h.other, h.in_flight, h.loads, ms_of(h.duration.quantile(0.5)),
                       ms_of(h.duration.quantile(0.99)));
        });
    const auto& line = summary.seconds();
    const auto step_s = std::max<std::size_t>(1, static_cast<std::size_t>(step / std::chrono::seconds(1)));
    fmt::print("\n{:<22} {:>9} {:>9} {:>7} {:>7} {:>9} {:>9} {:>9}\n", "over time", "taken", "in time", "late",
               "bounced", "written", "abandoned", "parked");
    for (std::size_t from = 0; from < line.size(); from += step_s) {
        trace_analysis::Outcomes sum;
        std::uint64_t taken = 0, parked = 0;
        for (std::size_t i = from; i < std::min(line.size(), from + step_s); ++i) {
            sum.add(line[i].ended);
            taken += line[i].received;
            parked = std::max(parked, line[i].parked);
        }
        fmt::print("{:<22} {:>9} {:>9} {:>7} {:>7} {:>9} {:>9} {:>9}\n", fmt::format("{} to {} s", from, from + step_s),
                   taken, share(sum.succeeded, sum.total()), sum.late, sum.rejected, sum.failed, sum.cancelled, parked);
    }
    if (const auto worst = summary.worst())
        fmt::print(
            "\nworst 10 s: from {:.0f} s, {} of {} jobs ended badly ({} late, {} bounced, {} written off, {} "
            "abandoned)\n",
            seconds(worst->from), worst->ended.ended_badly(), worst->ended.total(), worst->ended.late,
            worst->ended.rejected, worst->ended.failed, worst->ended.cancelled);
    if (!summary.annotations().empty()) fmt::print("\nmarks\n");
    for (std::size_t i = 0; i < std::min(given.top * 2, summary.annotations().size()); ++i)
        fmt::print("{:12.3f} s  {}\n", seconds(summary.annotations()[i].at), summary.annotations()[i].what);
    if (summary.annotations().size() > given.top * 2)
        fmt::print("and {} more\n", summary.annotations().size() - given.top * 2);
}

int summarise(const Given& given) {
    const trace_analysis::HistoryFilter filter = filter_of(given);
    const Time step = parse_duration(given.step);
    Reading reading(given, filter.from);
    trace_analysis::Summary summary;
    tales_of(
        reading, filter, "summing up",
        [&](const RequestHistory& history, const trace_analysis::NameTable&) {
            summary.add(history);
            return true;
        },
        [&](const Record& record, const trace_analysis::NameTable& names) { summary.note(record, names); });
    summary.finish();
    if (summary.all().outcomes.total() == 0) {
        fmt::print(stderr, "plumkeel: no job fits\n");
        return 1;
    }
    tell_summary(summary, given, step);
    if (given.svg.empty()) return 0;
    std::string who;
    for (const auto& each : reading.parts()) who += (who.empty() ? "" : ", ") + each->controller();
    trace_analysis::draw_summary(summary, fmt::format("{}: {} jobs", who, summary.all().outcomes.total()), given.svg);
    fmt::print("\ndrawn in {}\n", given.svg);
    return 0;
}

int export_all(const Given& given) {
    const trace_analysis::HistoryFilter filter = filter_of(given);
    if (given.format != "json" && given.format != "chrome")
        throw TraceError("--format " + given.format + ": neither json nor chrome");
    const bool chrome = given.format == "chrome";
    std::ofstream file;
    if (given.out != "-") {
        file.open(given.out);
        if (!file) throw TraceError(given.out + ": can't be written");
    }
    std::ostream& out = given.out == "-" ? std::cout : file;
    Reading reading(given, filter.from);
    trace_analysis::Summary marks;  // only for these
    if (chrome) out << "[\n";
    std::uint64_t requests = 0;
    tales_of(
        reading, filter, "exporting",
        [&](const RequestHistory& history, const trace_analysis::NameTable& names) {
            ++requests;
            if (chrome)
                out << trace_analysis::chrome_events(history, names);
            else
                out << trace_analysis::format_json(history, names) << '\n';
            return true;
        },
        [&](const Record& record, const trace_analysis::NameTable& names) {
            if (chrome) marks.note(record, names);
        });
    for (const trace_analysis::Annotation& mark : marks.annotations())
        out << trace_analysis::chrome_annotation(mark.at, mark.what);
    if (chrome) out << "{}]\n";
    out.flush();
    if (!out) throw TraceError(given.out + ": could not be written whole");
    fmt::print(stderr, "{} jobs\n", requests);
    return 0;
}

// ---------------------------------------------------------------- deciding again

// Allowances and rules that may be altered, by the names that the settings give them.
void alter(trace::Start& start, const std::string& change) {
    const auto equals = change.find('=');
    if (equals == std::string::npos) throw ConfigError("--change " + change + ": is no NAME=VALUE");
    const std::string name = change.substr(0, equals), value = change.substr(equals + 1);
    Capabilities& may = start.capabilities;
    SafetyRules& rules = start.rules;
    const std::map<std::string, Time*> times = {{"keep_alive", &may.keep_alive},
                                                {"tick", &may.clock_resolution},
                                                {"longest_retry_after", &may.max_retry_after},
                                                {"cold_for", &rules.slow_start_duration},
                                                {"push_span", &rules.slow_start_window},
                                                {"load_span", &rules.load_budget_window}};
    const std::map<std::string, double*> figures = {{"memory_price", &may.memory_price},
                                                    {"cold_share", &rules.slow_start_initial_share},
                                                    {"push_multiple", &rules.slow_start_rate_multiple},
                                                    {"free_loads", &rules.load_budget_base},
                                                    {"loads_per_job", &rules.load_budget_per_request}};
    const std::map<std::string, int*> counts = {{"hops", &may.max_attempts}, {"controllers", &may.controller_count}};
    const std::map<std::string, bool*> flags = {
        {"call_off", &may.cancellation},       {"probe", &may.health_checks},
        {"second_copies", &may.hedging},       {"retry_after", &may.retry_after},
        {"order_copies", &may.preload},        {"loads_on_demand", &may.on_demand_loading},
        {"steady_units", &may.stable_capacity}};
    try {
        if (times.count(name))
            *times.at(name) = parse_duration(value);
        else if (figures.count(name))
            *figures.at(name) = std::stod(value);
        else if (counts.count(name))
            *counts.at(name) = std::stoi(value);
        else if (flags.count(name) && (value == "true" || value == "false"))
            *flags.at(name) = value == "true";
        else
            throw ConfigError("--change " + change + ": no such rule or allowance, or no such value of it");
    } catch (const std::logic_error&) {
        throw ConfigError("--change " + change + ": '" + value + "' is no number");
    }
}

int redecide(const Given& given) {
    int status = 0;
    for (const auto& chapters : trace_analysis::open_all(given.files, trace_analysis::files_on_disk())) {
        trace::Replayer again([&](trace::Start& start) {
            for (const std::string& change : given.changes) alter(start, change);
        });
        chapters->rewind();
        std::optional<std::string> stopped;
        {
            Progress progress("deciding " + chapters->controller() + " again");
            std::uint64_t n = 0;
            while (const auto record = chapters->next()) {
                try {
                    again.feed(*record);
                } catch (const TraceError& fault) {
                    stopped = fmt::format("at {:.3f} s {}", seconds(record->at), fault.what());
                    break;
                }
                if (++n % 4096 == 0) progress.at(chapters->part_read());
            }
        }
        for (const auto& file : chapters->files()) tell_damage(file.name, *file.reader);
        const trace::Comparison found = again.compare();
        fmt::print("{}: {} calls, {} jobs: {}", chapters->controller(), found.calls, found.requests,
                   found.first ? fmt::format("{} answers differ, {} jobs decided otherwise", found.different_calls,
                                             found.different_requests)
                               : "identical");
        fmt::print("{}\n", stopped ? "; " + *stopped : "");
        if (found.first) {
            fmt::print("  the first at call {}, {:.6f} s{}\n  then: {}\n  now:  {}\n", found.first->call,
                       seconds(found.first->record.at),
                       found.first->record.request ? fmt::format(", job {}", found.first->record.request) : "",
                       found.first->recorded, found.first->replayed);
            for (const auto& [request, ways] : found.diverged)
                fmt::print("  job {}: then {}; now {}\n", request, ways.first, ways.second);
            if (found.different_requests > found.diverged.size())
                fmt::print("  and {} jobs more\n", found.different_requests - found.diverged.size());
        }
        if (found.first || stopped) status = 1;
    }
    return status;
}

void offer_filter(CLI::App& command, Given& given) {
    command.add_option("--from", given.from, "jobs taken at or after this span from the trace's start, as 90s or 5m");
    command.add_option("--to", given.to, "and before this");
    command.add_option("--use-case", given.filter.request_class);
    command.add_option("--tenant", given.filter.tenant);
    command.add_option("--function", given.filter.function);
    command.add_option("--invoker", given.filter.invoker, "that any of the job's hops went to");
    command.add_option("--outcome", given.filter.outcome,
                       "honoured, late, bounced, written-off, abandoned, unfinished, or badly for all but honoured");
}

}  // namespace

std::function<int()> add_trace(CLI::App& app) {
    CLI::App* trace_command = app.add_subcommand("trace", "read traces back");
    trace_command->require_subcommand(1);
    const auto given = std::make_shared<Given>();
    std::vector<std::pair<CLI::App*, int (*)(const Given&)>> commands;
    auto add = [&](const char* name, const char* what, int (*run)(const Given&)) {
        CLI::App* command = trace_command->add_subcommand(name, what);
        commands.emplace_back(command, run);
        return command;
    };
    add("verify", "say what is in them, and what is damaged", verify);
    CLI::App* show_command = add("show", "one job's story", show);
    show_command->add_option("job", given->request, "as in plumkeel-job, or NUMBER@CONTROLLER")->required();
    show_command->add_flag("--reasons", given->reasons, "decide again, for the invokers that were weighed");
    CLI::App* find_command = add("find", "a line for each job that fits", find);
    find_command->add_option("--limit", given->limit, "stop after so many")->capture_default_str();
    CLI::App* cut_command = add("cut", "a file with the jobs that fit", cut);
    CLI::App* merge_command = add("merge", "a file of several controllers' traces", merge);
    CLI::App* anonymise_command = add("anonymise", "a file without names", anonymise);
    anonymise_command->add_option("--key", given->key, "a file whose first line is the key; a random one if left out");
    CLI::App* summarise_command = add("summarise", "outcomes, waits and hops, over all and over time", summarise);
    summarise_command->add_option("--svg", given->svg, "draw them in this file");
    summarise_command->add_option("--top", given->top, "rows of a table")->capture_default_str();
    summarise_command->add_option("--step", given->step, "of the table over time")->capture_default_str();
    CLI::App* export_command = add("export", "all jobs that fit, for other tools", export_all);
    export_command->add_option("--format", given->format, "json: a line a job; chrome: trace events")
        ->capture_default_str();
    CLI::App* redecide_command = add("redecide", "decide it all again and compare", redecide);
    redecide_command->add_option("--change", given->changes,
                                 "NAME=VALUE of a rule or an allowance, as in the settings");
    for (CLI::App* command : {cut_command, merge_command, anonymise_command, export_command})
        command->add_option("-o,--out", given->out, "the file to write")->required();
    for (CLI::App* command : {find_command, cut_command, summarise_command, export_command})
        offer_filter(*command, *given);
    for (CLI::App* command :
         {find_command, cut_command, merge_command, summarise_command, export_command, anonymise_command})
        command->add_option("--offset", given->offsets,
                            "CONTROLLER=SPAN to add to its clock; merge estimates them if none is given");
    for (const auto& [command, run] : commands) command->add_option("files", given->files, "in any order")->required();
    return [given, commands] {
        for (const auto& [command, run] : commands)
            if (*command) return run(*given);
        return 2;
    };
}

}  // namespace plumkeel::cli
