/// Tests DurableQueue on a disk whose writes and syncs fail with EIO or ENOSPC: a receiver must get the scrapes that
/// append() accepted, in order and also after a restart, and none that append() refused. The fault library linked into
/// this test makes its system calls fail.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>

#include "emulator/faults/fault_plan.hpp"
#include "random/pcg.hpp"
#include "remote_write/durable_queue.hpp"

namespace plumkeel::remote_write {
namespace {

using faults::Call;

class DurableQueueFaultsTest : public testing::Test {
protected:
    DurableQueueFaultsTest() : fault_plan(testing::TempDir() + "/spool_plan." + std::to_string(::getpid())) {
        config.folder = testing::TempDir() + "/spool_faults." + std::to_string(::getpid());
        config.shards = 2;
        faults::plumkeel_use_fault_plan(&fault_plan.plan());
    }
    ~DurableQueueFaultsTest() override {
        faults::plumkeel_use_fault_plan(nullptr);
        std::filesystem::remove_all(config.folder);
    }
    // Returns the content of scrape `scrape_number` in `shard`. The lengths of different scrapes differ.
    static std::string scrape_bytes(int scrape_number, int shard) {
        return "scrape " + std::to_string(scrape_number) + " shard " + std::to_string(shard) +
               std::string(static_cast<std::size_t>(scrape_number % 17) * 40, '.') + "\n";
    }
    // Appends scrape `scrape_number`; returns whether the queue accepted it. Every third scrape has no samples in the
    // second shard.
    bool append(DurableQueue& queue, int scrape_number) {
        std::vector<Shard> shards{{scrape_bytes(scrape_number, 0), 1}, {scrape_bytes(scrape_number, 1), 1}};
        if (scrape_number % 3 == 0) shards[1] = {};
        try {
            queue.append(1000 * scrape_number, shards);
        } catch (const QueueError&) {
            return false;
        }
        for (int shard = 0; shard < 2; ++shard)
            if (shards[static_cast<std::size_t>(shard)].samples)
                appended_bytes[shard] += scrape_bytes(scrape_number, shard);
        return true;
    }
    void expect_appended_bytes(DurableQueue& queue) {
        for (int shard = 0; shard < 2; ++shard)
            EXPECT_EQ(queue.read("a", shard, 100'000).bytes, appended_bytes[shard]) << "shard " << shard;
    }

    QueueConfig config;
    faults::PlanFile fault_plan;
    std::string appended_bytes[2];
};

// The disk fails while one scrape is appended. The queue must accept later scrapes and not contain that one.
TEST_F(DurableQueueFaultsTest, RecoversWhenTheDiskRecovers) {
    for (const auto& [failing_call, error] :
         std::vector<std::pair<Call, int>>{{Call::sync, EIO}, {Call::write_file, EIO}, {Call::write_file, ENOSPC}}) {
        appended_bytes[0] = appended_bytes[1] = "";
        std::filesystem::remove_all(config.folder);
        {
            DurableQueue queue(config, {"a"});
            EXPECT_TRUE(append(queue, 1));
            fault_plan.fail(failing_call, 1'000'000, {error});
            EXPECT_FALSE(append(queue, 2));
            fault_plan.heal();
            EXPECT_TRUE(append(queue, 3));
            EXPECT_TRUE(append(queue, 4));
            expect_appended_bytes(queue);
        }
        DurableQueue reopened(config, {"a"});
        expect_appended_bytes(reopened);
    }
}

// Random writes and syncs fail during many runs of the queue. Guards against lost or partly stored scrapes.
TEST_F(DurableQueueFaultsTest, KeepsAppendedScrapesWhicheverCallFails) {
    Pcg random(7);
    int scrape_number = 0, refused_scrapes = 0;
    for (int run = 0; run < 40; ++run) {
        DurableQueue queue(config, {"a"});
        fault_plan.fail(Call::sync, 60'000, {EIO});
        fault_plan.fail(Call::write_file, 60'000, {EIO, ENOSPC});
        for (int i = 0; i < 20; ++i) refused_scrapes += !append(queue, ++scrape_number);
        fault_plan.heal();
        expect_appended_bytes(queue);
    }
    EXPECT_GT(refused_scrapes, 20);
    EXPECT_LT(refused_scrapes, 600);
    DurableQueue reopened(config, {"a"});
    expect_appended_bytes(reopened);
}

}  // namespace
}  // namespace plumkeel::remote_write
