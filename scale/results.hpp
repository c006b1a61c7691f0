/// Results of scale runs: one measurement a row, as a CSV file that states its format, machine and commit, and that
/// ends with the number of its rows, so that a truncated file is rejected.
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
    std::string series;      // what is the same over all sizes
    std::string size_name;   // what `size` counts: "invokers", "functions", "watchers", "controllers"
    double size{};
    int run{};
    std::string metric;  // as is the next: "module_memory", "bytes"
    std::string unit;
    double value{};
};

struct ResultsFile {
    std::string machine;  // processor and cores
    std::string commit;
    std::vector<Row> rows;
};

/// Texts must hold no comma and no line end; throws ResultsError naming file and row where one does.
void write_results(const std::string& file, const ResultsFile& results);
/// Throws ResultsError for another format or version, a malformed row, and a truncated file.
ResultsFile read_results(const std::string& file);

/// Processor and number of cores of this machine, in one line.
std::string describe_machine();

}  // namespace plumkeel::scale
