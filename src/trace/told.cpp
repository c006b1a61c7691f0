#include "trace/told.hpp"

#include <bit>
#include <type_traits>

namespace plumkeel::trace {
namespace {

class Out {
public:
    static constexpr bool writes = true;
    explicit Out(std::string& into) : bytes(into) {}
    std::string& bytes;

    void number(std::uint64_t value) {
        if (value < 0x80) return bytes.push_back(static_cast<char>(value));
        char text[10];
        std::size_t n = 0;
        for (; value >= 0x80; value >>= 7) text[n++] = static_cast<char>(value | 0x80);
        text[n++] = static_cast<char>(value);
        bytes.append(text, n);
    }
    void fixed(std::uint64_t value) {
        char text[8];
        for (int i = 0; i < 8; ++i) text[i] = static_cast<char>(value >> (8 * i));
        bytes.append(text, 8);
    }
    void text(const std::string& value) {
        number(value.size());
        bytes += value;
    }
};

class In {
public:
    static constexpr bool writes = false;
    explicit In(std::string_view bytes) : bytes_(bytes) {}

    std::uint64_t number() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            const auto byte = take_byte();
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (!(byte & 0x80)) return value;
        }
        throw Fault("a number is too long");
    }
    std::uint64_t fixed() {
        std::uint64_t value = 0;
        for (int i = 0; i < 8; ++i) value |= static_cast<std::uint64_t>(take_byte()) << (8 * i);
        return value;
    }
    std::string text() {
        const std::uint64_t n = number();
        if (n > bytes_.size()) throw Fault("a text is longer than its record");
        std::string out(bytes_.substr(0, n));
        bytes_.remove_prefix(n);
        return out;
    }
    bool more() const { return !bytes_.empty(); }

private:
    unsigned char take_byte() {
        if (bytes_.empty()) throw Fault("a record ends early");
        const auto byte = static_cast<unsigned char>(bytes_.front());
        bytes_.remove_prefix(1);
        return byte;
    }
    std::string_view bytes_;
};

// The plain values, both ways: io(value) writes it or reads it.
template <class Io>
struct Both {
    Io& io;

    void operator()(std::uint64_t& v) {
        if constexpr (Io::writes)
            io.number(v);
        else
            v = io.number();
    }
    void operator()(std::int64_t& v) {
        if constexpr (Io::writes)
            io.number(static_cast<std::uint64_t>(v) << 1 ^ static_cast<std::uint64_t>(v >> 63));
        else {
            const std::uint64_t n = io.number();
            v = static_cast<std::int64_t>(n >> 1) ^ -static_cast<std::int64_t>(n & 1);
        }
    }
    void operator()(int& v) {
        std::int64_t wide = v;
        (*this)(wide);
        if (wide < INT32_MIN || wide > INT32_MAX) throw Fault("a number of a record is out of all bounds");
        v = static_cast<int>(wide);
    }
    void operator()(bool& v) {
        std::uint64_t n = v;
        (*this)(n);
        v = n != 0;
    }
    void operator()(std::uint8_t& v) {
        std::uint64_t n = v;
        (*this)(n);
        v = static_cast<std::uint8_t>(n);
    }
    void operator()(double& v) {
        if constexpr (Io::writes)
            io.fixed(std::bit_cast<std::uint64_t>(v));
        else
            v = std::bit_cast<double>(io.fixed());
    }
    void operator()(Time& v) {
        std::int64_t n = v.count();
        (*this)(n);
        if (!Io::writes && (n > longest_span || n < -longest_span)) throw Fault("a time of a record is out of all bounds");
        v = Time(n);
    }
    void operator()(std::string& v) {
        if constexpr (Io::writes)
            io.text(v);
        else
            v = io.text();
    }
    template <class T>
        requires std::is_enum_v<T>
    void operator()(T& v) {
        auto n = static_cast<std::uint64_t>(v);
        (*this)(n);
        if (n > 255) throw Fault("a word of a record is not known");
        v = static_cast<T>(n);
    }
    template <class T>
    void operator()(std::optional<T>& v) {
        bool there = v.has_value();
        (*this)(there);
        if (there && !v) v.emplace();
        if (there) (*this)(*v);
    }
    template <class T>
    void operator()(std::vector<T>& v) {
        std::uint64_t n = v.size();
        (*this)(n);
        if constexpr (Io::writes)
            for (T& each : v) (*this)(each);
        else
            for (; n > 0; --n) (*this)(v.emplace_back());  // a lying count meets the record's end
    }
    template <class T, class U>
    void operator()(std::pair<T, U>& v) {
        (*this)(v.first);
        (*this)(v.second);
    }
    template <class T>
        requires(std::is_class_v<T>)
    void operator()(T& v) {
        body(*this, v);
    }
    template <class... T>
    void all(T&... values) {
        ((*this)(values), ...);
    }
    // At the end of a record, of a kind that did without it in earlier traces.
    template <class T>
    void added(T& value) {
        if constexpr (Io::writes)
            (*this)(value);
        else if (io.more())
            (*this)(value);
    }
};

template <class Io>
void body(Io& io, UseCase& it) {
    io.all(it.promised, it.repeat, it.reach, it.remembered);
}
template <class Io>
void body(Io& io, Rulebook& it) {
    io.all(it.cold_for, it.cold_share, it.push_multiple, it.push_span, it.load_span, it.free_loads, it.loads_per_job);
}
template <class Io>
void body(Io& io, Allowances& it) {
    io.all(it.call_off, it.probe, it.second_copies, it.retry_after, it.order_copies, it.ask_for_list,
           it.loads_on_demand, it.steady_units, it.hops, it.controllers, it.longest_retry_after, it.keep_alive,
           it.tick, it.memory_price);
}
template <class Io>
void body(Io& io, Start& it) {
    io.all(it.name, it.seed, it.rules, it.may, it.use_cases, it.tenants);
    io.added(it.may.probe_price);
}
template <class Io>
void body(Io& io, Known& it) {
    io.all(it.number, it.name);
}
template <class Io>
void body(Io& io, Forgotten& it) {
    io.all(it.number);
}
template <class Io>
void body(Io& io, Gap& it) {
    io.all(it.records, it.bytes);
}
template <class Io>
void body(Io& io, Resumed& it) {
    io.all(it.before, it.again, it.part);
}
template <class Io>
void body(Io& io, Merged& it) {
    io.all(it.controllers);
}
template <class Io>
void body(Io& io, Nested& it) {
    io.all(it.at, it.kind, it.body);
}
template <class Io>
void body(Io& io, Story& it) {
    io.all(it.records);
}
template <class Io>
void body(Io& io, Report& it) {
    io.all(it.held, it.queued);
}
template <class Io>
void body(Io& io, Taken& it) {
    io.all(it.use_case, it.tenant, it.function, it.lanes, it.told_load, it.time_left, it.again);
}
template <class Io>
void body(Io& io, HopAccepted& it) {
    io.all(it.hop);
}
template <class Io>
void body(Io& io, HopEnded& it) {
    io.all(it.hop, it.ending, it.note, it.company, it.report);
}
template <class Io>
void body(Io& io, ListEntry& it) {
    io.all(it.invoker, it.ready, it.units, it.zone, it.kind, it.cell, it.started);
}
template <class Io>
void body(Io& io, FleetChanged& it) {
    io.all(it.complete, it.controller, it.changed);
}
template <class Io>
void body(Io& io, ProbeAnswered& it) {
    io.all(it.invoker, it.came, it.report);
}
template <class Io>
void body(Io& io, LoadAnswered& it) {
    io.all(it.function, it.invoker, it.ending, it.copies);
}
template <class Io>
void body(Io& io, Answer::CalledOff& it) {
    io.all(it.job, it.hop);
}
template <class Io>
void body(Io& io, Answer::Answered& it) {
    io.all(it.job, it.state, it.pause);
}
template <class Io>
void body(Io& io, Answer::Started& it) {
    io.all(it.job, it.hop, it.invoker, it.limit);
}
template <class Io>
void body(Io& io, Answer::Ordered& it) {
    io.all(it.function, it.invoker, it.copies);
}
template <class Io>
void body(Io& io, Answer& it) {
    io.all(it.called_off, it.answered, it.started, it.probed, it.ordered, it.forgotten, it.follow_list, it.next_wake);
}
template <class Io>
void body(Io& io, TurnedTo::Sent& it) {
    io.all(it.hop, it.invoker, it.loads, it.warm);
}
template <class Io>
void body(Io& io, TurnedTo::Candidate& it) {
    io.all(it.invoker, it.bar);
    if (it.bar == Bar::none) io.all(it.finish, it.wait, it.warm);
}
template <class Io>
void body(Io& io, TurnedTo& it) {
    io.all(it.to, it.why, it.pause, it.sent, it.weighed);
}

}  // namespace

template <class T>
std::string pack(const T& told) {
    std::string out;
    pack_into(out, told);
    return out;
}

template <class T>
void pack_into(std::string& into, const T& told) {
    into.clear();
    Out out(into);
    Both<Out> both{out};
    body(both, const_cast<T&>(told));  // writing changes nothing
}

template <class T>
T unpack(std::string_view bytes) {
    In in(bytes);
    Both<In> both{in};
    T told;
    body(both, told);
    if (in.more()) throw Fault("a record holds more than its kind tells");
    return told;
}

#define PLUMKEEL_TOLD(T)                  \
    template std::string pack<T>(const T&); \
    template void pack_into<T>(std::string&, const T&); \
    template T unpack<T>(std::string_view);
PLUMKEEL_TOLD(Start)
PLUMKEEL_TOLD(Known)
PLUMKEEL_TOLD(Forgotten)
PLUMKEEL_TOLD(Gap)
PLUMKEEL_TOLD(Resumed)
PLUMKEEL_TOLD(Merged)
PLUMKEEL_TOLD(Story)
PLUMKEEL_TOLD(Taken)
PLUMKEEL_TOLD(HopAccepted)
PLUMKEEL_TOLD(HopEnded)
PLUMKEEL_TOLD(FleetChanged)
PLUMKEEL_TOLD(ProbeAnswered)
PLUMKEEL_TOLD(LoadAnswered)
PLUMKEEL_TOLD(Answer)
PLUMKEEL_TOLD(TurnedTo)
#undef PLUMKEEL_TOLD

}  // namespace plumkeel::trace
