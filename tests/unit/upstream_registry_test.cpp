#include "libraries/discovery/upstream_registry.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/positioned_registry.hpp"
#include "tests/fakes/routing_samples.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

registration_change registered(unsigned number, std::int64_t heartbeat = 1,
                               upstream_state state = upstream_state::ready)
{
    upstream_registration registration = sample_upstream(number).registration;
    registration.heartbeat = heartbeat;
    registration.state = state;
    return {.name = registration.name, .registration = registration};
}

registration_change registered_by_start(std::int64_t started_ms, std::int64_t heartbeat,
                                        upstream_state state = upstream_state::ready)
{
    registration_change change = registered(1, heartbeat, state);
    change.registration->started_ms = started_ms;
    return change;
}

registration_change unregistered(unsigned number)
{
    return {.name = sample_upstream(number).registration.name, .registration = {}};
}

} // namespace

TEST_GROUP(upstream_registry)
{
    time_point now = start_time();
    positioned_registry registry{{}, {{place_name("p"), region_name("r")}}};

    bool upstream_is_usable(unsigned number) const
    {
        auto const found = registry.upstreams().find(sample_upstream(number).registration.name);
        return found != registry.upstreams().end() && found->second.is_usable();
    }

    void register_upstreams(unsigned count)
    {
        std::vector<registration_change> snapshot;
        for (unsigned i = 1; i <= count; ++i)
            snapshot.push_back(registered(i));
        registry.apply_snapshot(snapshot, now);
    }
};

TEST(upstream_registry, ready_upstreams_are_usable_in_their_region)
{
    register_upstreams(1);
    CHECK(upstream_is_usable(1));
    STRCMP_EQUAL("r", registry.upstreams().begin()->second.region.get().c_str());
}

TEST(upstream_registry, draining_is_final_for_an_incarnation)
{
    register_upstreams(2);
    registry.apply_changes({registered(1, 2, upstream_state::draining)}, now);
    CHECK(!upstream_is_usable(1));
    registry.apply_changes({registered(1, 3)}, now);
    CHECK(!upstream_is_usable(1));
    auto restarted = registered(1, 0);
    restarted.registration->started_ms = 5;
    registry.apply_changes({restarted}, now);
    CHECK(upstream_is_usable(1));
}

TEST(upstream_registry, older_write_of_the_same_incarnation_is_ignored)
{
    auto newer = registered(1, 5);
    newer.registration->started_ms = 9;
    registry.apply_snapshot({newer}, now);
    auto older = registered(1, 4, upstream_state::draining);
    older.registration->started_ms = 9;
    registry.apply_changes({older}, now);
    CHECK(upstream_is_usable(1));
}

// Guards against a late write of a former start that makes a leaving upstream usable again.
TEST(upstream_registry, late_write_of_a_former_start_is_ignored)
{
    registry.apply_snapshot({registered_by_start(100, 40)}, now);
    registry.apply_changes({registered_by_start(200, 1)}, now);
    registry.mark_leaving(sample_upstream(1).registration.name, upstream_incarnation(200), now);
    for (std::int64_t heartbeat = 41; heartbeat < 44; ++heartbeat) {
        registry.apply_changes({registered_by_start(100, heartbeat)}, now);
        CHECK(!upstream_is_usable(1));
        now += ms(1'500);
        registry.apply_changes({registered_by_start(200, heartbeat - 39, upstream_state::draining)},
                               now);
        CHECK(!upstream_is_usable(1));
    }
}

// Guards against an upstream that is locked out because its clock stepped back before it restarted.
TEST(upstream_registry, restarted_upstream_whose_clock_stepped_back_becomes_usable)
{
    registry.apply_snapshot({registered_by_start(200, 40, upstream_state::draining)}, now);
    for (std::int64_t heartbeat = 1; heartbeat <= 5; ++heartbeat) {
        CHECK(registry.is_significant_change(registered_by_start(100, heartbeat), now));
        registry.apply_changes({registered_by_start(100, heartbeat)}, now);
        now += ms(1'500);
    }
    CHECK(upstream_is_usable(1));
    CHECK(!registry.is_significant_change(registered_by_start(100, 6), now));
}

// Guards against a removed upstream that comes back by a late write of a former start.
TEST(upstream_registry, late_write_of_a_former_start_does_not_bring_back_a_removed_upstream)
{
    register_upstreams(4);
    registry.apply_changes({registered_by_start(200, 1)}, now);
    registry.apply_changes({unregistered(1)}, now);
    registry.apply_changes({registered_by_start(100, 41)}, now);
    CHECK(!upstream_is_usable(1));
}

// Entries that hear only significant changes must see that the newer start still writes.
TEST(upstream_registry, write_of_the_newer_start_after_a_former_one_is_significant)
{
    registry.apply_snapshot({registered_by_start(200, 1)}, now);
    CHECK(!registry.is_significant_change(registered_by_start(200, 2), now));
    registry.apply_changes({registered_by_start(100, 41)}, now);
    CHECK(registry.is_significant_change(registered_by_start(200, 2), now));
    registry.apply_changes({registered_by_start(200, 2)}, now);
    CHECK(!registry.is_significant_change(registered_by_start(200, 3), now));
}

TEST(upstream_registry, upstream_without_registration_is_unusable_at_once)
{
    register_upstreams(4);
    registry.apply_changes({unregistered(1)}, now);
    CHECK(!upstream_is_usable(1));
    CHECK(upstream_is_usable(2));
}

TEST(upstream_registry, unreadable_registration_makes_its_upstream_unusable)
{
    register_upstreams(4);
    registry.apply_snapshot({unregistered(1), registered(2, 2), registered(3, 2), registered(4, 2)},
                            now);
    CHECK(!upstream_is_usable(1));
    CHECK(upstream_is_usable(4));
}

TEST(upstream_registry, mass_loss_takes_effect_only_after_the_grace_period)
{
    register_upstreams(4);
    registry.apply_changes({unregistered(1), unregistered(2), unregistered(3), unregistered(4)},
                           now);
    CHECK(upstream_is_usable(1));
    now += ms(500);
    registry.apply_changes({registered(1, 2), registered(2, 2), registered(3, 2)}, now);
    now += ms(600);
    registry.expire(now);
    CHECK(upstream_is_usable(1));
    CHECK(!upstream_is_usable(4));
}

TEST(upstream_registry, registrations_expired_during_an_outage_get_a_recovery_grace)
{
    register_upstreams(4);
    registry.note_store_returned(now);
    registry.apply_snapshot({registered(1, 2)}, now);
    CHECK(upstream_is_usable(4));
    now += ms(2'300);
    registry.expire(now);
    CHECK(!upstream_is_usable(4));
    CHECK(upstream_is_usable(1));
}

TEST(upstream_registry, upstream_that_left_during_an_outage_is_unusable_after_recovery)
{
    register_upstreams(4);
    registry.note_store_returned(now);
    registry.apply_snapshot({registered(1, 2), registered(2, 2), registered(3, 2)}, now);
    CHECK(!upstream_is_usable(4));
}

TEST(upstream_registry, upstreams_are_cold_after_an_evacuation_is_lifted)
{
    register_upstreams(1);
    registry.set_evacuated_places({place_name("p")}, ms(3'000), now);
    CHECK(!upstream_is_usable(1));
    registry.set_evacuated_places({}, ms(3'000), now);
    CHECK(upstream_is_usable(1));
    CHECK(registry.upstreams().begin()->second.cold_until == now + ms(3'000));
}

TEST(upstream_registry, address_reused_by_another_service_is_a_new_upstream)
{
    register_upstreams(1);
    registry.mark_leaving(sample_upstream(1).registration.name, {}, now);
    auto registered_for_other_service = registered(1, 9);
    registered_for_other_service.registration->service = service_name("t");
    registry.apply_changes({registered_for_other_service}, now);
    CHECK(upstream_is_usable(1));
    STRCMP_EQUAL("t", registry.upstreams().begin()->second.registration.service.get().c_str());
}
