#include "services/burdockstep_gateway/peers/datagram_counters.hpp"

#include <fmt/format.h>

#include <iterator>

namespace burdockstep::gateway {

namespace {

/// Names of the alternatives of `wire::message`, in their order.
constexpr std::array<char const*, std::variant_size_v<wire::message>> message_names{
    "heartbeat",           "pool_report",      "state_request",     "state_answer",
    "slot_report",         "registry_update",  "entries_update",    "member_records",
    "directives_question", "directives_proof", "entry_capacities",  "place_slot_report",
    "quota_questions",     "quota_grants",     "registry_question", "registry_records"};

} // namespace

void datagram_counters::write_table(char const* direction, table const& counters, std::string& out)
{
    for (std::size_t kind = 0; kind < counters.size(); ++kind) {
        for (std::size_t distance = 0; distance < peer_distance_count; ++distance) {
            counter const& each = counters[kind][distance];
            if (each.datagrams == 0)
                continue;
            std::string const labels = fmt::format("{{kind=\"{}\",to=\"{}\"}}", message_names[kind],
                                                   name_of(static_cast<peer_distance>(distance)));
            fmt::format_to(std::back_inserter(out), "burdockstep_datagrams_{}_total{} {}\n",
                           direction, labels, each.datagrams);
            fmt::format_to(std::back_inserter(out), "burdockstep_datagram_bytes_{}_total{} {}\n",
                           direction, labels, each.bytes);
        }
    }
}

void datagram_counters::write_metrics(std::string& out) const
{
    write_table("sent", sent_, out);
    write_table("received", received_, out);
}

} // namespace burdockstep::gateway
