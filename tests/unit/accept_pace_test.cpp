#include "libraries/http1/accept_pace.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/routing_samples.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(accept_pace)
{
    time_point now = start_time();
    http1::accept_pace pace{2, ms(100)};

    bool may_accept() const
    {
        return pace.wait_before_next(now) == duration::zero();
    }
};

// Guards against connections whose place is taken before their first request has arrived.
TEST(accept_pace, connection_stays_for_its_time_before_its_place_is_taken)
{
    CHECK(may_accept());
    pace.note_accepted(now);
    now += ms(60);
    CHECK(may_accept());
    pace.note_accepted(now);
    CHECK(pace.wait_before_next(now) == ms(40));
    now += ms(40);
    CHECK(may_accept());
    pace.note_accepted(now);
    CHECK(pace.wait_before_next(now) == ms(60));
    now += std::chrono::seconds(10);
    CHECK(may_accept());
}

TEST(accept_pace, without_places_nothing_waits)
{
    pace = http1::accept_pace{0, ms(100)};
    pace.note_accepted(now);
    CHECK(may_accept());
}
