#include "heap_meter.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

constexpr std::size_t kBlockHeaderBytes = 8;  // glibc stores it before each block
std::size_t bytes_in_use = 0;                 // not atomic: the benchmark programs have one thread

void* allocate(std::size_t size) {
    void* block = std::malloc(size == 0 ? 1 : size);
    if (block == nullptr) throw std::bad_alloc();
    bytes_in_use += malloc_usable_size(block) + kBlockHeaderBytes;
    return block;
}
void release(void* block) {
    if (block == nullptr) return;
    bytes_in_use -= malloc_usable_size(block) + kBlockHeaderBytes;
    std::free(block);
}

}  // namespace

void* operator new(std::size_t size) { return allocate(size); }
void* operator new[](std::size_t size) { return allocate(size); }
void operator delete(void* block) noexcept { release(block); }
void operator delete[](void* block) noexcept { release(block); }
void operator delete(void* block, std::size_t) noexcept { release(block); }
void operator delete[](void* block, std::size_t) noexcept { release(block); }

namespace cometspoke::bench {

std::size_t heap_in_use() { return bytes_in_use; }

}  // namespace cometspoke::bench
