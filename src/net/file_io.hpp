/// Files read and written whole; interruptions are gone over.
#pragma once

#include <filesystem>
#include <string>
#include <string_view>
#include <system_error>

namespace lockgw {

struct FileContents {
    std::string bytes;
    std::error_code error;  ///< none where all of the file is in `bytes`
};

/// One attempt; interruptions and short reads are gone over.
FileContents read_file(const std::filesystem::path& path);
/// Several attempts within a tenth of a second, for files that are read at a start or a reload.
FileContents read_file_with_retries(const std::filesystem::path& path);

/// Writes all bytes; interruptions and short writes are gone over.
std::error_code write_all(int fd, std::string_view bytes);

/// open(2), gone on with after an interruption.
int open_retrying_interrupts(const std::filesystem::path& path, int flags, unsigned mode = 0);

}  // namespace lockgw
