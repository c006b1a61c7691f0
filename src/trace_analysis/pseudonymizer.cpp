#include "trace_analysis/pseudonymizer.hpp"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace plumkeel::trace_analysis {
namespace {

constexpr std::size_t min_key_bytes = 16;
constexpr int token_hash_bytes = 8;
/// Stored in Resumed::derivation, and thereby part of the files.
constexpr const char* pseudonymized_derivation = "without its names";

template <class T, class Edit>
Record edited(Record record, Edit edit) {
    auto value = trace::unpack<T>(record.body);
    edit(value);
    record.body = trace::pack(value);
    return record;
}

}  // namespace

Pseudonymizer::Pseudonymizer(std::string key) : key_(std::move(key)) {
    if (key_.size() < min_key_bytes)
        throw trace::TraceError(fmt::format("the key has {} bytes, at least {} are needed: its tokens could be guessed",
                                            key_.size(), min_key_bytes));
}

/// The role is hashed as well, so that a tenant and a function of the same name do not look alike.
std::string Pseudonymizer::token(std::string_view role, const std::string& name) const {
    if (name.empty()) return {};
    const std::string text = fmt::format("{}:{}", role, name);
    unsigned char hash[EVP_MAX_MD_SIZE];
    unsigned int hash_bytes = 0;
    if (!HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
              reinterpret_cast<const unsigned char*>(text.data()), text.size(), hash, &hash_bytes))
        throw trace::TraceError("cannot hash the names");
    std::string out(role);
    out += '-';
    for (int i = 0; i < token_hash_bytes; ++i) out += fmt::format("{:02x}", hash[i]);
    return out;
}

std::optional<Record> Pseudonymizer::pseudonymize(const Record& record) const {
    switch (record.type) {
        case trace::settings:
            return edited<trace::SchedulerSettings>(record, [&](trace::SchedulerSettings& start) {
                start.name = token("controller", start.name);
                start.seed = 0;
                // The roles are hashed: changing them would change the tokens of a key.
                for (auto& [name, request_class] : start.request_classes) name = token("use-case", name);
                for (auto& [name, quota] : start.tenants) name = token("tenant", name);
            });
        case trace::merged:
            return edited<trace::Merged>(record, [&](trace::Merged& merged) {
                for (std::string& name : merged.controllers) name = token("controller", name);
            });
        case trace::function_known:
        case trace::invoker_known:
            return edited<trace::NameRecord>(record, [&](trace::NameRecord& known) {
                known.name = token(record.type == trace::function_known ? "function" : "invoker", known.name);
            });
        case trace::endpoints_changed:
            return edited<trace::EndpointsChanged>(record, [&](trace::EndpointsChanged& list) {
                for (trace::EndpointRecord& endpoint : list.changed) endpoint.zone = token("zone", endpoint.zone);
            });
        case trace::resumed:
            return edited<trace::Resumed>(record, [](trace::Resumed& resumed) {
                if (!resumed.derivation.empty()) resumed.derivation += ", and ";
                resumed.derivation += pseudonymized_derivation;
            });
        case trace::gap:
        case trace::function_released:
        case trace::sampled_request:
        case trace::submit:
        case trace::response_started:
        case trace::attempt_ended:
        case trace::client_disconnected:
        case trace::endpoint_stream_lost:
        case trace::health_check_ended:
        case trace::preload_ended:
        case trace::transition:
            return record;  // holds numbers and times only
        case trace::actions:
        case trace::wake:
        default:
            return {};
    }
}

}  // namespace plumkeel::trace_analysis
