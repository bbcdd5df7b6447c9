#include "libraries/discovery/entries_news.hpp"

#include "libraries/membership/listed_member_wire.hpp"

namespace burdockstep {

wire::entries_news make_entries_news(std::uint64_t after, std::uint64_t version,
                                     std::vector<listed_member> const& changed)
{
    wire::entries_news news{.after = after, .version = version, .entries = {}};
    for (listed_member const& each : changed) {
        if (news.entries.is_full()) {
            news.complete = false;
            break;
        }
        news.entries.add(to_wire(each));
    }
    return news;
}

std::vector<listed_member> entries_of(wire::entries_news const& news)
{
    std::vector<listed_member> entries;
    for (wire::listed_instance const& each : news.entries.get())
        entries.push_back(from_wire(each));
    return entries;
}

} // namespace burdockstep
