// A receiver of remote write that takes nothing on trust: headers, packing, labels, order. For tests and days.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "emulator/common.hpp"
#include "remote_write/sample.hpp"

namespace plumkeel::emulator {

class WriteReceiver {
public:
    WriteReceiver(net::EventLoop& loop, std::shared_ptr<net::Listener> listener);

    enum class Mood { takes, stalls, status, cuts, late };
    void be(Mood mood, unsigned status = 503, std::string retry_after = "");
    void be_for_part(double share, unsigned status) { part_share_ = share, part_status_ = status; }
    void answer_after(Time delay) { delay_ = delay; }
    void forget() { series_.clear(); }  // restarts empty

    using Points = std::vector<std::pair<std::int64_t, double>>;
    const std::map<remote_write::Labels, Points>& series() const { return series_; }
    const std::vector<std::string>& breaches() const { return breaches_; }
    std::uint64_t samples() const { return samples_; }
    std::uint64_t repeated() const { return repeated_; }  // the very last sample of a series, sent once more
    std::uint64_t questions() const { return questions_; }
    std::size_t at_once() const { return most_at_once_; }
    // Samples taken, by second.
    const std::map<std::int64_t, std::uint64_t>& by_second() const { return by_second_; }

private:
    void asked(const std::shared_ptr<Talk>& talk, const Talk::Message& message);
    bool take(const Talk::Message& message);
    void reply(const std::shared_ptr<Talk>& talk, unsigned status);
    void breach(std::string what);

    net::EventLoop& loop_;
    Talk::Side side_;
    Mood mood_{};
    unsigned status_ = 503, part_status_ = 503;
    std::string retry_after_;
    double part_share_{};
    Time delay_{};
    Chance chance_{5};
    std::map<remote_write::Labels, Points> series_;
    std::vector<std::string> breaches_;
    std::uint64_t samples_{}, repeated_{}, questions_{};
    std::size_t at_once_{}, most_at_once_{};
    std::map<std::int64_t, std::uint64_t> by_second_;
};

}  // namespace plumkeel::emulator
