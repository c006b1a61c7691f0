/// Compares the index with a sort of all invokers by their rank for the key.
#include "scheduler/placement_index.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

#include "random/pcg.hpp"
#include "scheduler/hash.hpp"
#include "scheduler/types.hpp"

namespace plumkeel {
namespace {

class PlacementIndexTest : public testing::Test {
protected:
    Invoker* add(double weight = 1) {
        Invoker& invoker = *invokers_.emplace_back(std::make_unique<Invoker>());
        invoker.name = "s-" + std::to_string(invokers_.size());
        put(invoker, weight);
        return &invoker;
    }
    void put(Invoker& invoker, double weight) {
        index_.put(invoker, hash_of(invoker.name), weight);
        listed_[&invoker] = weight;
    }
    void remove(Invoker& invoker) {
        index_.remove(invoker);
        listed_.erase(&invoker);
    }
    std::vector<const Invoker*> expected(std::uint64_t key, std::size_t count) const {
        std::vector<std::pair<double, const Invoker*>> ranked;
        for (const auto& [invoker, weight] : listed_)
            ranked.emplace_back(placement_rank(key, hash_of(invoker->name), weight), invoker);
        std::sort(ranked.begin(), ranked.end());
        std::vector<const Invoker*> result;
        for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i) result.push_back(ranked[i].second);
        return result;
    }
    std::vector<const Invoker*> found(std::uint64_t key, PlacementIndex::Homes& homes, std::size_t count) {
        std::vector<const Invoker*> result;
        for (const auto& ranked : index_.find(key, homes, count)) result.push_back(ranked.invoker);
        EXPECT_GE(result.size(), std::min(count, listed_.size()));
        result.resize(std::min(count, result.size()));
        return result;
    }

    PlacementIndex index_;
    std::vector<std::unique_ptr<Invoker>> invokers_;
    std::map<const Invoker*, double> listed_;
};

TEST_F(PlacementIndexTest, EmptyIndexFindsNothing) {
    PlacementIndex::Homes homes;
    EXPECT_TRUE(index_.find(7, homes, 3).empty());
}

TEST_F(PlacementIndexTest, FindsTheFirstInvokersOfTheWholeOrder) {
    for (int i = 0; i < 1000; ++i) add(1 + i % 5);
    for (std::uint64_t key = 1; key < 200; ++key)
        for (const std::size_t count : {1, 3, 64, 900, 1000, 2000}) {
            PlacementIndex::Homes homes;
            EXPECT_EQ(found(mix(key), homes, count), expected(mix(key), count)) << key << " " << count;
        }
}

TEST_F(PlacementIndexTest, FindsInvokersOfVeryDifferentWeights) {
    add(1000);
    for (int i = 0; i < 300; ++i) add(i % 3 ? 0.001 : 40);
    for (std::uint64_t key = 1; key < 50; ++key) {
        PlacementIndex::Homes homes;
        EXPECT_EQ(found(mix(key), homes, 200), expected(mix(key), 200));
    }
}

// The invokers change while several owners keep their homes, and some owners update theirs rarely.
TEST_F(PlacementIndexTest, UpdatedHomesEqualANewSearch) {
    Pcg random(5);
    for (int i = 0; i < 300; ++i) add(4);
    struct Owner {
        std::uint64_t key;
        std::size_t count;
        PlacementIndex::Homes homes;
    };
    std::vector<Owner> owners;
    for (std::uint64_t i = 0; i < 40; ++i)
        owners.push_back({mix(i + 1), i % 4 ? std::size_t{3} : std::size_t{120}, {}});
    for (int step = 0; step < 4000; ++step) {
        Invoker& invoker = *invokers_[static_cast<std::size_t>(random.next() * static_cast<double>(invokers_.size()))];
        const double action = random.next();
        if (action < 0.3)
            remove(invoker);
        else if (action < 0.9)
            put(invoker, 1 + static_cast<int>(random.next() * 4));
        else
            add(4);
        Owner& owner =
            owners[static_cast<std::size_t>(random.next() * random.next() * static_cast<double>(owners.size()))];
        ASSERT_EQ(found(owner.key, owner.homes, owner.count), expected(owner.key, owner.count)) << step;
    }
    for (Owner& owner : owners) EXPECT_EQ(found(owner.key, owner.homes, owner.count), expected(owner.key, owner.count));
}

TEST_F(PlacementIndexTest, UpdateCostIsProportionalToChanges) {
    for (int i = 0; i < 10'000; ++i) add();
    PlacementIndex::Homes homes;
    index_.find(mix(9), homes, 3);
    const auto ranks_before = index_.ranks_computed();
    for (int i = 0; i < 100; ++i) {
        remove(*invokers_[static_cast<std::size_t>(i)]);
        index_.find(mix(9), homes, 3);
    }
    EXPECT_LE(index_.ranks_computed() - ranks_before, 100u + 10'000u)
        << "one rank per change, and at most one new search";
}

TEST_F(PlacementIndexTest, HomesStayShortInALargeFleet) {
    for (int i = 0; i < 10'000; ++i) add();
    for (std::uint64_t key = 1; key < 100; ++key) {
        PlacementIndex::Homes homes;
        index_.find(mix(key), homes, 3);
        EXPECT_LE(homes.ranked.size(), 64u);
        index_.find(mix(key), homes, 5000);
        EXPECT_GE(homes.ranked.size(), 5000u);
        index_.find(mix(key), homes, 3);
        EXPECT_LE(homes.ranked.size(), 64u) << "invokers that are no longer needed are released";
    }
}

TEST_F(PlacementIndexTest, UnchangedWeightIsNoChange) {
    Invoker& invoker = *add(2);
    for (int i = 0; i < 100; ++i) add(2);
    PlacementIndex::Homes homes;
    index_.find(mix(3), homes, 3);
    const auto ranks_before = index_.ranks_computed();
    for (int i = 0; i < 1000; ++i) put(invoker, 2);
    index_.find(mix(3), homes, 3);
    EXPECT_EQ(index_.ranks_computed(), ranks_before);
}

// All controllers must compute the same order, whatever the order in which they learned of the invokers.
TEST_F(PlacementIndexTest, InsertionOrderDoesNotMatter) {
    for (int i = 0; i < 200; ++i) add(1 + i % 3);
    PlacementIndex other_index;
    for (auto reversed = invokers_.rbegin(); reversed != invokers_.rend(); ++reversed)
        other_index.put(**reversed, hash_of((*reversed)->name), listed_[reversed->get()]);
    for (std::uint64_t key = 1; key < 50; ++key) {
        PlacementIndex::Homes homes, other_homes;
        const auto& ranked = index_.find(mix(key), homes, 20);
        const auto& other_ranked = other_index.find(mix(key), other_homes, 20);
        for (std::size_t i = 0; i < 20; ++i) EXPECT_EQ(ranked[i].invoker, other_ranked[i].invoker);
    }
}

}  // namespace
}  // namespace plumkeel
