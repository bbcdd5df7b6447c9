#include "libraries/membership/member_digest.hpp"

#include "libraries/core/digest.hpp"
#include "libraries/membership/member_directory.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>

namespace burdockstep {

namespace {

constexpr std::size_t members_per_bucket = 32;
constexpr std::size_t max_buckets = 1'024;
/// Makes the buckets independent of the other orders that hash the same names.
constexpr std::uint64_t bucket_hash_seed = 0x6275636b65740001;

std::uint64_t digest_of_state(member_view const& member)
{
    std::array<std::uint64_t, 4> const state{
        hash_of(member.listed.instance.get()), member.incarnation.get(),
        static_cast<std::uint64_t>(member.state), member.configuration.get() != 0 ? 1U : 0U};
    std::array<char, sizeof state> bytes{};
    std::memcpy(bytes.data(), state.data(), sizeof state);
    return hash_of({bytes.data(), bytes.size()});
}

} // namespace

std::uint16_t digest_bucket_count(std::size_t member_count)
{
    std::size_t const wanted = std::bit_ceil(member_count / members_per_bucket + 1);
    return static_cast<std::uint16_t>(std::min(wanted, max_buckets));
}

std::uint16_t digest_bucket(instance_name const& name, std::uint16_t bucket_count)
{
    return static_cast<std::uint16_t>(hash_of(name.get(), bucket_hash_seed) % bucket_count);
}

void member_digest_table::add(member_view const& member)
{
    if (member.incarnation.get() == 0)
        return;
    auto const bucket_count = static_cast<std::uint16_t>(digests_.size());
    digests_[digest_bucket(member.listed.instance, bucket_count)] ^= digest_of_state(member);
}

} // namespace burdockstep
