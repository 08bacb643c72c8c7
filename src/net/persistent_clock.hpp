/// Points in time that stay comparable across restarts of the process.
#pragma once

#include <chrono>
#include <string>

namespace lockgw {

/// Microseconds on a PersistentClock. They are close to Unix time, and equal to it only if nobody has set the
/// wall clock since the epoch was taken.
using PersistentTime = std::chrono::sys_time<std::chrono::microseconds>;

/// The machine's monotonic clock plus an offset that is taken from the wall clock once per boot and then kept
/// on disk. Differences between its times are real durations, even if the wall clock is stepped and even
/// between two processes. After a reboot the clock depends on the wall clock alone.
class PersistentClock {
public:
    /// What has to be stored for another process to continue the same clock.
    struct Epoch {
        std::string boot_id;  ///< of the kernel; empty if it cannot be read: such an epoch is not continued
        std::chrono::microseconds offset{0};  ///< from the monotonic clock to this one
        bool operator==(const Epoch&) const = default;
    };

    /// Begins a new epoch at the current wall clock time.
    PersistentClock();

    PersistentTime now() const;
    const Epoch& epoch() const { return epoch_; }
    /// Continues the epoch of an earlier process. An epoch of another boot is ignored.
    void resume(const Epoch& earlier);

private:
    Epoch epoch_;
};

}  // namespace lockgw
