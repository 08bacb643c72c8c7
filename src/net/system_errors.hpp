/// Which errors of the system say something lasting, and which may pass by themselves.
#pragma once

#include <exception>
#include <system_error>

namespace lockgw {

/// This machine lacks descriptors, memory, buffers, disk or a local port now.
bool is_shortage(const std::error_code& error);

/// Errors that may pass by themselves: a shortage, an interruption, a network or a disk that does not answer.
/// Anything else is a fact about the file or the address.
bool is_transient(const std::error_code& error);

/// The system's error that an exception of the standard library or of asio carries; none for any other.
std::error_code system_error_of(const std::exception& exception);

}  // namespace lockgw
