/// Tells transient system errors from lasting ones.
#pragma once

#include <exception>
#include <system_error>

namespace lockgw {

/// Whether this machine currently lacks descriptors, memory, buffers, disk space or a local port.
bool is_shortage(const std::error_code& error);

/// Whether an error may disappear without intervention: a shortage, an interruption, or a network or disk
/// that does not respond. Any other error is a lasting property of the file or the address.
bool is_transient(const std::error_code& error);

/// The system error that an exception of the standard library or of Asio carries; an empty error code for any
/// other exception.
std::error_code system_error_of(const std::exception& exception);

}  // namespace lockgw
