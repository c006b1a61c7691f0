/// Judges a scenario from what passed on the emulator's sockets alone. Free of I/O: it is given lines of the records
/// and knows nothing of the controllers' own logs.
#pragma once

#include <boost/json.hpp>
#include <string>

#include "emulator/audit/deployment_rules.hpp"
#include "emulator/audit/record_index.hpp"
#include "emulator/audit/verdict.hpp"

namespace plumkeel::emulator {

class Auditor {
public:
    explicit Auditor(DeploymentRules rules) : rules_(std::move(rules)) {}

    /// A line of a record. `source` is one of source::, and `process` the name of the process that wrote it.
    void read(const std::string& source, const std::string& process, const boost::json::object& line) {
        records_.add(source, process, line);
    }
    /// To be called once, when all is read. The violations are in order of time.
    Verdict judge();

private:
    const DeploymentRules rules_;
    RecordIndex records_;
};

}  // namespace plumkeel::emulator
