/// The durable queue on a disk that fails: writes and syncs that end with EIO or ENOSPC, now and then or for a while.
/// What append() accepted is there for its receiver, in order, now and after a restart; what it refused is not. The
/// system calls of this program itself fail, through the library it is linked with.
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
    DurableQueueFaultsTest() : plan(testing::TempDir() + "/spool_plan." + std::to_string(::getpid())) {
        config.folder = testing::TempDir() + "/spool_faults." + std::to_string(::getpid());
        config.shards = 2;
        faults::plumkeel_use_fault_plan(&plan.plan());
    }
    ~DurableQueueFaultsTest() override {
        faults::plumkeel_use_fault_plan(nullptr);
        std::filesystem::remove_all(config.folder);
    }
    // The bytes of scrape `n` in `shard`, each of another length.
    static std::string bytes_of(int n, int shard) {
        return "scrape " + std::to_string(n) + " shard " + std::to_string(shard) +
               std::string(static_cast<std::size_t>(n % 17) * 40, '.') + "\n";
    }
    // Returns whether the queue accepted it. Every third scrape has no samples in its second shard.
    bool append(DurableQueue& queue, int n) {
        std::vector<Shard> shards{{bytes_of(n, 0), 1}, {bytes_of(n, 1), 1}};
        if (n % 3 == 0) shards[1] = {};
        try {
            queue.append(1000 * n, shards);
        } catch (const QueueError&) {
            return false;
        }
        for (int shard = 0; shard < 2; ++shard)
            if (shards[static_cast<std::size_t>(shard)].samples) appended[shard] += bytes_of(n, shard);
        return true;
    }
    void expect_appended(DurableQueue& queue) {
        for (int shard = 0; shard < 2; ++shard)
            EXPECT_EQ(queue.read("a", shard, 100'000).bytes, appended[shard]) << "shard " << shard;
    }

    QueueConfig config;
    faults::PlanFile plan;
    std::string appended[2];
};

// The disk fails for one scrape and recovers: so does the queue, without anything of that scrape.
TEST_F(DurableQueueFaultsTest, RecoversWhenTheDiskRecovers) {
    for (const auto& [call, error] :
         std::vector<std::pair<Call, int>>{{Call::sync, EIO}, {Call::write_file, EIO}, {Call::write_file, ENOSPC}}) {
        appended[0] = appended[1] = "";
        std::filesystem::remove_all(config.folder);
        {
            DurableQueue queue(config, {"a"});
            EXPECT_TRUE(append(queue, 1));
            plan.fail(call, 1'000'000, {error});
            EXPECT_FALSE(append(queue, 2));
            plan.heal();
            EXPECT_TRUE(append(queue, 3));
            EXPECT_TRUE(append(queue, 4));
            expect_appended(queue);
        }
        DurableQueue reopened(config, {"a"});
        expect_appended(reopened);
    }
}

// The disk fails now and then, at any of the writes and syncs of a scrape, over many restarts.
TEST_F(DurableQueueFaultsTest, KeepsAppendedScrapesWhicheverCallFails) {
    Pcg random(7);
    int n = 0, refused = 0;
    for (int run = 0; run < 40; ++run) {
        DurableQueue queue(config, {"a"});
        plan.fail(Call::sync, 60'000, {EIO});
        plan.fail(Call::write_file, 60'000, {EIO, ENOSPC});
        for (int i = 0; i < 20; ++i) refused += !append(queue, ++n);
        plan.heal();
        expect_appended(queue);
    }
    EXPECT_GT(refused, 20);
    EXPECT_LT(refused, 600);
    DurableQueue reopened(config, {"a"});
    expect_appended(reopened);
}

}  // namespace
}  // namespace plumkeel::remote_write
