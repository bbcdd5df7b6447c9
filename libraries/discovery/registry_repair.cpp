#include "libraries/discovery/registry_repair.hpp"

#include "libraries/discovery/registry_update.hpp"

#include <set>

namespace burdockstep {

namespace {

/// Multiplier of the 64-bit FNV-1 hash.
constexpr std::uint64_t fnv_prime = 0x100000001b3;

wire::registry_question make_question(upstream_registry::bucket_digests const& digests)
{
    wire::registry_question question;
    for (std::uint32_t const each : digests)
        question.digests.add(each);
    return question;
}

std::set<std::size_t> differing_buckets(wire::registry_question const& question,
                                        upstream_registry::bucket_digests const& own)
{
    std::set<std::size_t> buckets;
    for (std::size_t i = 0; i < own.size(); ++i) {
        if (question.digests.get()[i] != own.at(i))
            buckets.insert(i);
    }
    return buckets;
}

} // namespace

std::uint64_t combined_digest(upstream_registry::bucket_digests const& digests)
{
    std::uint64_t combined = 0;
    for (std::uint32_t const each : digests)
        combined = combined * fnv_prime + each;
    return combined;
}

std::optional<wire::registry_question>
registry_repair::compare(std::uint64_t told_digest, upstream_registry const& registry,
                         std::size_t entries, random_source& random, time_point now)
{
    upstream_registry::bucket_digests const own = registry.registered_digests();
    if (combined_digest(own) == told_digest)
        return std::nullopt;
    ++differences_;
    if (last_question_at_ && now - *last_question_at_ < options_.min_question_interval)
        return std::nullopt;
    double const expected_questions = static_cast<double>(entries);
    if (random.uniform_fraction() * expected_questions > options_.questions_per_update)
        return std::nullopt;
    last_question_at_ = now;
    return make_question(own);
}

registry_repair_answer registry_repair::answer(wire::registry_question const& question,
                                               upstream_registry const& registry, time_point now)
{
    upstream_registry::bucket_digests const own = registry.registered_digests();
    if (question.digests.get().size() != own.size())
        return {};
    if (now - answers_counted_since_ >= std::chrono::seconds(1)) {
        answers_counted_since_ = now;
        answers_counted_ = 0;
    }
    if (answers_counted_ == options_.max_answers_per_s)
        return {};
    std::set<std::size_t> const buckets = differing_buckets(question, own);
    if (buckets.empty())
        return {};
    ++answers_counted_;
    ++questions_answered_;
    registry_repair_answer answer{.records = make_registry_records_messages(
                                      registry.records_of(registry.names_in(buckets), now)),
                                  .counter_question = {}};
    if (!question.is_counter_question) {
        answer.counter_question = make_question(own);
        answer.counter_question->is_counter_question = true;
    }
    return answer;
}

} // namespace burdockstep
