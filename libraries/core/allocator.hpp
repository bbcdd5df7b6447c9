/// Settings of the memory allocator.
#pragma once

namespace burdockstep {

/// Makes blocks of 128 KiB and more go back to the operating system when they are freed. Otherwise
/// this limit grows with the blocks, and the memory of large bodies stays with the process.
void return_freed_blocks();

} // namespace burdockstep
