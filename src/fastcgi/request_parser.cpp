#include "fastcgi/request_parser.hpp"

#include <algorithm>

namespace plumkeel::fastcgi {

std::string_view name_of(RequestError error) {
    switch (error) {
        case RequestError::none:
            return "none";
        case RequestError::unsupported_role:
            return "unsupported_role";
        case RequestError::too_many_requests:
            return "too_many_requests";
        case RequestError::bad_parameters:
            return "bad_parameters";
        case RequestError::body_too_big:
            return "body_too_big";
        case RequestError::duplicate_id:
            return "duplicate_id";
    }
    return "unknown";
}

bool RequestParser::feed(std::string_view& bytes, ParserHandler& handler, std::uint64_t max_records) {
    const std::uint64_t records_before = record_count_;
    while (!bytes.empty() && record_count_ - records_before < max_records) {
        if (record_bytes_left_ > 0)
            read_content(bytes, handler);
        else if (!read_header(bytes, handler))
            return false;
    }
    return true;
}

// Returns false if the record has another protocol version: the input after it can't be parsed.
bool RequestParser::read_header(std::string_view& bytes, ParserHandler& handler) {
    const std::size_t header_part_bytes = std::min(header_bytes - header_.size(), bytes.size());
    header_.append(bytes.substr(0, header_part_bytes));
    bytes.remove_prefix(header_part_bytes);
    unparsed_bytes_ = bytes.size();
    if (header_.size() < header_bytes) return true;
    const auto decoded = RecordHeader::decode(header_);
    if (!decoded) return false;
    record_ = *decoded;
    record_bytes_left_ = record_.content_length + record_.padding_length;
    header_.clear();
    record_content_.clear();
    if (record_bytes_left_ == 0) finish_record(handler);
    return true;
}

void RequestParser::read_content(std::string_view& bytes, ParserHandler& handler) {
    const std::size_t content_left =
        record_bytes_left_ > record_.padding_length ? record_bytes_left_ - record_.padding_length : 0;
    const std::size_t content = std::min(content_left, bytes.size());
    if (content > 0) add_content(bytes.substr(0, content), handler);
    const std::size_t consumed = std::min(record_bytes_left_, content > 0 ? content : bytes.size());
    bytes.remove_prefix(consumed);
    unparsed_bytes_ = bytes.size();
    record_bytes_left_ -= consumed;
    if (record_bytes_left_ == 0) finish_record(handler);
}

void RequestParser::add_content(std::string_view content, ParserHandler& handler) {
    if (record_.type != RecordType::params && record_.type != RecordType::standard_input) {
        const std::size_t space =
            limits_.management_record_bytes - std::min(limits_.management_record_bytes, record_content_.size());
        record_content_.append(content.substr(0, space));
        return;
    }
    const auto found = record_.request_id ? incomplete_.find(record_.request_id) : incomplete_.end();
    if (found == incomplete_.end())
        discarded_bytes_ += content.size();  // the request is unknown, was rejected or has its response already
    else
        add_stream_content(found->second, content, handler);
}

void RequestParser::add_stream_content(IncompleteRequest& request, std::string_view content, ParserHandler& handler) {
    const bool is_params = record_.type == RecordType::params;
    RequestMessage& message = request.message;
    if (is_params == request.params_complete)  // params after their end, or a body before it
        return reject(RequestError::bad_parameters, message.keep_connection, handler);
    std::string& stream = is_params ? message.params : message.body;
    const std::size_t limit = is_params ? limits_.params_bytes : limits_.body_bytes;
    if (stream.size() + content.size() > limit) {
        discarded_bytes_ += content.size();
        return reject(is_params ? RequestError::bad_parameters : RequestError::body_too_big, message.keep_connection,
                      handler);
    }
    stream.append(content);
    held_bytes_ += content.size();
}

void RequestParser::finish_record(ParserHandler& handler) {
    ++record_count_;
    if (record_.request_id == 0) return finish_management_record(handler);
    switch (record_.type) {
        case RecordType::begin_request:
            return begin_request(handler);
        case RecordType::abort_request:
            discard(record_.request_id);
            return handler.on_abort(record_.request_id);
        case RecordType::params:
            return end_params(handler);
        case RecordType::standard_input:
            return end_body(handler);
        default:
            return handler.on_ignored_record();
    }
}

void RequestParser::finish_management_record(ParserHandler& handler) {
    if (record_.type == RecordType::get_values)
        handler.on_get_values(record_content_);
    else
        handler.on_unknown_type(static_cast<std::uint8_t>(record_.type));
}

void RequestParser::begin_request(ParserHandler& handler) {
    const std::uint16_t request_id = record_.request_id;
    const bool keep_connection =
        record_content_.size() > 2 && (static_cast<unsigned char>(record_content_[2]) & keep_connection_flag);
    if (incomplete_.count(request_id) || handler.is_pending(request_id))
        return reject(RequestError::duplicate_id, keep_connection, handler);
    if (record_content_.size() < begin_body_bytes || decode_uint16(record_content_, 0) != responder_role)
        return reject(RequestError::unsupported_role, keep_connection, handler);
    if (incomplete_.size() >= limits_.max_requests)
        return reject(RequestError::too_many_requests, keep_connection, handler);
    RequestMessage& message = incomplete_[request_id].message;
    message.request_id = request_id;
    message.keep_connection = keep_connection;
    handler.on_request_begun(request_id);
}

// An empty FCGI_PARAMS record ends the parameters.
void RequestParser::end_params(ParserHandler& handler) {
    const auto found = incomplete_.find(record_.request_id);
    if (found == incomplete_.end()) return handler.on_ignored_record();
    if (record_.content_length > 0) return;
    IncompleteRequest& request = found->second;
    if (request.params_complete) return reject(RequestError::bad_parameters, request.message.keep_connection, handler);
    request.params_complete = true;
}

// An empty FCGI_STDIN record ends the body and completes the request.
void RequestParser::end_body(ParserHandler& handler) {
    const auto found = incomplete_.find(record_.request_id);
    if (found == incomplete_.end()) return handler.on_ignored_record();
    if (record_.content_length > 0) return;
    if (!found->second.params_complete)
        return reject(RequestError::bad_parameters, found->second.message.keep_connection, handler);
    RequestMessage message = std::move(found->second.message);
    held_bytes_ -= message.params.size() + message.body.size();
    incomplete_.erase(found);
    handler.on_request(std::move(message));
}

void RequestParser::reject(RequestError error, bool keep_connection, ParserHandler& handler) {
    discard(record_.request_id);
    handler.on_request_error(record_.request_id, error, keep_connection);
}

void RequestParser::discard(std::uint16_t request_id) {
    const auto found = incomplete_.find(request_id);
    if (found == incomplete_.end()) return;
    held_bytes_ -= found->second.message.params.size() + found->second.message.body.size();
    incomplete_.erase(found);
}

std::vector<std::uint16_t> RequestParser::incomplete_requests() const {
    std::vector<std::uint16_t> request_ids;
    for (const auto& [request_id, request] : incomplete_) request_ids.push_back(request_id);
    return request_ids;
}

}  // namespace plumkeel::fastcgi
