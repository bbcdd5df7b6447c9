/// Digests of what an entry knows of the members, by which two entries notice where they differ.
#pragma once

#include "libraries/core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace burdockstep {

struct member_view;

/// Number of buckets into which this many members are divided, so that the records of one bucket
/// fit in a few datagrams.
std::uint16_t digest_bucket_count(std::size_t member_count);

/// The bucket of a member. All entries compute the same one.
std::uint16_t digest_bucket(instance_name const& name, std::uint16_t bucket_count);

/// One digest per bucket, over the run, the state and the readiness of each member that was heard.
/// Heartbeat numbers and configuration versions, which change all the time, are left out.
class member_digest_table
{
public:
    explicit member_digest_table(std::uint16_t bucket_count) : digests_(bucket_count) {}

    void add(member_view const& member);
    std::uint64_t digest(std::uint16_t bucket) const { return digests_[bucket]; }

private:
    std::vector<std::uint64_t> digests_;
};

} // namespace burdockstep
