#include "emulator/faults/fault_plan.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <stdexcept>

namespace plumkeel::faults {

PlanFile::PlanFile(std::string path) : path_(std::move(path)) {
    const int descriptor = ::open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0) throw std::runtime_error(path_ + ": cannot create the fault plan file");
    void* memory = MAP_FAILED;
    if (::ftruncate(descriptor, sizeof(Plan)) == 0)
        memory = ::mmap(nullptr, sizeof(Plan), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    ::close(descriptor);
    if (memory == MAP_FAILED) throw std::runtime_error(path_ + ": cannot map the fault plan file into memory");
    plan_ = new (memory) Plan;
}

PlanFile::~PlanFile() {
    ::munmap(plan_, sizeof(Plan));
    ::unlink(path_.c_str());
}

void PlanFile::fail(Call call, std::uint32_t per_million, std::initializer_list<int> errors) {
    Rule& call_rule = rule(call);
    call_rule.failing_per_million = 0;
    std::uint32_t error_count = 0;
    for (const int error : errors)
        if (error_count < max_error_codes) call_rule.error_codes[error_count++] = error;
    call_rule.error_count = error_count;
    call_rule.failing_per_million = error_count ? per_million : 0;
}

void PlanFile::heal() {
    for (Rule& call_rule : plan_->rules) call_rule.failing_per_million = call_rule.shortened_per_million = 0;
}

}  // namespace plumkeel::faults
