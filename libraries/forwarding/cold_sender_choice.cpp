#include "libraries/forwarding/cold_sender_choice.hpp"

#include "libraries/core/digest.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

/// The best candidate so far.
struct best_candidate
{
    instance_name const* name = nullptr;
    std::uint64_t hash = 0;
    bool regional = false;

    void consider(instance_name const& other, std::uint64_t other_hash, bool other_regional)
    {
        bool const better = name == nullptr || (other_regional && !regional) ||
                            (other_regional == regional && other_hash > hash);
        if (!better)
            return;
        name = &other;
        hash = other_hash;
        regional = other_regional;
    }
};

} // namespace

void cold_sender_choice::update(std::map<instance_name, region_name> const& entries, time_point now)
{
    if (!started_at_)
        started_at_ = now;
    for (auto const& [name, region] : entries_) {
        if (!entries.contains(name))
            gone_.insert_or_assign(name, gone_entry{.region = region, .gone_at = now});
    }
    entries_ = entries;
    std::erase_if(gone_, [&](auto const& each) { return entries_.contains(each.first); });
    chosen_.clear();
    chosen_until_ = time_point::max();
}

instance_name const* cold_sender_choice::choose(upstream_key upstream,
                                                region_name const& upstream_region,
                                                time_point now) const
{
    best_candidate best;
    for (auto const& [name, region] : entries_)
        best.consider(name, hash_of(name.get(), upstream.get()), region == upstream_region);
    for (auto const& [name, gone] : gone_) {
        if (now - gone.gone_at < options_.view_settle_time)
            best.consider(name, hash_of(name.get(), upstream.get()),
                          gone.region == upstream_region);
    }
    return best.name;
}

bool cold_sender_choice::is_sender(upstream_key upstream, region_name const& upstream_region,
                                   time_point now)
{
    if (started_at_ && now - *started_at_ < options_.view_settle_time)
        return false;
    if (now >= chosen_until_) {
        chosen_.clear();
        chosen_until_ = time_point::max();
    }
    if (auto const found = chosen_.find(upstream); found != chosen_.end())
        return found->second;
    instance_name const* const sender = choose(upstream, upstream_region, now);
    bool const is_own = sender == nullptr || *sender == own_;
    chosen_.emplace(upstream, is_own);
    for (auto const& [name, gone] : gone_) {
        time_point const loses_place_at = gone.gone_at + options_.view_settle_time;
        if (loses_place_at > now)
            chosen_until_ = std::min(chosen_until_, loses_place_at);
    }
    return is_own;
}

double cold_sender_choice::share(time_point now)
{
    std::erase_if(gone_, [&](auto const& each) {
        return now - each.second.gone_at >= options_.unreachable_retention;
    });
    auto const live = static_cast<double>(std::max<std::size_t>(entries_.size(), 1));
    return live / (live + static_cast<double>(gone_.size()));
}

} // namespace burdockstep
