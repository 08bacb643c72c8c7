/// Reads and writes whole files; system calls that a signal interrupts are repeated.
#pragma once

#include <filesystem>
#include <string>
#include <string_view>
#include <system_error>

namespace lockgw {

struct FileContents {
    std::string bytes;
    std::error_code error;  ///< none if `bytes` holds the whole file
};

/// Reads a file once; interrupted and short reads are continued.
FileContents read_file(const std::filesystem::path& path);
/// Retries a transient error for about a tenth of a second. Meant for files that are read at a start or at a
/// reload of the configuration.
FileContents read_file_with_retries(const std::filesystem::path& path);

/// Writes all bytes; interrupted and short writes are continued.
std::error_code write_all(int fd, std::string_view bytes);

/// Calls open(2), again if a signal interrupts it. The descriptor is closed on exec.
int open_retrying_interrupts(const std::filesystem::path& path, int flags, unsigned mode = 0);

}  // namespace lockgw
