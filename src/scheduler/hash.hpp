/// The hash by which all controllers agree on home invokers: FNV-1a over a name, finished by the mixer of SplitMix64.
/// Controllers agree without talking to each other, so it never changes.
#pragma once

#include <cstdint>
#include <string_view>

namespace plumkeel {

/// SplitMix64's finisher: a bijection of 64 bits.
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
