#include "libraries/configuration/gateway_settings.hpp"
#include "libraries/membership/entry_list.hpp"
#include "libraries/wire/codec.hpp"
#include "platform/operator_documents.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/listed_members.hpp"

#include <fmt/format.h>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr entry_capacity half_core{.core_thousandths = 500, .link_kbps = 200'000};

gateway_settings_parse_result settings_with(std::string const& limits)
{
    return read_gateway_settings("gateway", fmt::format(R"(
[instance]
name = "e0"
place = "armor-a"
region = "armor"
callers = "10.0.0.1:1"
readiness = "10.0.0.1:2"
lookups = "10.0.0.1:3"
metrics = "10.0.0.1:4"
peers = "10.0.0.1:5"
store = "10.0.0.1:6"
[limits]
{}
[places]
armor-a = "armor"
)",
                                                        limits));
}

entry_capacity capacity_in(std::string const& limits)
{
    auto const parsed = settings_with(limits);
    CHECK(parsed.settings.has_value());
    return parsed.settings ? parsed.settings->capacity : entry_capacity{};
}

entry_capacity capacity_in_record(std::string const& more)
{
    auto const record =
        platform::parse_entry_record(instance_name("e1"), R"({"place":"a","region":"r",)"
                                                          R"("callers":"10.0.0.1:1",)"
                                                          R"("peers":"10.0.0.1:2")" +
                                                              more + "}");
    CHECK(static_cast<bool>(record));
    return record ? record->capacity : half_core;
}

member_view view_of(listed_member const& listed)
{
    member_view view;
    view.listed = listed;
    return view;
}

} // namespace

TEST_GROUP(entry_capacity_told){};

TEST(entry_capacity_told, settings_give_the_share_of_a_core_and_the_link)
{
    CHECK(capacity_in("core_share = 0.5\nlink_mbps = 200.0") == half_core);
    CHECK(capacity_in("core_share = 1\nlink_mbps = 1000") ==
          (entry_capacity{.core_thousandths = 1'000, .link_kbps = 1'000'000}));
}

TEST(entry_capacity_told, settings_without_figures_leave_them_unknown)
{
    CHECK_FALSE(capacity_in("").is_known());
    CHECK_FALSE(capacity_in("core_share = 0\nlink_mbps = 0").is_known());
    CHECK(capacity_in("core_share = 0.5") == entry_capacity{.core_thousandths = 500});
}

TEST(entry_capacity_told, settings_out_of_range_are_findings)
{
    for (char const* each : {"core_share = -1", "core_share = 2000", "link_mbps = -0.5",
                             "link_mbps = 1e9", "core_share = nan", "link_mbps = \"fast\""})
        CHECK_FALSE(settings_with(each).findings.empty());
}

TEST(entry_capacity_told, record_in_the_store_carries_it)
{
    listed_member entry = sample_member(1);
    entry.place = place_name("armor-a");
    entry.callers = {.ip = 9, .port = 8};
    auto const without =
        platform::parse_entry_record(entry.instance, platform::serialize_entry_record(entry));
    CHECK(without && *without == entry);
    entry.capacity = half_core;
    auto const with =
        platform::parse_entry_record(entry.instance, platform::serialize_entry_record(entry));
    CHECK(with && *with == entry);
}

TEST(entry_capacity_told, record_with_nonsense_counts_as_unknown)
{
    for (char const* each : {"", R"(,"coreThousandths":0)", R"(,"coreThousandths":-5)",
                             R"(,"coreThousandths":99000000000000)", R"(,"coreThousandths":"500")",
                             R"(,"linkKbps":-1)", R"(,"linkKbps":1e30)", R"(,"linkKbps":[7])"})
        CHECK_FALSE(capacity_in_record(each).is_known());
    CHECK(capacity_in_record(R"(,"coreThousandths":500,"linkKbps":200000)") == half_core);
}

TEST(entry_capacity_told, peers_pass_it_on_after_the_records)
{
    std::vector<listed_member> changed = sample_members(3);
    CHECK_FALSE(make_entry_capacities(changed).has_value());
    changed[1].capacity = half_core;
    changed[2].capacity = half_core;
    changed[2].leaving = true;
    auto const message = make_entry_capacities(changed);
    CHECK(message.has_value());
    if (!message)
        return;
    LONGS_EQUAL(1, message->entries.get().size());
    std::vector<listed_member> const told =
        with_capacities(sample_members(2), *message, instance_name("e0"));
    CHECK_FALSE(told[0].capacity.is_known());
    CHECK(told[1].capacity == half_core);
}

TEST(entry_capacity_told, peers_change_neither_this_entry_nor_unlisted_ones)
{
    std::vector<listed_member> changed = sample_members(3);
    for (listed_member& each : changed)
        each.capacity = half_core;
    auto const message = make_entry_capacities(changed);
    CHECK(message &&
          with_capacities(sample_members(1), *message, instance_name("e0")) == sample_members(1));
}

TEST(entry_capacity_told, change_from_a_peer_keeps_the_known_capacity)
{
    listed_member known = sample_member(1);
    known.capacity = half_core;
    listed_member moved = sample_member(1);
    moved.callers = {.ip = 77, .port = 8};
    std::vector<listed_member> const merged =
        merge_entry_records({view_of(known)}, {moved}, entry_list_kind::changes);
    LONGS_EQUAL(1, merged.size());
    CHECK(merged[0].callers == moved.callers);
    CHECK(merged[0].capacity == half_core);
    // The store's whole list is the entry's own word.
    CHECK_FALSE(merge_entry_records({view_of(known)}, {moved}, entry_list_kind::whole_list)[0]
                    .capacity.is_known());
}

TEST(entry_capacity_told, largest_message_fits_in_a_datagram)
{
    std::vector<listed_member> entries = sample_members(12);
    for (listed_member& each : entries) {
        each.instance = instance_name(std::string(63, 'n'));
        each.capacity = half_core;
    }
    auto const message = make_entry_capacities(entries);
    CHECK(message && wire::encode(*message).size() <= wire::max_datagram_bytes);
}
