#include "emulator/common.hpp"
#include "net/listening_process.hpp"
#include "net/machine_clock.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cmath>
#include <iostream>
#include <sstream>

namespace plumkeel::emulator {

double Chance::exponential(double mean) {
    return -mean * std::log(1 - next());
}

double Chance::lognormal(double mean, double sigma) {
    const double normal = std::sqrt(-2 * std::log(1 - next())) * std::cos(2 * 3.14159265358979 * next());
    return mean * std::exp(sigma * normal - sigma * sigma / 2);
}

Record::Record(const std::string& file) : file_(::open(file.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644)) {
    if (file_ >= 0) return;
    std::cerr << "plumkeel-stand: " << file << ": can't be written\n";
    std::exit(2);
}

Record::~Record() {
    ::close(file_);
}

void Record::write(std::string_view event, boost::json::object fields) {
    boost::json::object line;
    line["t"] = net::machine_clock().count();
    line["e"] = event;
    for (auto& [name, value] : fields) line[name] = std::move(value);
    const std::string text = boost::json::serialize(line) + "\n";
    if (::write(file_, text.data(), text.size()) != static_cast<ssize_t>(text.size())) std::exit(3);
}

Commands::Commands(net::SocketEventLoop& loop, Handler handler) {
    loop.on_input_line([&loop, handler = std::move(handler)](std::optional<std::string> line) {
        if (!line) return loop.stop();
        std::istringstream in(*line);
        Words words;
        Options options;
        for (std::string each; in >> each;) {
            const auto equals = each.find('=');
            if (equals == std::string::npos)
                words.push_back(each);
            else
                options[each.substr(0, equals)] = each.substr(equals + 1);
        }
        if (words.empty()) return;
        if (words[0] == "quit") return loop.stop();
        handler(words, options);
    });
}

double Commands::figure(const Options& options, const std::string& key, double otherwise) {
    const auto it = options.find(key);
    return it == options.end() ? otherwise : std::stod(it->second);
}

std::string Commands::text(const Options& options, const std::string& key, const std::string& otherwise) {
    const auto it = options.find(key);
    return it == options.end() ? otherwise : it->second;
}

void watch_lag(net::EventLoop& loop, Record& record) {
    auto watch = [](net::EventLoop& w, Record& r) -> net::Task<> {
        for (;;) {
            const Time before = w.now();
            co_await w.sleep(10ms);
            const Time late = w.now() - before - 10ms;
            if (late > 15ms) r.write("lag", {{"us", late.count()}});
        }
    };
    loop.spawn(watch(loop, record));
}

Talk::Talk(net::EventLoop& loop, std::shared_ptr<net::Stream> stream, const Side& side)
    : loop_(loop),
      stream_(std::move(stream)),
      write_queue_(std::make_shared<net::WriteQueue>(loop, stream_)),
      side_(side),
      read_buffer_(stream_),
      replied_(loop) {}

void Talk::start() {
    loop_.spawn(live(shared_from_this()));
}

net::Task<> Talk::live(std::shared_ptr<Talk> self) {
    bool on = true;
    while (on) {
        http::bh::request_parser<http::bh::string_body> parser;
        parser.eager(true);
        parser.body_limit(64 * 1024 * 1024);
        net::Error error;
        bool first = read_buffer_.size() > 0;
        while (!parser.is_done() && !error) {
            if (!std::exchange(first, false)) error = co_await read_buffer_.read_more();
            if (!error) error = read_buffer_.feed(parser);
        }
        if (error) break;
        keep_ = parser.keep_alive();
        open_ = true;
        side_.asked(self, parser.release());
        while (open_ && on) {
            if (read_buffer_.size() == 0) {
                error = co_await read_buffer_.read_more();
                on = !error;
            } else {
                co_await replied_.wait();
            }
        }
        if (open_) {
            open_ = false;
            side_.gone(self);
        }
        on = on && keep_;
    }
    co_await write_queue_->wait_below(0);
    stream_->close();
}

void Talk::reply(std::string head, std::string body) {
    write_queue_->send(std::move(head), std::make_shared<const std::string>(std::move(body)));
    open_ = false;
    replied_.notify();
}

void Talk::reply_cut(std::string whole, std::size_t bytes) {
    write_queue_->send(whole.substr(0, bytes));
    open_ = false;
    auto later = [](std::shared_ptr<Talk> self) -> net::Task<> {
        co_await self->loop_.sleep(5ms);  // so that the bytes arrive before the reset
        self->stream_->reset();
    };
    loop_.spawn(later(shared_from_this()));
}

void Talk::close() {
    open_ = false;
    stream_->close();
}

void accept_talks(net::EventLoop& loop, std::shared_ptr<net::Listener> listener, const Talk::Side& side,
                  std::function<void(const std::shared_ptr<Talk>&)> came) {
    auto run = [](net::EventLoop& w, std::shared_ptr<net::Listener> l, const Talk::Side& s,
                  std::function<void(const std::shared_ptr<Talk>&)> tell) -> net::Task<> {
        std::uint64_t numbers = 0;
        for (;;) {
            const auto accepted = co_await l->accept();
            if (accepted.error == net::asio::error::operation_aborted) co_return;
            if (accepted.error) {
                co_await w.sleep(10ms);
                continue;
            }
            const auto talk = std::make_shared<Talk>(w, accepted.stream, s);
            talk->number_ = ++numbers;
            if (tell) tell(talk);
            talk->start();
        }
    };
    loop.spawn(run(loop, std::move(listener), side, std::move(came)));
}

std::shared_ptr<net::Listener> must_listen(net::EventLoop& loop, std::uint16_t port) {
    const auto listened = loop.listen({"127.0.0.1", port});
    if (!listened.error) return listened.listener;
    std::cerr << "plumkeel-stand: port " << port << ": " << listened.error.message() << ' '
              << net::listening_process(port) << '\n';
    std::exit(2);
}

}  // namespace plumkeel::emulator
