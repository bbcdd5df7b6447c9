#include "libraries/dispatch/transfer_size.hpp"

#include "tests/fakes/forwarding_harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(transfer_size){};

TEST(transfer_size, mean_follows_what_is_moved)
{
    transfer_size size;
    DOUBLES_EQUAL(0, size.mean_bytes(), 0);
    for (int i = 0; i < 400; ++i)
        size.add(9'000);
    DOUBLES_EQUAL(9'000, size.mean_bytes(), 10);
    size.add(10'000'000);
    CHECK(size.mean_bytes() < 250'000);
    for (int i = 0; i < 800; ++i)
        size.add(500);
    DOUBLES_EQUAL(500, size.mean_bytes(), 10);
}

TEST(transfer_size, cost_grows_with_the_bytes_from_none_to_a_bound)
{
    DOUBLES_EQUAL(0, other_place_transfer_cost_ms(0), 0);
    DOUBLES_EQUAL(0, other_place_transfer_cost_ms(400), 0);
    CHECK(other_place_transfer_cost_ms(9'000) > other_place_transfer_cost_ms(5'000));
    CHECK(other_place_transfer_cost_ms(1e12) < 1'000);
}

/// A region of two places, with as many upstreams in each, and requests on ever new objects.
TEST_GROUP_BASE(transfer_cost, forwarding_harness)
{
    static constexpr unsigned upstreams_per_place = 10;
    std::uint64_t next_object = 0;

    void start_region(unsigned entries, unsigned slots)
    {
        start(0);
        std::map<instance_name, region_name> names{{instance_name("e"), region_name("r")}};
        for (unsigned i = 1; i < entries; ++i)
            names.emplace("f" + std::to_string(i), region_name("r"));
        engine->update_entries(names);
        auto upstreams = sample_upstreams(2 * upstreams_per_place);
        unsigned number = 0;
        for (auto& [name, known] : upstreams) {
            known.registration.slots = slot_count(slots);
            known.registration.place = place_name(++number % 2 == 0 ? "p" : "q");
        }
        engine->update_upstreams(upstreams, now);
        advance_time(ms(400));
    }
    /// Sends and answers this many requests one by one. Returns how many went to the other place.
    unsigned sent_to_other_place(unsigned requests, std::size_t body_bytes)
    {
        auto const upstreams = sample_upstreams(2 * upstreams_per_place);
        unsigned elsewhere = 0;
        for (unsigned i = 0; i < requests; ++i) {
            request_arrival request = make_request("/read/x");
            request.object = 1'000'003 * ++next_object;
            auto const commands = engine->submit(request, now);
            auto const* const sent = find_command<send_request>(commands);
            CHECK(sent != nullptr);
            if (sent == nullptr)
                return requests;
            unsigned position = 0;
            for (auto const& [name, known] : upstreams) {
                ++position;
                elsewhere += name == sent->upstream && position % 2 != 0 ? 1 : 0;
            }
            now += ms(5);
            engine->handle_send_end(
                request.id,
                {.result = send_result::answered, .status = 200, .body_bytes = body_bytes}, now);
        }
        return elsewhere;
    }
};

TEST(transfer_cost, large_bodies_stay_in_their_place_while_slots_are_free)
{
    start_region(16, 9);
    unsigned const small = sent_to_other_place(400, 400);
    sent_to_other_place(400, 12'000);
    unsigned const large = sent_to_other_place(400, 12'000);
    CHECK(small > 100);
    CHECK(large < small / 2);
}

TEST(transfer_cost, bytes_are_counted_by_distance)
{
    start_region(16, 9);
    unsigned const elsewhere = sent_to_other_place(100, 1'000);
    auto const& bytes = engine->counters().body_bytes;
    LONGS_EQUAL(elsewhere * 1'000,
                bytes[static_cast<std::size_t>(upstream_proximity::same_region)]);
    LONGS_EQUAL((100 - elsewhere) * 1'000,
                bytes[static_cast<std::size_t>(upstream_proximity::same_place)]);
    LONGS_EQUAL(0, bytes[static_cast<std::size_t>(upstream_proximity::other_region)]);
}

TEST(transfer_cost, small_regions_place_large_bodies_as_before)
{
    start_region(15, 9);
    sent_to_other_place(400, 12'000);
    CHECK(sent_to_other_place(400, 12'000) > 100);
}

TEST(transfer_cost, places_help_each_other_out_while_slots_are_scarce)
{
    start_region(16, 2);
    sent_to_other_place(600, 12'000);
    // Half of the region's slots are taken by other entries, the same number of each upstream.
    wire::slot_report report{.instance = wire::name_text("f1"),
                             .incarnation = 1,
                             .number = 1,
                             .is_full_report = true,
                             .counts = {}};
    for (auto const& [name, known] : sample_upstreams(2 * upstreams_per_place))
        report.counts.add({.upstream = key_of(name).get(), .under_way = 1});
    engine->handle_slot_report(report, now);
    unsigned elsewhere = 0;
    for (int i = 0; i < 40; ++i) {
        request_arrival request = make_request("/read/x");
        request.object = 1'000'003 * ++next_object;
        auto commands = engine->submit(request, now);
        auto const later = advance_time(ms(5));
        commands.insert(commands.end(), later.begin(), later.end());
        auto const* const sent = find_command<send_request>(commands);
        if (sent == nullptr)
            continue;
        unsigned position = 0;
        for (auto const& [name, known] : sample_upstreams(2 * upstreams_per_place)) {
            ++position;
            elsewhere += name == sent->upstream && position % 2 != 0 ? 1 : 0;
        }
        engine->handle_send_end(
            request.id, {.result = send_result::answered, .status = 200, .body_bytes = 12'000},
            now);
    }
    CHECK(elsewhere >= 8);
}
