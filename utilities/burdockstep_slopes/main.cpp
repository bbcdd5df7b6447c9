/// Prints the slopes that docs/CAPACITY.md works from: time, bytes and messages per item.
#include "libraries/configuration/deployment_reader.hpp"
#include "libraries/configuration/deployment_writer.hpp"
#include "libraries/configuration_sync/configuration_follower.hpp"
#include "libraries/core/random.hpp"
#include "libraries/lookup/client_block_table.hpp"
#include "libraries/lookup/lookup_table.hpp"
#include "libraries/membership/member_directory.hpp"
#include "libraries/membership/watch_ring.hpp"
#include "libraries/tickets/redeemed_ticket_table.hpp"
#include "libraries/wire/codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <malloc.h>
#include <map>
#include <queue>
#include <vector>

namespace {

using namespace burdockstep;

constexpr unsigned target_nodes = 5'200;
constexpr unsigned target_regions = 12;
constexpr unsigned target_places = 27;
constexpr unsigned target_sites = 700;

/// Keeps results alive, so that nothing measured is optimised away.
std::uint64_t sink = 0;

double microseconds_each(unsigned rounds, std::function<void()> const& work)
{
    auto const began = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < rounds; ++i)
        work();
    std::chrono::duration<double, std::micro> const took = std::chrono::steady_clock::now() - began;
    return took.count() / rounds;
}

std::size_t bytes_in_use()
{
    auto const info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void print(std::string const& what, double value, char const* unit)
{
    fmt::print("{:<58}{:>14.3f} {}\n", what, value, unit);
}

std::vector<listed_member> make_list(unsigned count)
{
    std::vector<listed_member> members;
    for (unsigned i = 0; i < count; ++i) {
        listed_member member;
        member.instance = instance_name(fmt::format("entry-{:05}", i));
        member.region = region_name(fmt::format("region-{}", i % target_regions));
        member.place = place_name(fmt::format("place-{}", i % target_places));
        member.peers = {.ip = 0x0a000000U + i, .port = 7003};
        member.callers = {.ip = 0x0a000000U + i, .port = 7001};
        members.push_back(std::move(member));
    }
    return members;
}

void measure_membership(unsigned count)
{
    time_point now{std::chrono::seconds(1)};
    auto const list = make_list(count);
    std::size_t const before = bytes_in_use();
    member_directory directory({}, list[0].instance, {.incarnation = incarnation_id(1)}, now);
    directory.apply_list(list, now);
    print(fmt::format("directory of {} nodes: bytes a node", count),
          static_cast<double>(bytes_in_use() - before) / count, "B");
    member_directory sender({}, list[1].instance, {.incarnation = incarnation_id(2)}, now);
    sender.apply_list(list, now);
    print(fmt::format("directory of {} nodes: heartbeats sent each interval", count),
          static_cast<double>(directory.heartbeat_targets().size()), "");
    print(fmt::format("directory of {} nodes: make a heartbeat", count),
          microseconds_each(2'000, [&] { sink += wire::encode(sender.make_heartbeat()).size(); }),
          "us");
    std::string const bytes = wire::encode(sender.make_heartbeat());
    print(fmt::format("directory of {} nodes: bytes of a heartbeat", count),
          static_cast<double>(bytes.size()), "B");
    print(fmt::format("directory of {} nodes: take a heartbeat", count),
          microseconds_each(
              2'000,
              [&] {
                  auto const message = wire::decode(wire::encode(sender.make_heartbeat()));
                  directory.handle_heartbeat(std::get<wire::heartbeat>(message.value()), now);
              }),
          "us (with making it)");
    print(fmt::format("directory of {} nodes: admit a datagram's sender", count),
          microseconds_each(20'000,
                            [&] { sink += directory.is_listed_peer(list.back().peers) ? 1 : 0; }),
          "us");
    print(fmt::format("directory of {} nodes: copy all members", count),
          microseconds_each(10, [&] { sink += directory.members().size(); }), "us");
    print(fmt::format("directory of {} nodes: find the targets", count),
          microseconds_each(200, [&] { sink += directory.heartbeat_targets().size(); }), "us");
    print(fmt::format("directory of {} nodes: look for the silent", count),
          microseconds_each(20,
                            [&] {
                                now += std::chrono::milliseconds(1);
                                directory.mark_silent_as_lost(now);
                            }),
          "us");
    print(fmt::format("directory of {} nodes: take the whole list", count),
          microseconds_each(5, [&] { directory.apply_list(list, now); }), "us");
}

deployment make_deployment(unsigned sites, unsigned services)
{
    deployment document;
    document.name = "target";
    for (unsigned i = 0; i < target_regions; ++i)
        document.regions.emplace_back(fmt::format("region-{}", i));
    for (unsigned i = 0; i < target_places; ++i)
        document.places.push_back({.name = place_name(fmt::format("place-{}", i)),
                                   .region = document.regions[i % target_regions],
                                   .load_cap = percent(100)});
    for (unsigned i = 0; i < services; ++i)
        document.services.push_back({.name = service_name(fmt::format("service-{}", i)),
                                     .work = service_class::short_work,
                                     .idempotent = true,
                                     .deadline = std::chrono::seconds(2),
                                     .shift_cap = percent(20),
                                     .shift_interval = std::chrono::seconds(1)});
    for (unsigned i = 0; i < sites; ++i)
        document.upstreams.push_back({.name = {},
                                      .service = document.services[i % services].name,
                                      .place = document.places[i % target_places].name,
                                      .at = {.ip = 0x0b000000U + i, .port = 80},
                                      .slots = slot_count(8)});
    std::sort(document.upstreams.begin(), document.upstreams.end(),
              [](upstream const& left, upstream const& right) {
                  return std::tie(left.service, left.place) < std::tie(right.service, right.place);
              });
    return document;
}

void measure_configuration(unsigned sites)
{
    std::string const text = write_deployment(make_deployment(sites, 4));
    print(fmt::format("document of {} sites: bytes a site", sites),
          static_cast<double>(text.size()) / sites, "B");
    std::size_t const before = bytes_in_use();
    auto const reading = read_deployment("target", text);
    if (!reading.document) {
        fmt::print("{}", findings_text(reading.findings));
        std::exit(EXIT_FAILURE);
    }
    print(fmt::format("document of {} sites: memory a site", sites),
          static_cast<double>(bytes_in_use() - before) / sites, "B");
    print(fmt::format("document of {} sites: read and check", sites),
          microseconds_each(
              20, [&] { sink += read_deployment("target", text).document->upstreams.size(); }),
          "us");
}

void measure_client_document(unsigned blocks)
{
    deployment document = make_deployment(target_sites, 4);
    document.client_groups.resize(target_regions);
    for (unsigned i = 0; i < target_regions; ++i)
        document.client_groups[i].region = document.regions[i];
    for (unsigned i = 0; i < blocks; ++i)
        document.client_groups[i % target_regions].blocks.push_back(
            fmt::format("{}.{}.{}.0/24", 10 + i / 65'536, i / 256 % 256, i % 256));
    std::string const text = write_deployment(document);
    print(fmt::format("document with {} client blocks: bytes", blocks),
          static_cast<double>(text.size()), "B");
    std::size_t const before = bytes_in_use();
    auto const reading = read_deployment("target", text);
    print(fmt::format("document with {} client blocks: memory a block", blocks),
          static_cast<double>(bytes_in_use() - before) / blocks, "B");
    print(
        fmt::format("document with {} client blocks: read and check", blocks),
        microseconds_each(
            3,
            [&] { sink += read_deployment("target", text).document->client_region_lookup.size(); }),
        "us");
}

void measure_lookups(unsigned nodes)
{
    deployment const document = make_deployment(target_sites, 4);
    std::vector<member_view> members;
    for (listed_member const& each : make_list(nodes)) {
        member_view view;
        view.listed = each;
        view.incarnation = incarnation_id(members.size() + 1);
        view.state = wire::member_state::serving;
        view.configuration = configuration_version(1);
        members.push_back(std::move(view));
    }
    lookup_table table;
    print(fmt::format("look-up table of {} nodes: rebuild", nodes),
          microseconds_each(3, [&] { table.rebuild(document, members); }), "us");
    print(
        fmt::format("look-up table of {} nodes: one look-up", nodes),
        microseconds_each(
            2'000,
            [&] { sink += table.entries(document.services[0].name, document.regions[3]).size(); }),
        "us");
}

void measure_blocks(unsigned count)
{
    std::vector<client_block> blocks;
    for (unsigned i = 0; i < count; ++i)
        blocks.push_back({.first = 0x0a000000U + i * 256,
                          .last = 0x0a000000U + i * 256 + 255,
                          .region = static_cast<std::uint16_t>(i % target_regions)});
    std::size_t const before = bytes_in_use();
    client_block_table const table(blocks);
    print(fmt::format("client blocks, {}: bytes a block", count),
          static_cast<double>(bytes_in_use() - before) / count, "B");
    random_source random(3);
    print(fmt::format("client blocks, {}: find one", count),
          microseconds_each(200'000,
                            [&] {
                                sink +=
                                    table
                                        .find(0x0a000000U + static_cast<std::uint32_t>(random.below(
                                                                std::uint64_t{count} * 256)))
                                        .value_or(0);
                            }),
          "us");
}

void measure_tickets()
{
    time_point const now{std::chrono::seconds(1)};
    random_source random(4);
    constexpr unsigned count = 100'000;
    std::size_t const before = bytes_in_use();
    redeemed_ticket_table ledger({}, now);
    digest const request = digest_of("request");
    print("ledger: spend a ticket",
          microseconds_each(count,
                            [&] {
                                ledger.redeem(
                                    generate_ticket(incarnation_id(1), epoch_number(1), random),
                                    request, now);
                            }),
          "us");
    print("ledger: bytes a spent ticket", static_cast<double>(bytes_in_use() - before) / count,
          "B");
}

/// Hops until a change told by one node has reached all, when each tells its watchers.
void measure_spread(unsigned count)
{
    time_point const now{std::chrono::seconds(1)};
    auto const list = make_list(count);
    watch_ring ring;
    std::vector<instance_name> names;
    names.reserve(list.size());
    for (listed_member const& each : list)
        names.push_back(each.instance);
    ring.rebuild(names);
    std::map<instance_name, unsigned> hops{{names[0], 0}};
    std::queue<instance_name> told({names[0]});
    unsigned farthest = 0;
    while (!told.empty()) {
        instance_name const next = told.front();
        told.pop();
        for (instance_name const& each :
             ring.watchers_of(next, membership_options{}.watchers_per_entry)) {
            if (!hops.try_emplace(each, hops[next] + 1).second)
                continue;
            farthest = std::max(farthest, hops[each]);
            told.push(each);
        }
    }
    print(fmt::format("spread over {} nodes: reached", count), static_cast<double>(hops.size()),
          "");
    print(fmt::format("spread over {} nodes: hops to the last", count), farthest, "");
    sink += static_cast<std::uint64_t>(now.time_since_epoch().count());
}

} // namespace

int main()
{
    for (unsigned const count : {9U, 500U, target_nodes})
        measure_membership(count);
    for (unsigned const sites : {48U, target_sites, 10 * target_sites})
        measure_configuration(sites);
    for (unsigned const blocks : {1'000U, 10'000U, 130'000U})
        measure_client_document(blocks);
    for (unsigned const nodes : {9U, 500U, target_nodes})
        measure_lookups(nodes);
    for (unsigned const blocks : {1'000U, 10'000U, 130'000U})
        measure_blocks(blocks);
    measure_tickets();
    for (unsigned const count : {100U, 1'000U, target_nodes})
        measure_spread(count);
    return sink == 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
