#include "emulator/faults/fault_plan.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>
#include <stdexcept>

namespace plumkeel::faults {

PlanFile::PlanFile(std::string path) : path_(std::move(path)) {
    const int file = ::open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) throw std::runtime_error(path_ + ": can't be made");
    void* memory = MAP_FAILED;
    if (::ftruncate(file, sizeof(Plan)) == 0)
        memory = ::mmap(nullptr, sizeof(Plan), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (memory == MAP_FAILED) throw std::runtime_error(path_ + ": can't be mapped");
    plan_ = new (memory) Plan;
}

PlanFile::~PlanFile() {
    ::munmap(plan_, sizeof(Plan));
    ::unlink(path_.c_str());
}

void PlanFile::fail(Call call, std::uint32_t per_million, std::initializer_list<int> errors) {
    Rule& it = rule(call);
    it.failing = 0;
    std::uint32_t count = 0;
    for (const int each : errors)
        if (count < most_errors) it.error[count++] = each;
    it.errors = count;
    it.failing = count ? per_million : 0;
}

void PlanFile::heal() {
    for (Rule& each : plan_->rule) each.failing = each.shortened = 0;
}

}  // namespace plumkeel::faults
