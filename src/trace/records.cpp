#include "trace/records.hpp"

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
        throw TraceError("a number is too long");
    }
    std::uint64_t fixed() {
        std::uint64_t value = 0;
        for (int i = 0; i < 8; ++i) value |= static_cast<std::uint64_t>(take_byte()) << (8 * i);
        return value;
    }
    std::string text() {
        const std::uint64_t n = number();
        if (n > bytes_.size()) throw TraceError("a text is longer than its record");
        std::string out(bytes_.substr(0, n));
        bytes_.remove_prefix(n);
        return out;
    }
    bool more() const { return !bytes_.empty(); }

private:
    unsigned char take_byte() {
        if (bytes_.empty()) throw TraceError("a record ends early");
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
        if (wide < INT32_MIN || wide > INT32_MAX) throw TraceError("a number of a record is out of all bounds");
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
        if (!Io::writes && (n > max_duration || n < -max_duration))
            throw TraceError("a time of a record is out of all bounds");
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
        if (n > 255) throw TraceError("a word of a record is not known");
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
    requires(std::is_class_v<T>) void operator()(T& v) { body(*this, v); }
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
void body(Io& io, RequestClass& it) {
    io.all(it.latency_target, it.idempotency, it.deduplication_scope, it.deduplication_window);
}
template <class Io>
void body(Io& io, SafetyRules& it) {
    io.all(it.slow_start_duration, it.slow_start_initial_share, it.slow_start_rate_multiple, it.slow_start_window,
           it.load_budget_window, it.load_budget_base, it.load_budget_per_request);
}
template <class Io>
void body(Io& io, Capabilities& it) {
    io.all(it.cancellation, it.health_checks, it.hedging, it.retry_after, it.preload, it.subscribes_endpoints,
           it.on_demand_loading, it.stable_capacity, it.max_attempts, it.controller_count, it.max_retry_after,
           it.keep_alive, it.clock_resolution, it.memory_price);
}
template <class Io>
void body(Io& io, Start& it) {
    io.all(it.name, it.seed, it.rules, it.capabilities, it.request_classes, it.tenants);
    io.added(it.capabilities.health_check_price);
}
template <class Io>
void body(Io& io, NameRecord& it) {
    io.all(it.number, it.name);
}
template <class Io>
void body(Io& io, FunctionReleased& it) {
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
void body(Io& io, NestedRecord& it) {
    io.all(it.at, it.type, it.body);
}
template <class Io>
void body(Io& io, SampledRequest& it) {
    io.all(it.records);
}
template <class Io>
void body(Io& io, LoadReport& it) {
    io.all(it.in_flight, it.queued);
}
template <class Io>
void body(Io& io, RequestSubmitted& it) {
    io.all(it.request_class, it.tenant, it.function, it.concurrency, it.declared_load_time, it.remaining,
           it.is_client_retry);
}
template <class Io>
void body(Io& io, ResponseStarted& it) {
    io.all(it.attempt);
}
template <class Io>
void body(Io& io, AttemptEnded& it) {
    io.all(it.attempt, it.outcome, it.load_event, it.concurrent_requests, it.report);
}
template <class Io>
void body(Io& io, EndpointRecord& it) {
    io.all(it.invoker, it.ready, it.capacity, it.zone, it.type, it.cell, it.started_at);
}
template <class Io>
void body(Io& io, EndpointsChanged& it) {
    io.all(it.complete, it.controller, it.changed);
}
template <class Io>
void body(Io& io, HealthCheckEnded& it) {
    io.all(it.invoker, it.answered, it.report);
}
template <class Io>
void body(Io& io, PreloadEnded& it) {
    io.all(it.function, it.invoker, it.outcome, it.copies);
}
template <class Io>
void body(Io& io, ActionsRecord::Cancelled& it) {
    io.all(it.request, it.attempt);
}
template <class Io>
void body(Io& io, ActionsRecord::Completed& it) {
    io.all(it.request, it.state, it.retry_after);
}
template <class Io>
void body(Io& io, ActionsRecord::Sent& it) {
    io.all(it.request, it.attempt, it.invoker, it.timeout);
}
template <class Io>
void body(Io& io, ActionsRecord::Preloaded& it) {
    io.all(it.function, it.invoker, it.copies);
}
template <class Io>
void body(Io& io, ActionsRecord& it) {
    io.all(it.to_cancel, it.completed, it.to_send, it.to_probe, it.to_preload, it.released_functions,
           it.subscribe_endpoints, it.next_wake);
}
template <class Io>
void body(Io& io, TransitionRecord::Sent& it) {
    io.all(it.attempt, it.invoker, it.starts_load, it.warm);
}
template <class Io>
void body(Io& io, TransitionRecord::Candidate& it) {
    io.all(it.invoker, it.exclusion);
    if (it.exclusion == ExclusionReason::none) io.all(it.finish, it.contention, it.warm);
}
template <class Io>
void body(Io& io, TransitionRecord& it) {
    io.all(it.to, it.reason, it.retry_after, it.sent, it.candidates);
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
    if (in.more()) throw TraceError("a record holds more than its kind tells");
    return told;
}

#define PLUMKEEL_RECORD_TYPE(T)                         \
    template std::string pack<T>(const T&);             \
    template void pack_into<T>(std::string&, const T&); \
    template T unpack<T>(std::string_view);
PLUMKEEL_RECORD_TYPE(Start)
PLUMKEEL_RECORD_TYPE(NameRecord)
PLUMKEEL_RECORD_TYPE(FunctionReleased)
PLUMKEEL_RECORD_TYPE(Gap)
PLUMKEEL_RECORD_TYPE(Resumed)
PLUMKEEL_RECORD_TYPE(Merged)
PLUMKEEL_RECORD_TYPE(SampledRequest)
PLUMKEEL_RECORD_TYPE(RequestSubmitted)
PLUMKEEL_RECORD_TYPE(ResponseStarted)
PLUMKEEL_RECORD_TYPE(AttemptEnded)
PLUMKEEL_RECORD_TYPE(EndpointsChanged)
PLUMKEEL_RECORD_TYPE(HealthCheckEnded)
PLUMKEEL_RECORD_TYPE(PreloadEnded)
PLUMKEEL_RECORD_TYPE(ActionsRecord)
PLUMKEEL_RECORD_TYPE(TransitionRecord)
#undef PLUMKEEL_RECORD_TYPE

}  // namespace plumkeel::trace
