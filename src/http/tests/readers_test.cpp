// Tests the framing of messages: which bytes are a valid message, and which
// are rejected.
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "http/readers.hpp"
#include "stand_ins/response_samples.hpp"

using namespace yuccafall;
using namespace yuccafall::http;
using core::error_kind;

namespace {

core::result<parse_progress> read_request(std::string bytes)
{
    request_reader it({core::byte_count(4096), core::byte_count(100)});
    return it.parse(bytes);
}

std::string head(std::string const& fields)
{
    return "POST /a/b HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

} // namespace

TEST_CASE(
    "a request is read completely and the bytes after it stay in the buffer")
{
    std::string buffer = head("Content-Length: 3\r\n") + "abcGET /next";
    request_reader it({});
    REQUIRE(*it.parse(buffer) == parse_progress::complete);
    REQUIRE(buffer == "GET /next");
    auto const message = it.release();
    REQUIRE(message.method == "POST");
    REQUIRE(message.target == "/a/b");
    REQUIRE(message.body == "abc");
}

TEST_CASE("the chunks of a chunked request are joined")
{
    std::string buffer = head("Transfer-Encoding: chunked\r\n") +
                         "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    request_reader it({});
    REQUIRE(*it.parse(buffer) == parse_progress::complete);
    REQUIRE(it.release().body == "abcde");
}

// Guards against request smuggling, where two parsers disagree on the end of a
// request.
// RFC 9112 section 3.2.2.
TEST_CASE("a target in absolute form is split into the host and the path")
{
    struct test_case
    {
        std::string target;
        std::string host;
        std::string path;
    };
    for (auto const& it : std::vector<test_case>{
             {"http://other:81/a/b?c=/d", "other:81", "/a/b?c=/d"},
             {"HTTP://other", "other", "/"},
             {"http://other?q", "other", "/?q"},
             {"/http://other/", "h", "/http://other/"}})
    {
        CAPTURE(it.target);
        std::string buffer =
            "GET " + it.target + " HTTP/1.1\r\nHost: h\r\n\r\n";
        request_reader reader({});
        REQUIRE(reader.parse(buffer).value() == parse_progress::complete);
        auto const message = reader.release();
        REQUIRE(message.target == it.path);
        REQUIRE(count_headers(message.headers, "Host") == 1);
        REQUIRE(*find_header(message.headers, "Host") == it.host);
    }
    for (auto const* target :
         {"http://", "http:///a", "http://u@h/", "http://:80/"})
    {
        CAPTURE(target);
        std::string buffer =
            std::string("GET ") + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
        request_reader reader({});
        auto const status = reader.parse(buffer);
        REQUIRE_FALSE(status);
        REQUIRE(status.error().kind == core::error_kind::bad_request);
    }
}

TEST_CASE("a request with ambiguous framing is rejected")
{
    for (auto const& bytes :
         {head("Content-Length: 3\r\nContent-Length: 4\r\n") + "abcd",
          head("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n") + "abc",
          head("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n") + "abc",
          head("Content-Length: 3, 4\r\n") + "abcd",
          head("Content-Length: -1\r\n"),
          head("Content-Length : 3\r\n") + "abc", head("X: a\r\n b\r\n"),
          head("X: a\nY: b\r\n"), head("Content-Length: 3\nX: y\r\n") + "abc",
          std::string("GET / HTTP/1.1\r\n\r\n"), head("Host: other\r\n")})
    {
        CAPTURE(bytes);
        auto const it = read_request(bytes);
        REQUIRE_FALSE(it);
        REQUIRE(it.error().kind == error_kind::bad_request);
    }
}

TEST_CASE("a request over a limit is rejected with the error of that limit")
{
    REQUIRE(read_request(head("X: " + std::string(5000, 'x') + "\r\n"))
                .error()
                .kind == error_kind::head_too_large);
    REQUIRE(read_request(head("Content-Length: 101\r\n")).error().kind ==
            error_kind::body_too_large);
}

// Guards against a parser whose result depends on how the bytes of a request
// are split into reads.
TEST_CASE("the parsed request does not depend on how its bytes are split")
{
    rc::prop("split sizes", [](std::vector<std::uint8_t> const& split_sizes) {
        auto const all = head("Content-Length: 10\r\nX: y\r\n") + "0123456789";
        request_reader it({});
        std::string buffer;
        std::size_t at = 0;
        std::size_t i = 0;
        bool complete = false;
        while (at < all.size())
        {
            auto const n = split_sizes.empty()
                               ? 1
                               : 1 + split_sizes[i++ % split_sizes.size()] % 20;
            auto const piece = all.substr(at, n);
            at += piece.size();
            buffer += piece;
            auto const status = it.parse(buffer);
            RC_ASSERT(status.has_value());
            complete = *status == parse_progress::complete;
        }
        RC_ASSERT(complete);
        RC_ASSERT(it.release().body == "0123456789");
    });
}

TEST_CASE("arbitrary bytes give a request, a wait for more bytes or an error")
{
    rc::prop("bytes", [](std::string bytes) {
        request_reader it({});
        auto const status = it.parse(bytes);
        RC_ASSERT(!status || *status == parse_progress::needs_more_data ||
                  bytes.empty() || *status == parse_progress::complete);
    });
}

TEST_CASE("a response without a length ends when its connection is closed")
{
    std::string buffer = "HTTP/1.1 200 OK\r\n\r\nabc";
    response_reader it({}, false);
    REQUIRE(*it.parse(buffer) == parse_progress::needs_more_data);
    REQUIRE(*it.parse_eof() == parse_progress::complete);
    auto const message = it.release();
    REQUIRE(message.body == "abc");
    REQUIRE_FALSE(message.keep_alive);
}

// Guards against a truncated response that is treated as complete.
TEST_CASE("a truncated response is an error")
{
    for (auto const* text : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n3\r\nabc\r\n",
                             "HTTP/1.1 200 OK\r\nContent-Le"})
    {
        CAPTURE(text);
        std::string buffer = text;
        response_reader it({}, false);
        REQUIRE(*it.parse(buffer) == parse_progress::needs_more_data);
        REQUIRE_FALSE(it.parse_eof());
    }
}

TEST_CASE("interim responses are skipped")
{
    std::string buffer = "HTTP/1.1 100 Continue\r\n\r\n"
                         "HTTP/1.1 204 No Content\r\n\r\nHTTP";
    response_reader it({}, false);
    REQUIRE(*it.parse(buffer) == parse_progress::complete);
    REQUIRE(it.release().status == 204);
    REQUIRE(buffer == "HTTP");
}

// Guards against a node that exceeds its memory because a faulty worker sends
// bytes without end, in a head, a chunk header, a trailer, interim responses or
// a body.
TEST_CASE("a response that does not end is rejected within its limits")
{
    size_limits const limits{core::byte_count(1'000),
                             core::byte_count(100'000)};
    std::string const chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    struct endless_response
    {
        std::string start;
        std::string repeated;
    };
    for (auto const& it :
         {endless_response{"HTTP/1.1 200 ", "x"},
          endless_response{"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
          endless_response{"", "HTTP/1.1 100 Continue\r\n\r\n"},
          endless_response{chunked, "0"}, endless_response{chunked + "1;", "x"},
          endless_response{chunked + "0\r\n", "X: y\r\n"},
          endless_response{chunked, "1\r\nx\r\n"},
          endless_response{"HTTP/1.1 200 OK\r\n\r\n", "x"},
          endless_response{"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n",
                           "x"}})
    {
        CAPTURE(it.start, it.repeated);
        response_reader reader(limits, false);
        std::string buffer = it.start;
        std::size_t sent = buffer.size();
        std::size_t max_buffered = 0;
        auto status = reader.parse(buffer);
        while (status && sent < 2'000'000)
        {
            std::string piece;
            while (piece.size() < 512)
            {
                piece += it.repeated;
            }
            sent += piece.size();
            buffer += piece;
            status = reader.parse(buffer);
            max_buffered = std::max(max_buffered, buffer.size());
        }
        REQUIRE_FALSE(status);
        REQUIRE(max_buffered <= 2'000);
    }
}

TEST_CASE("the response to a HEAD request may state any length")
{
    response_reader reader({core::byte_count(1'000), core::byte_count(10)},
                           true);
    std::string buffer = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
    REQUIRE(reader.parse(buffer) == parse_progress::complete);
}

TEST_CASE("hop-by-hop headers are removed")
{
    header_list list{
        {"Connection", "close, X-Mine"}, {"X-Mine", "1"},
        {"Keep-Alive", "timeout=5"},     {"Transfer-Encoding", "chunked"},
        {"Content-Length", "3"},         {"X-Kept", "2"}};
    strip_connection_headers(list);
    REQUIRE(list.size() == 1);
    REQUIRE(list.front().name == "X-Kept");
}

TEST_CASE("a serialized request is parsed back to the same request")
{
    request out;
    out.method = "POST";
    out.target = "/x?y=z";
    out.headers = {{"Host", "h"}, {"A", "b"}};
    out.body = "body";
    auto bytes = serialize(out);
    request_reader it({});
    REQUIRE(*it.parse(bytes) == parse_progress::complete);
    auto const in = it.release();
    REQUIRE(in.target == out.target);
    REQUIRE(in.body == out.body);
    REQUIRE(*find_header(in.headers, "a") == "b");
}

// Report of other operators: a worker stopped in the middle of the head of its
// response and closed, and clients got a 200 with an empty body.
TEST_CASE("a response that ends at any byte is not complete")
{
    std::string const head = "HTTP/1.1 200 OK\r\nResponse-Id: 7\r\n";
    std::string const with_length =
        head + "Content-Length: 5\r\n\r\n" + "hello";
    std::string const chunked = head + "Transfer-Encoding: chunked\r\n\r\n" +
                                "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
    std::string const until_close = head + "\r\n";
    std::string const interim = "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n";
    for (auto const& prefix : {std::string(), interim, interim + interim})
    {
        for (auto const& whole : {with_length, chunked, until_close})
        {
            auto const bytes = prefix + whole;
            for (std::size_t n = 1; n < bytes.size(); ++n)
            {
                CAPTURE(bytes, n);
                // The bytes may come in one read, or one at a time.
                for (auto const step : {bytes.size(), std::size_t(1)})
                {
                    response_reader it({}, false);
                    std::string buffer;
                    for (std::size_t i = 0; i < n; i += step)
                    {
                        buffer += bytes.substr(i, std::min(step, n - i));
                        REQUIRE(*it.parse(buffer) ==
                                parse_progress::needs_more_data);
                    }
                    REQUIRE(it.started());
                    REQUIRE_FALSE(it.parse_eof());
                }
            }
        }
    }
}

namespace {

stand_ins::response_content short_content()
{
    return {"Response-Id: 7\r\n", "the body"};
}

// What a reader makes of the bytes before the end of the connection and of the
// end itself: the response, or the fault for which it is not used.
tl::expected<response, invalid_response>
read_response(std::string const& bytes, std::vector<std::size_t> const& splits)
{
    response_reader it({}, false);
    std::string buffer;
    std::size_t from = 0;
    for (std::size_t i = 0; i <= splits.size(); ++i)
    {
        auto const to = i < splits.size() ? splits[i] : bytes.size();
        buffer += bytes.substr(from, to - from);
        from = to;
        auto const status = it.parse(buffer);
        if (!status)
        {
            return tl::unexpected(status.error());
        }
        if (*status == parse_progress::complete)
        {
            return it.release();
        }
    }
    if (auto const status = it.parse_eof(); !status)
    {
        return tl::unexpected(status.error());
    }
    return it.release();
}

// Returns the ways to split the bytes into reads: not at all, before each of
// the first bytes, and before every byte.
std::vector<std::vector<std::size_t>> splits_of(std::string const& bytes)
{
    std::vector<std::vector<std::size_t>> out(1);
    std::vector<std::size_t> every_byte;
    for (std::size_t i = 1; i < std::min<std::size_t>(bytes.size(), 1'000); ++i)
    {
        out.push_back({i});
        every_byte.push_back(i);
    }
    out.push_back(std::move(every_byte));
    return out;
}

} // namespace

// Guards against a malformed response that reaches a caller, and against one
// that is rejected or not by how its bytes arrive.
TEST_CASE("a malformed response is rejected with its fault")
{
    for (auto const& it : stand_ins::make_broken_responses(short_content()))
    {
        for (auto const& splits : splits_of(it.bytes))
        {
            CAPTURE(it.name, splits);
            auto const result = read_response(it.bytes, splits);
            REQUIRE_FALSE(result);
            REQUIRE(to_string(result.error().fault) == it.fault);
        }
    }
}

TEST_CASE("a sound response is read, however its bytes are split")
{
    auto const content = short_content();
    for (auto const& it : stand_ins::make_sound_responses(content))
    {
        for (auto const& splits : splits_of(it.bytes))
        {
            CAPTURE(it.name, it.bytes, splits);
            auto const result = read_response(it.bytes, splits);
            REQUIRE(result);
            REQUIRE(result->status == it.status);
            REQUIRE(result->body ==
                    (it.has_body ? content.body : std::string()));
            auto const* id = find_header(result->headers, "Response-Id");
            REQUIRE(id != nullptr);
            REQUIRE(*id == "7");
        }
    }
}

// RFC 9110 section 6.5.1.
TEST_CASE("the fields of a trailer do not become fields of the head")
{
    auto const result =
        read_response("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "4\r\nbody\r\n0\r\nNot-Run: 1\r\n\r\n",
                      {});
    REQUIRE(result);
    REQUIRE(find_header(result->headers, "Not-Run") == nullptr);
}

// Guards against a body that is taken for a folded line because the head had
// arrived up to its last empty line.
TEST_CASE("a body may begin with a blank")
{
    std::string const response_bytes =
        "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 7\r\n\r\n a\r\n\tb\r\n";
    for (auto const& splits : splits_of(response_bytes))
    {
        CAPTURE(splits);
        auto const result = read_response(response_bytes, splits);
        REQUIRE(result);
        REQUIRE(result->body == " a\r\n\tb\r");
    }
    std::string const request_bytes =
        head("X: y\r\nContent-Length: 7\r\n") + " a\r\n\tb\r";
    for (std::size_t i = 1; i < request_bytes.size(); ++i)
    {
        CAPTURE(i);
        request_reader it({});
        std::string buffer = request_bytes.substr(0, i);
        REQUIRE(it.parse(buffer) == parse_progress::needs_more_data);
        buffer += request_bytes.substr(i);
        REQUIRE(it.parse(buffer) == parse_progress::complete);
        REQUIRE(it.release().body == " a\r\n\tb\r");
    }
}
