/// Which entry of a place tells the other places what the place's entries have under way.
#pragma once

#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/wire/messages.hpp"

#include <map>
#include <set>
#include <vector>

namespace burdockstep {

/// From this number of live entries in a region on, a relay of each place reports to other places.
/// With fewer, each entry reports to all others itself, which is faster by the relay's delay.
constexpr std::size_t min_region_entries_for_relays = 16;

/// Who reports to whom, as one entry sees it.
struct place_relay_plan
{
    bool uses_relays = false; ///< Entries report only to those of their own place.
    bool is_relay = false;    ///< This entry reports for its place.
    /// The other live entries of the own place, whose reports the relay sums.
    std::set<instance_name> place_entries;
};

/// Decides by the live entries. The relay is the running entry of the place with the largest share
/// of a core, and of equal ones the first by a hash, so that all entries choose the same one.
place_relay_plan plan_place_relay(instance_name const& self, place_name const& place,
                                  region_name const& region,
                                  std::vector<member_view> const& members);

/// Decides which reports of other places' relays are applied, and which reports of single entries
/// are dropped because a relay's sums already contain their counts.
class place_report_filter
{
public:
    /// Takes over where the other entries are.
    void update_members(std::vector<member_view> const& members, place_name const& own_place);
    /// Returns true if the sums are to be applied. Those of a relay other than the last one of the
    /// place must be complete, unless the last one is silent: while two entries both take
    /// themselves for the relay, the changes of one are no use without its other counts.
    bool accept_sums(wire::place_slot_report const& report, time_point now);
    /// Returns true unless a relay reports for the entry's place.
    bool accept_report(wire::slot_report const& report, time_point now) const;

private:
    struct known_relay
    {
        std::uint64_t incarnation = 0;
        time_point heard_at;
    };

    std::map<instance_name, place_name> places_; ///< Of the entries in other places.
    std::map<place_name, known_relay> relays_;
};

/// The name under which the counts of a place's relay are stored. No instance has such a name.
instance_name counts_name_of(place_name const& place);

} // namespace burdockstep
