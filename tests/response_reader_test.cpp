#include "net/response_reader.hpp"

#include <gtest/gtest.h>

namespace lockgw {
namespace {

using cometspoke::Outcome;
using State = ResponseReader::State;

constexpr cometspoke::Time kMaxRetryAfter = std::chrono::seconds(60);

const std::string kDelivered = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";

TEST(ResponseReader, ReadsAResponseByteByByte) {
    ResponseReader reader;
    EXPECT_TRUE(reader.empty());
    for (std::size_t i = 0; i + 1 < kDelivered.size(); ++i)
        ASSERT_EQ(reader.feed(kDelivered.substr(i, 1)), State::Incomplete) << i;
    EXPECT_EQ(reader.feed(kDelivered.substr(kDelivered.size() - 1)), State::Complete);
    EXPECT_TRUE(reader.has_ok_status());
    EXPECT_TRUE(reader.allows_reuse());
    EXPECT_EQ(reader.outcome(false).outcome, Outcome::Delivered);
}

// A status line with 200 proves delivery even if the rest of the response is malformed.
class MalformedOkResponse : public ::testing::TestWithParam<const char*> {};
TEST_P(MalformedOkResponse, CountsAsDelivered) {
    ResponseReader reader;
    EXPECT_NE(reader.feed(std::string("HTTP/1.1 200 OK\r\n") + GetParam()), State::Complete);
    EXPECT_NE(reader.end_of_stream(), State::Complete);
    EXPECT_TRUE(reader.has_ok_status());
    EXPECT_FALSE(reader.allows_reuse());
}
INSTANTIATE_TEST_SUITE_P(ResponseReader, MalformedOkResponse,
    ::testing::Values("", "no colon here\r\n\r\n", "Content-Length: -1\r\n\r\n",
        "Content-Length: 3000000000\r\n\r\n", "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
        "X-Half: ", "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n"));

// A Beast parser without any input reports status 200, which must not count as a delivery.
class MalformedResponse : public ::testing::TestWithParam<const char*> {};
TEST_P(MalformedResponse, DoesNotCountAsDelivered) {
    ResponseReader reader;
    reader.feed(GetParam());
    EXPECT_EQ(reader.end_of_stream(), State::Malformed);
    EXPECT_FALSE(reader.has_ok_status());
    EXPECT_FALSE(reader.allows_reuse());
}
INSTANTIATE_TEST_SUITE_P(ResponseReader, MalformedResponse,
    ::testing::Values("", "\xff\xfe noise", "ICY 200 OK\r\n\r\n", "HTTP/1.1 2x0 OK\r\n\r\n",
        "HTTP/1.1 OK 200\r\n\r\n", "HTTP/1.1 200", "HTTP/1.1 2000 OK\r\n\r\n",
        "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nhalf", "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"));

TEST(ResponseReader, RejectsGarbageAtTheFirstByte) {
    ResponseReader reader;
    EXPECT_EQ(reader.feed("x"), State::Malformed);
}

// A 1xx response that is taken for the final one would turn a delivery into a failure.
TEST(ResponseReader, SkipsALimitedNumberOfInterimResponses) {
    const std::string interim =
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    ResponseReader reader;
    EXPECT_EQ(reader.feed(interim), State::Incomplete);
    EXPECT_TRUE(reader.empty());
    EXPECT_EQ(reader.feed(interim + kDelivered), State::Complete);
    EXPECT_EQ(reader.outcome(false).outcome, Outcome::Delivered);
    EXPECT_TRUE(reader.allows_reuse());
    ResponseReader endless;
    State state = State::Incomplete;
    for (int i = 0; i < 100 && state == State::Incomplete; ++i) state = endless.feed(interim);
    EXPECT_EQ(state, State::Malformed);
}

TEST(ResponseReader, LimitsHeaderAndBodySizes) {
    ResponseReader header;
    State state = header.feed("HTTP/1.1 503 X\r\n");
    for (int i = 0; i < 1000 && state == State::Incomplete; ++i)
        state = header.feed("X-Pad: " + std::string(100, 'p') + "\r\n");
    EXPECT_EQ(state, State::Malformed);
    ResponseReader body;
    state = body.feed("HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 1000 && state == State::Incomplete; ++i)
        state = body.feed("100\r\n" + std::string(256, 'b') + "\r\n");
    EXPECT_EQ(state, State::Malformed);
}

// A Content-Length over the limit was ignored if part of the body arrived together with the header, and an
// endless body was kept until memory ran out.
TEST(ResponseReader, LimitsABodyThatArrivesWithTheHeader) {
    for (const bool keep_body : {true, false}) {
        ResponseReader reader(keep_body);
        EXPECT_EQ(
            reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on"), State::Malformed);
        EXPECT_TRUE(reader.has_ok_status());
        ResponseReader longest(keep_body);
        const std::string body(OptionalBody::kMaxBytes, 'x');
        EXPECT_EQ(longest.feed("HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n" + body), State::Complete);
    }
}

// Bytes after a response would be taken for the response to the next call.
TEST(ResponseReader, PreventsReuseAfterExtraBytesOrConnectionClose) {
    ResponseReader reader;
    EXPECT_EQ(reader.feed(kDelivered + kDelivered), State::Complete);
    EXPECT_TRUE(reader.has_ok_status());
    EXPECT_FALSE(reader.allows_reuse());
    ResponseReader last;
    EXPECT_EQ(last.feed("HTTP/1.1 503 X\r\nConnection: close\r\n\r\n"), State::Incomplete);
    EXPECT_EQ(last.end_of_stream(), State::Complete);  // without a length, it ends with the connection
    EXPECT_EQ(last.outcome(false).outcome, Outcome::Rejected);
    EXPECT_FALSE(last.allows_reuse());
}

TEST(ResponseReader, LimitsRetryAfter) {
    const auto retry_after = [](const std::string& value) {
        ResponseReader reader;
        reader.feed("HTTP/1.1 429 X\r\nContent-Length: 0\r\nRetry-After: " + value + "\r\n\r\n");
        return reader.retry_after(kMaxRetryAfter).value_or(cometspoke::Time(0));
    };
    EXPECT_EQ(retry_after("0.5"), std::chrono::milliseconds(500));
    EXPECT_EQ(retry_after("86400"), kMaxRetryAfter);
    EXPECT_EQ(retry_after("99999999999999999999"), cometspoke::Time(0));
    EXPECT_EQ(retry_after("-1"), cometspoke::Time(0));
    EXPECT_EQ(retry_after("nan"), cometspoke::Time(0));
}

// Retry-After holds once its line has arrived, whatever the rest of the response is like.
TEST(ResponseReader, ReportsRetryAfterOnceItsLineHasArrived) {
    const auto retry_after_in = [](const std::string& bytes, bool keep_body = false) {
        ResponseReader reader(keep_body);
        for (const char byte : bytes)
            if (reader.feed({&byte, 1}) == State::Malformed) break;
        return reader.retry_after(kMaxRetryAfter);
    };
    const std::string rejected = "HTTP/1.1 429 X\r\nX-Pad: p\r\n", retry_after = "retry-after: 0.7 \r\n";
    const cometspoke::Time expected = std::chrono::milliseconds(700);
    EXPECT_EQ(retry_after_in(rejected + retry_after), expected);
    EXPECT_EQ(retry_after_in(rejected + retry_after + "Content-Length: 9\r\n\r\nhalf"), expected);
    EXPECT_EQ(retry_after_in(rejected + retry_after + "no colon here\r\n\r\n"), expected);
    EXPECT_EQ(retry_after_in(rejected + retry_after + "Retry-After: 0.2\r\n"), expected);
    EXPECT_EQ(retry_after_in("HTTP/1.1 102 Processing\r\n\r\n" + rejected + retry_after), expected);
    EXPECT_EQ(retry_after_in("HTTP/1.1 200 X\r\n" + retry_after + "Content-Length: 9\r\n\r\n[{\"id\"", true),
        expected);
    EXPECT_FALSE(retry_after_in(rejected + "Retry-After: 0.7"));  // the value may continue as 0.75
    EXPECT_FALSE(retry_after_in(rejected + "Content-Length: 40\r\n\r\nx\r\n" + retry_after));
    EXPECT_FALSE(retry_after_in("HTTP/1.1 200 X\r\n" + retry_after));
    EXPECT_FALSE(retry_after_in("HTTP/1.1 503 X\r\n" + retry_after));
    EXPECT_FALSE(retry_after_in("HTTP/1.1 4x9 X\r\n" + retry_after));
}

TEST(ResponseReader, ParsesOnlyCompleteLoadReports) {
    const auto report = parse_load_report("x0=0.4, x1=25,x7=odd");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->remaining_share, 0.4);
    EXPECT_EQ(report->limit_per_s, 25.0);
    EXPECT_EQ(parse_load_report("x0=7,x1=25")->remaining_share, 1.0);
    for (const char* bad : {"", "x0=0.4", "x1=25", "x0=0.4,x1=", "x0=nan,x1=25", "x0=-1,x1=25",
             "x0=0.4,x1=1e99", "x0=0.4,x1=25,,", "x0=0.4,x1=25,x0=0.5", "\xff\xff", "x0=0.4;x1=25"})
        EXPECT_FALSE(parse_load_report(bad)) << bad;
}

}  // namespace
}  // namespace lockgw
