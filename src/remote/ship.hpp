// Ships a controller's measurements to its receivers from a thread of its own: scrape, spool, senders. The
// controller's thread is never waited for, and never waits.
#pragma once

#include <functional>
#include <memory>
#include <thread>

#include "remote/sender.hpp"

namespace plumkeel::remote {

struct Shipping {
    SpoolRules spool;  // without a folder nothing is shipped
    Time every = std::chrono::seconds(5);  // between two scrapes
    Time farewell = std::chrono::seconds(2);  // at the end, for what still waits; the rest goes at the next start
    std::vector<ReceiverRules> receivers;
    std::string controller;  // a label of what the ship tells of itself
};

class Ship {
public:
    using Collect = std::function<std::vector<prometheus::MetricFamily>()>;
    // `collect` and `notice` are invoked on the ship's thread. Throws SpoolFault where the spool can't be used.
    Ship(Shipping rules, Collect collect, Sender::Notice notice);
    ~Ship();  // marks all series as ended, then ends
    Ship(const Ship&) = delete;

private:
    struct Deck;
    std::unique_ptr<Deck> deck_;
    std::thread thread_;
};

}  // namespace plumkeel::remote
