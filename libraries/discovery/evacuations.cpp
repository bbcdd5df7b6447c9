#include "libraries/discovery/evacuations.hpp"

#include <utility>

namespace burdockstep {

void evacuations::apply_all(std::vector<place_name> const& evacuated, store_era era, time_point now)
{
    std::set<place_name> const previous =
        std::exchange(confirmed_, std::set<place_name>(evacuated.begin(), evacuated.end()));
    if (era > era_) {
        for (place_name const& each : previous)
            unconfirmed_.try_emplace(each);
        restart_grace(now);
    }
    era_ = era;
    for (place_name const& each : confirmed_)
        unconfirmed_.erase(each);
    expire(now);
}

void evacuations::restart_grace(time_point now)
{
    for (auto& [place, lifted_at] : unconfirmed_)
        lifted_at = now + rewrite_grace;
}

void evacuations::apply_changes(std::vector<place_name> const& evacuated,
                                std::vector<place_name> const& lifted)
{
    confirmed_.insert(evacuated.begin(), evacuated.end());
    for (place_name const& each : evacuated)
        unconfirmed_.erase(each);
    for (place_name const& each : lifted) {
        confirmed_.erase(each);
        unconfirmed_.erase(each);
    }
}

void evacuations::expire(time_point now)
{
    std::erase_if(unconfirmed_, [&](auto const& item) { return now >= item.second; });
}

std::set<place_name> evacuations::places() const
{
    std::set<place_name> all = confirmed_;
    for (auto const& [place, lifted_at] : unconfirmed_)
        all.insert(place);
    return all;
}

} // namespace burdockstep
