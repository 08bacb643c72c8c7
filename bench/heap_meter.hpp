/// Counts the heap bytes in use by replacing the global operators new and delete. Only the benchmark programs
/// link it.
#pragma once

#include <cstddef>

namespace cometspoke::bench {

/// Usable bytes of all blocks allocated by operator new and not yet freed by operator delete, including the
/// allocator's header of each block (8 bytes with glibc).
std::size_t heap_in_use();

}  // namespace cometspoke::bench
