#include "cli/trace_output.hpp"

#include "trace/records.hpp"

namespace plumkeel::cli {

TraceOutput::TraceOutput(const std::string& file, trace::Time start_time, std::string derivation)
    : sink_(file), writer_(sink_, start_time), derivation_(std::move(derivation)) {}

void TraceOutput::add(const trace::Record& record) {
    trace::Record output_record = record;
    if (record.type == trace::resumed) {
        auto resumed = trace::unpack<trace::Resumed>(record.body);
        if (resumed.derivation.find(derivation_) == std::string::npos)
            resumed.derivation += (resumed.derivation.empty() ? "" : ", and ") + derivation_;
        output_record.body = trace::pack(resumed);
    } else if (!added_records_) {
        writer_.add({record.at, trace::resumed, 0, trace::pack(trace::Resumed{0, 0, derivation_})});
    }
    writer_.add(output_record);
    ++added_records_;
}

std::uint64_t TraceOutput::finish() {
    writer_.finish();
    return added_records_;
}

}  // namespace plumkeel::cli
