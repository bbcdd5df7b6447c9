// How an entry learns that its directives are the newest ones, and what it makes of late, lost,
// stale and earlier-era answers.
#include "libraries/discovery/directives_confirmation.hpp"
#include "libraries/teams/key_trust.hpp"

#include "tests/fakes/harness.hpp"

#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr address first_reader{.ip = 1, .port = 7};
constexpr address second_reader{.ip = 2, .port = 7};
constexpr address third_entry{.ip = 3, .port = 7};

store_position at_version(std::uint64_t version, std::uint64_t era = 1)
{
    return {.era = store_era(era), .version = store_version(version)};
}

} // namespace

TEST_GROUP(directives_confirmation)
{
    random_source random{5};
    time_point now = start_time();
    directives_confirmation asker{{}, random};
    std::uint64_t last_question = 0;

    void setup() override
    {
        asker.set_active(true);
        asker.set_sources({first_reader, second_reader}, {third_entry});
        asker.handle_applied(at_version(10));
    }

    confirmation_actions tick_after(duration span)
    {
        now += span;
        return noted(asker.tick(now));
    }

    confirmation_actions noted(confirmation_actions actions)
    {
        if (actions.question)
            last_question = actions.question->question.number;
        return actions;
    }

    confirmation_actions answer(store_position position, std::uint32_t age_ms)
    {
        return noted(asker.handle_proof(
            {.number = last_question, .position = position, .is_proven = true, .age_ms = age_ms},
            now));
    }

    duration age() const
    {
        return now - asker.fresh_as_of().value();
    }
};

TEST(directives_confirmation, a_read_proves_the_time_at_which_it_began)
{
    time_point const began = now;
    now += ms(3'000);
    asker.handle_store_answer(at_version(10), began);
    CHECK(age() == ms(3'000));
}

TEST(directives_confirmation, a_late_answer_of_the_store_makes_no_proof_newer_or_older)
{
    asker.handle_store_answer(at_version(10), now - ms(100));
    asker.handle_store_answer(at_version(10), now - ms(2'000));
    CHECK(age() == ms(100));
}

TEST(directives_confirmation, a_proof_passed_on_counts_from_the_question_less_its_age)
{
    CHECK(tick_after(ms(0)).question->to == first_reader);
    now += ms(40);
    answer(at_version(10), 300);
    CHECK(age() == ms(340));
}

TEST(directives_confirmation, cut_from_the_store_only_an_entry_lives_on_the_proofs_of_others)
{
    for (int i = 0; i < 40; ++i) {
        auto const actions = tick_after(ms(500));
        CHECK(actions.question.has_value());
        answer(at_version(10), 400);
        CHECK(!asker.tick(now).read_changes);
    }
    CHECK(age() == ms(400));
}

TEST(directives_confirmation, a_reader_without_an_answer_of_the_store_asks_others)
{
    asker.set_reads_store(true);
    asker.handle_store_answer(at_version(10), now);
    CHECK(!tick_after(ms(1'000)).question);
    CHECK(tick_after(ms(300)).question.has_value());
}

TEST(directives_confirmation, cut_from_all_nothing_is_proven_and_attempts_are_few)
{
    asker.handle_store_answer(at_version(10), now);
    time_point const proven = *asker.fresh_as_of();
    unsigned questions = 0;
    unsigned store_reads = 0;
    for (time_point const until = now + ms(10'000); now < until;) {
        auto const actions = tick_after(ms(10));
        questions += actions.question ? 1 : 0;
        store_reads += actions.read_changes ? 1 : 0;
    }
    CHECK(*asker.fresh_as_of() == proven);
    CHECK(questions >= 20);
    CHECK(questions <= 44);
    CHECK(store_reads >= 3);
    CHECK(store_reads <= 8);
}

TEST(directives_confirmation, the_next_entry_is_asked_when_one_is_silent)
{
    CHECK(tick_after(ms(0)).question->to == first_reader);
    CHECK(!tick_after(ms(200)).question);
    CHECK(tick_after(ms(50)).question->to == second_reader);
    CHECK(tick_after(ms(250)).question->to == third_entry);
}

TEST(directives_confirmation, the_next_entry_is_asked_at_once_when_a_proof_is_old)
{
    // The store serves some entries and turns the first reader away.
    tick_after(ms(0));
    now += ms(20);
    auto const actions = answer(at_version(10), 2'500);
    CHECK(actions.question->to == second_reader);
    CHECK(!answer(at_version(10), 100).question);
    CHECK(age() == ms(100));
}

TEST(directives_confirmation, an_entry_reads_the_store_itself_when_no_one_has_a_proof)
{
    asker.handle_store_answer(at_version(10), now);
    bool reads = false;
    for (int i = 0; i < 300 && !reads; ++i) {
        auto const actions = tick_after(ms(10));
        reads = actions.read_changes;
        if (actions.question)
            noted(asker.handle_proof({.number = last_question, .position = at_version(10)}, now));
    }
    CHECK(reads);
    CHECK(age() <= ms(2'600));
}

TEST(directives_confirmation, an_entry_that_was_cut_off_asks_those_that_seemed_lost)
{
    constexpr address lost_entry{.ip = 9, .port = 7};
    asker.set_sources({first_reader}, {third_entry}, {lost_entry});
    asker.handle_store_answer(at_version(10), now);
    unsigned asked_while_fresh = 0;
    unsigned asked_later = 0;
    for (int i = 0; i < 400; ++i) {
        auto const actions = tick_after(ms(10));
        bool const asks_lost = actions.question && actions.question->to == lost_entry;
        asked_while_fresh += asks_lost && age() <= ms(1'500) ? 1 : 0;
        asked_later += asks_lost && age() > ms(1'500) ? 1 : 0;
    }
    LONGS_EQUAL(0, asked_while_fresh);
    CHECK(asked_later >= 1);
    CHECK(asked_later <= 3);
    asker.set_sources({}, {}, {lost_entry});
    now += ms(1'000);
    tick_after(ms(500));
    answer(at_version(10), 100);
    CHECK(age() == ms(100));
}

TEST(directives_confirmation, an_answer_to_an_old_question_counts_from_that_question)
{
    tick_after(ms(0));
    std::uint64_t const old_question = last_question;
    now += ms(5'000); // A pause of the process, or a queue on the way.
    noted(asker.tick(now));
    CHECK(last_question != old_question);
    asker.handle_proof(
        {.number = old_question, .position = at_version(10), .is_proven = true, .age_ms = 100},
        now);
    CHECK(age() == ms(5'100));
}

TEST(directives_confirmation, an_answer_counts_once_and_an_unasked_one_never)
{
    tick_after(ms(0));
    wire::directives_proof const proof{
        .number = last_question, .position = at_version(10), .is_proven = true, .age_ms = 900};
    asker.handle_proof({.number = last_question + 1, .position = at_version(10), .is_proven = true},
                       now);
    CHECK(!asker.fresh_as_of());
    asker.handle_proof(proof, now);
    LONGS_EQUAL(1, asker.counters().proofs_from_entries);
    asker.handle_proof(proof, now);
    LONGS_EQUAL(1, asker.counters().proofs_from_entries);
    LONGS_EQUAL(0, asker.counters().proofs_without_use);
}

TEST(directives_confirmation, a_proof_of_newer_directives_counts_once_they_are_applied)
{
    asker.handle_store_answer(at_version(10), now);
    tick_after(ms(1'000));
    auto const actions = answer(at_version(11), 0);
    CHECK(actions.read_directives == at_version(11));
    CHECK(age() == ms(1'000));
    // Something else was read, but not yet the newer directives.
    asker.handle_applied(at_version(10));
    CHECK(age() == ms(1'000));
    now += ms(30);
    asker.handle_applied(at_version(11));
    CHECK(age() == ms(30));
}

TEST(directives_confirmation, a_restarted_entry_without_the_store_proves_nothing)
{
    wire::directives_proof const proof = asker.answer({.number = 3}, now);
    LONGS_EQUAL(3, proof.number);
    CHECK(!proof.is_proven);
    tick_after(ms(0));
    asker.handle_proof({.number = last_question, .position = at_version(10), .is_proven = false},
                       now);
    CHECK(!asker.fresh_as_of());
}

TEST(directives_confirmation, a_proof_of_an_earlier_era_counts_for_nothing)
{
    tick_after(ms(0));
    asker.note_era(store_era(2));
    answer(at_version(10, 1), 0);
    CHECK(!asker.fresh_as_of());
    asker.handle_store_answer(at_version(10, 1), now);
    CHECK(!asker.fresh_as_of());
    // The restored copy's versions are lower, but they are newer.
    asker.handle_store_answer(at_version(4, 2), now);
    CHECK(age() == ms(0));
}

TEST(directives_confirmation, a_waiting_proof_ends_with_its_era)
{
    tick_after(ms(0));
    answer(at_version(11, 1), 0);
    asker.note_era(store_era(2));
    asker.handle_applied(at_version(4, 2));
    CHECK(!asker.fresh_as_of());
}

TEST(directives_confirmation, a_stated_age_is_rounded_up_and_covers_the_way_of_the_question)
{
    asker.handle_store_answer(at_version(10), now);
    now += ms(700) + duration(1);
    wire::directives_proof const proof = asker.answer({.number = 1}, now);
    CHECK(proof.is_proven);
    LONGS_EQUAL(701, proof.age_ms);
    CHECK(proof.position == at_version(10));
}

TEST(directives_confirmation, requests_that_need_a_newer_proof_share_one_question)
{
    tick_after(ms(0));
    answer(at_version(10), 0);
    unsigned questions = 0;
    for (int i = 0; i < 1'000; ++i) {
        now += ms(1);
        auto const actions = noted(asker.want_early(now));
        questions += actions.question ? 1 : 0;
        if (actions.question)
            answer(at_version(10), 0);
    }
    CHECK(questions >= 4);
    CHECK(questions <= 5);
}

TEST(directives_confirmation, nothing_is_asked_where_no_proof_is_needed)
{
    asker.set_active(false);
    for (int i = 0; i < 100; ++i) {
        auto const actions = tick_after(ms(100));
        CHECK(!actions.question);
        CHECK(!actions.read_changes);
    }
    CHECK(!asker.want_early(now).question);
}

TEST(directives_confirmation, ticks_are_due_when_something_is)
{
    tick_after(ms(0));
    CHECK(asker.next_tick(now) == now + ms(250));
    answer(at_version(10), 0);
    CHECK(asker.next_tick(now) == now + ms(500));
    asker.set_reads_store(true);
    now += ms(800);
    CHECK(asker.next_tick(now) == now + ms(500));
}
