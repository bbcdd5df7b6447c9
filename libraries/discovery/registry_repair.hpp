/// Repairs differences between what entries know of the registry.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/random.hpp"
#include "libraries/discovery/upstream_registry.hpp"
#include "libraries/wire/messages.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace burdockstep {

/// Returns the digest that registry updates carry.
std::uint64_t combined_digest(upstream_registry::bucket_digests const& digests);

/// What an entry sends back to one that has asked.
struct registry_repair_answer
{
    std::vector<wire::registry_records_message> records;
    std::optional<wire::registry_question> counter_question;
};

/// Limits of the repair.
struct registry_repair_options
{
    /// An entry asks at most once in this time.
    duration min_question_interval = std::chrono::milliseconds(400);
    /// Among more entries than this, each asks with a probability that makes this many questions an
    /// update.
    double questions_per_update = 64;
    /// An entry answers at most this many questions in a second.
    unsigned max_answers_per_s = 64;
};

/// Entries read different parts of the store's history: one that starts late never sees the newest
/// write of an upstream that has left, and can't tell an old write from a new one. Each registry
/// update has a digest of the upstreams that its sender knows as registered. An entry that differs
/// at the same position asks the sender, and both send each other their records of the buckets
/// that differ. Merging these makes them agree.
class registry_repair
{
public:
    explicit registry_repair(registry_repair_options options) : options_(options) {}

    /// Compares the digest of an update with the registry at the same position. Returns the
    /// question for the update's sender, if one is due.
    std::optional<wire::registry_question> compare(std::uint64_t told_digest,
                                                   upstream_registry const& registry,
                                                   std::size_t entries, random_source& random,
                                                   time_point now);
    /// Returns nothing to send when too many questions have come.
    registry_repair_answer answer(wire::registry_question const& question,
                                  upstream_registry const& registry, time_point now);

    /// Updates whose digest differed from that of the registry.
    std::uint64_t differences() const { return differences_; }
    std::uint64_t questions_answered() const { return questions_answered_; }

private:
    registry_repair_options options_;
    std::optional<time_point> last_question_at_;
    time_point answers_counted_since_;
    unsigned answers_counted_ = 0;
    std::uint64_t differences_ = 0;
    std::uint64_t questions_answered_ = 0;
};

} // namespace burdockstep
