#include "trace_analysis/pseudonymizer.hpp"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace plumkeel::trace_analysis {
namespace {

constexpr std::size_t min_key_bytes = 16;
constexpr int token_hash_bytes = 8;
/// Stored in trace files, as Resumed::derivation.
constexpr const char* pseudonymized_derivation = "without its names";

template <class T, class Edit>
Record with_edited_body(Record record, Edit edit) {
    auto value = trace::unpack<T>(record.body);
    edit(value);
    record.body = trace::pack(value);
    return record;
}

}  // namespace

Pseudonymizer::Pseudonymizer(std::string key) : key_(std::move(key)) {
    if (key_.size() < min_key_bytes)
        throw trace::TraceError(fmt::format("the pseudonymization key has {} bytes, but at least {} are required",
                                            key_.size(), min_key_bytes));
}

/// The hash includes the role, so that a tenant and a function with the same name have different hashes.
std::string Pseudonymizer::token(std::string_view role, const std::string& name) const {
    if (name.empty()) return {};
    const std::string text = fmt::format("{}:{}", role, name);
    unsigned char hash[EVP_MAX_MD_SIZE];
    unsigned int hash_bytes = 0;
    if (!HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
              reinterpret_cast<const unsigned char*>(text.data()), text.size(), hash, &hash_bytes))
        throw trace::TraceError("cannot compute the HMAC-SHA256 of a name");
    std::string out(role);
    out += '-';
    for (int i = 0; i < token_hash_bytes; ++i) out += fmt::format("{:02x}", hash[i]);
    return out;
}

std::optional<Record> Pseudonymizer::pseudonymize(const Record& record) const {
    switch (record.type) {
        case trace::settings:
            return with_edited_body<trace::SchedulerSettings>(
                record, [&](trace::SchedulerSettings& scheduler_settings) {
                    scheduler_settings.name = token("controller", scheduler_settings.name);
                    scheduler_settings.seed = 0;
                    // The role is part of the hash, so "use-case" must not be renamed: existing tokens would change.
                    for (auto& [name, request_class] : scheduler_settings.request_classes)
                        name = token("use-case", name);
                    for (auto& [name, quota] : scheduler_settings.tenants) name = token("tenant", name);
                });
        case trace::merged:
            return with_edited_body<trace::MergedControllers>(record, [&](trace::MergedControllers& merged) {
                for (std::string& name : merged.controllers) name = token("controller", name);
            });
        case trace::function_defined:
        case trace::invoker_defined:
            return with_edited_body<trace::NameRecord>(record, [&](trace::NameRecord& name_record) {
                name_record.name =
                    token(record.type == trace::function_defined ? "function" : "invoker", name_record.name);
            });
        case trace::endpoints_changed:
            return with_edited_body<trace::EndpointsChanged>(record, [&](trace::EndpointsChanged& list) {
                for (trace::EndpointRecord& endpoint : list.changed) endpoint.zone = token("zone", endpoint.zone);
            });
        case trace::resumed:
            return with_edited_body<trace::Resumed>(record, [](trace::Resumed& resumed) {
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
            return record;  // contains only numbers and times
        case trace::actions:
        case trace::wake:
        default:
            return {};
    }
}

}  // namespace plumkeel::trace_analysis
