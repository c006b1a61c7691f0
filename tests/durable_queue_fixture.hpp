/// Shared by the tests of remote write: samples, and a queue's folder that is removed after each test.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "remote_write/durable_queue.hpp"

namespace plumkeel::remote_write {

inline Sample sample(const std::string& name, int number, double value) {
    return {{{"__name__", name}, {"n", std::to_string(number)}}, value};
}

class DurableQueueTest : public testing::Test {
protected:
    DurableQueueTest() {
        config.folder = testing::TempDir() + "plumkeel_spool_" + std::to_string(::getpid());
        std::filesystem::remove_all(config.folder);
        config.shards = 2;
    }
    ~DurableQueueTest() override { std::filesystem::remove_all(config.folder); }
    static std::vector<Shard> encode_scrape(SeriesEncoder& encoder, int series, std::int64_t at, double value) {
        std::vector<Sample> samples;
        for (int i = 0; i < series; ++i) samples.push_back(sample("m", i, value));
        return encoder.encode(samples, at);
    }
    QueueConfig config;
};

}  // namespace plumkeel::remote_write
