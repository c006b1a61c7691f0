#include <sys/stat.h>

#include <algorithm>
#include <fstream>

#include "config/sections.hpp"

namespace plumkeel::config_sections {

using namespace std::chrono_literals;

constexpr Time min_interval = 100ms;
constexpr std::size_t default_shards = 4, max_shards = 64;
constexpr std::size_t min_file_bytes = 1024 * 1024, min_block_bytes = 4096, min_log_queue = 16;

void read_log(JsonnetReader& in, LogConfig& log) {
    in.read("file", log.file);
    in.read("level", log.level);
    in.read("lines_per_s", log.max_lines_per_s);
    in.read("burst", log.burst);
    in.read("queued", log.queue_size, min_log_queue);
    if (log.level != "debug" && log.level != "info" && log.level != "warn" && log.level != "error")
        in.fail("level", "found \"" + log.level + "\", expected one of: debug, info, warn, error");
}

void read_trace(JsonnetReader& in, trace::RecorderConfig& trace) {
    in.read("folder", trace.folder);
    in.read("memory_bytes", trace.max_memory_bytes, min_file_bytes);
    in.read("block_bytes", trace.block_bytes, min_block_bytes);
    in.read("file_bytes", trace.max_file_bytes, min_file_bytes);
    in.read("file_for", trace.max_file_age);
    in.read("keep_files", trace.max_files, 1);
    in.read("keep_for", trace.max_age);
    in.read("sample", trace.sample_ratio);
    in.read("reasons", trace.record_candidates);
    if (!(trace.sample_ratio >= 0 && trace.sample_ratio <= 1)) in.fail("sample", "must be from 0 to 1");
    if (trace.block_bytes > trace::max_block_bytes / 2)
        in.fail("block_bytes", "found " + std::to_string(trace.block_bytes) + ", expected at most " +
                                   std::to_string(trace::max_block_bytes / 2));
}

void read_metrics(JsonnetReader& in, MetricsSettings& metrics) {
    in.read("on", metrics.enabled);
    in.read("tenants", metrics.config.max_tenants, 1);
    in.read("functions", metrics.config.max_functions, 1);
    in.read("every", metrics.config.interval);
    if (metrics.config.interval < min_interval) in.fail("every", "must be at least 100ms");
}

namespace {

// Rejects a token file that other users of the machine can access.
std::string read_token(JsonnetReader& in, const std::string& file) {
    struct stat status {};
    std::ifstream stream(file);
    std::string token;
    if (::stat(file.c_str(), &status) != 0 || !std::getline(stream, token) || token.empty())
        in.fail("bearer_file", "\"" + file + "\" can't be read, or its first line is empty");
    else if (status.st_mode & (S_IRWXG | S_IRWXO))
        in.fail("bearer_file", "\"" + file + "\" is accessible to other users: chmod 600");
    return token;
}

void read_receiver(const std::string& name, JsonnetReader& in, remote_write::ReceiverConfig& receiver) {
    std::string bearer_file;
    receiver.name = name;
    in.require("address", receiver.address);
    check_address(in, "address", receiver.address);
    in.read("path", receiver.path);
    in.read("within", receiver.timeout);
    in.read("bearer_file", bearer_file);
    in.read("most_samples", receiver.send_control.max_batch, 1);
    in.read("catch_up", receiver.send_control.catch_up_ratio);
    if (!bearer_file.empty()) receiver.bearer = read_token(in, bearer_file);
    if (!(receiver.send_control.catch_up_ratio > 1))
        in.fail("catch_up", "must be above 1: otherwise a backlog of samples never shrinks");
    receiver.send_control.min_batch = std::min(receiver.send_control.min_batch, receiver.send_control.max_batch);
}

}  // namespace

void read_remote_write(JsonnetReader& in, remote_write::ExporterConfig& remote_write) {
    std::size_t shards = default_shards;
    Time max_age = remote_write.queue.max_age;
    in.read("folder", remote_write.queue.folder);
    in.read("bytes", remote_write.queue.max_bytes, min_file_bytes);
    in.read("age", max_age);
    in.read("parts", shards, 1);
    in.read("every", remote_write.interval);
    in.read("farewell", remote_write.shutdown_timeout);
    in.read_members("receivers", [&](const std::string& name, JsonnetReader& member) {
        read_receiver(name, member, remote_write.receivers.emplace_back());
    });
    if (shards > max_shards)
        in.fail("parts", "found " + std::to_string(shards) + ", expected at most " + std::to_string(max_shards));
    if (remote_write.interval < min_interval) in.fail("every", "must be at least 100ms");
    if (!remote_write.receivers.empty() && remote_write.queue.folder.empty())
        in.fail("folder", "is missing: samples are queued there until their receivers accept them");
    remote_write.queue.shards = static_cast<int>(shards);
    remote_write.queue.max_age = std::chrono::duration_cast<std::chrono::milliseconds>(max_age);
    for (remote_write::ReceiverConfig& receiver : remote_write.receivers)
        receiver.send_control.max_concurrency = remote_write.queue.shards;
}

}  // namespace plumkeel::config_sections
