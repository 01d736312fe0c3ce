// Implements the callbacks of the parser of Boost.Beast.
#include "http/response_parser.hpp"

#include <algorithm>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <fmt/format.h>

#include "http/field_syntax.hpp"
#include "http/parser_loop.hpp"
#include "http/response_check.hpp"

namespace yuccafall::http {

namespace beast = boost::beast;
using http_error = beast::http::error;

namespace {

constexpr int switching_protocols = 101;

} // namespace

response_parser::response_parser(size_limits limits, bool is_head_request)
    : limits_(limits)
{
    set_limits<basic_parser>(*this, limits);
    skip(is_head_request);
}

tl::expected<void, invalid_response> response_parser::parse(std::string& buffer)
{
    if (!is_header_done() && has_folded_line_in_head(buffer))
    {
        return tl::unexpected(invalid_response{
            response_fault::field, "the head contains a folded line"});
    }
    input_ = buffer;
    auto const ec = run_parser<basic_parser>(*this, body_, buffer, limits_);
    input_ = {};
    if (rejection_)
    {
        return tl::unexpected(*rejection_);
    }
    if (ec)
    {
        return tl::unexpected(invalid_response{fault_of(ec), ec.message()});
    }
    return {};
}

tl::expected<void, invalid_response> response_parser::parse_eof()
{
    error_code ec;
    if (got_some())
    {
        put_eof(ec);
    }
    if (ec || !is_done())
    {
        return tl::unexpected(
            invalid_response{response_fault::incomplete,
                             "the connection was closed within the response"});
    }
    return {};
}

response response_parser::release()
{
    response it;
    it.status = status_;
    it.headers = std::move(headers_);
    it.keep_alive = keep_alive();
    it.body = std::move(body_);
    return it;
}

void response_parser::reject(response_fault fault, std::string detail,
                             error_code& ec)
{
    rejection_ = invalid_response{fault, std::move(detail)};
    // The parser stops at any error.
    ec = http_error::bad_value;
}

response_fault response_parser::fault_of(error_code const& ec) const
{
    if (ec == http_error::header_limit)
    {
        return response_fault::head_too_large;
    }
    if (ec == http_error::body_limit)
    {
        return response_fault::body_too_large;
    }
    if (ec == http_error::bad_content_length ||
        ec == http_error::bad_transfer_encoding)
    {
        return response_fault::framing;
    }
    if (version_ == 0)
    {
        return response_fault::status_line;
    }
    return is_header_done() && !in_trailer_ ? response_fault::chunk
                                            : response_fault::field;
}

void response_parser::on_request_impl(beast::http::verb, string_view,
                                      string_view, int, error_code&)
{}

void response_parser::on_response_impl(int code, string_view, int version,
                                       error_code& ec)
{
    ec = {};
    status_ = code;
    version_ = version;
    if (!is_valid_status(code))
    {
        reject(response_fault::status,
               fmt::format("the status {:03} is not valid", code), ec);
    }
    else if (code == switching_protocols)
    {
        reject(response_fault::interim,
               "the server changes the protocol without being asked to", ec);
    }
}

void response_parser::on_field_impl(beast::http::field name,
                                    string_view name_text, string_view value,
                                    error_code& ec)
{
    ec = {};
    // RFC 9110 section 6.5.1 forbids to merge the fields of a trailer into the
    // head unless their definition permits it. They may be discarded.
    if (in_trailer_)
    {
        return;
    }
    headers_.push_back({std::string(name_text), std::string(value)});
    if (name == beast::http::field::transfer_encoding)
    {
        codings_.emplace_back(value);
    }
}

// The parser takes any list that ends with "chunked" for the chunked coding,
// and a body with another coding for one that ends with the connection.
// HTTP/1.0 has no transfer codings (RFC 9112 section 6.1).
void response_parser::on_header_impl(error_code& ec)
{
    ec = {};
    constexpr int http_1_1 = 11;
    bool const is_chunked_only =
        codings_.size() == 1 && beast::iequals(codings_.front(), "chunked");
    if (!codings_.empty() && (!is_chunked_only || version_ < http_1_1))
    {
        reject(response_fault::framing,
               "the transfer coding is not the chunked one of HTTP/1.1 alone",
               ec);
    }
}

void response_parser::on_body_init_impl(
    boost::optional<std::uint64_t> const& length, error_code& ec)
{
    ec = {};
    body_.reserve(std::min(length.value_or(0), limits_.body.value()));
}

std::size_t response_parser::on_body_impl(string_view bytes, error_code& ec)
{
    ec = {};
    body_.append(bytes.data(), bytes.size());
    return bytes.size();
}

// Called when the whole line of the chunk has arrived, and for the last chunk
// when its trailer has arrived as well.
void response_parser::on_chunk_header_impl(std::uint64_t size,
                                           string_view extensions,
                                           error_code& ec)
{
    ec = {};
    if (!is_free_of_control_bytes({extensions.data(), extensions.size()}))
    {
        reject(response_fault::chunk,
               "a chunk extension contains a control byte", ec);
        return;
    }
    if (size > 0)
    {
        return;
    }
    in_trailer_ = true;
    auto const line_end = extensions.data() + extensions.size();
    if (has_folded_line(
            input_.substr(static_cast<std::size_t>(line_end - input_.data()))))
    {
        reject(response_fault::field, "the trailer contains a folded line", ec);
    }
}

std::size_t response_parser::on_chunk_body_impl(std::uint64_t,
                                                string_view bytes,
                                                error_code& ec)
{
    return on_body_impl(bytes, ec);
}

void response_parser::on_finish_impl(error_code& ec)
{
    ec = {};
}

} // namespace yuccafall::http
