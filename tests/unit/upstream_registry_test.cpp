#include "libraries/discovery/upstream_registry.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/routing_samples.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

registration_change present(unsigned number, std::int64_t heartbeat = 1,
                            upstream_state state = upstream_state::ready)
{
    upstream_registration registration = sample_upstream(number).registration;
    registration.heartbeat = heartbeat;
    registration.state = state;
    return {.name = registration.name, .registration = registration};
}

registration_change absent(unsigned number)
{
    return {.name = sample_upstream(number).registration.name, .registration = {}};
}

} // namespace

TEST_GROUP(upstream_registry)
{
    time_point now = start_time();
    upstream_registry registry{{}, {{place_name("p"), region_name("r")}}};

    bool usable(unsigned number) const
    {
        auto const found = registry.upstreams().find(sample_upstream(number).registration.name);
        return found != registry.upstreams().end() && found->second.is_usable();
    }

    void fill(unsigned count)
    {
        std::vector<registration_change> all;
        for (unsigned i = 1; i <= count; ++i)
            all.push_back(present(i));
        registry.take_all(all, now);
    }
};

TEST(upstream_registry, ready_upstreams_are_usable_in_their_region)
{
    fill(1);
    CHECK(usable(1));
    STRCMP_EQUAL("r", registry.upstreams().begin()->second.region.get().c_str());
}

TEST(upstream_registry, draining_is_final_for_an_incarnation)
{
    fill(2);
    registry.take_changes({present(1, 2, upstream_state::draining)}, now);
    CHECK(!usable(1));
    registry.take_changes({present(1, 3)}, now);
    CHECK(!usable(1));
    auto restarted = present(1, 0);
    restarted.registration->started_ms = 5;
    registry.take_changes({restarted}, now);
    CHECK(usable(1));
}

TEST(upstream_registry, an_older_write_of_the_same_incarnation_is_dropped)
{
    auto newer = present(1, 5);
    newer.registration->started_ms = 9;
    registry.take_all({newer}, now);
    auto older = present(1, 4, upstream_state::draining);
    older.registration->started_ms = 9;
    registry.take_changes({older}, now);
    CHECK(usable(1));
}

TEST(upstream_registry, one_that_loses_its_entry_is_left_at_once)
{
    fill(4);
    registry.take_changes({absent(1)}, now);
    CHECK(!usable(1));
    CHECK(usable(2));
}

TEST(upstream_registry, an_entry_that_can_t_be_read_names_no_upstream)
{
    fill(4);
    registry.take_all({absent(1), present(2, 2), present(3, 2), present(4, 2)}, now);
    CHECK(!usable(1));
    CHECK(usable(4));
}

TEST(upstream_registry, most_entries_lost_together_are_kept_for_a_moment_only)
{
    fill(4);
    registry.take_changes({absent(1), absent(2), absent(3), absent(4)}, now);
    CHECK(usable(1));
    now += ms(500);
    registry.take_changes({present(1, 2), present(2, 2), present(3, 2)}, now);
    now += ms(600);
    registry.expire(now);
    CHECK(usable(1));
    CHECK(!usable(4));
}

TEST(upstream_registry, after_an_outage_entries_that_lapsed_together_get_time_to_come_back)
{
    fill(4);
    registry.note_store_returned(now);
    registry.take_all({present(1, 2)}, now);
    CHECK(usable(4));
    now += ms(2'300);
    registry.expire(now);
    CHECK(!usable(4));
    CHECK(usable(1));
}

TEST(upstream_registry, one_that_left_during_an_outage_is_left_when_the_store_returns)
{
    fill(4);
    registry.note_store_returned(now);
    registry.take_all({present(1, 2), present(2, 2), present(3, 2)}, now);
    CHECK(!usable(4));
}

TEST(upstream_registry, a_place_that_is_taken_back_is_cold_at_first)
{
    fill(1);
    registry.set_evacuated({place_name("p")}, ms(3'000), now);
    CHECK(!usable(1));
    registry.set_evacuated({}, ms(3'000), now);
    CHECK(usable(1));
    CHECK(registry.upstreams().begin()->second.cold_until == now + ms(3'000));
}

TEST(upstream_registry, an_address_that_passes_to_another_service_is_another_upstream)
{
    fill(1);
    registry.note_leaving(sample_upstream(1).registration.name);
    auto reused = present(1, 9);
    reused.registration->service = service_name("t");
    registry.take_changes({reused}, now);
    CHECK(usable(1));
    STRCMP_EQUAL("t", registry.upstreams().begin()->second.registration.service.get().c_str());
}
