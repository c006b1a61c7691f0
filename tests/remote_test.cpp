// Remote write: the pacer's decisions, series and their ends, the spool over kills, and the sender against a
// receiver that stalls, turns down, cuts and answers late, in virtual time.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmath>
#include <csignal>
#include <filesystem>
#include <limits>

#include "emulator/receiver.hpp"
#include "net/simulated_event_loop.hpp"
#include "net/socket_event_loop.hpp"
#include "remote_write/sender.hpp"

namespace plumkeel::remote_write {
namespace {

using namespace std::chrono_literals;

// ---------------------------------------------------------------- the pacer

TEST(Pacer, TroubleMakesPausesGrowAndBatchesSmall) {
    SendController pacer({}, 7);
    Time now{};
    Time last{};
    for (int i = 0; i < 12; ++i) {
        const auto leave = pacer.request(now, 1000);
        ASSERT_GT(leave.samples, 0u) << i;
        EXPECT_LE(leave.samples, 200u);
        pacer.on_sent(now, leave.samples);
        EXPECT_EQ(pacer.request(now, 1000).samples, 0u);  // one lane only
        pacer.on_result(now, SendResult::retryable, 10ms, {});
        const auto next = pacer.request(now, 1000);
        EXPECT_EQ(next.samples, 0u);
        last = next.retry_at - now;
        const double nominal = std::min(30.0, 0.2 * std::pow(2, i));
        EXPECT_GE(static_cast<double>(last.count()) / 1e6, nominal * 0.5) << i;
        EXPECT_LE(static_cast<double>(last.count()) / 1e6, nominal * 1.5) << i;
        now = next.retry_at + 2s;  // allowance gathers again
    }
}

TEST(Pacer, RetryAfterIsKept) {
    SendController pacer({}, 7);
    pacer.on_sent(Time{}, 200);
    pacer.on_result(Time{}, SendResult::retryable, 10ms, Time(17s));
    EXPECT_EQ(pacer.request(1s, 1000).retry_at, Time(17s));
    EXPECT_GT(pacer.request(17s, 1000).samples, 0u);
}

TEST(Pacer, ItWidensStepByStepAndASlowReceiverHalvesIt) {
    SendController pacer({}, 7);
    Time now{};
    EXPECT_EQ(pacer.concurrency(), 1);
    for (int i = 0; i < 20; ++i) {
        now += 1s;
        pacer.on_sent(now, 1);
        pacer.on_result(now, SendResult::accepted, 10ms, {});
        EXPECT_LE(pacer.concurrency(), 4);
    }
    EXPECT_EQ(pacer.concurrency(), 4);
    pacer.on_sent(now, 1);
    pacer.on_result(now, SendResult::accepted, 5s, {});
    EXPECT_EQ(pacer.concurrency(), 2);
    pacer.on_sent(now, 1);
    pacer.on_result(now, SendResult::unknown, 10s, {});
    EXPECT_EQ(pacer.concurrency(), 1);
}

TEST(Pacer, ABacklogIsWorkedOffAtAMultipleOfTheInflow) {
    SendController pacer({}, 7);
    Time now{};
    double sent = 0;
    while (now < 100s) {
        const auto leave = pacer.request(now, 1000);
        if (leave.samples == 0) {
            now = leave.retry_at;
            continue;
        }
        pacer.on_sent(now, leave.samples);
        sent += static_cast<double>(leave.samples);
        pacer.on_result(now, SendResult::accepted, 1ms, {});
    }
    EXPECT_NEAR(sent, 4 * 1000 * 100, 4 * 1000 * 100 * 0.05);
}

// ---------------------------------------------------------------- series

Sample sample(const std::string& name, int number, double value) {
    return {{{"__name__", name}, {"n", std::to_string(number)}}, value};
}

TEST(Series, HistogramsBecomeBucketsSumAndCount) {
    prometheus::MetricFamily family;
    family.name = "h";
    family.type = prometheus::MetricType::Histogram;
    family.metric.resize(1);
    family.metric[0].label = {{"zone", "a"}, {"empty", ""}};
    family.metric[0].histogram = {3, 4.5, {{2, 0.5}, {3, std::numeric_limits<double>::infinity()}}};
    const auto samples = flatten({family});
    ASSERT_EQ(samples.size(), 4u);
    EXPECT_EQ(samples[0].labels, (Labels{{"__name__", "h_bucket"}, {"le", "0.5"}, {"zone", "a"}}));
    EXPECT_EQ(samples[1].labels[1].second, "+Inf");
    EXPECT_EQ(samples[2].labels[0].second, "h_sum");
    EXPECT_EQ(samples[3].value, 3);
}

TEST(Series, TheMomentsOfSamplesNeverGoBackWhateverTheClockDoes) {
    SampleClock clock(1000s, 0s);
    std::int64_t last = 0;
    for (int i = 1; i <= 100; ++i) {
        const Time now = std::chrono::seconds(i);
        const Time wall = 1000s + now - (i > 30 ? Time(1h) : Time{}) + (i > 60 ? Time(3h) : Time{});
        const auto ms = clock.ms(wall, now);
        EXPECT_GT(ms, last);
        if (i > 1 && i != 61) {
            EXPECT_EQ(ms - last, 1000) << i;  // rates stay right
        }
        last = ms;
    }
    EXPECT_GE(last, (1000s + 2h) / 1ms);
    // Nor behind what an earlier run told, when the clock was set back between the two.
    SampleClock after(900s, 0s, 1'000'000);
    EXPECT_EQ(after.ms(901s, 1s), 1'001'000);
}

TEST(Series, ASeriesThatEndsGetsItsMarkOnce) {
    SeriesEncoder scraper(1);
    EXPECT_EQ(scraper.encode({sample("m", 1, 5), sample("m", 2, 6)}, 1000)[0].samples, 2u);
    const auto second = scraper.encode({sample("m", 1, 7)}, 2000);
    EXPECT_EQ(second[0].samples, 2u);
    const double mark = stale_marker();
    EXPECT_NE(second[0].bytes.find(std::string(reinterpret_cast<const char*>(&mark), sizeof mark)), std::string::npos);
    EXPECT_EQ(scraper.encode({sample("m", 1, 8)}, 3000)[0].samples, 1u);
    EXPECT_EQ(scraper.encode_end(4000)[0].samples, 1u);
    EXPECT_EQ(scraper.series(), 0u);
}

// ---------------------------------------------------------------- the spool

class SpoolTest : public testing::Test {
protected:
    SpoolTest() {
        rules.folder = testing::TempDir() + "plumkeel_spool_" + std::to_string(::getpid());
        std::filesystem::remove_all(rules.folder);
        rules.shards = 2;
    }
    ~SpoolTest() override { std::filesystem::remove_all(rules.folder); }
    static std::vector<Shard> parts_of(SeriesEncoder& scraper, int series, std::int64_t at, double value) {
        std::vector<Sample> samples;
        for (int i = 0; i < series; ++i) samples.push_back(sample("m", i, value));
        return scraper.encode(samples, at);
    }
    QueueConfig rules;
};

TEST_F(SpoolTest, WhatWasAppendedAndEachPlaceOutliveTheProcess) {
    SeriesEncoder scraper(2);
    DurableQueue::Batch before;
    {
        DurableQueue spool(rules, {"a", "b"});
        for (int i = 0; i < 10; ++i) spool.append(1000 * i, parts_of(scraper, 20, 1000 * i, i));
        before = spool.read("a", 0, 25);
        EXPECT_GT(before.samples, 0u);
        EXPECT_LE(before.samples, 25u);
        spool.advance("a", 0, before.next);
    }
    DurableQueue spool(rules, {"a", "b"});
    EXPECT_EQ(spool.end(), 10u);
    EXPECT_EQ(spool.waiting("a"), 200u - before.samples);
    EXPECT_EQ(spool.waiting("b"), 200u);
    EXPECT_EQ(spool.read("b", 0, 25).bytes, before.bytes);
    EXPECT_NE(spool.read("a", 0, 25).bytes, before.bytes);
}

TEST_F(SpoolTest, WhatAllHaveTakenIsLetGo) {
    SeriesEncoder scraper(2);
    DurableQueue spool(rules, {"a", "b"});
    for (int i = 0; i < 10; ++i) spool.append(1000 * i, parts_of(scraper, 20, 1000 * i, i));
    for (const char* name : {"a", "b"})
        for (int part = 0; part < 2; ++part) spool.advance(name, part, spool.end());
    EXPECT_EQ(spool.bytes(), 0u);
    EXPECT_EQ(spool.dropped(), 0u);
}

TEST_F(SpoolTest, PastItsBoundsTheOldestIsDroppedAndCounted) {
    SeriesEncoder scraper(2);
    rules.max_bytes = 20'000;
    std::uint64_t dropped = 0;
    {
        DurableQueue spool(rules, {"a"});
        for (int i = 0; i < 200; ++i) {
            spool.append(1000 * i, parts_of(scraper, 50, 1000 * i, i * 1.7));
            EXPECT_LE(spool.bytes(), 20'000u);
        }
        dropped = spool.dropped();
        EXPECT_GT(dropped, 1000u);
        EXPECT_EQ(spool.waiting("a") + dropped, 200u * 50);
        EXPECT_GT(spool.read("a", 0, 1).oldest_ms, 100'000);
    }
    EXPECT_EQ(DurableQueue(rules, {"a"}).dropped(), dropped);
    rules.max_age = 10s;
    DurableQueue spool(rules, {"a"});
    spool.append(1'000'000, parts_of(scraper, 50, 1'000'000, 1));
    EXPECT_EQ(spool.waiting("a"), 50u);
}

TEST_F(SpoolTest, AnotherNumberOfPartsIsTakenOnlyOnceNothingWaits) {
    SeriesEncoder scraper(2);
    {
        DurableQueue spool(rules, {"a"});
        spool.append(1000, parts_of(scraper, 20, 1000, 1));
    }
    QueueConfig more = rules;
    more.shards = 3;
    try {
        DurableQueue spool(more, {"a"});
        FAIL();
    } catch (const QueueError& fault) {
        EXPECT_NE(std::string(fault.what()).find("holds samples in 2 parts"), std::string::npos);
    }
    {
        DurableQueue spool(rules, {"a"});
        EXPECT_EQ(spool.newest_ms(), 1000);
        for (int part = 0; part < 2; ++part) spool.advance("a", part, spool.end());
    }
    EXPECT_EQ(DurableQueue(more, {"a"}).newest_ms(), 1000);
}

// Ten times killed at some moment: whatever append() had said is on disk is there.
TEST_F(SpoolTest, KillsLoseNothingThatWasTaken) {
    std::uint64_t dice = 77;
    std::int64_t at = 0;
    for (int round = 0; round < 10; ++round) {
        int ends[2];
        ASSERT_EQ(::pipe(ends), 0);
        const pid_t child = ::fork();
        if (child == 0) {
            DurableQueue spool(rules, {"a"});
            SeriesEncoder scraper(2);
            for (std::int64_t i = 1;; ++i) {
                spool.append(at + i, parts_of(scraper, 10, at + i, 1));
                const std::uint64_t end = spool.end();
                if (::write(ends[1], &end, sizeof end) != sizeof end) _exit(1);
                if (i % 7 == 0) spool.advance("a", 0, spool.read("a", 0, 15).next);
            }
        }
        ::close(ends[1]);
        dice = dice * 6364136223846793005ULL + 1;
        std::uint64_t told = 0, end = 0;
        for (auto n = 5 + (dice >> 40) % 40; n > 0; --n) {
            ASSERT_EQ(::read(ends[0], &end, sizeof end), static_cast<ssize_t>(sizeof end));
            told = end;
        }
        ::kill(child, SIGKILL);
        while (::read(ends[0], &end, sizeof end) == sizeof end) told = end;
        ::close(ends[0]);
        ::waitpid(child, nullptr, 0);
        DurableQueue spool(rules, {"a"});
        EXPECT_GE(spool.end(), told);
        EXPECT_LE(spool.end(), told + 1);
        at += 1000;
    }
}

// ---------------------------------------------------------------- the sender

class SenderTest : public SpoolTest {
protected:
    static constexpr int parts = 4, series = 300;
    SenderTest() : receiver(loop, loop.listen({"127.0.0.1", 9090}).listener) {
        rules.shards = parts;
        wanted.name = "r";
        wanted.address = "127.0.0.1:9090";
        wanted.timeout = 2s;
    }
    void begin() {
        spool = std::make_unique<DurableQueue>(rules, std::vector<std::string>{"r"});
        sender = std::make_unique<Sender>(loop, wanted, *spool, parts, 3,
                                          [this](const std::string& kind, const std::string&) { ++notices[kind]; });
        sender->start();
    }
    // One scrape a second.
    void scrape_for(int seconds) {
        for (int i = 0; i < seconds; ++i) {
            loop.run(loop.now() + 1s);
            std::vector<Sample> samples;
            for (int n = 0; n < series; ++n) samples.push_back(sample("m", n, scraped * 10.0 + n));
            ++scraped;
            spool->append(scraped * 1000, scraper.encode(samples, scraped * 1000));
            sender->notify(series);
        }
    }
    void expect_all() {
        loop.run(loop.now() + 3s);  // the last scrape
        for (const std::string& each : receiver.breaches()) ADD_FAILURE() << each;
        ASSERT_EQ(receiver.series().size(), static_cast<std::size_t>(series));
        for (const auto& [labels, points] : receiver.series()) {
            ASSERT_EQ(points.size(), static_cast<std::size_t>(scraped)) << labels.back().second;
            for (std::size_t i = 0; i < points.size(); ++i)
                ASSERT_EQ(points[i].first, static_cast<std::int64_t>(i + 1) * 1000);
        }
    }

    net::SimulatedEventLoop loop;
    emulator::WriteReceiver receiver;
    ReceiverConfig wanted;
    SeriesEncoder scraper{parts};
    std::unique_ptr<DurableQueue> spool;
    std::unique_ptr<Sender> sender;
    std::map<std::string, int> notices;
    std::int64_t scraped = 0;
};

using Mood = emulator::WriteReceiver::Mood;

TEST_F(SenderTest, EverySampleArrivesInOrder) {
    begin();
    scrape_for(30);
    loop.run(loop.now() + 5s);
    expect_all();
    EXPECT_EQ(receiver.repeated(), 0u);
    EXPECT_EQ(spool->bytes(), 0u);
}

// A disk that takes nothing more must not end the process, nor hold up what waits on it already.
TEST_F(SenderTest, ADiskThatTakesNothingMoreStopsNoSending) {
    begin();
    receiver.be(Mood::status, 503);
    scrape_for(5);
    receiver.be(Mood::takes);
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &before), 0);
    const rlimit none{0, before.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &none), 0);
    EXPECT_THROW(spool->append(99'000, scraper.encode({sample("m", 0, 1)}, 99'000)), QueueError);
    sender->notify(series);
    loop.run(loop.now() + 30s);
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &before), 0);
    EXPECT_EQ(receiver.samples(), 5u * series);
    EXPECT_EQ(receiver.repeated(), 0u);
    EXPECT_GE(notices["spool_broken"], 1);
    EXPECT_NO_THROW(spool->append(100'000, scraper.encode({sample("m", 0, 2)}, 100'000)));  // and it works again
    EXPECT_TRUE(receiver.breaches().empty());
}

// One series falls into one part; the scrapes must not wait for the parts that hold nothing.
TEST_F(SenderTest, PartsWithoutSeriesHoldNothingUp) {
    begin();
    for (int i = 1; i <= 20; ++i) {
        loop.run(loop.now() + 1s);
        spool->append(i * 1000, scraper.encode({sample("m", 1, i)}, i * 1000));
        sender->notify(1);
    }
    loop.run(loop.now() + 3s);
    EXPECT_EQ(receiver.samples(), 20u);
    EXPECT_EQ(spool->bytes(), 0u);
}

TEST_F(SenderTest, AfterAStallOfAMinuteAllArrivesAtABoundedRate) {
    begin();
    scrape_for(5);
    receiver.be(Mood::stalls);
    scrape_for(60);
    receiver.be(Mood::takes);
    const Time back = loop.now();
    scrape_for(90);
    expect_all();
    // The rate while catching up is 4 times the inflow, give or take what was saved up.
    for (const auto& [second, samples] : receiver.by_second())
        if (second > back / 1s) {
            EXPECT_LE(samples, 4u * series + 2000u) << second;
        }
    EXPECT_EQ(notices["receiver_silent"], 1);
    EXPECT_EQ(notices["receiver_takes"], 1);
}

TEST_F(SenderTest, ErrorsToSomePartsOnlyHoldUpNoOrder) {
    begin();
    receiver.be_for_part(0.4, 503);
    scrape_for(40);
    receiver.be_for_part(0, 503);
    scrape_for(40);
    expect_all();
}

// What was taken but never confirmed comes again just as it was: the receiver counts it once.
TEST_F(SenderTest, AnswersThatComeTooLateCauseRepeatsAndNothingElse) {
    begin();
    scrape_for(5);
    receiver.be(Mood::late);
    scrape_for(10);
    receiver.be(Mood::takes);
    scrape_for(20);
    expect_all();
    EXPECT_GT(receiver.repeated(), 0u);
}

TEST_F(SenderTest, WhatWillNeverBeTakenIsNotSentAgain) {
    begin();
    receiver.be(Mood::status, 400);
    scrape_for(10);
    loop.run(loop.now() + 5s);
    EXPECT_EQ(sender->counts().rejected, 10u * series);
    EXPECT_EQ(sender->counts().resent, 0u);
    EXPECT_EQ(notices["receiver_turns_down"], 1);
    EXPECT_EQ(spool->bytes(), 0u);
}

TEST_F(SenderTest, TooManyIsWaitedOutAsToldByRetryAfter) {
    begin();
    receiver.be(Mood::status, 429, "7");
    scrape_for(1);
    loop.run(loop.now() + 1s);
    const auto before = receiver.questions();
    EXPECT_LE(before, 4u);
    loop.run(loop.now() + 5s);
    EXPECT_EQ(receiver.questions(), before);
    receiver.be(Mood::takes);
    loop.run(loop.now() + 10s);
    expect_all();
}

TEST_F(SenderTest, AnswersCutOffAreTroubleAndNothingIsLost) {
    begin();
    receiver.be(Mood::cuts);
    scrape_for(10);
    receiver.be(Mood::takes);
    scrape_for(30);
    expect_all();
}

TEST_F(SenderTest, ARestartInMidBacklogGoesOnWhereItStood) {
    begin();
    scrape_for(5);
    receiver.be(Mood::status, 503);
    scrape_for(20);
    const std::uint64_t waiting = spool->waiting("r");
    EXPECT_GE(waiting, 20u * series);
    sender.reset();  // its coroutines wait in a world that is not run any more
    spool.reset();
    net::SimulatedEventLoop second;
    emulator::WriteReceiver again(second, second.listen({"127.0.0.1", 9090}).listener);
    DurableQueue reopened(rules, {"r"});
    EXPECT_EQ(reopened.waiting("r"), waiting);
    Sender next(second, wanted, reopened, parts, 4, [](const std::string&, const std::string&) {});
    next.start();
    next.notify(series);
    second.run(second.now() + 60s);
    EXPECT_EQ(again.samples(), waiting);
    EXPECT_TRUE(again.breaches().empty());
}

// On sockets: a process that appends and sends is killed ten times in a backlog, at some moment each.
TEST_F(SpoolTest, KilledTenTimesInABacklogNothingIsMissingAndNothingCountsTwice) {
    net::SocketEventLoop loop;
    const auto listened = loop.listen({"127.0.0.1", 0});
    ASSERT_FALSE(listened.error);
    const std::string address = listened.listener->address().to_string();
    emulator::WriteReceiver receiver(loop, listened.listener);
    std::uint64_t dice = 5, told = 0;
    for (int round = 0; round < 11; ++round) {
        int ends[2];
        ASSERT_EQ(::pipe2(ends, O_NONBLOCK), 0);
        receiver.be(round < 3 ? emulator::WriteReceiver::Mood::status : emulator::WriteReceiver::Mood::takes);
        const pid_t child = ::fork();
        if (child == 0) {
            net::SocketEventLoop own;
            DurableQueue spool(rules, {"r"});
            ReceiverConfig wanted;
            wanted.name = "r";
            wanted.address = address;
            wanted.send_control.initial_backoff = 5ms;
            wanted.send_control.max_backoff = 20ms;
            Sender sender(own, wanted, spool, rules.shards, 3, [](const std::string&, const std::string&) {});
            SeriesEncoder scraper(rules.shards);
            sender.start();
            std::function<void()> again = [&] {
                if (round == 10) {  // the last one only sends what is left
                    if (spool.waiting("r") == 0) _exit(0);
                } else {
                    const auto n = static_cast<std::int64_t>(spool.end()) + 1;
                    spool.append(n, parts_of(scraper, 10, n, static_cast<double>(n)));
                    if (::write(ends[1], &n, sizeof n) != sizeof n) _exit(1);
                }
                sender.notify(5000);
                own.call_at(own.now() + 2ms, again);
            };
            again();
            own.run();
        }
        ::close(ends[1]);
        dice = dice * 6364136223846793005ULL + 1442695040888963407ULL;
        const int status = [&] {
            int left = 0;
            if (round < 10) {
                loop.call_at(loop.now() + 50ms + Time(dice >> 46), [&loop] { loop.stop(); });
                loop.run();
                ::kill(child, SIGKILL);
                ::waitpid(child, &left, 0);
                return 0;
            }
            while (::waitpid(child, &left, WNOHANG) == 0) {
                loop.call_at(loop.now() + 10ms, [&loop] { loop.stop(); });
                loop.run();
            }
            return left;
        }();
        EXPECT_EQ(status, 0);
        for (std::uint64_t n = 0; ::read(ends[0], &n, sizeof n) == sizeof n;) told = n;
        ::close(ends[0]);
    }
    EXPECT_GT(told, 100u);
    EXPECT_TRUE(receiver.breaches().empty());
    ASSERT_EQ(receiver.series().size(), 10u);
    for (const auto& [labels, points] : receiver.series()) {
        ASSERT_GE(points.size(), told);
        for (std::size_t i = 0; i < points.size(); ++i) ASSERT_EQ(points[i].first, static_cast<std::int64_t>(i) + 1);
    }
}

}  // namespace
}  // namespace plumkeel::remote_write
