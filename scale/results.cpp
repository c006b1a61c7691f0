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
constexpr std::string_view column_names = "experiment,series,size_name,size,run,metric,unit,value";
constexpr std::string_view machine_key = "# machine: ", commit_key = "# commit: ", row_count_key = "# rows: ";
constexpr std::size_t column_count = 8;

template <class T>
T parse_number(const std::string& text, const std::string& file, std::size_t line_number) {
    T value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw ResultsError(fmt::format("{}:{}: found '{}', expected a number", file, line_number, text));
    return value;
}

Row parse_row(const std::string& text, const std::string& file, std::size_t line_number) {
    std::vector<std::string> fields;
    boost::split(fields, text, boost::is_any_of(","));
    if (fields.size() != column_count)
        throw ResultsError(
            fmt::format("{}:{}: found {} columns, expected {}", file, line_number, fields.size(), column_count));
    return {fields[0],
            fields[1],
            fields[2],
            parse_number<double>(fields[3], file, line_number),
            parse_number<int>(fields[4], file, line_number),
            fields[5],
            fields[6],
            parse_number<double>(fields[7], file, line_number)};
}

std::string read_header(std::istream& in, std::string_view key, const std::string& file) {
    std::string line;
    std::getline(in, line);
    if (!line.starts_with(key))
        throw ResultsError(fmt::format(
            "{}: the line that begins with '{}' is missing: not a results file of this version", file, key));
    return line.substr(key.size());
}

void check_csv_text(const std::string& text, const std::string& file) {
    if (text.find_first_of(",\r\n") != std::string::npos)
        throw ResultsError(
            fmt::format("{}: '{}' can't be written to a CSV row: it holds a comma or a line break", file, text));
}

}  // namespace

void write_results(const std::string& file, const ResultsFile& results) {
    std::ofstream out(file);
    out << format_line << '\n'
        << machine_key << results.machine << '\n'
        << commit_key << results.commit << '\n'
        << column_names << '\n';
    for (const Row& row : results.rows) {
        for (const std::string* text : {&row.experiment, &row.series, &row.size_name, &row.metric, &row.unit})
            check_csv_text(*text, file);
        out << fmt::format("{},{},{},{:g},{},{},{},{:.9g}\n", row.experiment, row.series, row.size_name, row.size,
                           row.run, row.metric, row.unit, row.value);
    }
    out << row_count_key << results.rows.size() << '\n';
    out.flush();
    if (!out) throw ResultsError(file + ": the results file can't be written");
}

ResultsFile read_results(const std::string& file) {
    std::ifstream in(file);
    if (!in) throw ResultsError(file + ": the results file can't be read");
    ResultsFile out;
    read_header(in, format_line, file);
    out.machine = read_header(in, machine_key, file);
    out.commit = read_header(in, commit_key, file);
    read_header(in, column_names, file);
    std::string line;
    for (std::size_t line_number = 5; std::getline(in, line); ++line_number) {
        if (line.starts_with(row_count_key)) {
            if (parse_number<std::size_t>(line.substr(row_count_key.size()), file, line_number) != out.rows.size())
                throw ResultsError(fmt::format("{}: states {} rows but holds {}", file,
                                               line.substr(row_count_key.size()), out.rows.size()));
            return out;
        }
        out.rows.push_back(parse_row(line, file, line_number));
    }
    throw ResultsError(file + ": the file is truncated: the line with the number of rows is missing");
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
