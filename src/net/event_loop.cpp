#include "event_loop.hpp"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <system_error>

namespace lockgw {
namespace {

constexpr std::chrono::milliseconds kMaxHandlerDelay{100};

/// The system ignores it by default, and the program does not use it otherwise.
constexpr int kProbeSignal = SIGWINCH;

/// Runs the pending handler. Throws with the text `error` if none becomes ready in time.
void expect_handler(boost::asio::io_context& io, const char* error) {
    const bool ran = io.run_one_for(kMaxHandlerDelay) > 0;
    io.restart();
    if (!ran) throw std::system_error(ENOMEM, std::system_category(), error);
}

}  // namespace

void check_timers(boost::asio::io_context& io) {
    boost::asio::steady_timer timer(io, std::chrono::milliseconds(0));
    timer.async_wait([](auto) {});
    expect_handler(io, "the event loop has no timer");
}

void check_signals(boost::asio::io_context& io) {
    boost::asio::signal_set signals(io, kProbeSignal);
    signals.async_wait([](auto, int) {});
    // Calls the handler that the set has installed, as the kernel would. A raised signal might not arrive
    // because signals may be blocked here.
    struct sigaction installed {};
    ::sigaction(kProbeSignal, nullptr, &installed);
    installed.sa_handler(kProbeSignal);
    expect_handler(io, "the event loop gets no signals");
}

}  // namespace lockgw
