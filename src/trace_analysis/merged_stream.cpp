#include "trace_analysis/merged_stream.hpp"

#include <algorithm>
#include <map>

#include "trace/file.hpp"
#include "trace_analysis/endpoint_diff.hpp"

namespace plumkeel::trace_analysis {
namespace {

using trace::TraceError;

// The head of a file: its settings and how it goes on from others.
void read_head(ControllerTrace::File& file, std::optional<trace::Start>& start) {
    bool first = true;
    file.reader->names([&](const Record& record) {
        if (record.type == trace::resumed && first) file.resumed = trace::unpack<trace::Resumed>(record.body);
        if (record.type == trace::settings) start = trace::unpack<trace::Start>(record.body);
        first = false;
        return !start;
    });
}

}  // namespace

OpenSource files_on_disk() {
    return [](const std::string& name) { return std::make_unique<trace::FileSource>(name); };
}

std::vector<std::unique_ptr<ControllerTrace>> open_all(const std::vector<std::string>& names, const OpenSource& open) {
    std::map<std::pair<Time, std::string>, std::unique_ptr<ControllerTrace>> all;
    for (const std::string& name : names) {
        ControllerTrace::File file{name, nullptr, nullptr, {}};
        std::optional<trace::Start> start;
        try {
            file.source = open(name);
            file.reader = std::make_unique<trace::Reader>(*file.source);
            read_head(file, start);
        } catch (const TraceError& fault) {
            const std::string what = fault.what();
            throw TraceError(what.find(name) == std::string::npos ? name + ": " + what : what);
        }
        // Without its settings a file is known by its start only: it stands by itself.
        const std::string who = start ? start->name : name;
        auto& chapters = all[{file.reader->begun(), who}];
        if (!chapters) chapters = std::make_unique<ControllerTrace>();
        if (start) chapters->start_ = *start;
        if (chapters->start_.name.empty()) chapters->start_.name = name;
        chapters->files_.push_back(std::move(file));
    }
    std::vector<std::unique_ptr<ControllerTrace>> out;
    std::map<std::string, int> lives;
    for (auto& [key, chapters] : all) {
        std::stable_sort(chapters->files_.begin(), chapters->files_.end(),
                         [](const auto& a, const auto& b) { return a.resumed.before < b.resumed.before; });
        // A controller that was started again is another one, with numbers of its own.
        if (const int life = ++lives[chapters->start_.name]; life > 1)
            chapters->start_.name += "#" + std::to_string(life);
        out.push_back(std::move(chapters));
    }
    return out;
}

void ControllerTrace::rewind(std::optional<Time> from) {
    file_ = place_ = at_ = 0;
    block_.clear();
    prelude_.clear();
    read_ = skip_ = again_ = missing_ = damage_told_ = 0;
    in_file_ = false;
    if (!from) return;
    for (const File& file : files_)
        file.reader->names([&](const Record& record) {
            if (record.type != trace::gap && record.type != trace::function_released)
                prelude_.push_back({*from, record.type, 0, record.body});
            return true;
        });
    for (; file_ < files_.size(); ++file_) {
        const auto& places = files_[file_].reader->places();
        place_ = static_cast<std::size_t>(
            std::partition_point(places.begin(), places.end(),
                                 [&](const trace::BlockLocation& p) { return p.last < *from; }) -
            places.begin());
        if (place_ < places.size()) break;
    }
    if (file_ == files_.size()) return;
    std::optional<Record> unused;
    enter_file(unused);
    missing_ = 0;  // what lies before was not asked for
    for (std::size_t i = 0; i < place_; ++i) read_ += files_[file_].reader->places()[i].records;
    skip_ = again_ = 0;
}

double ControllerTrace::part_read() const {
    double all = 0, done = 0;
    for (std::size_t i = 0; i < files_.size(); ++i) {
        const double places = static_cast<double>(files_[i].reader->places().size());
        all += places;
        done += i < file_ ? places : i == file_ ? static_cast<double>(place_) : 0;
    }
    return all > 0 ? done / all : 1;
}

// Where its records stand among those of the files before: some may be told twice, or be missing.
void ControllerTrace::enter_file(std::optional<Record>& first) {
    const File& file = files_[file_];
    const std::uint64_t before = file.resumed.before;
    in_file_ = true;
    damage_told_ = 0;
    again_ = 0;
    skip_ = read_ > before ? read_ - before : 0;
    if (before <= read_) return;
    const std::uint64_t lost = before - read_;
    read_ = before;
    if (file_ == 0) return;  // the trace begins in mid-flight, as its first record says
    missing_ += lost;
    const auto& places = file.reader->places();
    first = Record{places.empty() ? Time{} : places.front().first, trace::gap, 0, trace::pack(trace::Gap{lost, 0})};
}

bool ControllerTrace::next_block(std::optional<Record>& first) {
    trace::Reader& reader = *files_[file_].reader;
    at_ = 0;
    block_ = reader.block(place_);
    if (block_.empty()) return false;
    std::uint64_t bytes = 0;
    for (; damage_told_ < reader.damage().size(); ++damage_told_) {
        const trace::Damage& harm = reader.damage()[damage_told_];
        if (!harm.before || *harm.before > block_.front().at) break;  // a torn end shows in the next file's count
        bytes += harm.bytes;
    }
    if (bytes > 0) first = Record{block_.front().at, trace::gap, 0, trace::pack(trace::Gap{0, bytes})};
    return true;
}

std::optional<Record> ControllerTrace::next() {
    if (!prelude_.empty()) {
        Record record = std::move(prelude_.front());
        prelude_.pop_front();
        return record;
    }
    std::optional<Record> first;  // a gap to tell before what follows
    for (; file_ < files_.size(); ++file_, place_ = at_ = 0, block_.clear(), in_file_ = false) {
        if (!in_file_) enter_file(first);
        if (first) return first;
        for (;;) {
            if (at_ == block_.size()) {
                if (!next_block(first)) break;
                if (first) return first;
            }
            Record& record = block_[at_++];
            const bool later = file_ > 0 && missing_ == 0;  // then names told again are no news
            if (record.type == trace::resumed) {
                again_ = trace::unpack<trace::Resumed>(record.body).again;
                if (later) continue;
                return std::move(record);
            }
            if (again_ > 0) {
                --again_;
                if (later) continue;
                return std::move(record);
            }
            if (skip_ > 0) {
                --skip_;
                continue;
            }
            ++read_;
            return std::move(record);
        }
    }
    return {};
}

// ---------------------------------------------------------------- several as one

namespace {

template <class T>
std::uint64_t number_of(std::vector<std::pair<std::string, T>>& all, const std::string& name, const T& value) {
    const auto it = std::find_if(all.begin(), all.end(), [&](const auto& each) { return each.first == name; });
    if (it != all.end()) return static_cast<std::uint64_t>(it - all.begin());
    all.emplace_back(name, value);
    return all.size() - 1;
}

// One number for each name, told when it is met first.
class Register {
public:
    Register(std::uint8_t kind, std::vector<Record>& told) : kind_(kind), told_(told) {}
    std::uint64_t number(const std::string& name, Time at) {
        const auto [it, fresh] = numbers_.try_emplace(name, numbers_.size());
        if (fresh) told_.push_back({at, kind_, 0, trace::pack(trace::NameRecord{it->second, name})});
        return it->second;
    }

private:
    const std::uint8_t kind_;
    std::vector<Record>& told_;
    std::unordered_map<std::string, std::uint64_t> numbers_;
};

class Braid : public RecordStream {
public:
    Braid(std::vector<ControllerTrace*> parts, const std::vector<Time>& offsets, std::optional<Time> from) {
        for (std::size_t i = 0; i < parts.size(); ++i) {
            const Time begun = parts[i]->begun() + offsets[i];
            begun_ = strands_.empty() ? begun : std::min(begun_, begun);
            strands_.emplace_back(*parts[i], begun);
        }
        for (const Strand& strand : strands_)
            strand.part.rewind(from ? std::optional(*from + begun_ - strand.begun) : std::nullopt);
        trace::Start all;
        trace::Merged who;
        for (Strand& strand : strands_) {
            const trace::Start& start = strand.part.start();
            if (&strand == &strands_.front()) all = start;
            for (const auto& [name, use] : start.request_classes)
                strand.request_classes.push_back(number_of(all.request_classes, name, use));
            for (const auto& [name, share] : start.tenants)
                strand.tenants.push_back(number_of(all.tenants, name, share));
            who.controllers.push_back(strand.part.controller());
        }
        all.name = "merged";
        told_.push_back(
            {Time{}, trace::resumed, 0, trace::pack(trace::Resumed{0, 0, "merged of several controllers"})});
        told_.push_back({Time{}, trace::settings, 0, trace::pack(all)});
        told_.push_back({Time{}, trace::merged, 0, trace::pack(who)});
    }

    Time begun() const override { return begun_; }
    double part_read() const override {
        double sum = 0;
        for (const Strand& strand : strands_) sum += strand.part.part_read();
        return sum / static_cast<double>(strands_.size());
    }

    std::optional<Record> next() override {
        while (given_ == told_.size()) {
            told_.clear();
            given_ = 0;
            Strand* first = nullptr;
            for (Strand& strand : strands_) {
                if (!strand.head && !strand.over) advance(strand);
                if (strand.head && (!first || strand.head->at < first->head->at)) first = &strand;
            }
            if (!first) return {};
            take(*first, std::move(*first->head));
            first->head.reset();
        }
        return std::move(told_[given_++]);
    }

private:
    struct Strand {
        Strand(ControllerTrace& from, Time begins) : part(from), begun(begins), names(true) {}
        ControllerTrace& part;
        Time begun;
        NameTable names;
        std::vector<std::uint64_t> request_classes, tenants;  // of its own numbers
        std::optional<Record> head;
        bool over{};
    };

    void advance(Strand& strand) {
        while ((strand.head = strand.part.next())) {
            if (strand.names.feed(*strand.head)) continue;
            if (strand.head->type == trace::actions || strand.head->type == trace::wake) continue;
            strand.head->at += strand.begun - begun_;
            return;
        }
        strand.over = true;
    }

    std::uint64_t place(const Strand& strand) const { return static_cast<std::uint64_t>(&strand - strands_.data()); }
    std::uint64_t invoker(const Strand& strand, std::uint64_t number, Time at) {
        return invokers_.number(strand.names.invoker(number), at);
    }

    void take(Strand& strand, Record record) {
        const Time at = record.at;
        if (record.request) record.request = record.request * strands_.size() + place(strand);
        record.body = body(strand, record.type, at, record.body);
        told_.push_back(std::move(record));
    }

    std::string body(const Strand& strand, std::uint8_t kind, Time at, const std::string& old) {
        switch (kind) {
            case trace::sampled_request: {
                auto told = trace::unpack<trace::SampledRequest>(old);
                for (trace::NestedRecord& each : told.records) {
                    each.at += strand.begun - begun_;
                    each.body = body(strand, each.type, at, each.body);
                }
                return trace::pack(told);
            }
            case trace::submit: {
                auto told = trace::unpack<trace::RequestSubmitted>(old);
                if (told.request_class < strand.request_classes.size())
                    told.request_class = strand.request_classes[told.request_class];
                if (told.tenant && told.tenant <= strand.tenants.size())
                    told.tenant = 1 + strand.tenants[told.tenant - 1];
                told.function = functions_.number(strand.names.function(told.function), at);
                return trace::pack(told);
            }
            case trace::transition: {
                auto told = trace::unpack<trace::TransitionRecord>(old);
                if (told.sent) told.sent->invoker = invoker(strand, told.sent->invoker, at);
                for (auto& each : told.candidates) each.invoker = invoker(strand, each.invoker, at);
                return trace::pack(told);
            }
            case trace::endpoints_changed: {
                auto told = trace::unpack<trace::EndpointsChanged>(old);
                told.controller = place(strand);
                for (auto& each : told.changed) {
                    each.invoker = invoker(strand, each.invoker, at);
                    each.type = each.type * strands_.size() + place(strand);
                }
                return trace::pack(told);
            }
            case trace::health_check_ended: {
                auto told = trace::unpack<trace::HealthCheckEnded>(old);
                told.invoker = invoker(strand, told.invoker, at);
                return trace::pack(told);
            }
            case trace::preload_ended: {
                auto told = trace::unpack<trace::PreloadEnded>(old);
                told.function = functions_.number(strand.names.function(told.function), at);
                told.invoker = invoker(strand, told.invoker, at);
                return trace::pack(told);
            }
            default:
                return old;
        }
    }

    std::vector<Strand> strands_;
    Time begun_{};
    std::vector<Record> told_;
    std::size_t given_{};
    Register functions_{trace::function_known, told_}, invokers_{trace::invoker_known, told_};
};

}  // namespace

std::unique_ptr<RecordStream> merge_traces(std::vector<ControllerTrace*> parts, const std::vector<Time>& offsets,
                                           std::optional<Time> from) {
    if (parts.empty()) throw TraceError("no trace is given");
    return std::make_unique<Braid>(std::move(parts), offsets, from);
}

// ---------------------------------------------------------------- clocks

namespace {

// When a controller saw what others may have seen too, by what it was.
std::map<std::string, std::vector<Time>> happenings(ControllerTrace& part) {
    constexpr Time one_death = std::chrono::seconds(2);  // hops cut off within it end by the same one
    std::map<std::string, std::vector<Time>> out;
    std::map<std::string, Time> cut;
    EndpointDiff listing;
    NameTable names(true);
    std::unordered_map<std::uint64_t, std::vector<std::string>> attempts;  // of open jobs: where each went
    auto look = [&](const Record& record) {
        if (record.type == trace::transition) {
            const auto told = trace::unpack<trace::TransitionRecord>(record.body);
            if (told.sent) {
                auto& there = attempts[record.request];
                there.resize(
                    std::max<std::size_t>(there.size(), std::min<std::uint64_t>(told.sent->attempt, 1000) + 1));
                there[std::min<std::uint64_t>(told.sent->attempt, 1000)] = names.invoker(told.sent->invoker);
            } else if (told.to >= RequestState::succeeded) {
                attempts.erase(record.request);
            }
        } else if (record.type == trace::attempt_ended) {
            const auto told = trace::unpack<trace::AttemptEnded>(record.body);
            if (told.outcome != AttemptOutcome::connection_lost && told.outcome != AttemptOutcome::unreachable) return;
            const auto it = attempts.find(record.request);
            if (it == attempts.end() || told.attempt >= it->second.size()) return;
            const std::string& who = it->second[told.attempt];
            const auto last = cut.find(who);
            if (told.outcome == AttemptOutcome::connection_lost &&
                (last == cut.end() || record.at - last->second > one_death))
                out["cut " + who].push_back(part.begun() + record.at);
            cut[who] = record.at;
        } else if (record.type == trace::endpoints_changed) {
            for (const auto& news : listing.feed(trace::unpack<trace::EndpointsChanged>(record.body), names))
                out[std::to_string(static_cast<int>(news.change)) + " " + news.who].push_back(part.begun() + record.at);
        }
    };
    part.rewind();
    while (const auto record = part.next()) {
        if (names.feed(*record)) continue;
        if (record->type == trace::sampled_request) {
            for (const trace::NestedRecord& each : trace::unpack<trace::SampledRequest>(record->body).records)
                look({each.at, each.type, record->request, each.body});
        } else {
            look(*record);
        }
    }
    return out;
}

Time median(std::vector<Time>& all) {
    const auto middle = all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2);
    std::nth_element(all.begin(), middle, all.end());
    return *middle;
}

// Of all differences the place where most lie close together: pairs that are not of the same happening scatter.
std::optional<ClockOffset> densest(std::vector<Time> differences) {
    constexpr Time together = std::chrono::milliseconds(100);
    constexpr std::size_t enough = 3;
    std::sort(differences.begin(), differences.end());
    std::size_t best = 0, most = 0;
    for (std::size_t from = 0, to = 0; from < differences.size(); ++from) {
        while (to < differences.size() && differences[to] - differences[from] <= together) ++to;
        const bool nearer = most > 0 && std::chrono::abs(differences[from]) < std::chrono::abs(differences[best]);
        if (to - from < most || (to - from == most && !nearer)) continue;
        best = from;
        most = to - from;
    }
    if (most < enough) return {};
    std::vector<Time> close(differences.begin() + static_cast<std::ptrdiff_t>(best),
                            differences.begin() + static_cast<std::ptrdiff_t>(best + most));
    ClockOffset out{median(close), most, {}};
    for (Time& each : close) each = std::chrono::abs(each - out.offset);
    out.spread = median(close);
    return out;
}

}  // namespace

std::vector<ClockOffset> estimate_offsets(const std::vector<ControllerTrace*>& parts) {
    constexpr Time window = std::chrono::seconds(5);  // no clock is taken to be further off
    std::vector<ClockOffset> out(parts.size());
    if (parts.size() < 2) return out;
    auto seen = happenings(*parts.front());  // by those aligned so far
    for (std::size_t i = 1; i < parts.size(); ++i) {
        const auto own = happenings(*parts[i]);
        std::vector<Time> differences;
        for (const auto& [what, times] : own) {
            const auto it = seen.find(what);
            if (it == seen.end()) continue;
            for (const Time theirs : it->second)
                for (const Time ours : times)
                    if (std::chrono::abs(theirs - ours) <= window) differences.push_back(theirs - ours);
        }
        const auto found = densest(std::move(differences));
        if (!found) continue;
        out[i] = *found;
        for (const auto& [what, times] : own)
            for (const Time each : times) seen[what].push_back(each + found->offset);
    }
    return out;
}

}  // namespace plumkeel::trace_analysis
