/// \file
/// The primitive values of a record's body (docs/trace-format.md): one description of a struct's fields serves for
/// writing and for reading. Private to records.cpp.
#pragma once

#include <bit>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "trace/format.hpp"

namespace plumkeel::trace {

/// Appends primitive values to a body.
class BodyWriter {
public:
    static constexpr bool writes = true;
    explicit BodyWriter(std::string& body) : body_(body) {}

    void varint(std::uint64_t value) {
        if (value < 0x80) return body_.push_back(static_cast<char>(value));
        char bytes[max_varint_bytes];
        std::size_t size = 0;
        for (; value >= 0x80; value >>= 7) bytes[size++] = static_cast<char>(value | 0x80);
        bytes[size++] = static_cast<char>(value);
        body_.append(bytes, size);
    }
    void fixed64(std::uint64_t value) {
        char bytes[8];
        for (int i = 0; i < 8; ++i) bytes[i] = static_cast<char>(value >> (8 * i));
        body_.append(bytes, sizeof bytes);
    }
    void text(const std::string& value) {
        varint(value.size());
        body_ += value;
    }

private:
    static constexpr std::size_t max_varint_bytes = 10;
    std::string& body_;
};

/// Takes primitive values from a body. Throws TraceError if the body is not long enough.
class BodyReader {
public:
    static constexpr bool writes = false;
    explicit BodyReader(std::string_view body) : rest_(body) {}

    std::uint64_t varint() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            const auto byte = take_byte();
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (!(byte & 0x80)) return value;
        }
        throw TraceError("a record holds a number of too many bytes");
    }
    std::uint64_t fixed64() {
        std::uint64_t value = 0;
        for (int i = 0; i < 8; ++i) value |= static_cast<std::uint64_t>(take_byte()) << (8 * i);
        return value;
    }
    std::string text() {
        const std::uint64_t size = varint();
        if (size > rest_.size()) throw TraceError("a record holds a string that is longer than the record");
        std::string out(rest_.substr(0, size));
        rest_.remove_prefix(size);
        return out;
    }
    bool at_end() const { return rest_.empty(); }

private:
    unsigned char take_byte() {
        if (rest_.empty()) throw TraceError("a record ends early");
        const auto byte = static_cast<unsigned char>(rest_.front());
        rest_.remove_prefix(1);
        return byte;
    }
    std::string_view rest_;
};

/// Writes or reads the values it is called with, depending on `Body`. A struct is handled by its overload of
/// encode_fields(codec, value), found by argument-dependent lookup.
template <class Body>
class FieldCodec {
public:
    explicit FieldCodec(Body& body) : body_(body) {}

    void operator()(std::uint64_t& value) {
        if constexpr (Body::writes)
            body_.varint(value);
        else
            value = body_.varint();
    }
    /// Zigzag: small numbers of either sign take few bytes.
    void operator()(std::int64_t& value) {
        if constexpr (Body::writes) {
            body_.varint(static_cast<std::uint64_t>(value) << 1 ^ static_cast<std::uint64_t>(value >> 63));
        } else {
            const std::uint64_t zigzag = body_.varint();
            value = static_cast<std::int64_t>(zigzag >> 1) ^ -static_cast<std::int64_t>(zigzag & 1);
        }
    }
    void operator()(int& value) {
        std::int64_t wide = value;
        (*this)(wide);
        if (wide < INT32_MIN || wide > INT32_MAX) throw TraceError("a record holds a number out of range");
        value = static_cast<int>(wide);
    }
    void operator()(bool& value) {
        std::uint64_t number = value;
        (*this)(number);
        value = number != 0;
    }
    void operator()(std::uint8_t& value) {
        std::uint64_t number = value;
        (*this)(number);
        value = static_cast<std::uint8_t>(number);
    }
    void operator()(double& value) {
        if constexpr (Body::writes)
            body_.fixed64(std::bit_cast<std::uint64_t>(value));
        else
            value = std::bit_cast<double>(body_.fixed64());
    }
    void operator()(Time& value) {
        std::int64_t microseconds = value.count();
        (*this)(microseconds);
        if (!Body::writes && (microseconds > max_duration || microseconds < -max_duration))
            throw TraceError("a record holds a time out of range");
        value = Time(microseconds);
    }
    void operator()(std::string& value) {
        if constexpr (Body::writes)
            body_.text(value);
        else
            value = body_.text();
    }
    template <class T>
    requires std::is_enum_v<T>
    void operator()(T& value) {
        auto number = static_cast<std::uint64_t>(value);
        (*this)(number);
        if (number > max_enumerator) throw TraceError("a record holds an unknown enumerator");
        value = static_cast<T>(number);
    }
    template <class T>
    void operator()(std::optional<T>& value) {
        bool present = value.has_value();
        (*this)(present);
        if (present && !value) value.emplace();
        if (present) (*this)(*value);
    }
    template <class T>
    void operator()(std::vector<T>& values) {
        std::uint64_t count = values.size();
        (*this)(count);
        if constexpr (Body::writes)
            for (T& each : values) (*this)(each);
        else
            // Nothing is reserved: a count that exceeds the body runs into its end.
            for (; count > 0; --count) (*this)(values.emplace_back());
    }
    template <class First, class Second>
    void operator()(std::pair<First, Second>& value) {
        (*this)(value.first);
        (*this)(value.second);
    }
    template <class T>
    requires(std::is_class_v<T>) void operator()(T& value) { encode_fields(*this, value); }

    template <class... T>
    void all(T&... values) {
        ((*this)(values), ...);
    }
    /// A field at the end of a record that older traces lack; it then keeps its default.
    template <class T>
    void optional_last(T& value) {
        if constexpr (Body::writes)
            (*this)(value);
        else if (!body_.at_end())
            (*this)(value);
    }

private:
    static constexpr std::uint64_t max_enumerator = 255;
    Body& body_;
};

}  // namespace plumkeel::trace
