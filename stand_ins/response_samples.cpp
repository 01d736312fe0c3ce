// Lists the samples by the part of the response that is broken.
#include "stand_ins/response_samples.hpp"

#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace yuccafall::stand_ins {

namespace {

using namespace std::string_literals;

class sample_builder
{
public:
    explicit sample_builder(response_content content)
        : content_(std::move(content)),
          length_(fmt::format("Content-Length: {}\r\n", content_.body.size()))
    {}

    std::string const& length() const { return length_; }
    std::string const& body() const { return content_.body; }

    // Returns a response whose head has these lines beside those of the
    // content.
    std::string with_fields(std::string const& lines,
                            std::string const& body_bytes) const
    {
        return "HTTP/1.1 200 OK\r\n" + lines + content_.fields + "\r\n" +
               body_bytes;
    }
    // The added line stands last in the head of a response that is sound
    // without it.
    std::string with_last_line(std::string const& line) const
    {
        return "HTTP/1.1 200 OK\r\n" + content_.fields + length_ + line +
               "\r\n" + content_.body;
    }
    std::string with_status_line(std::string const& line) const
    {
        return line + "\r\n" + content_.fields + length_ + "\r\n" +
               content_.body;
    }
    std::string chunked(std::string const& chunks) const
    {
        return with_fields("Transfer-Encoding: chunked\r\n", chunks);
    }
    // Two chunks that hold the body.
    std::string chunks() const
    {
        auto const half = content_.body.size() / 2;
        return fmt::format(
            "{:x}\r\n{}\r\n{:X}\r\n{}\r\n", half, content_.body.substr(0, half),
            content_.body.size() - half, content_.body.substr(half));
    }
    std::string with_trailer(std::string const& lines) const
    {
        return chunked(chunks() + "0\r\n" + lines + "\r\n");
    }

private:
    response_content content_;
    std::string length_;
};

using broken = std::vector<broken_response>;

void add_ends(sample_builder const& b, broken& out)
{
    auto const whole = b.with_fields(b.length(), b.body());
    auto const chunked = b.chunked(b.chunks());
    out.insert(
        out.end(),
        {{"end within the status line", "HTTP/1.1 20", "incomplete"},
         {"end within a field", "HTTP/1.1 200 OK\r\nContent-Le", "incomplete"},
         {"end before the empty line", "HTTP/1.1 200 OK\r\n" + b.length(),
          "incomplete"},
         {"end before a stated body", b.with_fields(b.length(), ""),
          "incomplete"},
         {"end within a stated body", whole.substr(0, whole.size() - 2),
          "incomplete"},
         {"end before the first chunk", b.chunked(""), "incomplete"},
         {"end within a chunk", b.chunked("20\r\nshort"), "incomplete"},
         {"end between chunks", chunked, "incomplete"},
         {"end within the last chunk", chunked + "0\r\n", "incomplete"},
         {"end within a trailer", chunked + "0\r\nX: y\r\n", "incomplete"},
         {"end after an interim response", "HTTP/1.1 100 Continue\r\n\r\n",
          "incomplete"}});
}

void add_status_lines(sample_builder const& b, broken& out)
{
    for (auto const* line :
         {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
          "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200OK",
          "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK",
          "HTTP/1.1 200 O\x01K", "not a response", ""})
    {
        out.push_back({fmt::format("status line \"{}\"", line),
                       b.with_status_line(line), "status_line"});
    }
    for (auto const* status : {"000", "001", "099", "600", "999"})
    {
        auto const line = fmt::format("HTTP/1.1 {} Odd", status);
        auto const head = line + "\r\n";
        out.insert(out.end(),
                   {{fmt::format("status {}, with a length", status),
                     b.with_status_line(line), "status"},
                    {fmt::format("status {}, without a length", status),
                     head + b.with_fields("", b.body()).substr(17), "status"},
                    {fmt::format("status {}, in chunks", status),
                     head + b.chunked(b.chunks() + "0\r\n\r\n").substr(17),
                     "status"}});
    }
    out.push_back({"status line that ends with a line feed alone",
                   "HTTP/1.1 200 OK\n" + b.length() + "\r\n" + b.body(),
                   "status_line"});
    std::string interim;
    for (int i = 0; i < 20; ++i)
    {
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    auto const whole = b.with_fields(b.length(), b.body());
    out.insert(out.end(),
               {{"too many interim responses", interim + whole, "interim"},
                {"a change of protocol",
                 "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
                 "Connection: upgrade\r\n\r\n" +
                     whole,
                 "interim"}});
}

void add_field_names(sample_builder const& b, broken& out)
{
    std::pair<char const*, std::string> const lines[] = {
        {"a blank within a name", "X Y: z\r\n"},
        {"a tab within a name", "X\tY: z\r\n"},
        {"a blank at the end of a name", "X-Y : z\r\n"},
        {"a control byte in a name", "X\x01Y: z\r\n"},
        {"a zero byte in a name", "X\0Y: z\r\n"s},
        {"a delete byte in a name", "X\x7fY: z\r\n"},
        {"a byte beyond ASCII in a name", "X\xc3\xa4Y: z\r\n"},
        {"a carriage return in a name", "X\rY: z\r\n"},
        {"a line feed in a name", "X\nY: z\r\n"},
        {"a separator in a name", "X(Y): z\r\n"},
        {"an empty name", ": z\r\n"},
        {"a line without a name", "Broken\r\n"}};
    for (auto const& [name, line] : lines)
    {
        out.insert(out.end(),
                   {{name, b.with_last_line(line), "field"},
                    {name + ", in a trailer"s, b.with_trailer(line), "field"}});
    }
    out.insert(
        out.end(),
        {{"a blank before the first name",
          "HTTP/1.1 200 OK\r\n X: y\r\n" +
              b.with_fields(b.length(), b.body()).substr(17),
          "field"},
         {"a blank after the name of the length",
          b.with_fields(fmt::format("Content-Length : {}\r\n", b.body().size()),
                        b.body()),
          "field"},
         {"a blank after the name of the coding",
          b.with_fields("Transfer-Encoding : chunked\r\n",
                        b.chunks() + "0\r\n\r\n"),
          "field"}});
}

void add_field_values(sample_builder const& b, broken& out)
{
    std::pair<char const*, std::string> const lines[] = {
        {"a zero byte in a value", "X: a\0b\r\n"s},
        {"a control byte in a value", "X: a\x01z\r\n"},
        {"a delete byte in a value", "X: a\x7fz\r\n"},
        {"a carriage return in a value", "X: a\rb\r\n"},
        {"a line feed in a value", "X: a\nY: b\r\n"},
        {"a folded value", "X: a\r\n b\r\n"},
        {"a value folded by a tab", "X: a\r\n\tb\r\n"},
        {"a fold before a value", "X:\r\n b\r\n"}};
    for (auto const& [name, line] : lines)
    {
        out.insert(out.end(),
                   {{name, b.with_last_line(line), "field"},
                    {name + ", in a trailer"s, b.with_trailer(line), "field"}});
    }
    out.insert(out.end(),
               {{"a blank before the first name of a trailer",
                 b.with_trailer(" X: y\r\n"), "field"},
                {"a head without end",
                 "HTTP/1.1 200 OK\r\nX: " + std::string(100'000, 'x'),
                 "head_too_large"},
                {"a trailer without end",
                 b.chunked(b.chunks() + "0\r\nX: " + std::string(100'000, 'x')),
                 "head_too_large"}});
}

void add_lengths(sample_builder const& b, broken& out)
{
    auto const size = b.body().size();
    for (auto const& value :
         {fmt::format("{}, {}", size, size + 1), fmt::format("+{}", size),
          fmt::format("-{}", size), fmt::format("{}x", size),
          fmt::format("0x{:x}", size), fmt::format("{} {}", size, size),
          fmt::format("{}.0", size), std::string(),
          std::string("18446744073709551616")})
    {
        out.push_back(
            {fmt::format("length \"{}\"", value),
             b.with_fields("Content-Length: " + value + "\r\n", b.body()),
             "framing"});
    }
    out.insert(
        out.end(),
        {{"two lengths",
          b.with_fields(b.length() +
                            fmt::format("Content-Length: {}\r\n", size + 1),
                        b.body() + "x"),
          "framing"},
         {"a length in a trailer", b.with_trailer(b.length()), "framing"},
         {"a coding in a trailer",
          b.with_trailer("Transfer-Encoding: chunked\r\n"), "framing"}});
}

void add_codings(sample_builder const& b, broken& out)
{
    auto const chunks = b.chunks() + "0\r\n\r\n";
    std::string const chunked = "Transfer-Encoding: chunked\r\n";
    out.insert(
        out.end(),
        {{"a length before a coding",
          b.with_fields(b.length() + chunked, chunks), "framing"},
         {"a length after a coding",
          b.with_fields(chunked + b.length(), chunks), "framing"},
         {"a length beside an unknown coding",
          b.with_fields("Transfer-Encoding: gzip\r\n" + b.length(), b.body()),
          "framing"},
         {"the chunked coding twice", b.with_fields(chunked + chunked, chunks),
          "framing"},
         {"a coding before the chunked one, in two fields",
          b.with_fields("Transfer-Encoding: gzip\r\n" + chunked, chunks),
          "framing"},
         {"the chunked coding in an HTTP/1.0 response",
          "HTTP/1.0" + b.with_fields(chunked, chunks).substr(8), "framing"}});
    for (auto const* value : {"gzip", "gzip, chunked", "chunked, gzip",
                              "chunked, chunked", "identity", "xchunked",
                              "chunked x", "chunked;q=1", "\"chunked\"", ""})
    {
        out.push_back(
            {fmt::format("coding \"{}\"", value),
             b.with_fields("Transfer-Encoding: "s + value + "\r\n", chunks),
             "framing"});
    }
}

void add_chunks(sample_builder const& b, broken& out)
{
    std::pair<char const*, std::string> const samples[] = {
        {"no size", "\r\nshort\r\n0\r\n\r\n"},
        {"a size that is no number", "xyz\r\nshort\r\n0\r\n\r\n"},
        {"a negative size", "-5\r\nshort\r\n0\r\n\r\n"},
        {"a size with a prefix", "0x5\r\nshort\r\n0\r\n\r\n"},
        {"a size beyond 64 bits", "10000000000000005\r\nshort\r\n0\r\n\r\n"},
        {"a blank before a size", " 5\r\nshort\r\n0\r\n\r\n"},
        {"a size that is too small", "4\r\nshort\r\n0\r\n\r\n"},
        {"a size that is too large", "6\r\nshort\r\n0\r\n\r\n"},
        {"no line end after the data", "5\r\nshort0\r\n\r\n"},
        {"a line feed after a size", "5\nshort\r\n0\r\n\r\n"},
        {"a carriage return after a size", "5\rshort\r\n0\r\n\r\n"},
        {"a control byte in an extension",
         "5;a=\"\x01\"\r\nshort\r\n0\r\n\r\n"},
        {"a line feed in an extension", "5;a=\"\n\"\r\nshort\r\n0\r\n\r\n"},
        {"an extension without a name", "5;=\r\nshort\r\n0\r\n\r\n"}};
    for (auto const& [name, bytes] : samples)
    {
        out.push_back({"a chunk with "s + name, b.chunked(bytes), "chunk"});
    }
}

} // namespace

std::vector<broken_response>
make_broken_responses(response_content const& content)
{
    sample_builder const b(content);
    std::vector<broken_response> out;
    add_ends(b, out);
    add_status_lines(b, out);
    add_field_names(b, out);
    add_field_values(b, out);
    add_lengths(b, out);
    add_codings(b, out);
    add_chunks(b, out);
    return out;
}

std::vector<sound_response>
make_sound_responses(response_content const& content)
{
    sample_builder const b(content);
    auto const whole = b.with_fields(b.length(), b.body());
    auto const until_close = b.with_fields("", b.body());
    auto const last_chunk = b.chunks() + "0\r\n\r\n";
    return {
        {"a length", whole},
        {"the same length twice",
         b.with_fields(b.length() + b.length(), b.body())},
        {"a list of the same length",
         b.with_fields(
             fmt::format("Content-Length: {0}, {0}\r\n", b.body().size()),
             b.body())},
        {"a length of zero", b.with_fields("Content-Length: 0\r\n", ""), false,
         200, false},
        {"chunks", b.chunked(last_chunk)},
        {"chunks with an extension",
         b.chunked(fmt::format("{:x};a=b;c=\"d e\"\r\n{}\r\n0;last\r\n\r\n",
                               b.body().size(), b.body()))},
        {"chunks and a trailer",
         b.with_trailer("X-Sum: 1\r\nX-Other: two words\r\n")},
        {"the coding in capitals",
         b.with_fields("TRANSFER-ENCODING: Chunked\r\n", last_chunk)},
        {"no length", until_close, true},
        {"no length, no body", b.with_fields("", ""), true, 200, false},
        {"HTTP/1.0 with a length", "HTTP/1.0" + whole.substr(8)},
        {"HTTP/1.0 without a length", "HTTP/1.0" + until_close.substr(8), true},
        {"interim responses before",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
         "Link: </a>\r\n\r\n" +
             whole},
        {"no content", "HTTP/1.1 204 No Content\r\n" + content.fields + "\r\n",
         false, 204, false},
        {"no reason phrase", "HTTP/1.1 200 \r\n" + whole.substr(17)},
        {"bytes after the end", whole + "HTTP/1.1 500 Other\r\n\r\n"},
        {"unusual bytes that are allowed",
         b.with_fields(b.length() + "x!#$%&'*+-.^_`|~9: \t a\tb \xc3\xa4\t\r\n",
                       b.body())},
        {"an empty value", b.with_fields(b.length() + "X:\r\n", b.body())},
        {"a failure", "HTTP/1.1 500 Failed" + whole.substr(15), false, 500},
        {"a failure without a length",
         "HTTP/1.1 504 Late" + until_close.substr(15), true, 504},
        {"an unusual status", "HTTP/1.1 299 Odd" + whole.substr(15), false,
         299}};
}

} // namespace yuccafall::stand_ins
