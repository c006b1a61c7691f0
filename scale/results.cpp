#include "scale/results.hpp"

#include <fmt/format.h>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <fstream>
#include <thread>

namespace plumkeel::scale {
namespace {

constexpr std::string_view format_line = "# plumkeel-scale results, version 1";
constexpr std::string_view columns = "experiment,series,size_name,size,run,metric,unit,value";
constexpr std::string_view machine_key = "# machine: ", commit_key = "# commit: ", end_key = "# rows: ";
constexpr std::size_t column_count = 8;

template <class T>
T number_of(const std::string& text, const std::string& file, std::size_t line) {
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw ResultsFault(fmt::format("{}:{}: '{}' is no number", file, line, text));
    return value;
}

Row row_of(const std::string& text, const std::string& file, std::size_t line) {
    std::vector<std::string> fields;
    boost::split(fields, text, boost::is_any_of(","));
    if (fields.size() != column_count)
        throw ResultsFault(fmt::format("{}:{}: {} columns, not {}", file, line, fields.size(), column_count));
    return {fields[0],
            fields[1],
            fields[2],
            number_of<double>(fields[3], file, line),
            number_of<int>(fields[4], file, line),
            fields[5],
            fields[6],
            number_of<double>(fields[7], file, line)};
}

std::string expect(std::istream& in, std::string_view key, const std::string& file) {
    std::string line;
    std::getline(in, line);
    if (!line.starts_with(key))
        throw ResultsFault(fmt::format("{}: '{}' is missing: not results of this version", file, key));
    return line.substr(key.size());
}

void check_text(const std::string& text, const std::string& file) {
    if (text.find_first_of(",\r\n") != std::string::npos)
        throw ResultsFault(fmt::format("{}: '{}' can't stand in a row", file, text));
}

}  // namespace

void write_results(const std::string& file, const ResultsFile& results) {
    std::ofstream out(file);
    out << format_line << '\n'
        << machine_key << results.machine << '\n'
        << commit_key << results.commit << '\n'
        << columns << '\n';
    for (const Row& row : results.rows) {
        for (const std::string* text : {&row.experiment, &row.series, &row.size_name, &row.metric, &row.unit})
            check_text(*text, file);
        out << fmt::format("{},{},{},{:g},{},{},{},{:.9g}\n", row.experiment, row.series, row.size_name, row.size,
                           row.run, row.metric, row.unit, row.value);
    }
    out << end_key << results.rows.size() << '\n';
    out.flush();
    if (!out) throw ResultsFault(file + ": can't be written");
}

ResultsFile read_results(const std::string& file) {
    std::ifstream in(file);
    if (!in) throw ResultsFault(file + ": can't be read");
    ResultsFile out;
    expect(in, format_line, file);
    out.machine = expect(in, machine_key, file);
    out.commit = expect(in, commit_key, file);
    expect(in, columns, file);
    std::string line;
    for (std::size_t number = 5; std::getline(in, line); ++number) {
        if (line.starts_with(end_key)) {
            if (number_of<std::size_t>(line.substr(end_key.size()), file, number) != out.rows.size())
                throw ResultsFault(
                    fmt::format("{}: says {} rows and holds {}", file, line.substr(end_key.size()), out.rows.size()));
            return out;
        }
        out.rows.push_back(row_of(line, file, number));
    }
    throw ResultsFault(file + ": is cut off: its last line is missing");
}

std::string describe_machine() {
    std::ifstream in("/proc/cpuinfo");
    std::string line, model = "unknown processor";
    while (std::getline(in, line))
        if (line.starts_with("model name")) {
            model = line.substr(line.find(':') + 2);
            break;
        }
    std::erase(model, ',');
    return fmt::format("{}; {} cores", model, std::thread::hardware_concurrency());
}

}  // namespace plumkeel::scale
