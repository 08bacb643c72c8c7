/// Checks of a new event loop.
///
/// Asio does not report it if the system refuses to watch the loop's own timer or the pipe that carries
/// signals. The process would appear healthy, but no timer would ever fire or no signal would be handled.
#pragma once

#include <boost/asio/io_context.hpp>

namespace lockgw {

/// Throws std::system_error with ENOMEM, which counts as transient, if a timer of `io` does not fire. `io`
/// must have no other work.
void check_timers(boost::asio::io_context& io);

/// Throws the same error if no signal reaches a boost::asio::signal_set of `io`, which must have no other
/// work.
void check_signals(boost::asio::io_context& io);

}  // namespace lockgw
