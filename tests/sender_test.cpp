/// Tests Sender in simulated time with a receiver that stalls, rejects batches, resets connections or responds late.
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
    static constexpr int shards = 4, series_count = 300;
    SenderTest() : receiver(loop, loop.listen({"127.0.0.1", 9090}).listener) {
        config.shards = shards;
        receiver_config.name = "r";
        receiver_config.address = "127.0.0.1:9090";
        receiver_config.timeout = 2s;
    }
    void start_sender() {
        queue = std::make_unique<DurableQueue>(config, std::vector<std::string>{"r"});
        sender = std::make_unique<Sender>(
            loop, receiver_config, *queue, shards, 3,
            [this](ExportEvent event, const std::string&) { ++event_counts[std::string(to_string(event))]; });
        sender->start();
    }
    // Appends one scrape per second of simulated time.
    void append_scrapes(int seconds) {
        for (int i = 0; i < seconds; ++i) {
            loop.run(loop.now() + 1s);
            std::vector<Sample> samples;
            for (int number = 0; number < series_count; ++number)
                samples.push_back(make_sample("m", number, scrape_count * 10.0 + number));
            ++scrape_count;
            queue->append(scrape_count * 1000, encoder.encode(samples, scrape_count * 1000));
            sender->notify(series_count);
        }
    }
    void expect_all_samples() {
        loop.run(loop.now() + 3s);  // time to send the last scrape
        for (const std::string& violation : receiver.violations()) ADD_FAILURE() << violation;
        ASSERT_EQ(receiver.series().size(), static_cast<std::size_t>(series_count));
        for (const auto& [labels, points] : receiver.series()) {
            ASSERT_EQ(points.size(), static_cast<std::size_t>(scrape_count)) << labels.back().second;
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
    std::map<std::string, int> event_counts;  // number of events, by name
    std::int64_t scrape_count = 0;
};

using Mode = emulator::RemoteWriteReceiver::Mode;

TEST_F(SenderTest, DeliversAllSamplesInOrder) {
    start_sender();
    append_scrapes(30);
    loop.run(loop.now() + 5s);
    expect_all_samples();
    EXPECT_EQ(receiver.repeated(), 0u);
    EXPECT_EQ(queue->bytes(), 0u);
}

// While the disk refuses writes, samples that were queued before must still be sent.
TEST_F(SenderTest, KeepsSendingWhenTheDiskRefusesWrites) {
    start_sender();
    receiver.set_mode(Mode::respond_status, 503);
    append_scrapes(5);
    receiver.set_mode(Mode::accept);
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit_before{};
    ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &limit_before), 0);
    const rlimit zero_limit{0, limit_before.rlim_max};
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &zero_limit), 0);
    EXPECT_THROW(queue->append(99'000, encoder.encode({make_sample("m", 0, 1)}, 99'000)), QueueError);
    sender->notify(series_count);
    loop.run(loop.now() + 30s);
    ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &limit_before), 0);
    EXPECT_EQ(receiver.samples(), 5u * series_count);
    EXPECT_EQ(receiver.repeated(), 0u);
    EXPECT_GE(event_counts["queue_failed"], 1);
    // The disk accepts writes again, so the queue must too.
    EXPECT_NO_THROW(queue->append(100'000, encoder.encode({make_sample("m", 0, 2)}, 100'000)));
    EXPECT_TRUE(receiver.violations().empty());
}

// All samples are in one shard. The queue must release the scrapes although the other shards acknowledge no samples.
TEST_F(SenderTest, EmptyShardsDoNotDelayRelease) {
    start_sender();
    for (int i = 1; i <= 20; ++i) {
        loop.run(loop.now() + 1s);
        queue->append(i * 1000, encoder.encode({make_sample("m", 1, i)}, i * 1000));
        sender->notify(1);
    }
    loop.run(loop.now() + 3s);
    EXPECT_EQ(receiver.samples(), 20u);
    EXPECT_EQ(queue->bytes(), 0u);
}

TEST_F(SenderTest, CatchesUpAtABoundedRateAfterAStall) {
    start_sender();
    append_scrapes(5);
    receiver.set_mode(Mode::stall);
    append_scrapes(60);
    receiver.set_mode(Mode::accept);
    const Time receiver_recovered_at = loop.now();
    append_scrapes(90);
    expect_all_samples();
    // While the sender catches up, its rate is 4 times the inflow, plus the tokens left in the token bucket.
    for (const auto& [second, samples] : receiver.samples_by_second())
        if (second > receiver_recovered_at / 1s) {
            EXPECT_LE(samples, 4u * series_count + 2000u) << second;
        }
    EXPECT_EQ(event_counts["receiver_unresponsive"], 1);
    EXPECT_EQ(event_counts["receiver_accepting"], 1);
}

TEST_F(SenderTest, PartialErrorsKeepTheOrder) {
    start_sender();
    receiver.fail_share(0.4, 503);
    append_scrapes(40);
    receiver.fail_share(0, 503);
    append_scrapes(40);
    expect_all_samples();
}

// The receiver stores batches without responding. The sender must send exactly the same samples again.
TEST_F(SenderTest, LateResponsesCauseOnlyIdenticalRepeats) {
    start_sender();
    append_scrapes(5);
    receiver.set_mode(Mode::accept_without_response);
    append_scrapes(10);
    receiver.set_mode(Mode::accept);
    append_scrapes(20);
    expect_all_samples();
    EXPECT_GT(receiver.repeated(), 0u);
}

TEST_F(SenderTest, RejectedBatchesAreNotResent) {
    start_sender();
    receiver.set_mode(Mode::respond_status, 400);
    append_scrapes(10);
    loop.run(loop.now() + 5s);
    EXPECT_EQ(sender->counters().rejected, 10u * series_count);
    EXPECT_EQ(sender->counters().resent, 0u);
    EXPECT_EQ(event_counts["receiver_rejecting"], 1);
    EXPECT_EQ(queue->bytes(), 0u);
}

TEST_F(SenderTest, WaitsForRetryAfterOnTooManyRequests) {
    start_sender();
    receiver.set_mode(Mode::respond_status, 429, "7");
    append_scrapes(1);
    loop.run(loop.now() + 1s);
    const auto requests_before = receiver.requests();
    EXPECT_LE(requests_before, 4u);
    loop.run(loop.now() + 5s);
    EXPECT_EQ(receiver.requests(), requests_before);
    receiver.set_mode(Mode::accept);
    loop.run(loop.now() + 10s);
    expect_all_samples();
}

TEST_F(SenderTest, TruncatedResponsesLoseNoSamples) {
    start_sender();
    receiver.set_mode(Mode::reset);
    append_scrapes(10);
    receiver.set_mode(Mode::accept);
    append_scrapes(30);
    expect_all_samples();
}

TEST_F(SenderTest, ResumesABacklogAfterARestart) {
    start_sender();
    append_scrapes(5);
    receiver.set_mode(Mode::respond_status, 503);
    append_scrapes(20);
    const std::uint64_t pending_samples = queue->pending_samples("r");
    EXPECT_GE(pending_samples, 20u * series_count);
    sender.reset();  // safe, since the event loop does not run again
    queue.reset();
    net::SimulatedEventLoop loop_after_restart;
    emulator::RemoteWriteReceiver receiver_after_restart(loop_after_restart,
                                                         loop_after_restart.listen({"127.0.0.1", 9090}).listener);
    DurableQueue reopened(config, {"r"});
    EXPECT_EQ(reopened.pending_samples("r"), pending_samples);
    Sender sender_after_restart(loop_after_restart, receiver_config, reopened, shards, 4,
                                [](ExportEvent, const std::string&) {});
    sender_after_restart.start();
    sender_after_restart.notify(series_count);
    loop_after_restart.run(loop_after_restart.now() + 60s);
    EXPECT_EQ(receiver_after_restart.samples(), pending_samples);
    EXPECT_TRUE(receiver_after_restart.violations().empty());
}

class SenderProcessTest : public DurableQueueTest {};

// Kills a process that appends and sends samples over real sockets ten times at random moments while it has a backlog.
TEST_F(SenderProcessTest, SigkillDuringABacklogNeitherLosesNorDuplicatesSamples) {
    net::SocketEventLoop loop;
    const auto listen_result = loop.listen({"127.0.0.1", 0});
    ASSERT_FALSE(listen_result.error);
    const std::string address = listen_result.listener->address().to_string();
    emulator::RemoteWriteReceiver receiver(loop, listen_result.listener);
    std::uint64_t random_state = 5, last_reported_scrape = 0;
    for (int run = 0; run < 11; ++run) {
        int pipe_ends[2];
        ASSERT_EQ(::pipe2(pipe_ends, O_NONBLOCK), 0);
        receiver.set_mode(run < 3 ? emulator::RemoteWriteReceiver::Mode::respond_status
                                  : emulator::RemoteWriteReceiver::Mode::accept);
        const pid_t child = ::fork();
        if (child == 0) {
            net::SocketEventLoop child_loop;
            DurableQueue queue(config, {"r"});
            ReceiverConfig receiver_config;
            receiver_config.name = "r";
            receiver_config.address = address;
            receiver_config.send_control.initial_backoff = 5ms;
            receiver_config.send_control.max_backoff = 20ms;
            Sender sender(child_loop, receiver_config, queue, config.shards, 3, [](ExportEvent, const std::string&) {});
            SeriesEncoder encoder(config.shards);
            sender.start();
            std::function<void()> append_or_finish = [&] {
                if (run == 10) {  // the last process appends nothing and sends the remaining samples
                    if (queue.pending_samples("r") == 0) _exit(0);
                } else {
                    const auto scrape_number = static_cast<std::int64_t>(queue.next_sequence()) + 1;
                    queue.append(scrape_number,
                                 encode_scrape(encoder, 10, scrape_number, static_cast<double>(scrape_number)));
                    if (::write(pipe_ends[1], &scrape_number, sizeof scrape_number) != sizeof scrape_number) _exit(1);
                }
                sender.notify(5000);
                child_loop.call_at(child_loop.now() + 2ms, append_or_finish);
            };
            append_or_finish();
            child_loop.run();
        }
        ::close(pipe_ends[1]);
        random_state = random_state * 6364136223846793005ULL + 1442695040888963407ULL;
        const int status = [&] {
            int wait_status = 0;
            if (run < 10) {
                loop.call_at(loop.now() + 50ms + Time(random_state >> 46), [&loop] { loop.stop(); });
                loop.run();
                ::kill(child, SIGKILL);
                ::waitpid(child, &wait_status, 0);
                return 0;
            }
            while (::waitpid(child, &wait_status, WNOHANG) == 0) {
                loop.call_at(loop.now() + 10ms, [&loop] { loop.stop(); });
                loop.run();
            }
            return wait_status;
        }();
        EXPECT_EQ(status, 0);
        for (std::uint64_t scrape_number = 0;
             ::read(pipe_ends[0], &scrape_number, sizeof scrape_number) == sizeof scrape_number;)
            last_reported_scrape = scrape_number;
        ::close(pipe_ends[0]);
    }
    EXPECT_GT(last_reported_scrape, 100u);
    EXPECT_TRUE(receiver.violations().empty());
    ASSERT_EQ(receiver.series().size(), 10u);
    for (const auto& [labels, points] : receiver.series()) {
        ASSERT_GE(points.size(), last_reported_scrape);
        for (std::size_t i = 0; i < points.size(); ++i) ASSERT_EQ(points[i].first, static_cast<std::int64_t>(i) + 1);
    }
}

}  // namespace
}  // namespace plumkeel::remote_write
