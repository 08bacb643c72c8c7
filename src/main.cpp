/// The entry point of lockgw, the forwarder: startup, signals and the event loop.
#include <pthread.h>

#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <system_error>
#include <thread>

#include "net/event_loop.hpp"
#include "net/forwarder.hpp"
#include "net/system_errors.hpp"

namespace {

std::string single_line(std::string text) {
    for (char& c : text)
        if (c == '\n') c = ' ';
    return text;
}

/// An invalid file must not end a running process: the current configuration stays in force.
void reload(lockgw::Forwarder& forwarder) try {
    forwarder.reload();
    std::cerr << "lockgw: configuration read anew" << std::endl;
} catch (const std::exception& error) {
    std::cerr << "lockgw: the old configuration stays: " << single_line(error.what()) << std::endl;
}

void handle_signals(boost::asio::signal_set& signals, lockgw::Forwarder& forwarder) {
    signals.async_wait([&](auto error, int signal) {
        if (error) return;
        handle_signals(signals, forwarder);
        signal == SIGHUP ? reload(forwarder) : forwarder.finish();
    });
}

/// A signal that arrives while the process shuts down must not turn a clean exit into a crash.
void block_signals() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

void unblock_signals() {
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_UNBLOCK, &all, nullptr);
}

/// Goes on after an exception: a fault in one handler must not lose the state of the others.
void run_event_loop(boost::asio::io_context& io) {
    while (!io.stopped()) try {
            io.run();
        } catch (const std::exception& error) {
            std::cerr << "lockgw: " << error.what() << '\n';
        }
}

/// Retries a startup that failed for a transient cause, such as a shortage of descriptors.
class StartupRetry {
public:
    /// Logs the error and waits; returns false if the error is lasting or the time for retries is over.
    bool wait_for_retry(const std::exception& exception) {
        const std::error_code error = lockgw::system_error_of(exception);
        const bool in_use = error == std::errc::address_in_use;
        const auto max_time = in_use ? kMaxAddressInUseTime : kMaxTransientErrorTime;
        if (!(in_use || lockgw::is_transient(error)) ||
            std::chrono::steady_clock::now() - started_at_ >= max_time)
            return false;
        if (std::exchange(last_logged_, exception.what()) != exception.what())
            std::cerr << "lockgw: starts again: " << single_line(exception.what()) << std::endl;
        std::this_thread::sleep_for(kRetryDelay);
        return true;
    }

private:
    static constexpr std::chrono::milliseconds kRetryDelay{20}, kMaxAddressInUseTime{1000},
        kMaxTransientErrorTime{25'000};
    std::chrono::steady_clock::time_point started_at_ = std::chrono::steady_clock::now();
    std::string last_logged_;
};

int run_forwarder() {
    boost::asio::io_context io(1);
    // registered first, so that a SIGHUP during startup does not end the process
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    lockgw::check_timers(io);
    lockgw::check_signals(io);
    lockgw::Forwarder forwarder(io, lockgw::config_of_environment());
    handle_signals(signals, forwarder);
    unblock_signals();
    forwarder.start();
    run_event_loop(io);
    block_signals();
    return forwarder.failed() ? 1 : 0;
}

}  // namespace

int main() try {
    std::signal(SIGPIPE, SIG_IGN);  // stderr may be a pipe whose reader has gone
    StartupRetry retry;
    while (true) try {
            block_signals();  // a signal that arrives between two attempts is handled in the next one
            return run_forwarder();
        } catch (const std::exception& error) {
            if (!retry.wait_for_retry(error)) throw;
        }
} catch (const std::exception& error) {
    std::cerr << "lockgw: cannot start: " << single_line(error.what()) << std::endl;
    return 1;
}
