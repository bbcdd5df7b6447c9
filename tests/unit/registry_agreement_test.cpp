#include "libraries/discovery/registry_repair.hpp"
#include "libraries/discovery/registry_update.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/registry_network.hpp"
#include "tests/fakes/routing_samples.hpp"
#include "tests/fakes/store_positions.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::uint64_t seeds = 3'000;
constexpr unsigned events_per_phase = 60;
constexpr unsigned phases = 3;

registration_change write_at(store_position at, std::int64_t heartbeat, duration cold_left = {})
{
    upstream_registration registration = sample_upstream(1).registration;
    registration.started_ms = 77;
    registration.heartbeat = heartbeat;
    registration.cold_left = cold_left;
    return {.name = registration.name, .registration = registration, .at = at};
}

registration_change removal_at(store_position at)
{
    return {.name = sample_upstream(1).registration.name, .registration = {}, .at = at};
}

} // namespace

TEST_GROUP(registry_agreement)
{
    time_point now = start_time();
    upstream_name const name = sample_upstream(1).registration.name;
    upstream_registry reader{{}, {{place_name("p"), region_name("r")}}};
    upstream_registry told{{}, {{place_name("p"), region_name("r")}}};

    static bool uses(upstream_registry const& registry)
    {
        return registry.count_usable() > 0;
    }

    /// Lets the reader read one change and tell it, if it is significant.
    void read(registration_change const& change)
    {
        auto const changed = names_of(significant_changes(reader, {change}, now));
        reader.apply_changes({change}, now);
        told.merge_records(reader.records_of(changed, now), now);
    }

    void read_by_both(registration_change const& change)
    {
        reader.apply_snapshot({change}, now, change.at);
        told.apply_snapshot({change}, now, change.at);
    }

    void let_mass_loss_grace_pass()
    {
        now += ms(1'100);
        reader.expire(now);
        told.expire(now);
    }
};

// Guards against a late heartbeat that an entry which is only told takes for news: it sent requests
// to an upstream that had left.
TEST(registry_agreement, late_heartbeat_is_no_news_to_an_entry_that_was_told_of_the_removal)
{
    read_by_both(write_at(at_version(1), 1));
    for (std::int64_t heartbeat = 2; heartbeat <= 6; ++heartbeat)
        read(write_at(at_version(static_cast<std::uint64_t>(heartbeat)), heartbeat));
    read(removal_at(at_version(7)));
    let_mass_loss_grace_pass();
    CHECK(!uses(reader) && !uses(told));
    registration_change const late = write_at(at_version(8), 5);
    read(late);
    CHECK(!uses(reader) && !uses(told));
    // Also if it reads the late write itself.
    told.apply_snapshot({late}, now, late.at);
    CHECK(!uses(told));
    read(write_at(at_version(9), 7));
    CHECK(uses(reader) && uses(told));
}

// Guards against a second removal that an entry which took a late heartbeat for news never hears.
TEST(registry_agreement, second_removal_is_told)
{
    read_by_both(write_at(at_version(1), 1));
    reader.apply_changes({write_at(at_version(2), 6), removal_at(at_version(3))}, now);
    // The first removal wasn't told, and the other entry reads the late write itself.
    registration_change const late = write_at(at_version(4), 5);
    told.apply_changes({late}, now);
    reader.apply_changes({late}, now);
    CHECK(uses(told));
    read(removal_at(at_version(5)));
    let_mass_loss_grace_pass();
    CHECK(!uses(reader) && !uses(told));
}

// Guards against an upstream that becomes cold again while it is cold, or when it has just become
// warm, and that all entries but the reader took for warm.
TEST(registry_agreement, upstream_that_becomes_cold_again_is_cold_at_all_entries)
{
    read_by_both(write_at(at_version(1), 1, ms(3'000)));
    for (int time = 2; time < 5; ++time) {
        now += ms(2'900);
        std::uint64_t const changes_before = told.changes();
        read(write_at(at_version(static_cast<std::uint64_t>(time)), time, ms(3'000)));
        CHECK(reader.upstreams().at(name).cold_until == now + ms(3'000));
        CHECK(told.upstreams().at(name).cold_until == now + ms(3'000));
        CHECK(told.changes() > changes_before);
    }
}

// Guards against an update for each heartbeat of upstreams that have just been started: with many
// of them it has no room, and all entries read the store.
TEST(registry_agreement, heartbeats_that_repeat_the_end_of_the_cold_time_are_not_told)
{
    read_by_both(write_at(at_version(1), 1, ms(3'000)));
    std::uint64_t const changes_before = reader.changes();
    // The first is read sooner after it was written than the one before, the next one later.
    for (duration const cold_left : {ms(2'100), ms(900)}) {
        now += ms(1'000);
        auto const repeated = write_at(at_version(2), 2, cold_left);
        CHECK(!reader.is_significant_change(repeated, now));
        read(repeated);
    }
    LONGS_EQUAL(changes_before, reader.changes());
    CHECK(reader.upstreams().at(name).cold_until == now + ms(1'000));
}

TEST(registry_agreement, cold_time_that_grows_by_little_at_a_time_is_told)
{
    time_point const first_end = now + ms(3'000);
    read_by_both(write_at(at_version(1), 1, ms(3'000)));
    read(write_at(at_version(2), 2, ms(3'400)));
    CHECK(told.upstreams().at(name).cold_until == first_end);
    read(write_at(at_version(3), 3, ms(3'800)));
    CHECK(told.upstreams().at(name).cold_until == first_end + ms(800));
}

// Guards against an entry that knows from a health answer what its registration then says too, and
// keeps it from the others.
TEST(registry_agreement, cold_time_that_only_the_reader_knows_of_is_told)
{
    read_by_both(write_at(at_version(1), 1));
    reader.mark_cold(name, ms(3'000), now);
    read(write_at(at_version(2), 2, ms(3'000)));
    CHECK(told.upstreams().at(name).cold_until == now + ms(3'000));
}

TEST(registry_agreement, repeated_record_does_not_prolong_a_cold_start)
{
    read_by_both(write_at(at_version(1), 1));
    reader.apply_changes({write_at(at_version(2), 2, ms(3'000))}, now);
    auto const records = reader.records_of({name}, now);
    told.merge_records(records, now);
    told.merge_records(records, now + ms(2'000));
    CHECK(told.upstreams().at(name).cold_until == now + ms(3'000));
}

// Guards against a former start that an entry with fewer facts prefers after a clock stepped back.
TEST(registry_agreement, start_after_a_clock_step_is_told_with_its_precedence)
{
    read_by_both(write_at(at_version(1), 40));
    registration_change restarted = write_at(at_version(2), 1);
    restarted.registration->started_ms = 5;
    for (int i = 0; i < 6; ++i) {
        reader.apply_changes({restarted}, now);
        now += ms(1'500);
        ++restarted.registration->heartbeat;
        restarted.at = at_version(restarted.at.version.get() + 1);
    }
    told.merge_records(reader.records_of({name}, now), now);
    LONGS_EQUAL(5, told.upstreams().at(name).registration.started_ms);
    told.merge_records(reader.records_of({name}, now), now);
    LONGS_EQUAL(5, told.upstreams().at(name).registration.started_ms);
}

// Guards against an entry whose whole read came before the readers' and that isn't told that the
// upstreams missing in it are back.
TEST(registry_agreement, upstream_that_only_one_entry_missed_is_used_again_after_a_comparison)
{
    read_by_both(write_at(at_version(1), 1));
    told.apply_snapshot({}, now, at_version(2));
    let_mass_loss_grace_pass();
    CHECK(!uses(told));
    reader.apply_snapshot({write_at(at_version(3), 2)}, now, at_version(3));
    registry_repair asking{{}};
    registry_repair asked{{}};
    random_source random(1);
    auto const question =
        asking.compare(combined_digest(reader.registered_digests()), told, 2, random, now);
    CHECK(question.has_value());
    for (auto const& each : asked.answer(*question, reader, now).records)
        told.merge_records(records_in(each), now);
    CHECK(uses(told));
    CHECK(!asking.compare(combined_digest(reader.registered_digests()), told, 2, random, now));
}

TEST(registry_agreement, questions_and_answers_are_limited)
{
    read_by_both(write_at(at_version(1), 1));
    told.apply_changes({removal_at(at_version(2))}, now);
    let_mass_loss_grace_pass();
    std::uint64_t const digest = combined_digest(reader.registered_digests());
    registry_repair asking{{.min_question_interval = ms(400)}};
    random_source random(1);
    auto const question = asking.compare(digest, told, 2, random, now);
    CHECK(question.has_value());
    CHECK(!asking.compare(digest, told, 2, random, now + ms(399)));
    CHECK(asking.compare(digest, told, 2, random, now + ms(400)).has_value());
    registry_repair asked{{.max_answers_per_s = 2}};
    CHECK(!asked.answer(*question, reader, now).records.empty());
    CHECK(!asked.answer(*question, reader, now).records.empty());
    CHECK(asked.answer(*question, reader, now).records.empty());
    CHECK(!asked.answer(*question, reader, now + ms(1'000)).records.empty());
    // A counter-question isn't answered by another one.
    wire::registry_question counter = *question;
    counter.is_counter_question = true;
    CHECK(!asked.answer(counter, reader, now + ms(1'000)).counter_question);
}

TEST(registry_agreement, removed_upstreams_are_remembered_for_a_bounded_time_and_count)
{
    upstream_registry registry({.max_removed_histories = 3}, {});
    for (unsigned i = 1; i <= 8; ++i) {
        registration_change change = write_at(at_version(i), 2);
        change.name = change.registration->name = sample_upstream(i).registration.name;
        registry.apply_changes({change, {.name = change.name, .at = at_version(100 + i)}}, now);
        now += ms(1'100);
        registry.expire(now);
    }
    now += std::chrono::seconds(31);
    registry.expire(now);
    CHECK(registry.upstreams().empty());
    registry.expire(now);
    std::set<std::size_t> all_buckets;
    for (std::size_t i = 0; i < upstream_registry::digest_buckets; ++i)
        all_buckets.insert(i);
    LONGS_EQUAL(3, registry.names_in(all_buckets).size());
    now += std::chrono::minutes(11);
    registry.expire(now);
    LONGS_EQUAL(0, registry.names_in(all_buckets).size());
}

// Guards against registrations without end, by a faulty store or peer.
TEST(registry_agreement, no_more_upstreams_than_the_limit_are_taken_up)
{
    upstream_registry limited({.max_upstreams = 3}, {});
    for (unsigned i = 1; i <= 8; ++i) {
        registration_change change = write_at(at_version(i), 2);
        change.name = change.registration->name = sample_upstream(i).registration.name;
        reader.apply_changes({change}, now);
        if (i % 2 == 0)
            limited.apply_changes({change}, now);
        else
            limited.merge_records(reader.records_of({change.name}, now), now);
    }
    LONGS_EQUAL(3, limited.upstreams().size());
    LONGS_EQUAL(5, limited.refused_registrations());
    // Those that are known stay up to date, and one that has left makes room.
    limited.apply_changes({removal_at(at_version(9))}, now);
    now += ms(1'100);
    limited.expire(now);
    LONGS_EQUAL(2, limited.count_usable());
    now += std::chrono::seconds(31);
    limited.expire(now);
    registration_change further = write_at(at_version(10), 3);
    further.name = further.registration->name = sample_upstream(8).registration.name;
    limited.apply_changes({further}, now);
    LONGS_EQUAL(3, limited.count_usable());
}

// Guards against a digest that is kept beside the upstreams and misses a change of them.
TEST(registry_agreement, digests_follow_each_change)
{
    auto const is_in_digests = [&] {
        upstream_registry told_once({}, {});
        told_once.merge_records(reader.records_of({name}, now), now);
        CHECK(reader.registered_digests() == told_once.registered_digests());
        return reader.registered_digests() != upstream_registry::bucket_digests{};
    };
    registration_change restarted = write_at(at_version(3), 1);
    restarted.registration->started_ms = 78;
    registration_change draining = restarted;
    draining.registration->heartbeat = 2;
    draining.registration->state = upstream_state::draining;
    draining.at = at_version(4);

    CHECK(!is_in_digests());
    reader.apply_snapshot({write_at(at_version(1), 1)}, now, at_version(1));
    CHECK(is_in_digests());
    auto const of_first_start = reader.registered_digests();
    reader.apply_changes({write_at(at_version(2), 2)}, now);
    CHECK(reader.registered_digests() == of_first_start);
    reader.apply_changes({restarted}, now);
    CHECK(is_in_digests());
    CHECK(reader.registered_digests() != of_first_start);
    reader.apply_changes({draining}, now);
    CHECK(!is_in_digests());
    restarted.registration->started_ms = 79;
    restarted.at = at_version(5);
    reader.apply_changes({restarted}, now);
    CHECK(is_in_digests());
    reader.apply_changes({removal_at(at_version(6))}, now);
    CHECK(!is_in_digests());
    restarted.registration->heartbeat = 2;
    restarted.at = at_version(7);
    reader.apply_changes({restarted}, now);
    CHECK(is_in_digests());
    // A restored copy lacks it, and it isn't written again.
    store_position const restored = at_version(5, 2);
    reader.apply_snapshot({}, now, restored);
    CHECK(is_in_digests());
    let_mass_loss_grace_pass();
    now += std::chrono::seconds(3);
    reader.expire(now);
    CHECK(!is_in_digests());
    now += std::chrono::seconds(31);
    reader.expire(now);
    CHECK(reader.upstreams().empty());
    CHECK(!is_in_digests());
}

// Guards against entries that use an upstream which has left, or don't use one that runs, after any
// order of writes, late writes, removals, restored copies, restarts, and lost, repeated or late
// messages.
TEST(registry_agreement, entries_agree_after_random_events_and_messages)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        registry_network network(seed);
        for (unsigned phase = 0; phase < phases; ++phase) {
            network.play(events_per_phase);
            network.settle();
            std::string const disagreement = network.disagreement();
            CHECK_TEXT(disagreement.empty(),
                       fmt::format("seed {}, phase {}: {}", seed, phase, disagreement).c_str());
        }
    }
}
