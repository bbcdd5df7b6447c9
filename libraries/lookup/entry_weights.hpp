/// How many of a place's callers each of its entries should get.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/entry_capacity.hpp"
#include "libraries/core/random.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace burdockstep {

/// An entry that may be named, and what its machine can carry.
struct entry_candidate
{
    address callers;
    entry_capacity capacity;
};

/// A caller whose only address fails must wait until its answer expires, so an answer has this many
/// addresses where there are as many entries, also when one entry could carry all the others' load.
constexpr std::size_t min_named_entries = 3;

/// Returns the weight of each entry, at least 1: the share of requests that it can carry, relative
/// to the others. It is limited by the processor or by the link, whichever is short. An entry of
/// unknown capacity gets the median weight of the others, which one wrong figure hardly moves.
std::vector<std::uint64_t> entry_weights(std::vector<entry_candidate> const& candidates);

/// Returns the addresses of at most `max_count` entries in random order. Callers choose evenly
/// among the addresses of an answer, so an entry is named in as many answers as its weight demands:
/// with entries of equal weight, all of them are named. Of uneven ones, the heaviest is named in
/// all answers and the others less often, but no answer has fewer than `min_named_entries`.
std::vector<address> choose_by_weight(std::vector<entry_candidate> candidates,
                                      std::size_t max_count, random_source& random);

} // namespace burdockstep
