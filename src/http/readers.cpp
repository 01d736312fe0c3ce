// Passes received bytes to the parsers.
#include "http/readers.hpp"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <fmt/format.h>

#include "http/parser_loop.hpp"
#include "http/request_target.hpp"
#include "http/response_parser.hpp"

namespace yuccafall::http {

namespace beast = boost::beast;
using boost::system::error_code;
using core::error_kind;

namespace {

// A server sends one interim response to a request in most cases. One that
// sends them without end is faulty.
constexpr int max_interim_responses = 8;

template <class Fields>
header_list copy_headers(Fields const& fields)
{
    header_list out;
    for (auto const& it : fields)
    {
        out.push_back({std::string(it.name_string()), std::string(it.value())});
    }
    return out;
}

error_kind error_kind_of(error_code const& ec)
{
    if (ec == beast::http::error::header_limit)
    {
        return error_kind::head_too_large;
    }
    if (ec == beast::http::error::body_limit)
    {
        return error_kind::body_too_large;
    }
    return error_kind::bad_request;
}

bool has_invalid_authority(beast::string_view target)
{
    std::string_view const it(target.data(), target.size());
    return is_absolute_form(it) &&
           !is_valid_authority(split_absolute_form(it).authority);
}

// The host of a target in absolute form replaces that of the Host header (RFC
// 9112 section 3.2.2).
void convert_to_origin_form(request& it)
{
    if (!is_absolute_form(it.target))
    {
        return;
    }
    auto const parts = split_absolute_form(it.target);
    set_header(it.headers, "Host", std::string(parts.authority));
    bool const has_path = !parts.path.empty() && parts.path.front() == '/';
    it.target = std::string(has_path ? "" : "/") + std::string(parts.path);
}

} // namespace

struct request_reader::state
{
    size_limits limits;
    beast::http::request_parser<beast::http::string_body> parser;
};

request_reader::request_reader(size_limits limits)
    : state_(std::make_unique<state>())
{
    state_->limits = limits;
    set_limits(state_->parser, limits);
}

request_reader::~request_reader() = default;
request_reader::request_reader(request_reader&&) noexcept = default;
request_reader& request_reader::operator=(request_reader&&) noexcept = default;

core::result<parse_progress> request_reader::parse(std::string& buffer)
{
    auto& parser = state_->parser;
    if (!parser.is_header_done() && has_folded_line_in_head(buffer))
    {
        return core::failure(error_kind::bad_request,
                             "the request contains a folded header line");
    }
    auto const ec =
        run_parser(parser, parser.get().body(), buffer, state_->limits);
    if (ec)
    {
        return core::failure(error_kind_of(ec), ec.message());
    }
    if (parser.is_header_done() &&
        parser.get().count(beast::http::field::host) != 1)
    {
        return core::failure(
            error_kind::bad_request,
            "the request must contain exactly one Host header");
    }
    if (parser.is_header_done() && has_invalid_authority(parser.get().target()))
    {
        return core::failure(error_kind::bad_request,
                             "the request's target names no valid host");
    }
    return parser.is_done() ? parse_progress::complete
                            : parse_progress::needs_more_data;
}

bool request_reader::head_complete() const
{
    return state_->parser.is_header_done();
}

std::size_t request_reader::body_size() const
{
    return state_->parser.get().body().size();
}

std::uint64_t request_reader::stated_body_size() const
{
    return state_->parser.content_length().value_or(0);
}

bool request_reader::expects_continue() const
{
    auto const& fields = state_->parser.get();
    return beast::iequals(fields[beast::http::field::expect], "100-continue");
}

request request_reader::release()
{
    auto message = state_->parser.release();
    request it;
    it.method = std::string(message.method_string());
    it.target = std::string(message.target());
    it.headers = copy_headers(message);
    it.keep_alive = message.keep_alive();
    it.body = std::move(message.body());
    convert_to_origin_form(it);
    return it;
}

struct response_reader::state
{
    state(size_limits message_limits, bool for_head_request)
        : limits(message_limits), is_head_request(for_head_request)
    {
        reset();
    }

    void reset()
    {
        parser = std::make_unique<response_parser>(limits, is_head_request);
    }

    bool is_interim() const
    {
        return parser->is_done() && parser->status() < 200;
    }

    size_limits limits;
    bool is_head_request;
    // The parser is replaced after each interim response.
    std::unique_ptr<response_parser> parser;
    int interim_responses = 0;
    bool started = false;
};

response_reader::response_reader(size_limits limits, bool is_head_request)
    : state_(std::make_unique<state>(limits, is_head_request))
{}

response_reader::~response_reader() = default;
response_reader::response_reader(response_reader&&) noexcept = default;
response_reader&
response_reader::operator=(response_reader&&) noexcept = default;

tl::expected<parse_progress, invalid_response>
response_reader::parse(std::string& buffer)
{
    state_->started = state_->started || !buffer.empty();
    do
    {
        if (state_->is_interim())
        {
            if (++state_->interim_responses > max_interim_responses)
            {
                return tl::unexpected(invalid_response{
                    response_fault::interim, "too many interim responses"});
            }
            state_->reset();
        }
        if (auto const parsed = state_->parser->parse(buffer); !parsed)
        {
            return tl::unexpected(parsed.error());
        }
    } while (state_->is_interim());
    return state_->parser->is_done() ? parse_progress::complete
                                     : parse_progress::needs_more_data;
}

tl::expected<parse_progress, invalid_response> response_reader::parse_eof()
{
    if (auto const parsed = state_->parser->parse_eof(); !parsed)
    {
        return tl::unexpected(parsed.error());
    }
    return parse_progress::complete;
}

bool response_reader::started() const
{
    return state_->started;
}

std::uint64_t response_reader::stated_body_size() const
{
    return state_->parser->is_header_done() && !state_->is_head_request
               ? state_->parser->content_length().value_or(0)
               : 0;
}

std::size_t response_reader::body_size() const
{
    return state_->parser->body_size();
}

response response_reader::release()
{
    return state_->parser->release();
}

} // namespace yuccafall::http
