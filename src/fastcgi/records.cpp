#include "fastcgi/records.hpp"

#include <algorithm>

namespace plumkeel::fastcgi {
namespace {

constexpr std::size_t head_bytes = 8, most_content = 65535;
enum Type : std::uint8_t {
    begin_request = 1,
    abort_request = 2,
    end_request = 3,
    params = 4,
    input = 5,
    output = 6,
    get_values = 9,
    get_values_result = 10,
    unknown_type = 11,
};
constexpr std::uint16_t responder = 1;
constexpr std::uint8_t keep_flag = 1;

std::size_t two(std::string_view bytes, std::size_t at) {
    return static_cast<std::size_t>(static_cast<unsigned char>(bytes[at])) << 8 | static_cast<unsigned char>(bytes[at + 1]);
}

std::string head(std::uint8_t type, std::uint16_t number, std::size_t length) {
    return {1, static_cast<char>(type), static_cast<char>(number >> 8), static_cast<char>(number & 255),
            static_cast<char>(length >> 8), static_cast<char>(length & 255), 0, 0};
}

// A length of a name or value: one byte, or four with the top bit set.
bool take_length(std::string_view& text, std::size_t& length) {
    if (text.empty()) return false;
    const auto first = static_cast<unsigned char>(text[0]);
    if (first < 128) {
        length = first;
        text.remove_prefix(1);
        return true;
    }
    if (text.size() < 4) return false;
    length = (two(text, 0) & 0x7fff) << 16 | two(text, 2);
    text.remove_prefix(4);
    return true;
}

}  // namespace

bool Intake::feed(std::string_view bytes, Told& told) {
    while (!bytes.empty()) {
        if (left_ == 0) {
            const std::size_t wanted = std::min(head_bytes - head_.size(), bytes.size());
            head_.append(bytes.substr(0, wanted));
            bytes.remove_prefix(wanted);
            ahead_ = bytes.size();
            if (head_.size() < head_bytes) return true;
            if (!head_whole(told)) return false;
            if (left_ == 0) record_whole(told);
            continue;
        }
        const std::size_t of_content = std::min(left_ > padding_ ? left_ - padding_ : 0, bytes.size());
        if (of_content > 0) content(bytes.substr(0, of_content), told);
        const std::size_t used = std::min(left_, of_content > 0 ? of_content : bytes.size());
        bytes.remove_prefix(used);
        ahead_ = bytes.size();
        left_ -= used;
        if (left_ == 0) record_whole(told);
    }
    return true;
}

bool Intake::head_whole(Told&) {
    const std::string_view it = head_;
    if (it[0] != 1) return false;  // no other version exists: what follows can't be told apart either
    type_ = static_cast<std::uint8_t>(it[1]);
    number_ = static_cast<std::uint16_t>(two(it, 2));
    length_ = two(it, 4);
    padding_ = static_cast<unsigned char>(it[6]);
    left_ = length_ + padding_;
    head_.clear();
    small_.clear();
    return true;
}

void Intake::content(std::string_view bytes, Told& told) {
    const auto found = number_ ? coming_.find(number_) : coming_.end();
    const bool stream = type_ == params || type_ == input;
    if (!stream) {
        small_.append(bytes.substr(0, bounds_.values - std::min(bounds_.values, small_.size())));
    } else if (found == coming_.end()) {
        thrown_away_ += bytes.size();  // of one that is not taken, or answered already
    } else if ((type_ == params) == found->second.params_whole) {
        refuse(number_, Wrong::params, found->second.message.keep, told);  // in the wrong order
    } else {
        Message& message = found->second.message;
        std::string& into = type_ == params ? message.params : message.body;
        if (into.size() + bytes.size() > (type_ == params ? bounds_.params : bounds_.body)) {
            thrown_away_ += bytes.size();
            return refuse(number_, type_ == params ? Wrong::params : Wrong::too_big, message.keep, told);
        }
        into.append(bytes);
        held_ += bytes.size();
    }
}

void Intake::record_whole(Told& told) {
    ++records_;
    if (number_ == 0) {
        if (type_ == get_values)
            told.asks_values(small_);
        else
            told.unknown(type_);
        return;
    }
    const auto found = coming_.find(number_);
    switch (type_) {
        case begin_request:
            return begin(told);
        case abort_request:
            forget(number_);
            return told.taken_back(number_);
        case params:
            if (length_ > 0 || found == coming_.end()) return;
            if (found->second.params_whole) return refuse(number_, Wrong::params, found->second.message.keep, told);
            found->second.params_whole = true;
            return;
        case input:
            if (length_ > 0 || found == coming_.end()) return;
            if (!found->second.params_whole) return refuse(number_, Wrong::params, found->second.message.keep, told);
            {
                Message message = std::move(found->second.message);
                held_ -= message.params.size() + message.body.size();
                coming_.erase(found);
                told.whole(std::move(message));
            }
            return;
        default:
            return;  // of no use to a Responder
    }
}

void Intake::begin(Told& told) {
    const bool keep = small_.size() > 2 && (static_cast<unsigned char>(small_[2]) & keep_flag);
    if (coming_.count(number_) || told.answering(number_)) return refuse(number_, Wrong::twice, keep, told);
    if (small_.size() < 8 || two(small_, 0) != responder) return refuse(number_, Wrong::role, keep, told);
    if (coming_.size() >= bounds_.open) return refuse(number_, Wrong::too_many, keep, told);
    Message& message = coming_[number_].message;
    message.number = number_;
    message.keep = keep;
    told.begun(number_);
}

void Intake::refuse(std::uint16_t number, Wrong why, bool keep, Told& told) {
    forget(number);
    told.wrong(number, why, keep);
}

void Intake::forget(std::uint16_t number) {
    const auto found = coming_.find(number);
    if (found == coming_.end()) return;
    held_ -= found->second.message.params.size() + found->second.message.body.size();
    coming_.erase(found);
}

std::vector<std::uint16_t> Intake::unfinished() const {
    std::vector<std::uint16_t> out;
    for (const auto& [number, coming] : coming_) out.push_back(number);
    return out;
}

std::optional<std::vector<std::pair<std::string_view, std::string_view>>> pairs(std::string_view text) {
    std::vector<std::pair<std::string_view, std::string_view>> out;
    while (!text.empty()) {
        std::size_t name = 0, value = 0;
        if (!take_length(text, name) || !take_length(text, value)) return {};
        if (name > text.size() || value > text.size() - name) return {};
        out.emplace_back(text.substr(0, name), text.substr(name, value));
        text.remove_prefix(name + value);
    }
    return out;
}

std::string out_records(std::uint16_t number, std::string_view text) {
    std::string out;
    out.reserve(text.size() + head_bytes * (text.size() / most_content + 1));
    while (!text.empty()) {
        const std::string_view piece = text.substr(0, most_content);
        out += head(output, number, piece.size());
        out += piece;
        text.remove_prefix(piece.size());
    }
    return out;
}

std::string end_records(std::uint16_t number, std::uint32_t app_status, std::uint8_t protocol_status, bool close_out) {
    std::string out;
    if (close_out) out += head(output, number, 0);
    out += head(end_request, number, 8);
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(app_status >> shift & 255);
    out += static_cast<char>(protocol_status);
    out.append(3, '\0');
    return out;
}

std::string values_record(std::string_view asked, std::size_t connections, std::size_t messages) {
    std::string content;
    const std::pair<std::string_view, std::string> known[] = {{"FCGI_MAX_CONNS", std::to_string(connections)},
                                                              {"FCGI_MAX_REQS", std::to_string(messages)},
                                                              {"FCGI_MPXS_CONNS", "1"}};
    if (const auto names = pairs(asked))
        for (const auto& [name, value] : known)
            if (std::any_of(names->begin(), names->end(), [&](const auto& each) { return each.first == name; })) {
                content += static_cast<char>(name.size());
                content += static_cast<char>(value.size());
                content.append(name).append(value);
            }
    return head(get_values_result, 0, content.size()) + content;
}

std::string unknown_record(std::uint8_t type) {
    return head(unknown_type, 0, 8) + static_cast<char>(type) + std::string(7, '\0');
}

}  // namespace plumkeel::fastcgi
