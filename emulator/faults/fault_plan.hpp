/// The fault plan: which system calls of a process fail, and how often. It is memory shared through a file between a
/// test and the fault library (fault_preload.cpp) in the process, so that the test can change it while the process
/// runs.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace plumkeel::faults {

/// The environment variable that holds the path of the plan's file.
inline constexpr const char* plan_variable = "PLUMKEEL_FAULT_PLAN";

enum class Call : std::size_t { accept, connect, send, receive, wait, sync, write_file, count_ };
inline constexpr std::size_t call_kind_count = static_cast<std::size_t>(Call::count_);
inline constexpr std::size_t max_error_codes = 8;

/// The faults to inject into one kind of system call, and counts of the calls, which the fault library updates.
struct Rule {
    // How many calls fail, and how many transfer fewer bytes than asked.
    std::atomic<std::uint32_t> failing_per_million{}, shortened_per_million{};
    // Values of errno, of which the first `error_count` are used. One is picked at random for each failure.
    std::atomic<std::uint32_t> error_count{};
    std::atomic<std::int32_t> error_codes[max_error_codes]{};
    std::atomic<std::uint64_t> total{}, failed{}, cut_short{};  // numbers of calls so far
};

struct Plan {
    std::atomic<std::int64_t> wall_ahead_us{};  // added to the process's wall clock
    std::atomic<std::uint64_t> seed{1};         // state of the random number generator
    Rule rules[call_kind_count];
};

/// Sets the fault plan of the calling process, for a program that is linked with the fault library rather than started
/// with LD_PRELOAD. `plan` points to a Plan; null returns to the plan of the environment variable, if any.
extern "C" void plumkeel_use_fault_plan(void* plan);

/// Creates a file with a fault plan and maps it into memory; removes the file on destruction.
class PlanFile {
public:
    /// Throws std::runtime_error if the file cannot be created or mapped.
    explicit PlanFile(std::string path);
    ~PlanFile();
    PlanFile(const PlanFile&) = delete;
    PlanFile& operator=(const PlanFile&) = delete;

    const std::string& path() const { return path_; }
    Plan& plan() { return *plan_; }
    Rule& rule(Call call) { return plan_->rules[static_cast<std::size_t>(call)]; }
    /// Makes `per_million` of a million calls fail, each with one of these values of errno. Values after the first
    /// `max_error_codes` are ignored.
    void fail(Call call, std::uint32_t per_million, std::initializer_list<int> errors);
    /// Makes `per_million` of a million calls transfer fewer bytes than asked.
    void cut_short(Call call, std::uint32_t per_million) { rule(call).shortened_per_million = per_million; }
    /// Stops all injected errors and short transfers. The offset of the wall clock is kept.
    void heal();

private:
    const std::string path_;
    Plan* plan_{};
};

}  // namespace plumkeel::faults
