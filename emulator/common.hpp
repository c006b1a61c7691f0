// What the stand-ins share: records of what passed on their sockets, on the machine's common clock; commands
// on the standard input; a small HTTP side; a permuted congruential generator.
#pragma once

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "http/http.hpp"
#include "net/notification.hpp"
#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"
#include "random/pcg.hpp"

namespace plumkeel::emulator {

using net::Time;
using namespace std::chrono_literals;

class Chance {
public:
    explicit Chance(std::uint64_t seed) : pcg_(seed) {}
    double next() { return pcg_.next(); }  // from 0 up to 1
    double exponential(double mean);
    double lognormal(double mean, double sigma);

private:
    Pcg pcg_;
};

// One JSON object a line, each written at once: a killed process leaves all that it told.
class Record {
public:
    explicit Record(const std::string& file);
    ~Record();
    void write(std::string_view event, boost::json::object fields);

private:
    int file_;
};

// "name key=value key=value" lines of the standard input; the process ends with the input.
class Commands {
public:
    using Words = std::vector<std::string>;
    using Options = std::map<std::string, std::string>;
    using Handler = std::function<void(const Words&, const Options&)>;
    Commands(net::SocketEventLoop& loop, Handler handler);
    static double figure(const Options& options, const std::string& key, double otherwise);
    static std::string text(const Options& options, const std::string& key, const std::string& otherwise = "");
};

// Notes in the record when this process itself was held up: its times are then that much too late.
void watch_lag(net::EventLoop& loop, Record& record);

// One connection of a client to a stand-in; one question at a time.
class Talk : public std::enable_shared_from_this<Talk> {
public:
    using Message = http::bh::request<http::bh::string_body>;
    struct Side {
        std::function<void(const std::shared_ptr<Talk>&, Message)> asked;
        std::function<void(const std::shared_ptr<Talk>&)> gone;  // the peer left an open question
    };
    Talk(net::EventLoop& loop, std::shared_ptr<net::Stream> stream, const Side& side);
    void start();
    void reply(std::string head, std::string body);  // ends the open question
    void reset() { stream_->reset(); }
    // Sends so many bytes of the answer, then resets.
    void reply_cut(std::string whole, std::size_t bytes);
    void close();
    bool open() const { return open_; }
    std::uint64_t number() const { return number_; }
    std::uint64_t number_{};

private:
    net::Task<> live(std::shared_ptr<Talk> self);

    net::EventLoop& loop_;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;
    const Side& side_;
    http::ReadBuffer read_buffer_;
    net::Notification replied_;
    bool open_{}, keep_{};
};

// Accepts until the listener is closed.
void accept_talks(net::EventLoop& loop, std::shared_ptr<net::Listener> listener, const Talk::Side& side,
                  std::function<void(const std::shared_ptr<Talk>&)> came = {});

// The listener at a loopback port, or the end of the process with the reason told.
std::shared_ptr<net::Listener> must_listen(net::EventLoop& loop, std::uint16_t port);

int run_invoker(const std::string& file, const std::string& record);
int run_list(const std::string& file, const std::string& record);
int run_receiver(const std::string& file, const std::string& record);
int run_store(const std::string& file, const std::string& record);
int run_clients(const std::string& file, const std::string& record);

}  // namespace plumkeel::emulator
