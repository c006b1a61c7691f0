/// \file
/// Encoding of primitive values in record bodies (docs/trace-format.md). One list of a struct's fields serves for both
/// encoding and decoding. Used only by records.cpp.
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

/// Appends encoded primitive values to a record body.
class BodyWriter {
public:
    static constexpr bool is_writer = true;
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

/// Decodes primitive values from the front of a record body. Throws TraceError if the body ends too early.
class BodyReader {
public:
    static constexpr bool is_writer = false;
    explicit BodyReader(std::string_view body) : remaining_bytes_(body) {}

    std::uint64_t varint() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            const auto byte = take_byte();
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (!(byte & 0x80)) return value;
        }
        throw TraceError("a record contains a varint of more than 10 bytes");
    }
    std::uint64_t fixed64() {
        std::uint64_t value = 0;
        for (int i = 0; i < 8; ++i) value |= static_cast<std::uint64_t>(take_byte()) << (8 * i);
        return value;
    }
    std::string text() {
        const std::uint64_t size = varint();
        if (size > remaining_bytes_.size())
            throw TraceError("a record contains a string that is longer than the record");
        std::string out(remaining_bytes_.substr(0, size));
        remaining_bytes_.remove_prefix(size);
        return out;
    }
    bool at_end() const { return remaining_bytes_.empty(); }

private:
    unsigned char take_byte() {
        if (remaining_bytes_.empty()) throw TraceError("a record ends before its last field");
        const auto byte = static_cast<unsigned char>(remaining_bytes_.front());
        remaining_bytes_.remove_prefix(1);
        return byte;
    }
    std::string_view remaining_bytes_;
};

/// Encodes or decodes each value that it is called with, for a `Body` of BodyWriter or BodyReader. Structs need an
/// overload of apply_codec(codec, value), which is found by argument-dependent lookup.
template <class Body>
class FieldCodec {
public:
    explicit FieldCodec(Body& body) : body_(body) {}

    void operator()(std::uint64_t& value) {
        if constexpr (Body::is_writer)
            body_.varint(value);
        else
            value = body_.varint();
    }
    /// Zigzag encoding: numbers of small absolute value take few bytes, whatever their sign.
    void operator()(std::int64_t& value) {
        if constexpr (Body::is_writer) {
            body_.varint(static_cast<std::uint64_t>(value) << 1 ^ static_cast<std::uint64_t>(value >> 63));
        } else {
            const std::uint64_t zigzag = body_.varint();
            value = static_cast<std::int64_t>(zigzag >> 1) ^ -static_cast<std::int64_t>(zigzag & 1);
        }
    }
    void operator()(int& value) {
        std::int64_t wide_value = value;
        (*this)(wide_value);
        if (wide_value < INT32_MIN || wide_value > INT32_MAX)
            throw TraceError("a record contains an integer that does not fit into 32 bits");
        value = static_cast<int>(wide_value);
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
        if constexpr (Body::is_writer)
            body_.fixed64(std::bit_cast<std::uint64_t>(value));
        else
            value = std::bit_cast<double>(body_.fixed64());
    }
    void operator()(Time& value) {
        std::int64_t microseconds = value.count();
        (*this)(microseconds);
        if (!Body::is_writer && (microseconds > max_duration || microseconds < -max_duration))
            throw TraceError("a record contains a time of more than 2^55 microseconds");
        value = Time(microseconds);
    }
    void operator()(std::string& value) {
        if constexpr (Body::is_writer)
            body_.text(value);
        else
            value = body_.text();
    }
    template <class T>
    requires std::is_enum_v<T>
    void operator()(T& value) {
        auto number = static_cast<std::uint64_t>(value);
        (*this)(number);
        if (number > max_enumerator) throw TraceError("a record contains an enumerator greater than 255");
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
        if constexpr (Body::is_writer)
            for (T& each : values) (*this)(each);
        else
            // The count is not trusted, so no memory is reserved. Decoding throws at the end of the body.
            for (; count > 0; --count) (*this)(values.emplace_back());
    }
    template <class First, class Second>
    void operator()(std::pair<First, Second>& value) {
        (*this)(value.first);
        (*this)(value.second);
    }
    template <class T>
    requires(std::is_class_v<T>) void operator()(T& value) { apply_codec(*this, value); }

    template <class... T>
    void fields(T&... values) {
        ((*this)(values), ...);
    }
    /// Handles a field at the end of a record that older traces lack. If it is absent, the value stays unchanged.
    template <class T>
    void optional_trailing_field(T& value) {
        if constexpr (Body::is_writer)
            (*this)(value);
        else if (!body_.at_end())
            (*this)(value);
    }

private:
    static constexpr std::uint64_t max_enumerator = 255;
    Body& body_;
};

}  // namespace plumkeel::trace
