// Plays loads against the forwarding engine in virtual time and checks what callers get.
#include "libraries/dispatch/recent_objects.hpp"
#include "libraries/forwarding/forwarding_engine.hpp"
#include "libraries/steering/balanced_spill_fraction.hpp"
#include "libraries/steering/spill_controller.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/routing_samples.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// Work on an object that the upstream remembers, and on another one.
constexpr std::int64_t familiar_work_ms = 80;
constexpr std::int64_t other_work_ms = 260;
constexpr unsigned slots_of_each = 3;
constexpr std::size_t objects_remembered = 30;

/// One upstream: works on as many requests as it has slots and queues the rest.
struct modelled_upstream
{
    recent_objects memory{objects_remembered};
    std::multiset<time_point> busy_until;
};

/// What callers got.
struct load_outcome
{
    unsigned asked = 0;
    unsigned in_time = 0;
    unsigned late = 0;
    unsigned refused = 0;

    double part_in_time() const { return static_cast<double>(in_time) / asked; }
};

/// How the load is played.
struct load_options
{
    unsigned upstreams = 6;
    unsigned far_upstreams = 0; ///< In another region.
    double requests_per_s = 40;
    unsigned objects = 60;
    bool names_objects = true; ///< Else the engine doesn't know which object a request concerns.
    duration length = std::chrono::seconds(40);
    duration counted_from = std::chrono::seconds(10);
};

/// Feeds one engine with requests and carries its sends out in the model.
class load_play
{
public:
    explicit load_play(load_options options) : options_(options)
    {
        forwarding_options engine_options{
            .instance = instance_name("e"), .place = place_name("p"), .region = region_name("r")};
        engine_ = std::make_unique<forwarding_engine>(std::move(engine_options), random_);
        engine_->take_entries({{instance_name("e"), region_name("r")}});
        engine_->take_document(sample_document(), now_);
        auto upstreams = sample_upstreams(options_.upstreams + options_.far_upstreams);
        for (auto& [name, known] : upstreams) {
            known.registration.slots = slot_count(slots_of_each);
            if (std::stoul(name.get().substr(1)) > options_.upstreams) {
                known.region = region_name("far");
                known.registration.place = place_name("far-1");
            }
        }
        engine_->take_upstreams(upstreams, now_);
    }

    load_outcome play()
    {
        time_point const start = now_;
        time_point next_arrival = now_;
        while (now_ < start + options_.length) {
            now_ += std::chrono::milliseconds(1);
            while (next_arrival <= now_) {
                arrive(now_ - start >= options_.counted_from);
                next_arrival += std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                    random_.exponential(1 / options_.requests_per_s)));
            }
            end_work();
            carry_out(engine_->tick(now_));
        }
        return outcome_;
    }

private:
    struct asked_request
    {
        time_point at;
        std::uint64_t object = 0;
        bool counted = false;
    };

    void arrive(bool counted)
    {
        request_id const id(++last_);
        std::uint64_t const object = 1 + random_.below(options_.objects);
        asked_[id] = {.at = now_, .object = object, .counted = counted};
        outcome_.asked += counted ? 1 : 0;
        carry_out(engine_->arrive({.id = id,
                                   .caller_id = "c",
                                   .host = "h",
                                   .path = "/read/x",
                                   .object = options_.names_objects ? object : 0,
                                   .time_left = std::chrono::seconds(2)},
                                  now_));
    }

    void carry_out(forwarding_engine::commands const& todo)
    {
        for (forwarding_command const& each : todo) {
            if (auto const* const send = std::get_if<send_request>(&each))
                start_work(*send);
            else if (auto const* const answer = std::get_if<deliver_answer>(&each))
                note_answer(answer->id);
            else if (auto const* const refused = std::get_if<refuse_request>(&each))
                outcome_.refused += asked_[refused->id].counted ? 1 : 0;
        }
    }

    void start_work(send_request const& send)
    {
        modelled_upstream& upstream = upstreams_[send.upstream];
        std::uint64_t const object = asked_[send.id].object;
        std::int64_t const work =
            upstream.memory.contains(object) ? familiar_work_ms : other_work_ms;
        upstream.memory.note(object);
        time_point begin = now_;
        if (upstream.busy_until.size() >= slots_of_each) {
            begin = *upstream.busy_until.begin();
            upstream.busy_until.erase(upstream.busy_until.begin());
        }
        time_point const end = std::max(begin, now_) + std::chrono::milliseconds(work);
        upstream.busy_until.insert(end);
        work_.emplace(end, std::pair(send.id, send.upstream));
    }

    void end_work()
    {
        while (!work_.empty() && work_.begin()->first <= now_) {
            auto const [id, name] = work_.begin()->second;
            auto& busy = upstreams_[name].busy_until;
            auto const slot = busy.find(work_.begin()->first);
            if (slot != busy.end())
                busy.erase(slot);
            work_.erase(work_.begin());
            carry_out(engine_->take_send_end(
                id, {.result = send_result::answered, .status = 200, .load = {}}, now_));
        }
    }

    void note_answer(request_id id)
    {
        asked_request const& request = asked_[id];
        if (!request.counted)
            return;
        bool const in_time = now_ - request.at <= std::chrono::milliseconds(300);
        ++(in_time ? outcome_.in_time : outcome_.late);
    }

    load_options options_;
    random_source random_{7};
    time_point now_ = start_time();
    std::unique_ptr<forwarding_engine> engine_;
    std::map<upstream_name, modelled_upstream> upstreams_;
    std::map<request_id, asked_request> asked_;
    std::multimap<time_point, std::pair<request_id, upstream_name>> work_;
    std::uint64_t last_ = 0;
    load_outcome outcome_;
};

} // namespace

TEST_GROUP(forwarding_load){};

// 90 requests a second on 18 slots: 1.3 of the slots when every object is new to its upstream.
TEST(forwarding_load, overload_is_served_in_time_where_objects_are_known)
{
    load_outcome const kept = load_play({.requests_per_s = 90}).play();
    load_outcome const spread =
        load_play({.requests_per_s = 90, .objects = 400, .names_objects = false}).play();
    CHECK(kept.part_in_time() > 0.9);
    CHECK(kept.part_in_time() > spread.part_in_time() + 0.2);
}

TEST(forwarding_load, excess_is_refused_and_what_is_taken_is_in_time)
{
    load_outcome const overload = load_play({.requests_per_s = 400, .objects = 60}).play();
    CHECK(overload.refused > overload.asked / 4);
    // Whatever gets a slot is in time: slots aren't spent on answers that come late.
    CHECK(overload.late < overload.in_time / 10);
}

TEST(forwarding_load, a_region_that_lacks_slots_is_served_by_another_one)
{
    load_outcome const alone = load_play({.upstreams = 1, .requests_per_s = 60}).play();
    load_outcome const helped =
        load_play({.upstreams = 1, .far_upstreams = 6, .requests_per_s = 60}).play();
    CHECK(helped.part_in_time() > alone.part_in_time() + 0.2);
}

TEST_GROUP(spill_controller)
{
    time_point now = start_time();
    spill_controller part{{}};

    void drive(unsigned steps, bool found_slot, double far_room, double planned = 0)
    {
        for (unsigned i = 0; i < steps; ++i) {
            for (int request = 0; request < 10; ++request)
                part.note(found_slot);
            now += ms(250);
            part.step(now, far_room, planned);
        }
    }
};

TEST(spill_controller, grows_under_pressure_slowly_and_returns_without_it)
{
    drive(8, false, 0.8);
    CHECK(part.part() > 0);
    CHECK(part.part() <= 0.2);
    drive(200, false, 0.8);
    CHECK(part.part() > 0.8);
    drive(400, true, 0.8);
    DOUBLES_EQUAL(0.0, part.part(), 1e-9);
}

TEST(spill_controller, stays_where_the_other_regions_are_full_too)
{
    drive(100, false, 0.2);
    DOUBLES_EQUAL(0.0, part.part(), 1e-9);
    drive(20, false, 0.8);
    double const before = part.part();
    drive(5, false, 0.0);
    CHECK(part.part() < before);
}

TEST(spill_controller, keeps_its_planned_part_where_all_regions_are_full)
{
    drive(100, false, 0.0, 0.5);
    DOUBLES_EQUAL(0.5, part.part(), 0.03);
    drive(100, false, 0.8, 0.5);
    CHECK(part.part() > 0.8);
    drive(100, false, 0.0, 0.5);
    DOUBLES_EQUAL(0.5, part.part(), 0.03);
    drive(100, true, 0.0, 0.5);
    DOUBLES_EQUAL(0.0, part.part(), 1e-9);
}

TEST(spill_controller, begins_at_its_planned_part_once)
{
    part.begin(0.5, now);
    part.begin(0.2, now);
    DOUBLES_EQUAL(0.5, part.part(), 1e-9);
}

TEST(spill_controller, takes_anothers_part_once_and_only_at_its_begin)
{
    part.begin(0.5, now);
    CHECK(part.adopt(0.1, now + ms(400)));
    CHECK_FALSE(part.adopt(0.3, now + ms(500)));
    DOUBLES_EQUAL(0.1, part.part(), 1e-9);
    spill_controller late{{}};
    late.begin(0.5, now);
    CHECK_FALSE(late.adopt(0.1, now + ms(2'000)));
    DOUBLES_EQUAL(0.5, late.part(), 1e-9);
}

TEST_GROUP(balanced_spill_fraction){};

TEST(balanced_spill_fraction, is_what_a_region_lacks_beside_the_others)
{
    DOUBLES_EQUAL(
        0.5,
        balanced_spill_fraction(
            {.region_slots = 6, .total_slots = 36, .region_entries = 3, .total_entries = 9}),
        1e-9);
    DOUBLES_EQUAL(
        0.0,
        balanced_spill_fraction(
            {.region_slots = 18, .total_slots = 36, .region_entries = 3, .total_entries = 9}),
        1e-9);
    DOUBLES_EQUAL(
        1.0,
        balanced_spill_fraction(
            {.region_slots = 0, .total_slots = 36, .region_entries = 3, .total_entries = 9}),
        1e-9);
    DOUBLES_EQUAL(0.0, balanced_spill_fraction({}), 1e-9);
}

TEST_GROUP(recent_objects){};

TEST(recent_objects, forgets_what_was_used_longest_ago)
{
    recent_objects memory(2);
    memory.note(1);
    memory.note(2);
    memory.note(1);
    memory.note(3);
    CHECK(memory.contains(1));
    CHECK(!memory.contains(2));
    CHECK(memory.contains(3));
    memory.note(0); // No object.
    CHECK(memory.contains(1));
}
