// The one store that all invokers fetch from: slow when crowded, turning fetches away beyond a limit.
#include "config/jsonnet_reader.hpp"
#include "emulator/common.hpp"

namespace plumkeel::emulator {
namespace {

class Store {
public:
    Store(const std::string& file, const std::string& record) : record_(record) {
        const auto settings = evaluate_jsonnet(file);
        JsonnetReader in(settings, file);
        std::size_t port = 0;
        in.require("port", port);
        in.read("at_once", at_once_);
        in.read("most", most_);
        in.reject_unknown_fields();
        side_ = {[this](const auto& talk, auto message) { asked(talk, message); }, [](const auto&) {}};
        accept_talks(loop_, must_listen(loop_, static_cast<std::uint16_t>(port)), side_);
        Commands(loop_, [this](const auto& words, const auto& options) {  // slow factor= ; broken on|off
            if (words[0] == "slow") slow_ = Commands::figure(options, "factor", 1);
            if (words[0] == "broken") broken_ = words.at(1) == "on";
        });
    }
    int run() {
        loop_.run();
        return 0;
    }

private:
    void asked(const std::shared_ptr<Talk>& talk, const Talk::Message& message) {
        double ms = 0;
        for (const auto& [key, value] : http::query_parameters(http::view(message.target())))
            if (key == "ms") ms = std::stod(value);
        if (broken_ || fetching_ >= most_) {
            record_.write("fetch_turned_away", {{"fetching", fetching_}});
            return talk->reply(http::HeadWriter("HTTP/1.1 503 Service Unavailable").add("Content-Length", "0").finish(),
                               "");
        }
        ++fetching_;
        const double crowd = std::max(1.0, static_cast<double>(fetching_) / at_once_);
        record_.write("fetch", {{"fetching", fetching_}});
        loop_.call_at(loop_.now() + Time(static_cast<Time::rep>(ms * 1000 * crowd * slow_)), [this, talk] {
            --fetching_;
            if (talk->open()) talk->reply(http::HeadWriter("HTTP/1.1 200 OK").add("Content-Length", "0").finish(), "");
        });
    }

    net::SocketEventLoop loop_;
    Record record_;
    Talk::Side side_;
    double at_once_ = 8, slow_ = 1;
    std::size_t fetching_{}, most_ = 48;
    bool broken_{};
};

}  // namespace

int run_store(const std::string& file, const std::string& record) {
    return Store(file, record).run();
}

}  // namespace plumkeel::emulator
