#include "libraries/core/allocator.hpp"

#include <malloc.h>

namespace burdockstep {

namespace {

constexpr int min_returned_block_bytes = 128 * 1024;

} // namespace

void return_freed_blocks()
{
    mallopt(M_MMAP_THRESHOLD, min_returned_block_bytes);
}

} // namespace burdockstep
