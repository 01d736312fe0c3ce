// Parses one response, be it an interim one. It rejects what the parser of
// Boost.Beast accepts although the message is malformed or its end is
// ambiguous.
#ifndef YUCCAFALL_HTTP_RESPONSE_PARSER_HPP
#define YUCCAFALL_HTTP_RESPONSE_PARSER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/basic_parser.hpp>
#include <tl/expected.hpp>

#include "http/message.hpp"
#include "http/readers.hpp"
#include "http/response_fault.hpp"

namespace yuccafall::http {

class response_parser : private boost::beast::http::basic_parser<false>
{
public:
    // The response to a HEAD request has no body, even if its head states a
    // length.
    response_parser(size_limits limits, bool is_head_request);

    // Parses the buffer and removes the parsed bytes from its front.
    tl::expected<void, invalid_response> parse(std::string& buffer);
    // Must be called when the server has ended the connection. Completes a
    // response that does not state its end.
    tl::expected<void, invalid_response> parse_eof();

    using basic_parser::content_length;
    using basic_parser::is_done;
    using basic_parser::is_header_done;

    // The status, or 0 before the status line is complete.
    int status() const { return status_; }
    std::size_t body_size() const { return body_.size(); }
    // Must be called only once, after the response is complete.
    response release();

private:
    using error_code = boost::system::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method,
                         string_view method_text, string_view target,
                         int version, error_code& ec) override;
    void on_response_impl(int code, string_view reason, int version,
                          error_code& ec) override;
    void on_field_impl(boost::beast::http::field name, string_view name_text,
                       string_view value, error_code& ec) override;
    void on_header_impl(error_code& ec) override;
    void on_body_init_impl(boost::optional<std::uint64_t> const& length,
                           error_code& ec) override;
    std::size_t on_body_impl(string_view bytes, error_code& ec) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extensions,
                              error_code& ec) override;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, string_view bytes,
                                   error_code& ec) override;
    void on_finish_impl(error_code& ec) override;

    // Rejects the response from within a callback of the parser.
    void reject(response_fault fault, std::string detail, error_code& ec);
    response_fault fault_of(error_code const& ec) const;

    size_limits limits_;
    int status_ = 0;
    // 10 for HTTP/1.0, 11 for HTTP/1.1.
    int version_ = 0;
    header_list headers_;
    std::string body_;
    // Values of the fields Transfer-Encoding, in their order.
    std::vector<std::string> codings_;
    bool in_trailer_ = false;
    // What the callbacks have found. Set at most once.
    std::optional<invalid_response> rejection_;
    // The bytes that are being parsed, while parse() runs.
    std::string_view input_;
};

} // namespace yuccafall::http

#endif
