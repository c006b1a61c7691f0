/// Tests that DurableQueue keeps the order of samples and its limits, also after a restart or SIGKILL of the process.
#include "remote_write/durable_queue.hpp"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "tests/durable_queue_fixture.hpp"

namespace plumkeel::remote_write {
namespace {

using namespace std::chrono_literals;

TEST_F(DurableQueueTest, EntriesAndPositionsSurviveARestart) {
    SeriesEncoder encoder(2);
    DurableQueue::Batch batch_before_restart;
    {
        DurableQueue queue(config, {"a", "b"});
        for (int i = 0; i < 10; ++i) queue.append(1000 * i, encode_scrape(encoder, 20, 1000 * i, i));
        batch_before_restart = queue.read("a", 0, 25);
        EXPECT_GT(batch_before_restart.samples, 0u);
        EXPECT_LE(batch_before_restart.samples, 25u);
        queue.advance("a", 0, batch_before_restart.next);
    }
    DurableQueue queue(config, {"a", "b"});
    EXPECT_EQ(queue.next_sequence(), 10u);
    EXPECT_EQ(queue.pending_samples("a"), 200u - batch_before_restart.samples);
    EXPECT_EQ(queue.pending_samples("b"), 200u);
    EXPECT_EQ(queue.read("b", 0, 25).bytes, batch_before_restart.bytes);
    EXPECT_NE(queue.read("a", 0, 25).bytes, batch_before_restart.bytes);
}

TEST_F(DurableQueueTest, EntriesAreReleasedOnceAllReceiversAcknowledged) {
    SeriesEncoder encoder(2);
    DurableQueue queue(config, {"a", "b"});
    for (int i = 0; i < 10; ++i) queue.append(1000 * i, encode_scrape(encoder, 20, 1000 * i, i));
    for (const char* name : {"a", "b"})
        for (int shard = 0; shard < 2; ++shard) queue.advance(name, shard, queue.next_sequence());
    EXPECT_EQ(queue.bytes(), 0u);
    EXPECT_EQ(queue.dropped_samples(), 0u);
}

TEST_F(DurableQueueTest, DropsAndCountsTheOldestBeyondItsLimits) {
    SeriesEncoder encoder(2);
    config.max_bytes = 20'000;
    std::uint64_t dropped = 0;
    {
        DurableQueue queue(config, {"a"});
        for (int i = 0; i < 200; ++i) {
            queue.append(1000 * i, encode_scrape(encoder, 50, 1000 * i, i * 1.7));
            EXPECT_LE(queue.bytes(), 20'000u);
        }
        dropped = queue.dropped_samples();
        EXPECT_GT(dropped, 1000u);
        EXPECT_EQ(queue.pending_samples("a") + dropped, 200u * 50);
        EXPECT_GT(queue.read("a", 0, 1).oldest_ms, 100'000);
    }
    EXPECT_EQ(DurableQueue(config, {"a"}).dropped_samples(), dropped);
    config.max_age = 10s;
    DurableQueue queue(config, {"a"});
    queue.append(1'000'000, encode_scrape(encoder, 50, 1'000'000, 1));
    EXPECT_EQ(queue.pending_samples("a"), 50u);
}

TEST_F(DurableQueueTest, ChangesTheNumberOfShardsOnlyWhenEmpty) {
    SeriesEncoder encoder(2);
    {
        DurableQueue queue(config, {"a"});
        queue.append(1000, encode_scrape(encoder, 20, 1000, 1));
    }
    QueueConfig three_shards = config;
    three_shards.shards = 3;
    try {
        DurableQueue queue(three_shards, {"a"});
        FAIL();
    } catch (const QueueError& error) {
        EXPECT_NE(std::string(error.what()).find("holds samples in 2 shards"), std::string::npos);
    }
    {
        DurableQueue queue(config, {"a"});
        EXPECT_EQ(queue.newest_timestamp_ms(), 1000);
        for (int shard = 0; shard < 2; ++shard) queue.advance("a", shard, queue.next_sequence());
    }
    EXPECT_EQ(DurableQueue(three_shards, {"a"}).newest_timestamp_ms(), 1000);
}

// Kills the appending process ten times at random moments. Guards against losing scrapes after append() has returned.
TEST_F(DurableQueueTest, AppendedScrapesSurviveSigkill) {
    std::uint64_t random_state = 77;
    std::int64_t first_ms = 0;
    for (int run = 0; run < 10; ++run) {
        int pipe_ends[2];
        ASSERT_EQ(::pipe(pipe_ends), 0);
        const pid_t child = ::fork();
        if (child == 0) {
            DurableQueue queue(config, {"a"});
            SeriesEncoder encoder(2);
            for (std::int64_t i = 1;; ++i) {
                queue.append(first_ms + i, encode_scrape(encoder, 10, first_ms + i, 1));
                const std::uint64_t child_sequence = queue.next_sequence();
                if (::write(pipe_ends[1], &child_sequence, sizeof child_sequence) != sizeof child_sequence) _exit(1);
                if (i % 7 == 0) queue.advance("a", 0, queue.read("a", 0, 15).next);
            }
        }
        ::close(pipe_ends[1]);
        random_state = random_state * 6364136223846793005ULL + 1;
        std::uint64_t reported_sequence = 0, child_sequence = 0;
        for (auto remaining_reports = 5 + (random_state >> 40) % 40; remaining_reports > 0; --remaining_reports) {
            ASSERT_EQ(::read(pipe_ends[0], &child_sequence, sizeof child_sequence),
                      static_cast<ssize_t>(sizeof child_sequence));
            reported_sequence = child_sequence;
        }
        ::kill(child, SIGKILL);
        while (::read(pipe_ends[0], &child_sequence, sizeof child_sequence) == sizeof child_sequence)
            reported_sequence = child_sequence;
        ::close(pipe_ends[0]);
        ::waitpid(child, nullptr, 0);
        DurableQueue queue(config, {"a"});
        EXPECT_GE(queue.next_sequence(), reported_sequence);
        EXPECT_LE(queue.next_sequence(), reported_sequence + 1);
        first_ms += 1000;
    }
}

}  // namespace
}  // namespace plumkeel::remote_write
