#include "libraries/tickets/redeemed_ticket_table.hpp"
#include "libraries/tickets/ticket.hpp"

#include "tests/fakes/harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// Digest of the request that the tests send with each ticket.
digest const body = digest_of("POST /work\nbody");

redemption_result redeem(redeemed_ticket_table& redeemed_tickets, ticket const& presented,
                         time_point now)
{
    return redeemed_tickets.redeem(presented, body, now);
}

} // namespace

TEST_GROUP(ticket)
{
    random_source random{7};
    redeemed_ticket_table_options options{.epoch_length = ms(1'000), .retained_epochs = 3};
    time_point now = start_time();
    incarnation_id const own_incarnation{42};

    ticket ticket_of_epoch(std::uint64_t epoch)
    {
        return generate_ticket(own_incarnation, epoch_number(epoch), random);
    }
};

TEST(ticket, parses_back_from_its_text)
{
    ticket const issued = ticket_of_epoch(3);
    ticket const parsed = handle_failure([&] { return parse_ticket(issued.text()); },
                                         [](failure const&) { return ticket{}; });
    CHECK(issued == parsed);
}

TEST(ticket, malformed_text_is_rejected)
{
    for (char const* text :
         {"", ".", "..", "1.2", "1.2.3", "zz.1.00000000000000000000000000000000",
          "1.1.0000000000000000000000000000000g", "1..00000000000000000000000000000000",
          "11111111111111111.1.00000000000000000000000000000000",
          "1.1.000000000000000000000000000000001"}) {
        bool const refused = handle_failure(
            [&]() -> result<bool> {
                BOOST_LEAF_CHECK(parse_ticket(text));
                return false;
            },
            [](failure const& error) { return error.kind == error_kind::malformed; });
        CHECK_TEXT(refused, text);
    }
}

TEST(ticket, is_fresh_only_at_its_first_redemption)
{
    redeemed_ticket_table redeemed_tickets(options, now);
    ticket const issued = ticket_of_epoch(1);
    CHECK(redeem(redeemed_tickets, issued, now).verdict == redemption_verdict::fresh);
    CHECK(redeem(redeemed_tickets, issued, now).verdict == redemption_verdict::in_flight);
}

TEST(ticket, duplicate_gets_the_retained_answer)
{
    redeemed_ticket_table redeemed_tickets(options, now);
    ticket const issued = ticket_of_epoch(1);
    redeem(redeemed_tickets, issued, now);
    redeemed_tickets.record_outcome(issued, ticketed_request_state::answered,
                                    retained_answer{.status = 200, .body = "booked"});
    redemption_result const duplicate = redeem(redeemed_tickets, issued, now);
    CHECK(duplicate.verdict == redemption_verdict::answered);
    STRCMP_EQUAL("booked", duplicate.answer->body.c_str());
}

TEST(ticket, presented_with_a_different_request_is_a_conflict)
{
    redeemed_ticket_table redeemed_tickets(options, now);
    ticket const issued = ticket_of_epoch(1);
    redeem(redeemed_tickets, issued, now);
    CHECK(redeemed_tickets.redeem(issued, digest_of("other"), now).verdict ==
          redemption_verdict::conflict);
}

TEST(ticket, stays_redeemed_after_a_not_run_outcome)
{
    redeemed_ticket_table redeemed_tickets(options, now);
    ticket const issued = ticket_of_epoch(1);
    redeem(redeemed_tickets, issued, now);
    redeemed_tickets.record_outcome(issued, ticketed_request_state::not_run, std::nullopt);
    CHECK(redeem(redeemed_tickets, issued, now).verdict == redemption_verdict::not_run);
}

TEST(ticket, of_a_discarded_epoch_is_never_fresh)
{
    redeemed_ticket_table redeemed_tickets(options, now);
    ticket const redeemed = ticket_of_epoch(1);
    ticket const unused = ticket_of_epoch(1);
    redeem(redeemed_tickets, redeemed, now);
    redeemed_tickets.record_outcome(redeemed, ticketed_request_state::answered, std::nullopt);
    now += ms(4'500);
    CHECK(redeem(redeemed_tickets, redeemed, now).verdict == redemption_verdict::epoch_discarded);
    CHECK(redeem(redeemed_tickets, unused, now).verdict == redemption_verdict::epoch_discarded);
    LONGS_EQUAL(0, redeemed_tickets.records());
}

TEST(ticket, unused_from_an_old_retained_epoch_is_refused_as_closed)
{
    redeemed_ticket_table redeemed_tickets(options, now);
    ticket const unused = ticket_of_epoch(1);
    now += ms(2'500);
    CHECK(redeem(redeemed_tickets, unused, now).verdict == redemption_verdict::epoch_closed);
}

TEST(ticket, from_the_previous_epoch_is_still_accepted)
{
    redeemed_ticket_table redeemed_tickets(options, now);
    ticket const issued = ticket_of_epoch(1);
    now += ms(1'500);
    CHECK(redeem(redeemed_tickets, issued, now).verdict == redemption_verdict::fresh);
}

TEST(ticket, from_an_epoch_not_yet_open_is_not_redeemed)
{
    redeemed_ticket_table redeemed_tickets(options, now);
    CHECK(redeem(redeemed_tickets, ticket_of_epoch(2), now).verdict ==
          redemption_verdict::epoch_not_open);
}

TEST(ticket, refused_by_a_full_table_never_runs)
{
    options.max_records = 2;
    redeemed_ticket_table redeemed_tickets(options, now);
    redeem(redeemed_tickets, ticket_of_epoch(1), now);
    redeem(redeemed_tickets, ticket_of_epoch(1), now);
    ticket const refused = ticket_of_epoch(1);
    CHECK(redeem(redeemed_tickets, refused, now).verdict == redemption_verdict::epoch_closed);
    // Discarding old epochs frees records, but a late copy of the refused request must not run.
    for (int step = 0; step < 20; ++step) {
        now += ms(250);
        CHECK(redeem(redeemed_tickets, refused, now).verdict != redemption_verdict::fresh);
    }
}

TEST(ticket, full_table_accepts_tickets_again_after_old_epochs_are_discarded)
{
    options.max_records = 2;
    redeemed_ticket_table redeemed_tickets(options, now);
    redeem(redeemed_tickets, ticket_of_epoch(1), now);
    redeem(redeemed_tickets, ticket_of_epoch(1), now);
    now += ms(6'000);
    redeemed_tickets.advance_to(now);
    ticket const later = generate_ticket(own_incarnation, redeemed_tickets.current_epoch(), random);
    CHECK(redeem(redeemed_tickets, later, now).verdict == redemption_verdict::fresh);
}

TEST(ticket, large_answers_are_not_retained)
{
    redeemed_ticket_table redeemed_tickets(options, now);
    ticket const issued = ticket_of_epoch(1);
    redeem(redeemed_tickets, issued, now);
    redeemed_tickets.record_outcome(
        issued, ticketed_request_state::answered,
        retained_answer{.status = 200, .body = std::string(5'000, 'x')});
    CHECK(redeem(redeemed_tickets, issued, now).verdict ==
          redemption_verdict::answered_not_retained);
    LONGS_EQUAL(0, redeemed_tickets.retained_bytes());
}
