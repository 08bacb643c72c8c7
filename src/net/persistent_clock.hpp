/// Points in time that keep their meaning over a restart of the process.
#pragma once

#include <chrono>
#include <string>

namespace lockgw {

/// Microseconds on a PersistentClock. Close to Unix time, and equal to it only where nobody has set the
/// clock.
using PersistentTime = std::chrono::sys_time<std::chrono::microseconds>;

/// The machine's monotonic clock, moved by an offset that is taken from the wall clock once for each boot and
/// then kept on disk. Spans between its times are spans of real time, also where the wall clock is stepped
/// and also between two processes. After a reboot the wall clock is all that is left to go by.
class PersistentClock {
public:
    /// What has to be kept for another process to go on with the same clock.
    struct Epoch {
        std::string boot_id;  ///< of the kernel; empty where it cannot be read, and then nothing goes on
        std::chrono::microseconds offset{0};  ///< from the monotonic clock to this one
        bool operator==(const Epoch&) const = default;
    };

    /// A new epoch, by the wall clock of now.
    PersistentClock();

    PersistentTime now() const;
    const Epoch& epoch() const { return epoch_; }
    /// Goes on with an earlier process's epoch; passes over one of another boot.
    void resume(const Epoch& earlier);

private:
    Epoch epoch_;
};

}  // namespace lockgw
