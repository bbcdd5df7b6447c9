/// Chooses the one entry that sends requests to a cold upstream.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/dispatch/reported_slot_usage.hpp"

#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace burdockstep {

/// Parameters of the choice.
struct cold_sender_options
{
    /// Time within which the entries' views of who lives come to agree. An entry sends nothing to
    /// cold upstreams for this time after its own start, and an entry that has gone still takes
    /// part in the choice for this time. Zero: views are taken to agree at all times.
    duration view_settle_time{};
    /// Entries that this one can't reach may still live, and then send as well. For this time after
    /// they have gone their part of the rate is left to them.
    duration unreachable_retention = std::chrono::seconds(30);
};

/// The entry with the highest rendezvous hash of those in the upstream's region sends, or of all
/// entries if that region has none. Each entry chooses for itself from the entries that it knows,
/// so the choice follows a change only when the others know of the change too.
class cold_sender_choice
{
public:
    cold_sender_choice(cold_sender_options const& options, instance_name own)
        : options_(options), own_(std::move(own))
    {}

    /// Takes the live entries, including this one.
    void update(std::map<instance_name, region_name> const& entries, time_point now);

    /// True if this entry sends to the upstream, as far as it knows.
    bool is_sender(upstream_key upstream, region_name const& upstream_region, time_point now);
    /// The part of a cold upstream's rate that the sender may use.
    double share(time_point now);

private:
    struct gone_entry
    {
        region_name region;
        time_point gone_at;
    };

    instance_name const* choose(upstream_key upstream, region_name const& upstream_region,
                                time_point now) const;

    cold_sender_options options_;
    instance_name own_;
    std::optional<time_point> started_at_;
    std::map<instance_name, region_name> entries_;
    std::map<instance_name, gone_entry> gone_;
    /// Whether this entry is the sender, until the entries change or one of those that have gone
    /// no longer takes part in the choice.
    std::unordered_map<upstream_key, bool> chosen_;
    time_point chosen_until_ = time_point::max();
};

} // namespace burdockstep
