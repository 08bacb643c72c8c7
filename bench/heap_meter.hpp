/// Heap bytes in use, counted by replaced global operator new and delete (linked into the bench programs
/// only).
#pragma once

#include <cstddef>

namespace cometspoke::bench {

/// Usable bytes of all blocks that operator new has given out and operator delete has not taken back.
/// Headers of the allocator (8 bytes a block with glibc) are counted in.
std::size_t heap_in_use();

}  // namespace cometspoke::bench
