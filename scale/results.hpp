// Results of scale runs: one measurement a row, as a CSV file that says which format, machine and commit it is of, and
// that ends with the number of its rows, so that a file cut off is refused.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace plumkeel::scale {

struct ResultsFault : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Row {
    std::string experiment;  // "decisions", "platform", "controllers"
    std::string series;      // what was the same over all sizes
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

// Texts must hold no comma and no line end; throws ResultsFault naming file and row where one does.
void write_results(const std::string& file, const ResultsFile& results);
// Throws ResultsFault for another format or version, a row that is none, and a file that is cut off.
ResultsFile read_results(const std::string& file);

// Processor and number of cores of this machine, in one line.
std::string describe_machine();

}  // namespace plumkeel::scale
