/// Fixture of the tests of remote write: creates samples, and removes the queue's folder after each test.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "remote_write/durable_queue.hpp"

namespace plumkeel::remote_write {

inline Sample make_sample(const std::string& name, int label_value, double value) {
    return {{{"__name__", name}, {"n", std::to_string(label_value)}}, value};
}

class DurableQueueTest : public testing::Test {
protected:
    DurableQueueTest() {
        config.folder = testing::TempDir() + "plumkeel_spool_" + std::to_string(::getpid());
        std::filesystem::remove_all(config.folder);
        config.shards = 2;
    }
    ~DurableQueueTest() override { std::filesystem::remove_all(config.folder); }
    static std::vector<Shard> encode_scrape(SeriesEncoder& encoder, int series_count, std::int64_t timestamp_ms,
                                            double value) {
        std::vector<Sample> samples;
        for (int i = 0; i < series_count; ++i) samples.push_back(make_sample("m", i, value));
        return encoder.encode(samples, timestamp_ms);
    }
    QueueConfig config;
};

}  // namespace plumkeel::remote_write
