/// The hash that ranks invokers for a function: FNV-1a over a name, followed by the finalizer of SplitMix64. All
/// controllers compute the same home invokers from it without communicating, so the hash must never change.
#pragma once

#include <cstdint>
#include <string_view>

namespace plumkeel {

/// The finalizer of SplitMix64, a bijection on 64-bit integers.
constexpr std::uint64_t mix(std::uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

constexpr std::uint64_t hash_of(std::string_view name) {
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return mix(hash);
}

}  // namespace plumkeel
