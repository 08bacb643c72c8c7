#include "file_io.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <thread>

#include "system_errors.hpp"

namespace lockgw {
namespace {

using namespace std::chrono_literals;

constexpr int kMaxReadAttempts = 20;
constexpr auto kPauseBetweenReads = 5ms;
constexpr std::size_t kReadChunkBytes = 64 * 1024;

std::error_code last_error() { return {errno, std::system_category()}; }

}  // namespace

int open_retrying_interrupts(const std::filesystem::path& path, int flags, unsigned mode) {
    while (true) {
        const int fd = ::open(path.c_str(), flags | O_CLOEXEC, mode);
        if (fd >= 0 || errno != EINTR) return fd;
    }
}

FileContents read_file(const std::filesystem::path& path) {
    FileContents file;
    const int fd = open_retrying_interrupts(path, O_RDONLY);
    if (fd < 0) {
        file.error = last_error();
        return file;
    }
    std::string chunk(kReadChunkBytes, '\0');
    while (true) {
        const ssize_t count = ::read(fd, chunk.data(), chunk.size());
        if (count == 0) break;
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) {
            file.error = last_error();
            break;
        }
        file.bytes.append(chunk, 0, static_cast<std::size_t>(count));
    }
    ::close(fd);
    return file;
}

FileContents read_file_with_retries(const std::filesystem::path& path) {
    for (int attempt = 1;; ++attempt) {
        FileContents file = read_file(path);
        if (!file.error || !is_transient(file.error) || attempt == kMaxReadAttempts) return file;
        std::this_thread::sleep_for(kPauseBetweenReads);
    }
}

std::error_code write_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t count = ::write(fd, bytes.data(), bytes.size());
        if (count < 0 && errno == EINTR) continue;
        if (count < 0) return last_error();
        if (count == 0) return std::make_error_code(std::errc::io_error);
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return {};
}

}  // namespace lockgw
