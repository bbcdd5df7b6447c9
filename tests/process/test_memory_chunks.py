"""Many bodies in chunks, very small or as large as the limit, stop just short of their end."""
import sys

from memory_site import BYTES_PER_MB, MAX_BODY_BYTES, chunked_bodies, run


async def check_chunks_of_one_byte(site):
    await site.check_crowd(chunked_bodies(64, 1, 2 * BYTES_PER_MB))


async def check_large_chunks(site):
    await site.check_crowd(chunked_bodies(48, MAX_BODY_BYTES // 2, MAX_BODY_BYTES))


if __name__ == "__main__":
    run(check_chunks_of_one_byte, sys.argv[1])
    run(check_large_chunks, sys.argv[1])
