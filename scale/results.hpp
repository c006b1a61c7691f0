/// Reads and writes results of scale runs as CSV files with one measurement per row. A file begins with its format,
/// machine and commit. It ends with its number of rows, so that a truncated file is rejected.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::scale {

struct ResultsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Row {
    std::string experiment;  // "decisions", "platform", "controllers"
    std::string series;      // name of the case in the plan
    std::string size_name;   // the field that varies: "invokers", "functions", "watchers", "controllers"
    double size{};
    int run{};
    std::string metric;  // such as "module_memory"
    std::string unit;    // such as "bytes"
    double value{};
};

struct ResultsFile {
    std::string machine;  // processor model and number of cores
    std::string commit;
    std::vector<Row> rows;
};

/// Throws ResultsError if the file can't be written or a text in a row holds a comma or line break.
void write_results(const std::string& file, const ResultsFile& results);
/// Throws ResultsError if the file can't be read, has another format or version, holds a malformed row, or is
/// truncated.
ResultsFile read_results(const std::string& file);

/// Returns the processor model and the number of cores of this machine in one line.
std::string describe_machine();

}  // namespace plumkeel::scale
