#include "libraries/lookup/entry_weights.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <optional>

namespace burdockstep {

namespace {

/// Bandwidth that one core needs when it passes on requests and answers of some kilobytes each.
constexpr std::uint64_t link_kbps_per_core = 50'000;
constexpr std::uint64_t thousandths_per_core = 1'000;

/// Thousandths of a core that the entry can make use of; nothing if it told no capacity.
std::optional<std::uint64_t> usable_core(entry_capacity const& capacity)
{
    if (!capacity.is_known())
        return std::nullopt;
    std::uint64_t usable = std::numeric_limits<std::uint64_t>::max();
    if (capacity.core_thousandths != 0)
        usable = std::min(capacity.core_thousandths, max_core_thousandths);
    if (capacity.link_kbps != 0) {
        std::uint64_t const link = std::min(capacity.link_kbps, max_link_kbps);
        usable = std::min(usable, link * thousandths_per_core / link_kbps_per_core);
    }
    return std::max<std::uint64_t>(usable, 1);
}

std::uint64_t median(std::vector<std::uint64_t> values)
{
    auto const middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// How the entries of one answer are drawn.
struct naming_plan
{
    std::uint64_t always_named_from = 0; ///< Entries of this weight and more are in each answer.
    std::size_t drawn = 0;               ///< Number of the others that are in each answer.
    std::uint64_t drawn_weight = 0;      ///< Sum of the weights of those others.
};

std::size_t named_count(std::uint64_t total, std::uint64_t heaviest, std::size_t candidates,
                        std::size_t max_count)
{
    // With this many addresses, the heaviest entry's share of an answer is its share of the weight.
    auto const proportional = static_cast<std::size_t>(total / heaviest);
    return std::min({std::max(proportional, min_named_entries), candidates, max_count});
}

naming_plan plan_naming(std::vector<std::uint64_t> weights, std::size_t max_count)
{
    std::sort(weights.begin(), weights.end(), std::greater<>());
    naming_plan plan{.always_named_from = std::numeric_limits<std::uint64_t>::max()};
    plan.drawn_weight = std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
    plan.drawn = named_count(plan.drawn_weight, weights.front(), weights.size(), max_count);
    for (std::uint64_t const each : weights) {
        if (plan.drawn == 0 || each * plan.drawn < plan.drawn_weight)
            break;
        plan.always_named_from = each;
        plan.drawn_weight -= each;
        --plan.drawn;
    }
    return plan;
}

} // namespace

std::vector<std::uint64_t> entry_weights(std::vector<entry_candidate> const& candidates)
{
    std::vector<std::uint64_t> known;
    for (entry_candidate const& each : candidates) {
        if (auto const usable = usable_core(each.capacity))
            known.push_back(*usable);
    }
    std::uint64_t const unknown_weight = known.empty() ? 1 : median(std::move(known));
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    for (entry_candidate const& each : candidates)
        weights.push_back(usable_core(each.capacity).value_or(unknown_weight));
    return weights;
}

std::vector<address> choose_by_weight(std::vector<entry_candidate> candidates,
                                      std::size_t max_count, random_source& random)
{
    std::vector<address> chosen;
    if (candidates.empty() || max_count == 0)
        return chosen;
    std::shuffle(candidates.begin(), candidates.end(), random);
    std::vector<std::uint64_t> const weights = entry_weights(candidates);
    naming_plan const plan = plan_naming(weights, max_count);
    // Systematic sampling: marks at equal distances, from a random start, lie in the weights laid
    // end to end. It names exactly `drawn` entries, each in proportion to its weight.
    double const step =
        plan.drawn == 0 ? 0
                        : static_cast<double>(plan.drawn_weight) / static_cast<double>(plan.drawn);
    double next_mark = plan.drawn == 0 ? 0 : random.uniform_fraction() * step;
    std::size_t left_to_draw = plan.drawn;
    double end_of_weight = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (weights[index] >= plan.always_named_from) {
            chosen.push_back(candidates[index].callers);
            continue;
        }
        end_of_weight += static_cast<double>(weights[index]);
        if (left_to_draw == 0 || end_of_weight <= next_mark)
            continue;
        chosen.push_back(candidates[index].callers);
        next_mark += step;
        --left_to_draw;
    }
    return chosen;
}

} // namespace burdockstep
