/// What a preloaded fault library (fault_preload.cpp) does to a process, and what it has done: one page of memory,
/// shared through a file, that a test maps and changes while the process runs.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace plumkeel::faults {

/// The environment variable that names the plan's file.
inline constexpr const char* plan_variable = "PLUMKEEL_FAULT_PLAN";

enum class Call : std::size_t { accept, connect, send, receive, wait, sync, write_file, count_ };
inline constexpr std::size_t calls = static_cast<std::size_t>(Call::count_);
inline constexpr std::size_t most_errors = 8;

/// How often a call fails, and with what. Rates are in calls of a million.
struct Rule {
    std::atomic<std::uint32_t> failing{}, shortened{};
    std::atomic<std::uint32_t> errors{};  // how many of the next are in use
    std::atomic<std::int32_t> error[most_errors]{};
    std::atomic<std::uint64_t> seen{}, failed{}, cut_short{};  // counted by the process
};

struct Plan {
    std::atomic<std::int64_t> wall_ahead_us{};  // the wall clock steps by changes of this
    std::atomic<std::uint64_t> seed{1};
    Rule rule[calls];
};

/// For a program that is linked with the library instead: sets the plan that its own calls follow; null: none.
extern "C" void plumkeel_use_fault_plan(void* plan);

/// A plan in a file of its own, which is created. Throws std::runtime_error where it can't be.
class PlanFile {
public:
    explicit PlanFile(std::string path);
    ~PlanFile();
    PlanFile(const PlanFile&) = delete;
    PlanFile& operator=(const PlanFile&) = delete;

    const std::string& path() const { return path_; }
    Plan& plan() { return *plan_; }
    Rule& rule(Call call) { return plan_->rule[static_cast<std::size_t>(call)]; }
    /// The call fails in so many of a million cases, with one of these errors each time.
    void fail(Call call, std::uint32_t per_million, std::initializer_list<int> errors);
    void cut_short(Call call, std::uint32_t per_million) { rule(call).shortened = per_million; }
    void heal();  // all calls work again; the clock stays as it is

private:
    const std::string path_;
    Plan* plan_{};
};

}  // namespace plumkeel::faults
