/// The sender against a receiver that stalls, rejects, resets connections and responds late, in virtual time.
#include "remote_write/sender.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "emulator/remote_write_receiver.hpp"
#include "net/simulated_event_loop.hpp"
#include "net/socket_event_loop.hpp"
#include "tests/durable_queue_fixture.hpp"

namespace plumkeel::remote_write {
namespace {

using namespace std::chrono_literals;

class SenderTest : public DurableQueueTest {
protected:
    static constexpr int shards = 4, series = 300;
    SenderTest() : receiver(loop, loop.listen({"127.0.0.1", 9090}).listener) {
        config.shards = shards;
        receiver_config.name = "r";
        receiver_config.address = "127.0.0.1:9090";
        receiver_config.timeout = 2s;
    }
    void begin() {
        queue = std::make_unique<DurableQueue>(config, std::vector<std::string>{"r"});
        sender = std::make_unique<Sender>(
            loop, receiver_config, *queue, shards, 3,
            [this](ExportEvent event, const std::string&) { ++events[std::string(to_string(event))]; });
        sender->start();
    }
    // One scrape a second.
    void scrape_for(int seconds) {
        for (int i = 0; i < seconds; ++i) {
            loop.run(loop.now() + 1s);
            std::vector<Sample> samples;
            for (int n = 0; n < series; ++n) samples.push_back(sample("m", n, scrapes * 10.0 + n));
            ++scrapes;
            queue->append(scrapes * 1000, encoder.encode(samples, scrapes * 1000));
            sender->notify(series);
        }
    }
    void expect_all() {
        loop.run(loop.now() + 3s);  // the last scrape
        for (const std::string& breach : receiver.violations()) ADD_FAILURE() << breach;
        ASSERT_EQ(receiver.series().size(), static_cast<std::size_t>(series));
        for (const auto& [labels, points] : receiver.series()) {
            ASSERT_EQ(points.size(), static_cast<std::size_t>(scrapes)) << labels.back().second;
            for (std::size_t i = 0; i < points.size(); ++i)
                ASSERT_EQ(points[i].first, static_cast<std::int64_t>(i + 1) * 1000);
        }
    }

    net::SimulatedEventLoop loop;
    emulator::RemoteWriteReceiver receiver;
    ReceiverConfig receiver_config;
    SeriesEncoder encoder{shards};
    std::unique_ptr<DurableQueue> queue;
    std::unique_ptr<Sender> sender;
    std::map<std::string, int> events;  // by name
    std::int64_t scrapes = 0;
};

using Mode = emulator::RemoteWriteReceiver::Mode;

TEST_F(SenderTest, DeliversAllSamplesInOrder) {
    begin();
    scrape_for(30);
    loop.run(loop.now() + 5s);
    expect_all();
    EXPECT_EQ(receiver.repeated(), 0u);
    EXPECT_EQ(queue->bytes(), 0u);
}

// A disk that refuses writes must neither end the process nor delay the samples queued before.
TEST_F(SenderTest, KeepsSendingWhenTheDiskRefusesWrites) {
    begin();
    receiver.set_mode(Mode::respond_status, 503);
    scrape_for(5);
    receiver.set_mode(Mode::accept);
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &before), 0);
    const rlimit none{0, before.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &none), 0);
    EXPECT_THROW(queue->append(99'000, encoder.encode({sample("m", 0, 1)}, 99'000)), QueueError);
    sender->notify(series);
    loop.run(loop.now() + 30s);
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &before), 0);
    EXPECT_EQ(receiver.samples(), 5u * series);
    EXPECT_EQ(receiver.repeated(), 0u);
    EXPECT_GE(events["queue_failed"], 1);
    EXPECT_NO_THROW(queue->append(100'000, encoder.encode({sample("m", 0, 2)}, 100'000)));  // the queue has recovered
    EXPECT_TRUE(receiver.violations().empty());
}

// One series is in one shard; the scrapes must not wait for the shards without samples.
TEST_F(SenderTest, EmptyShardsDoNotDelayRelease) {
    begin();
    for (int i = 1; i <= 20; ++i) {
        loop.run(loop.now() + 1s);
        queue->append(i * 1000, encoder.encode({sample("m", 1, i)}, i * 1000));
        sender->notify(1);
    }
    loop.run(loop.now() + 3s);
    EXPECT_EQ(receiver.samples(), 20u);
    EXPECT_EQ(queue->bytes(), 0u);
}

TEST_F(SenderTest, CatchesUpAtABoundedRateAfterAStall) {
    begin();
    scrape_for(5);
    receiver.set_mode(Mode::stall);
    scrape_for(60);
    receiver.set_mode(Mode::accept);
    const Time back = loop.now();
    scrape_for(90);
    expect_all();
    // While catching up the rate is 4 times the inflow, plus the tokens that were saved.
    for (const auto& [second, samples] : receiver.samples_by_second())
        if (second > back / 1s) {
            EXPECT_LE(samples, 4u * series + 2000u) << second;
        }
    EXPECT_EQ(events["receiver_unresponsive"], 1);
    EXPECT_EQ(events["receiver_accepting"], 1);
}

TEST_F(SenderTest, PartialErrorsKeepTheOrder) {
    begin();
    receiver.fail_share(0.4, 503);
    scrape_for(40);
    receiver.fail_share(0, 503);
    scrape_for(40);
    expect_all();
}

// Batches stored but never acknowledged are sent again unchanged: the receiver counts them once.
TEST_F(SenderTest, LateResponsesCauseOnlyIdenticalRepeats) {
    begin();
    scrape_for(5);
    receiver.set_mode(Mode::accept_without_response);
    scrape_for(10);
    receiver.set_mode(Mode::accept);
    scrape_for(20);
    expect_all();
    EXPECT_GT(receiver.repeated(), 0u);
}

TEST_F(SenderTest, RejectedBatchesAreNotResent) {
    begin();
    receiver.set_mode(Mode::respond_status, 400);
    scrape_for(10);
    loop.run(loop.now() + 5s);
    EXPECT_EQ(sender->counts().rejected, 10u * series);
    EXPECT_EQ(sender->counts().resent, 0u);
    EXPECT_EQ(events["receiver_rejecting"], 1);
    EXPECT_EQ(queue->bytes(), 0u);
}

TEST_F(SenderTest, WaitsForRetryAfterOnTooManyRequests) {
    begin();
    receiver.set_mode(Mode::respond_status, 429, "7");
    scrape_for(1);
    loop.run(loop.now() + 1s);
    const auto before = receiver.requests();
    EXPECT_LE(before, 4u);
    loop.run(loop.now() + 5s);
    EXPECT_EQ(receiver.requests(), before);
    receiver.set_mode(Mode::accept);
    loop.run(loop.now() + 10s);
    expect_all();
}

TEST_F(SenderTest, TruncatedResponsesLoseNoSamples) {
    begin();
    receiver.set_mode(Mode::reset);
    scrape_for(10);
    receiver.set_mode(Mode::accept);
    scrape_for(30);
    expect_all();
}

TEST_F(SenderTest, ResumesABacklogAfterARestart) {
    begin();
    scrape_for(5);
    receiver.set_mode(Mode::respond_status, 503);
    scrape_for(20);
    const std::uint64_t waiting = queue->pending_samples("r");
    EXPECT_GE(waiting, 20u * series);
    sender.reset();  // its coroutines wait on a loop that does not run any more
    queue.reset();
    net::SimulatedEventLoop second;
    emulator::RemoteWriteReceiver again(second, second.listen({"127.0.0.1", 9090}).listener);
    DurableQueue reopened(config, {"r"});
    EXPECT_EQ(reopened.pending_samples("r"), waiting);
    Sender next(second, receiver_config, reopened, shards, 4, [](ExportEvent, const std::string&) {});
    next.start();
    next.notify(series);
    second.run(second.now() + 60s);
    EXPECT_EQ(again.samples(), waiting);
    EXPECT_TRUE(again.violations().empty());
}

class SenderProcessTest : public DurableQueueTest {};

// On sockets: a process that appends and sends is killed ten times at arbitrary moments of a backlog.
TEST_F(SenderProcessTest, SigkillDuringABacklogNeitherLosesNorDuplicatesSamples) {
    net::SocketEventLoop loop;
    const auto listened = loop.listen({"127.0.0.1", 0});
    ASSERT_FALSE(listened.error);
    const std::string address = listened.listener->address().to_string();
    emulator::RemoteWriteReceiver receiver(loop, listened.listener);
    std::uint64_t random_state = 5, reported = 0;
    for (int round = 0; round < 11; ++round) {
        int pipe_ends[2];
        ASSERT_EQ(::pipe2(pipe_ends, O_NONBLOCK), 0);
        receiver.set_mode(round < 3 ? emulator::RemoteWriteReceiver::Mode::respond_status
                                    : emulator::RemoteWriteReceiver::Mode::accept);
        const pid_t child = ::fork();
        if (child == 0) {
            net::SocketEventLoop own;
            DurableQueue queue(config, {"r"});
            ReceiverConfig receiver_config;
            receiver_config.name = "r";
            receiver_config.address = address;
            receiver_config.send_control.initial_backoff = 5ms;
            receiver_config.send_control.max_backoff = 20ms;
            Sender sender(own, receiver_config, queue, config.shards, 3, [](ExportEvent, const std::string&) {});
            SeriesEncoder encoder(config.shards);
            sender.start();
            std::function<void()> again = [&] {
                if (round == 10) {  // the last process only sends what is left
                    if (queue.pending_samples("r") == 0) _exit(0);
                } else {
                    const auto n = static_cast<std::int64_t>(queue.next_sequence()) + 1;
                    queue.append(n, encode_scrape(encoder, 10, n, static_cast<double>(n)));
                    if (::write(pipe_ends[1], &n, sizeof n) != sizeof n) _exit(1);
                }
                sender.notify(5000);
                own.call_at(own.now() + 2ms, again);
            };
            again();
            own.run();
        }
        ::close(pipe_ends[1]);
        random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
        const int status = [&] {
            int left = 0;
            if (round < 10) {
                loop.call_at(loop.now() + 50ms + Time(random_state >> 46), [&loop] { loop.stop(); });
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
        for (std::uint64_t n = 0; ::read(pipe_ends[0], &n, sizeof n) == sizeof n;) reported = n;
        ::close(pipe_ends[0]);
    }
    EXPECT_GT(reported, 100u);
    EXPECT_TRUE(receiver.violations().empty());
    ASSERT_EQ(receiver.series().size(), 10u);
    for (const auto& [labels, points] : receiver.series()) {
        ASSERT_GE(points.size(), reported);
        for (std::size_t i = 0; i < points.size(); ++i) ASSERT_EQ(points[i].first, static_cast<std::int64_t>(i) + 1);
    }
}

}  // namespace
}  // namespace plumkeel::remote_write
