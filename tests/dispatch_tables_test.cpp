// The module's plain tables, each against the simplest thing that would do the same.
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>

#include "chance/pcg.hpp"
#include "dispatch/types.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

TEST(BeliefTable, FindsAsAScanWouldAndKeepsTheOrder) {
    std::vector<Invoker> invokers(200);
    BeliefTable table;
    std::vector<const Invoker*> expected;
    Pcg random(4);
    for (int step = 0; step < 3000; ++step) {
        Invoker& invoker = invokers[static_cast<std::size_t>(random.next() * 200)];
        if (random.next() < 0.05) {
            table.erase_if([&](const Belief& belief) { return belief.invoker < &invoker; });
            std::erase_if(expected, [&](const Invoker* it) { return it < &invoker; });
        } else if (!table.find(invoker)) {
            table.add(invoker).out = step;
            expected.push_back(&invoker);
        }
        ASSERT_EQ(table.size(), expected.size());
        for (std::size_t i = 0; i < expected.size(); ++i) ASSERT_EQ(table[i].invoker, expected[i]);
        for (const Invoker& each : invokers) {
            const bool known = std::find(expected.begin(), expected.end(), &each) != expected.end();
            const Belief* const found = table.find(each);
            ASSERT_EQ(found != nullptr, known);
            if (found) {
                ASSERT_EQ(found->invoker, &each);
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

TEST_F(FunctionTableTest, TheOldestIsOfThoseCalledOnceWhereTheseAreMany) {
    Function &a = add(), &b = add(), &c = add();
    table_.called_again(a);
    table_.called_again(b);
    table_.called_again(a);
    EXPECT_EQ(table_.oldest(0), &c) << "one called once is over none";
    EXPECT_EQ(table_.oldest(1), &b) << "else the least recent of the others";
    table_.spare(b);
    EXPECT_EQ(table_.oldest(1), &a);
    table_.remove(a);
    table_.remove(b);
    EXPECT_EQ(table_.oldest(1), &c) << "there are no others";
    table_.remove(c);
    EXPECT_EQ(table_.oldest(1), nullptr);
    EXPECT_EQ(table_.size(), 0u);
}

TEST_F(FunctionTableTest, ChecksAreTakenOnceAtTheEarliestTimeAsked) {
    Function &a = add(), &b = add(), &c = add();
    table_.check(c, 3s);
    table_.check(a, 5s);
    table_.check(a, 2s);
    table_.check(a, 9s);
    table_.check(b, 7s);
    EXPECT_TRUE(table_.take_due(1s).empty());
    EXPECT_EQ(table_.take_due(4s), (std::vector<Function*>{&a, &c})) << "in the order in which they were met";
    EXPECT_TRUE(table_.take_due(6s).empty());
    table_.remove(b);
    EXPECT_TRUE(table_.take_due(10s).empty());
}

TEST_F(FunctionTableTest, ARemovedFunctionIsInNoSet) {
    Function &a = add(), &b = add();
    for (Function* each : {&b, &a}) {
        table_.waiting.set(*each, true);
        table_.loading.set(*each, true);
        table_.spread.set(*each, true);
    }
    EXPECT_EQ(table_.waiting.members(), (std::vector<Function*>{&a, &b}));
    EXPECT_EQ(table_.waiting.members(1), (std::vector<Function*>{&a}));
    table_.remove(a);
    for (const FunctionTable::Set* set : {&table_.waiting, &table_.loading, &table_.spread})
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

TEST_F(FleetTableTest, TotalsAreWhatASumOverAllWouldGive) {
    Pcg random(8);
    std::vector<InvokerShare> shares(invokers_.size());
    for (int step = 0; step < 5000; ++step) {
        const auto at = static_cast<std::size_t>(random.next() * 60);
        InvokerShare& share = shares[at];
        share.ready = random.next() < 0.7;
        share.good = random.next() < 0.8;
        share.warm = random.next() < 0.8;
        share.watched = random.next() < 0.3;
        share.attempts = static_cast<std::size_t>(random.next() * 5);
        share.micro_units = static_cast<std::int64_t>(random.next() * 8e6);
        table_.set_share(invokers_[at], share, Time(step % 50));
        FleetTotals sum;
        std::vector<Invoker*> watched;
        for (std::size_t i = 0; i < shares.size(); ++i) {
            if (shares[i].watched) watched.push_back(&invokers_[i]);
            if (!shares[i].ready) continue;
            ++sum.ready;
            sum.good += shares[i].good;
            sum.attempts += shares[i].attempts;
            sum.ready_micro_units += shares[i].micro_units;
            sum.warm_micro_units += shares[i].warm ? shares[i].micro_units : 0;
        }
        ASSERT_EQ(table_.totals().ready, sum.ready);
        ASSERT_EQ(table_.totals().good, sum.good);
        ASSERT_EQ(table_.totals().attempts, sum.attempts);
        ASSERT_EQ(table_.totals().ready_micro_units, sum.ready_micro_units);
        ASSERT_EQ(table_.totals().warm_micro_units, sum.warm_micro_units);
        ASSERT_EQ(table_.watched(), watched);
    }
}

TEST_F(FleetTableTest, ThoseUsedLastComeFirstAndThoseNotReadyNotAtAll) {
    InvokerShare ready;
    ready.ready = true;
    for (Invoker& invoker : invokers_) table_.set_share(invoker, ready, Time{});
    table_.set_share(invokers_[7], ready, 5s);
    table_.set_share(invokers_[9], ready, 6s);
    table_.set_share(invokers_[0], {}, 7s);
    std::vector<Invoker*> seen;
    table_.for_recently_used([&](Invoker& invoker) {
        seen.push_back(&invoker);
        return seen.size() < 4;
    });
    EXPECT_EQ(seen, (std::vector<Invoker*>{&invokers_[9], &invokers_[7], &invokers_[1], &invokers_[2]}));
}

TEST_F(FleetTableTest, ColdStartsEndOldestFirstAndARemovedInvokerIsNowhere) {
    table_.set_cold(invokers_[3], 4s);
    table_.set_cold(invokers_[1], 2s);
    table_.set_cold(invokers_[2], 3s);
    table_.set_cold(invokers_[1], 9s);
    table_.set_left(invokers_[2], true);
    EXPECT_EQ(table_.coldest_first(2s), nullptr);
    EXPECT_EQ(table_.coldest_first(4s), &invokers_[2]);
    EXPECT_EQ(table_.left(), (std::vector<Invoker*>{&invokers_[2]}));
    table_.remove(invokers_[2]);
    EXPECT_EQ(table_.coldest_first(4s), &invokers_[3]);
    table_.set_warm(invokers_[3]);
    EXPECT_EQ(table_.coldest_first(8s), nullptr);
    EXPECT_TRUE(table_.left().empty());
    EXPECT_EQ(table_.size(), 59u);
    std::size_t all = 0;
    table_.for_each([&](Invoker& invoker) { all += &invoker != &invokers_[2]; });
    EXPECT_EQ(all, 59u);
}

}  // namespace
}  // namespace plumkeel
