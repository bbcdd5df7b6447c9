/// Prints the unit costs (time, bytes and messages per item) that docs/CAPACITY.md extrapolates
/// from.
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

constexpr unsigned target_instances = 5'200;
constexpr unsigned target_regions = 12;
constexpr unsigned target_places = 27;
constexpr unsigned target_upstreams = 700;

/// Sum of all measured results; `main` reads it, so that the compiler cannot remove the work.
std::uint64_t result_sink = 0;

double average_microseconds(unsigned iterations, std::function<void()> const& operation)
{
    auto const start_time = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < iterations; ++i)
        operation();
    std::chrono::duration<double, std::micro> const elapsed =
        std::chrono::steady_clock::now() - start_time;
    return elapsed.count() / iterations;
}

std::size_t heap_bytes_in_use()
{
    auto const heap_info = mallinfo2();
    return heap_info.uordblks + heap_info.hblkhd;
}

void print_figure(std::string const& figure_name, double value, char const* unit)
{
    fmt::print("{:<58}{:>14.3f} {}\n", figure_name, value, unit);
}

std::vector<listed_member> make_instance_list(unsigned count)
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
    auto const instance_list = make_instance_list(count);
    std::size_t const heap_bytes_before = heap_bytes_in_use();
    member_directory directory({}, instance_list[0].instance, {.incarnation = incarnation_id(1)},
                               now);
    directory.apply_list(instance_list, now);
    print_figure(fmt::format("directory of {} nodes: bytes a node", count),
                 static_cast<double>(heap_bytes_in_use() - heap_bytes_before) / count, "B");
    member_directory sender({}, instance_list[1].instance, {.incarnation = incarnation_id(2)}, now);
    sender.apply_list(instance_list, now);
    print_figure(fmt::format("directory of {} nodes: heartbeats sent each interval", count),
                 static_cast<double>(directory.heartbeat_targets().size()), "");
    print_figure(fmt::format("directory of {} nodes: make a heartbeat", count),
                 average_microseconds(
                     2'000, [&] { result_sink += wire::encode(sender.make_heartbeat()).size(); }),
                 "us");
    std::string const encoded_heartbeat = wire::encode(sender.make_heartbeat());
    print_figure(fmt::format("directory of {} nodes: bytes of a heartbeat", count),
                 static_cast<double>(encoded_heartbeat.size()), "B");
    print_figure(fmt::format("directory of {} nodes: take a heartbeat", count),
                 average_microseconds(2'000,
                                      [&] {
                                          auto const message =
                                              wire::decode(wire::encode(sender.make_heartbeat()));
                                          directory.handle_heartbeat(
                                              std::get<wire::heartbeat>(message.value()), now);
                                      }),
                 "us (with making it)");
    print_figure(
        fmt::format("directory of {} nodes: admit a datagram's sender", count),
        average_microseconds(
            20'000,
            [&] { result_sink += directory.is_listed_peer(instance_list.back().peers) ? 1 : 0; }),
        "us");
    print_figure(fmt::format("directory of {} nodes: copy all members", count),
                 average_microseconds(10, [&] { result_sink += directory.members().size(); }),
                 "us");
    print_figure(
        fmt::format("directory of {} nodes: find the targets", count),
        average_microseconds(200, [&] { result_sink += directory.heartbeat_targets().size(); }),
        "us");
    print_figure(fmt::format("directory of {} nodes: look for the silent", count),
                 average_microseconds(20,
                                      [&] {
                                          now += std::chrono::milliseconds(1);
                                          directory.mark_silent_as_lost(now);
                                      }),
                 "us");
    print_figure(fmt::format("directory of {} nodes: take the whole list", count),
                 average_microseconds(5, [&] { directory.apply_list(instance_list, now); }), "us");
}

deployment make_deployment(unsigned upstream_count, unsigned services)
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
    for (unsigned i = 0; i < upstream_count; ++i)
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

void measure_configuration(unsigned upstream_count)
{
    std::string const text = write_deployment(make_deployment(upstream_count, 4));
    print_figure(fmt::format("document of {} sites: bytes a site", upstream_count),
                 static_cast<double>(text.size()) / upstream_count, "B");
    std::size_t const heap_bytes_before = heap_bytes_in_use();
    auto const parse_result = read_deployment("target", text);
    if (!parse_result.document) {
        fmt::print("{}", findings_text(parse_result.findings));
        std::exit(EXIT_FAILURE);
    }
    print_figure(fmt::format("document of {} sites: memory a site", upstream_count),
                 static_cast<double>(heap_bytes_in_use() - heap_bytes_before) / upstream_count,
                 "B");
    print_figure(
        fmt::format("document of {} sites: read and check", upstream_count),
        average_microseconds(
            20, [&] { result_sink += read_deployment("target", text).document->upstreams.size(); }),
        "us");
}

void measure_client_block_document(unsigned blocks)
{
    deployment document = make_deployment(target_upstreams, 4);
    document.client_groups.resize(target_regions);
    for (unsigned i = 0; i < target_regions; ++i)
        document.client_groups[i].region = document.regions[i];
    for (unsigned i = 0; i < blocks; ++i)
        document.client_groups[i % target_regions].blocks.push_back(
            fmt::format("{}.{}.{}.0/24", 10 + i / 65'536, i / 256 % 256, i % 256));
    std::string const text = write_deployment(document);
    print_figure(fmt::format("document with {} client blocks: bytes", blocks),
                 static_cast<double>(text.size()), "B");
    std::size_t const heap_bytes_before = heap_bytes_in_use();
    auto const parse_result = read_deployment("target", text);
    print_figure(fmt::format("document with {} client blocks: memory a block", blocks),
                 static_cast<double>(heap_bytes_in_use() - heap_bytes_before) / blocks, "B");
    print_figure(fmt::format("document with {} client blocks: read and check", blocks),
                 average_microseconds(
                     3,
                     [&] {
                         result_sink +=
                             read_deployment("target", text).document->client_region_lookup.size();
                     }),
                 "us");
}

void measure_lookups(unsigned instance_count)
{
    deployment const document = make_deployment(target_upstreams, 4);
    std::vector<member_view> members;
    for (listed_member const& each : make_instance_list(instance_count)) {
        member_view view;
        view.listed = each;
        view.incarnation = incarnation_id(members.size() + 1);
        view.state = wire::member_state::serving;
        view.configuration = configuration_version(1);
        members.push_back(std::move(view));
    }
    lookup_table table;
    print_figure(fmt::format("look-up table of {} nodes: rebuild", instance_count),
                 average_microseconds(3, [&] { table.rebuild(document, members); }), "us");
    print_figure(fmt::format("look-up table of {} nodes: one look-up", instance_count),
                 average_microseconds(
                     2'000,
                     [&] {
                         result_sink +=
                             table.entries(document.services[0].name, document.regions[3]).size();
                     }),
                 "us");
}

void measure_client_blocks(unsigned count)
{
    std::vector<client_block> blocks;
    for (unsigned i = 0; i < count; ++i)
        blocks.push_back({.first = 0x0a000000U + i * 256,
                          .last = 0x0a000000U + i * 256 + 255,
                          .region = static_cast<std::uint16_t>(i % target_regions)});
    std::size_t const heap_bytes_before = heap_bytes_in_use();
    client_block_table const table(blocks);
    print_figure(fmt::format("client blocks, {}: bytes a block", count),
                 static_cast<double>(heap_bytes_in_use() - heap_bytes_before) / count, "B");
    random_source random(3);
    print_figure(fmt::format("client blocks, {}: find one", count),
                 average_microseconds(200'000,
                                      [&] {
                                          result_sink +=
                                              table
                                                  .find(0x0a000000U +
                                                        static_cast<std::uint32_t>(random.below(
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
    std::size_t const heap_bytes_before = heap_bytes_in_use();
    redeemed_ticket_table ledger({}, now);
    digest const request = digest_of("request");
    print_figure("ledger: spend a ticket",
                 average_microseconds(count,
                                      [&] {
                                          ledger.redeem(generate_ticket(incarnation_id(1),
                                                                        epoch_number(1), random),
                                                        request, now);
                                      }),
                 "us");
    print_figure("ledger: bytes a spent ticket",
                 static_cast<double>(heap_bytes_in_use() - heap_bytes_before) / count, "B");
}

/// Prints how many instances a change reaches, and in how many hops, when it starts at one instance
/// and each instance forwards it to its watchers.
void measure_change_propagation(unsigned count)
{
    time_point const now{std::chrono::seconds(1)};
    auto const instance_list = make_instance_list(count);
    watch_ring ring;
    std::vector<instance_name> instance_names;
    instance_names.reserve(instance_list.size());
    for (listed_member const& each : instance_list)
        instance_names.push_back(each.instance);
    ring.rebuild(instance_names);
    std::map<instance_name, unsigned> hops_by_instance{{instance_names[0], 0}};
    std::queue<instance_name> frontier({instance_names[0]});
    unsigned max_hops = 0;
    while (!frontier.empty()) {
        instance_name const current_instance = frontier.front();
        frontier.pop();
        for (instance_name const& each :
             ring.watchers_of(current_instance, membership_options{}.watchers_per_entry)) {
            if (!hops_by_instance.try_emplace(each, hops_by_instance[current_instance] + 1).second)
                continue;
            max_hops = std::max(max_hops, hops_by_instance[each]);
            frontier.push(each);
        }
    }
    print_figure(fmt::format("spread over {} nodes: reached", count),
                 static_cast<double>(hops_by_instance.size()), "");
    print_figure(fmt::format("spread over {} nodes: hops to the last", count), max_hops, "");
    result_sink += static_cast<std::uint64_t>(now.time_since_epoch().count());
}

} // namespace

int main()
{
    for (unsigned const count : {9U, 500U, target_instances})
        measure_membership(count);
    for (unsigned const upstream_count : {48U, target_upstreams, 10 * target_upstreams})
        measure_configuration(upstream_count);
    for (unsigned const blocks : {1'000U, 10'000U, 130'000U})
        measure_client_block_document(blocks);
    for (unsigned const instance_count : {9U, 500U, target_instances})
        measure_lookups(instance_count);
    for (unsigned const blocks : {1'000U, 10'000U, 130'000U})
        measure_client_blocks(blocks);
    measure_tickets();
    for (unsigned const count : {100U, 1'000U, target_instances})
        measure_change_propagation(count);
    return result_sink == 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}
