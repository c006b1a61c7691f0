#include "trace_analysis/pseudonymizer.hpp"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace plumkeel::trace_analysis {

Pseudonymizer::Pseudonymizer(std::string key) : key_(std::move(key)) {
    if (key_.size() < 16) throw trace::TraceError("the key is under 16 bytes: its tokens could be guessed");
}

// The role is hashed as well: a tenant and a function of one name must not be seen to be alike.
std::string Pseudonymizer::token(std::string_view role, const std::string& name) {
    if (name.empty()) return {};
    const std::string text = fmt::format("{}:{}", role, name);
    unsigned char sum[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    if (!HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
              reinterpret_cast<const unsigned char*>(text.data()), text.size(), sum, &length))
        throw trace::TraceError("the names can't be hashed");
    std::string out(role);
    out += '-';
    for (int i = 0; i < 8; ++i) out += fmt::format("{:02x}", sum[i]);
    return out;
}

std::optional<Record> Pseudonymizer::pseudonymize(const Record& record) {
    Record out = record;
    switch (record.type) {
        case trace::settings: {
            auto told = trace::unpack<trace::Start>(record.body);
            told.name = token("controller", told.name);
            told.seed = 0;
            for (auto& [name, use] : told.request_classes) name = token("use-case", name);
            for (auto& [name, share] : told.tenants) name = token("tenant", name);
            out.body = trace::pack(told);
            return out;
        }
        case trace::merged: {
            auto told = trace::unpack<trace::Merged>(record.body);
            for (std::string& name : told.controllers) name = token("controller", name);
            out.body = trace::pack(told);
            return out;
        }
        case trace::function_known:
        case trace::invoker_known: {
            auto told = trace::unpack<trace::NameRecord>(record.body);
            told.name = token(record.type == trace::function_known ? "function" : "invoker", told.name);
            out.body = trace::pack(told);
            return out;
        }
        case trace::endpoints_changed: {
            auto told = trace::unpack<trace::EndpointsChanged>(record.body);
            for (auto& each : told.changed) each.zone = token("zone", each.zone);
            out.body = trace::pack(told);
            return out;
        }
        case trace::resumed: {
            auto told = trace::unpack<trace::Resumed>(record.body);
            if (!told.part.empty()) told.part += ", and ";
            told.part += "without its names";
            out.body = trace::pack(told);
            return out;
        }
        case trace::actions:
        case trace::wake:
            return {};
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
            return out;  // numbers and times only
        default:
            return {};  // of a newer writer: who knows what it holds
    }
}

}  // namespace plumkeel::trace_analysis
