#include "heap_meter.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

constexpr std::size_t kBlockHeader = 8;  // bytes that glibc keeps before each block
std::size_t in_use = 0;                  // the bench programs have one thread

void* take(std::size_t size) {
    void* block = std::malloc(size == 0 ? 1 : size);
    if (block == nullptr) throw std::bad_alloc();
    in_use += malloc_usable_size(block) + kBlockHeader;
    return block;
}
void give_back(void* block) {
    if (block == nullptr) return;
    in_use -= malloc_usable_size(block) + kBlockHeader;
    std::free(block);
}

}  // namespace

void* operator new(std::size_t size) { return take(size); }
void* operator new[](std::size_t size) { return take(size); }
void operator delete(void* block) noexcept { give_back(block); }
void operator delete[](void* block) noexcept { give_back(block); }
void operator delete(void* block, std::size_t) noexcept { give_back(block); }
void operator delete[](void* block, std::size_t) noexcept { give_back(block); }

namespace cometspoke::bench {

std::size_t heap_in_use() { return in_use; }

}  // namespace cometspoke::bench
