/// Checks whether the controllers of an emulated scenario kept the deployment's rules. The input is the records that
/// the emulator's processes wrote; the controllers' own logs are not used. Does no I/O.
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

    /// Adds one line of a record file. `source` is a constant of namespace source; `process` is the name of the process
    /// that wrote the line.
    void read(const std::string& source, const std::string& process, const boost::json::object& line) {
        records_.add(source, process, line);
    }
    /// Runs all checks. Call it once, after the last read(). The violations of the verdict are sorted by time.
    Verdict judge();

private:
    const DeploymentRules rules_;
    RecordIndex records_;
};

}  // namespace plumkeel::emulator
