/// Compares each table of the scheduler with a simple implementation of the same behaviour.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "random/pcg.hpp"
#include "scheduler/types.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

TEST(CachedFunctionTable, FindsTheSameEntriesAsALinearScanInTheSameOrder) {
    std::vector<Invoker> invokers(200);
    CachedFunctionTable table;
    std::vector<const Invoker*> expected;
    Pcg random(4);
    for (int step = 0; step < 3000; ++step) {
        Invoker& invoker = invokers[static_cast<std::size_t>(random.next() * 200)];
        if (random.next() < 0.05) {
            table.erase_if([&](const CachedFunction& cached) { return cached.invoker < &invoker; });
            std::erase_if(expected, [&](const Invoker* listed) { return listed < &invoker; });
        } else if (!table.find(invoker)) {
            table.add(invoker).in_flight = step;
            expected.push_back(&invoker);
        }
        ASSERT_EQ(table.size(), expected.size());
        for (std::size_t i = 0; i < expected.size(); ++i) ASSERT_EQ(table[i].invoker, expected[i]);
        for (const Invoker& invoker_to_find : invokers) {
            const bool is_expected = std::find(expected.begin(), expected.end(), &invoker_to_find) != expected.end();
            const CachedFunction* const found = table.find(invoker_to_find);
            ASSERT_EQ(found != nullptr, is_expected);
            if (found) {
                ASSERT_EQ(found->invoker, &invoker_to_find);
            }
        }
    }
}

class FunctionTableTest : public testing::Test {
protected:
    Function& add() {
        Function& function = *functions_.emplace_back(std::make_unique<Function>());
        table_.add(function);
        return function;
    }
    std::vector<std::unique_ptr<Function>> functions_;
    FunctionTable table_;
};

TEST_F(FunctionTableTest, FunctionsCalledOnceAreEvictedFirstAboveTheLimit) {
    Function &a = add(), &b = add(), &c = add();
    table_.record_repeated_call(a);
    table_.record_repeated_call(b);
    table_.record_repeated_call(a);
    EXPECT_EQ(table_.eviction_candidate(0), &c)
        << "The only function called once exceeds the limit of 0 and is evicted first.";
    EXPECT_EQ(table_.eviction_candidate(1), &b)
        << "One function called once is within the limit of 1, so the least recently used other is evicted.";
    table_.touch(b);
    EXPECT_EQ(table_.eviction_candidate(1), &a);
    table_.remove(a);
    table_.remove(b);
    EXPECT_EQ(table_.eviction_candidate(1), &c) << "Only the function called once is left.";
    table_.remove(c);
    EXPECT_EQ(table_.eviction_candidate(1), nullptr);
    EXPECT_EQ(table_.size(), 0u);
}

TEST_F(FunctionTableTest, ReviewsAreTakenOnceAtTheEarliestScheduledTime) {
    Function &a = add(), &b = add(), &c = add();
    table_.schedule_review(c, 3s);
    table_.schedule_review(a, 5s);
    table_.schedule_review(a, 2s);
    table_.schedule_review(a, 9s);
    table_.schedule_review(b, 7s);
    EXPECT_TRUE(table_.take_due_reviews(1s).empty());
    EXPECT_EQ(table_.take_due_reviews(4s), (std::vector<Function*>{&a, &c}))
        << "Due reviews are taken in the order in which their functions were added.";
    EXPECT_TRUE(table_.take_due_reviews(6s).empty());
    table_.remove(b);
    EXPECT_TRUE(table_.take_due_reviews(10s).empty());
}

TEST_F(FunctionTableTest, RemovedFunctionIsInNoSet) {
    Function &a = add(), &b = add();
    for (Function* function : {&b, &a}) {
        table_.with_parked_requests.set(*function, true);
        table_.loading.set(*function, true);
        table_.replicated.set(*function, true);
    }
    EXPECT_EQ(table_.with_parked_requests.members(), (std::vector<Function*>{&a, &b}));
    EXPECT_EQ(table_.with_parked_requests.members(1), (std::vector<Function*>{&a}));
    table_.remove(a);
    for (const FunctionTable::Set* set : {&table_.with_parked_requests, &table_.loading, &table_.replicated})
        EXPECT_EQ(set->members(), (std::vector<Function*>{&b}));
}

class FleetTableTest : public testing::Test {
protected:
    FleetTableTest() {
        for (Invoker& invoker : invokers_) table_.add(invoker);
    }
    std::vector<Invoker> invokers_ = std::vector<Invoker>(60);
    FleetTable table_;
};

TEST_F(FleetTableTest, TotalsEqualTheSumOverAllInvokers) {
    Pcg random(8);
    std::vector<FleetContribution> contributions(invokers_.size());
    for (int step = 0; step < 5000; ++step) {
        const auto index = static_cast<std::size_t>(random.next() * 60);
        FleetContribution& contribution = contributions[index];
        contribution.ready = random.next() < 0.7;
        contribution.healthy = random.next() < 0.8;
        contribution.warm = random.next() < 0.8;
        contribution.needs_sweep = random.next() < 0.3;
        contribution.attempts = static_cast<std::size_t>(random.next() * 5);
        contribution.micro_capacity = static_cast<std::int64_t>(random.next() * 8e6);
        table_.set_contribution(invokers_[index], contribution, Time(step % 50));
        FleetTotals expected_totals;
        std::vector<Invoker*> to_sweep;
        for (std::size_t i = 0; i < contributions.size(); ++i) {
            if (contributions[i].needs_sweep) to_sweep.push_back(&invokers_[i]);
            if (!contributions[i].ready) continue;
            ++expected_totals.ready;
            expected_totals.healthy += contributions[i].healthy;
            expected_totals.attempts += contributions[i].attempts;
            expected_totals.ready_micro_capacity += contributions[i].micro_capacity;
            expected_totals.warm_micro_capacity += contributions[i].warm ? contributions[i].micro_capacity : 0;
        }
        ASSERT_EQ(table_.totals().ready, expected_totals.ready);
        ASSERT_EQ(table_.totals().healthy, expected_totals.healthy);
        ASSERT_EQ(table_.totals().attempts, expected_totals.attempts);
        ASSERT_EQ(table_.totals().ready_micro_capacity, expected_totals.ready_micro_capacity);
        ASSERT_EQ(table_.totals().warm_micro_capacity, expected_totals.warm_micro_capacity);
        ASSERT_EQ(table_.to_sweep(), to_sweep);
    }
}

TEST_F(FleetTableTest, RecentlyUsedInvokersComeFirstAndOnlyReadyOnes) {
    FleetContribution ready;
    ready.ready = true;
    for (Invoker& invoker : invokers_) table_.set_contribution(invoker, ready, Time{});
    table_.set_contribution(invokers_[7], ready, 5s);
    table_.set_contribution(invokers_[9], ready, 6s);
    table_.set_contribution(invokers_[0], {}, 7s);
    std::vector<Invoker*> visited;
    table_.for_each_recently_used([&](Invoker& invoker) {
        visited.push_back(&invoker);
        return visited.size() < 4;
    });
    EXPECT_EQ(visited, (std::vector<Invoker*>{&invokers_[9], &invokers_[7], &invokers_[1], &invokers_[2]}));
}

TEST_F(FleetTableTest, OldestSlowStartComesFirstAndRemovedInvokerIsInNoList) {
    table_.set_slow_start(invokers_[3], 4s);
    table_.set_slow_start(invokers_[1], 2s);
    table_.set_slow_start(invokers_[2], 3s);
    table_.set_slow_start(invokers_[1], 9s);
    table_.set_delisted(invokers_[2], true);
    EXPECT_EQ(table_.oldest_slow_start(2s), nullptr);
    EXPECT_EQ(table_.oldest_slow_start(4s), &invokers_[2]);
    EXPECT_EQ(table_.delisted(), (std::vector<Invoker*>{&invokers_[2]}));
    table_.remove(invokers_[2]);
    EXPECT_EQ(table_.oldest_slow_start(4s), &invokers_[3]);
    table_.clear_slow_start(invokers_[3]);
    EXPECT_EQ(table_.oldest_slow_start(8s), nullptr);
    EXPECT_TRUE(table_.delisted().empty());
    EXPECT_EQ(table_.size(), 59u);
    std::size_t visited_count = 0;
    table_.for_each([&](Invoker& invoker) { visited_count += &invoker != &invokers_[2]; });
    EXPECT_EQ(visited_count, 59u);
}

}  // namespace
}  // namespace plumkeel
