/// Serialization of HTTP messages to the bytes that are sent over a socket.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <string>
#include <utility>

namespace lockgw {

template <bool is_request, class Body>
std::string serialize_http(const boost::beast::http::message<is_request, Body>& message) {
    std::ostringstream text;
    text << message;
    return std::move(text).str();
}

}  // namespace lockgw
