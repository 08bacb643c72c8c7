#include "persistent_clock.hpp"

#include "file_io.hpp"

namespace lockgw {
namespace {

using std::chrono::microseconds;

constexpr const char* kBootIdPath = "/proc/sys/kernel/random/boot_id";

microseconds monotonic_now() {
    return std::chrono::duration_cast<microseconds>(std::chrono::steady_clock::now().time_since_epoch());
}

microseconds wall_now() {
    return std::chrono::duration_cast<microseconds>(std::chrono::system_clock::now().time_since_epoch());
}

std::string read_boot_id() {
    const FileContents file = read_file_with_retries(kBootIdPath);
    return file.bytes.substr(0, file.bytes.find('\n'));
}

}  // namespace

PersistentClock::PersistentClock() : epoch_{read_boot_id(), wall_now() - monotonic_now()} {}

PersistentTime PersistentClock::now() const { return PersistentTime(monotonic_now() + epoch_.offset); }

void PersistentClock::resume(const Epoch& earlier) {
    if (!earlier.boot_id.empty() && earlier.boot_id == epoch_.boot_id) epoch_ = earlier;
}

}  // namespace lockgw
