// Tests which polls BlockingQuery asks for, and which responses change its list of endpoints.
#include "consul/blocking_query.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <initializer_list>
#include <string>

namespace plumkeel::consul {
namespace {

using namespace std::chrono_literals;
using PollResult = BlockingQuery::PollResult;

std::string health_entry(const std::string& id, const std::string& metadata = "",
                         const std::string& status = "passing") {
    return R"({"Node":{"Address":"10.0.0.1","Meta":{"kind":"std","zone":"a"}},"Service":{"ID":")" + id +
           R"(","Port":80,"Meta":{)" + metadata + R"(}},"Checks":[{"Status":")" + status + R"("}]})";
}

std::string health_response(std::initializer_list<std::string> entries) {
    std::string text = "[";
    for (const auto& entry : entries) text += (text.size() > 1 ? "," : "") + entry;
    return text + "]";
}

class BlockingQueryTest : public testing::Test {
protected:
    BlockingQuery::Step respond(std::uint64_t index, const std::string& body) {
        return query.on_response(now += 1s, {200, index, body});
    }
    BlockingQuery query{10s, 1};
    Time now{};
};

TEST_F(BlockingQueryTest, ParsesEndpointsWithTheirMetadata) {
    const auto step =
        respond(7, health_response({health_entry("x", R"("units":"2.5","cell":"4","start":"1700000000000","zone":"b")"),
                                    health_entry("y", "", "critical")}));
    ASSERT_EQ(step.result, PollResult::updated);
    EXPECT_EQ(step.next.index, 7u);
    ASSERT_EQ(query.endpoints().size(), 2u);
    const auto& endpoint = query.endpoints()[0];
    EXPECT_EQ(endpoint.address, "10.0.0.1:80");
    EXPECT_EQ(endpoint.zone, "b");
    EXPECT_EQ(endpoint.type, "std");
    EXPECT_DOUBLE_EQ(endpoint.capacity, 2.5);
    EXPECT_EQ(endpoint.cell, 4);
    EXPECT_EQ(endpoint.started_at, Time(1700000000000000));
    EXPECT_TRUE(endpoint.ready);
    EXPECT_FALSE(query.endpoints()[1].ready);
}

TEST_F(BlockingQueryTest, DeliversOnlyChangesUnlessAnEndpointWasRemoved) {
    respond(1, health_response({health_entry("x"), health_entry("y")}));
    auto step = respond(2, health_response({health_entry("x"), health_entry("y", "", "critical")}));
    EXPECT_FALSE(step.is_complete);
    ASSERT_EQ(step.changed.size(), 1u);
    EXPECT_EQ(step.changed[0].name, "y");
    step = respond(3, health_response({health_entry("x")}));
    EXPECT_TRUE(step.is_complete);
    EXPECT_EQ(step.changed.size(), 1u);
    EXPECT_EQ(respond(4, health_response({health_entry("x")})).result, PollResult::unchanged);
}

TEST_F(BlockingQueryTest, NewStartTimeOfAKnownEndpointIsAChange) {
    respond(1, health_response({health_entry("x", R"("start":"1000")")}));
    const auto step = respond(2, health_response({health_entry("x", R"("start":"2000")")}));
    ASSERT_EQ(step.changed.size(), 1u);
    EXPECT_EQ(step.changed[0].started_at, Time(2s));
}

TEST_F(BlockingQueryTest, DecreasedIndexIsAppliedOnlyOnceConfirmed) {
    respond(50, health_response({health_entry("x"), health_entry("y")}));
    auto step = respond(3, health_response({health_entry("x")}));
    EXPECT_EQ(step.result, PollResult::unconfirmed);
    EXPECT_EQ(step.next.index, 0u);
    EXPECT_EQ(query.endpoints().size(), 2u);
    step = respond(3, health_response({health_entry("x")}));
    EXPECT_EQ(step.result, PollResult::updated);
    EXPECT_EQ(step.next.index, 3u);
    EXPECT_EQ(query.endpoints().size(), 1u);
}

TEST_F(BlockingQueryTest, EmptyListIsAppliedOnlyOnceConfirmed) {
    respond(1, health_response({health_entry("x")}));
    EXPECT_EQ(respond(2, "[]").result, PollResult::unconfirmed);
    EXPECT_EQ(query.endpoints().size(), 1u);
    // The second poll returns an endpoint again, so it does not confirm the empty list.
    EXPECT_EQ(respond(3, health_response({health_entry("x")})).result, PollResult::unchanged);
    EXPECT_EQ(respond(4, "[]").result, PollResult::unconfirmed);
    const auto step = respond(4, "[]");
    EXPECT_EQ(step.result, PollResult::updated);
    EXPECT_TRUE(step.is_complete);
    EXPECT_TRUE(query.endpoints().empty());
}

TEST_F(BlockingQueryTest, KeepsTheLastKnownListThroughFailuresAndMalformedResponses) {
    respond(9, health_response({health_entry("x")}));
    Time max_delay{};
    for (int i = 0; i < 8; ++i) {
        const auto step = query.on_failure();
        EXPECT_EQ(step.next.index, 9u);
        EXPECT_LE(step.next.delay, 7500ms);
        max_delay = std::max(max_delay, step.next.delay);
    }
    EXPECT_GT(max_delay, 1s);
    for (const char* malformed : {"", "{}", "[", "null", "[[[["}) {
        EXPECT_EQ(respond(10, malformed).result, PollResult::malformed);
        EXPECT_EQ(query.endpoints().size(), 1u);
    }
    EXPECT_EQ(query.on_response(now, {500, 10, "[]"}).result, PollResult::malformed);
    EXPECT_EQ(query.endpoints().size(), 1u);
}

TEST_F(BlockingQueryTest, SkipsAndCountsMalformedEntries) {
    respond(1, health_response({health_entry("x"), health_entry("x"), R"({"Service":{"ID":"z"}})", "3",
                                R"({"Service":{"ID":"q","Address":"h","Port":70000}})"}));
    EXPECT_EQ(query.endpoints().size(), 1u);
    EXPECT_EQ(query.skipped_entries(), 4u);
}

TEST_F(BlockingQueryTest, MissingIndexNeitherBlocksNorPollsInATightLoop) {
    const auto step = query.on_response(now, {200, std::nullopt, health_response({health_entry("x")})});
    EXPECT_EQ(step.next.index, 0u);
    EXPECT_GE(step.next.delay, 1s);
}

}  // namespace
}  // namespace plumkeel::consul
