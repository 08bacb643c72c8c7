/// Incremental reader for an endpoint's HTTP response to one call. It uses neither sockets nor a clock.
///
/// Endpoints are systems of other companies: what they send may be malformed, endless or longer than the
/// response.
#pragma once

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cometspoke/sender.hpp"

namespace lockgw {

/// A body whose size is checked and whose text is kept only on request, because the body of a response to a
/// single message has no meaning.
struct OptionalBody {
    static constexpr std::uint64_t kMaxBytes = 64 * 1024;  ///< set by the protocol
    struct value_type {
        bool keep = false;
        std::string text;
    };
    struct reader {
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body) : body_(body) {}
        /// Checks the Content-Length again: the parser drops its own error about it if part of the body
        /// arrives together with the header.
        template <class Length>
        void init(const Length& content_length, boost::beast::error_code& error) {
            error = {};
            if (content_length && *content_length > kMaxBytes) error = boost::beast::http::error::body_limit;
        }
        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
            error = {};
            if (body_.keep) body_.text += boost::beast::buffers_to_string(buffers);
            return boost::beast::buffer_bytes(buffers);
        }
        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

class ResponseReader {
public:
    enum class State {
        Incomplete,
        Complete,   ///< well-formed to its end
        Malformed,  ///< neither this response nor anything after it can be read
    };

    /// `keep_body`: for a batch call, where the body states how each message ended.
    explicit ResponseReader(bool keep_body = false) : keep_body_(keep_body) { start_response(); }

    State feed(std::string_view bytes);
    /// Handles the end of the connection, which ends a response without a length.
    State end_of_stream();

    /// Whether nothing of the response has arrived; interim responses (1xx) do not count.
    bool empty() const { return empty_; }
    /// Whether the status line has been read and has the code 200: the message is delivered, whatever
    /// follows.
    bool has_ok_status() const { return status_ == 200u; }
    bool header_complete() const { return parser_->is_header_done(); }
    /// The value of Retry-After, limited to `max`. It is available once its header line has arrived, whatever
    /// follows.
    std::optional<cometspoke::Time> retry_after(cometspoke::Time max) const;
    /// Whether the connection may carry another call, which requires that nothing followed the response.
    bool allows_reuse() const {
        return state_ == State::Complete && unread_.empty() && parser_->get().keep_alive();
    }
    /// What the header means by the protocol's table. `load_reports`: the header may carry a load report.
    cometspoke::OutcomeEvent outcome(bool load_reports) const;
    /// The outcome of each message of a batch call, in the order of `messages`.
    std::vector<cometspoke::OutcomeEvent> outcomes(
        const std::vector<cometspoke::MessageId>& messages, bool load_reports) const;

private:
    void start_response();
    void read_status_line();
    void read_retry_after();
    State set_malformed() { return state_ = State::Malformed; }

    bool keep_body_;
    // on the heap, because it can be neither copied nor assigned
    std::unique_ptr<boost::beast::http::response_parser<OptionalBody>> parser_;
    std::string unread_;              // received and not parsed yet
    std::size_t searched_bytes_ = 0;  // of them, whole header lines that were searched for Retry-After
    std::optional<double> retry_after_s_;
    std::optional<unsigned> status_;  // from the status line
    int interim_responses_ = 0;
    bool empty_ = true;
    State state_ = State::Incomplete;
};

/// Parses "x0=0.4,x1=25". Returns nothing if any part is unreadable, because half a report would be wrong.
std::optional<cometspoke::LoadReport> parse_load_report(std::string_view text);

}  // namespace lockgw
