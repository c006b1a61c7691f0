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
    return static_cast<std::size_t>(static_cast<unsigned char>(bytes[at])) << 8 |
           static_cast<unsigned char>(bytes[at + 1]);
}

std::string head(std::uint8_t type, std::uint16_t number, std::size_t length) {
    return {1,
            static_cast<char>(type),
            static_cast<char>(number >> 8),
            static_cast<char>(number & 255),
            static_cast<char>(length >> 8),
            static_cast<char>(length & 255),
            0,
            0};
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

bool RequestParser::feed(std::string_view bytes, ParserHandler& told) {
    while (!bytes.empty()) {
        if (left_ == 0) {
            const std::size_t wanted = std::min(head_bytes - head_.size(), bytes.size());
            head_.append(bytes.substr(0, wanted));
            bytes.remove_prefix(wanted);
            bytes_ahead_ = bytes.size();
            if (head_.size() < head_bytes) return true;
            if (!head_whole(told)) return false;
            if (left_ == 0) record_whole(told);
            continue;
        }
        const std::size_t of_content = std::min(left_ > padding_ ? left_ - padding_ : 0, bytes.size());
        if (of_content > 0) content(bytes.substr(0, of_content), told);
        const std::size_t used = std::min(left_, of_content > 0 ? of_content : bytes.size());
        bytes.remove_prefix(used);
        bytes_ahead_ = bytes.size();
        left_ -= used;
        if (left_ == 0) record_whole(told);
    }
    return true;
}

bool RequestParser::head_whole(ParserHandler&) {
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

void RequestParser::content(std::string_view bytes, ParserHandler& told) {
    const auto found = number_ ? incomplete_.find(number_) : incomplete_.end();
    const bool stream = type_ == params || type_ == input;
    if (!stream) {
        small_.append(bytes.substr(0, bounds_.values_bytes - std::min(bounds_.values_bytes, small_.size())));
    } else if (found == incomplete_.end()) {
        discarded_bytes_ += bytes.size();  // of one that is not taken, or answered already
    } else if ((type_ == params) == found->second.params_whole) {
        reject(number_, RequestError::bad_parameters, found->second.message.keep_connection,
               told);  // in the wrong order
    } else {
        RequestMessage& message = found->second.message;
        std::string& into = type_ == params ? message.params : message.body;
        if (into.size() + bytes.size() > (type_ == params ? bounds_.params_bytes : bounds_.body_bytes)) {
            discarded_bytes_ += bytes.size();
            return reject(number_, type_ == params ? RequestError::bad_parameters : RequestError::body_too_big,
                          message.keep_connection, told);
        }
        into.append(bytes);
        held_bytes_ += bytes.size();
    }
}

void RequestParser::record_whole(ParserHandler& told) {
    ++records_;
    if (number_ == 0) {
        if (type_ == get_values)
            told.on_get_values(small_);
        else
            told.on_unknown_type(type_);
        return;
    }
    const auto found = incomplete_.find(number_);
    switch (type_) {
        case begin_request:
            return begin(told);
        case abort_request:
            forget(number_);
            return told.on_abort(number_);
        case params:
            if (length_ > 0 || found == incomplete_.end()) return;
            if (found->second.params_whole)
                return reject(number_, RequestError::bad_parameters, found->second.message.keep_connection, told);
            found->second.params_whole = true;
            return;
        case input:
            if (length_ > 0 || found == incomplete_.end()) return;
            if (!found->second.params_whole)
                return reject(number_, RequestError::bad_parameters, found->second.message.keep_connection, told);
            {
                RequestMessage message = std::move(found->second.message);
                held_bytes_ -= message.params.size() + message.body.size();
                incomplete_.erase(found);
                told.on_request(std::move(message));
            }
            return;
        default:
            return;  // of no use to a Responder
    }
}

void RequestParser::begin(ParserHandler& told) {
    const bool keep = small_.size() > 2 && (static_cast<unsigned char>(small_[2]) & keep_flag);
    if (incomplete_.count(number_) || told.is_pending(number_))
        return reject(number_, RequestError::duplicate_id, keep, told);
    if (small_.size() < 8 || two(small_, 0) != responder)
        return reject(number_, RequestError::unsupported_role, keep, told);
    if (incomplete_.size() >= bounds_.max_requests) return reject(number_, RequestError::too_many_requests, keep, told);
    RequestMessage& message = incomplete_[number_].message;
    message.request_id = number_;
    message.keep_connection = keep;
    told.on_request_begun(number_);
}

void RequestParser::reject(std::uint16_t number, RequestError why, bool keep, ParserHandler& told) {
    forget(number);
    told.on_request_error(number, why, keep);
}

void RequestParser::forget(std::uint16_t number) {
    const auto found = incomplete_.find(number);
    if (found == incomplete_.end()) return;
    held_bytes_ -= found->second.message.params.size() + found->second.message.body.size();
    incomplete_.erase(found);
}

std::vector<std::uint16_t> RequestParser::unfinished() const {
    std::vector<std::uint16_t> out;
    for (const auto& [number, coming] : incomplete_) out.push_back(number);
    return out;
}

std::optional<std::vector<std::pair<std::string_view, std::string_view>>> parse_pairs(std::string_view text) {
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

std::string encode_stdout(std::uint16_t number, std::string_view text) {
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

std::string encode_end_request(std::uint16_t number, std::uint32_t app_status, std::uint8_t protocol_status,
                               bool close_out) {
    std::string out;
    if (close_out) out += head(output, number, 0);
    out += head(end_request, number, 8);
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(app_status >> shift & 255);
    out += static_cast<char>(protocol_status);
    out.append(3, '\0');
    return out;
}

std::string encode_values(std::string_view asked, std::size_t connections, std::size_t messages) {
    std::string content;
    const std::pair<std::string_view, std::string> known[] = {{"FCGI_MAX_CONNS", std::to_string(connections)},
                                                              {"FCGI_MAX_REQS", std::to_string(messages)},
                                                              {"FCGI_MPXS_CONNS", "1"}};
    if (const auto names = parse_pairs(asked))
        for (const auto& [name, value] : known)
            if (std::any_of(names->begin(), names->end(), [&](const auto& each) { return each.first == name; })) {
                content += static_cast<char>(name.size());
                content += static_cast<char>(value.size());
                content.append(name).append(value);
            }
    return head(get_values_result, 0, content.size()) + content;
}

std::string encode_unknown_type(std::uint8_t type) {
    return head(unknown_type, 0, 8) + static_cast<char>(type) + std::string(7, '\0');
}

}  // namespace plumkeel::fastcgi
