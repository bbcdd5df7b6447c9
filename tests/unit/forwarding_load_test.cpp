// Simulates loads on the forwarding engine in virtual time, and checks how many requests are
// answered in time, answered late and refused.
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

/// Service time for an object that the upstream handled recently, and for any other object.
constexpr std::int64_t recent_object_work_ms = 80;
constexpr std::int64_t new_object_work_ms = 260;
constexpr unsigned slots_per_upstream = 3;
constexpr std::size_t recent_objects_per_upstream = 30;

/// Model of an upstream: runs one request per slot at a time and queues the others.
struct modelled_upstream
{
    recent_objects memory{recent_objects_per_upstream};
    std::multiset<time_point> work_end_times;
};

/// Counts of the requests after the warm-up, and of how they ended.
struct load_outcome
{
    unsigned total_requests = 0;
    unsigned in_time = 0;
    unsigned late = 0;
    unsigned refused = 0;

    double in_time_fraction() const { return static_cast<double>(in_time) / total_requests; }
};

/// Parameters of a simulated load.
struct load_options
{
    unsigned upstreams = 6;
    unsigned upstreams_elsewhere = 0; ///< Upstreams in another region.
    double requests_per_s = 40;
    unsigned objects = 60;
    bool names_objects = true; ///< Whether the engine is told the object of each request.
    duration simulated_time = std::chrono::seconds(40);
    duration warm_up_time = std::chrono::seconds(10);
};

/// Submits requests to one engine and executes its sends on modelled upstreams.
class load_simulation
{
public:
    explicit load_simulation(load_options options) : options_(options)
    {
        forwarding_options engine_options{
            .instance = instance_name("e"), .place = place_name("p"), .region = region_name("r")};
        engine_ = std::make_unique<forwarding_engine>(std::move(engine_options), random_);
        engine_->update_entries({{instance_name("e"), region_name("r")}});
        engine_->update_document(sample_document(), now_);
        auto upstreams = sample_upstreams(options_.upstreams + options_.upstreams_elsewhere);
        for (auto& [name, known] : upstreams) {
            known.registration.slots = slot_count(slots_per_upstream);
            if (std::stoul(name.get().substr(1)) > options_.upstreams) {
                known.region = region_name("far");
                known.registration.place = place_name("far-1");
            }
        }
        engine_->update_upstreams(upstreams, now_);
    }

    load_outcome run()
    {
        time_point const start = now_;
        time_point next_arrival = now_;
        while (now_ < start + options_.simulated_time) {
            now_ += std::chrono::milliseconds(1);
            while (next_arrival <= now_) {
                submit(now_ - start >= options_.warm_up_time);
                next_arrival += std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                    random_.exponential(1 / options_.requests_per_s)));
            }
            end_work();
            execute(engine_->tick(now_));
        }
        return outcome_;
    }

private:
    struct tracked_request
    {
        time_point submitted_at;
        std::uint64_t object = 0;
        bool after_warm_up = false;
    };

    void submit(bool after_warm_up)
    {
        request_id const id(++last_request_id_);
        std::uint64_t const object = 1 + random_.below(options_.objects);
        tracked_requests_[id] = {
            .submitted_at = now_, .object = object, .after_warm_up = after_warm_up};
        outcome_.total_requests += after_warm_up ? 1 : 0;
        execute(engine_->submit({.id = id,
                                 .caller_id = "c",
                                 .host = "h",
                                 .path = "/read/x",
                                 .object = options_.names_objects ? object : 0,
                                 .time_left = std::chrono::seconds(2)},
                                now_));
    }

    void execute(forwarding_engine::commands const& engine_commands)
    {
        for (forwarding_command const& each : engine_commands) {
            if (auto const* const send = std::get_if<send_request>(&each))
                start_work(*send);
            else if (auto const* const answer = std::get_if<deliver_answer>(&each))
                record_answer(answer->id);
            else if (auto const* const refused = std::get_if<refuse_request>(&each))
                outcome_.refused += tracked_requests_[refused->id].after_warm_up ? 1 : 0;
        }
    }

    void start_work(send_request const& send)
    {
        modelled_upstream& upstream = upstreams_[send.upstream];
        std::uint64_t const object = tracked_requests_[send.id].object;
        std::int64_t const work =
            upstream.memory.contains(object) ? recent_object_work_ms : new_object_work_ms;
        upstream.memory.note(object);
        time_point begin = now_;
        if (upstream.work_end_times.size() >= slots_per_upstream) {
            begin = *upstream.work_end_times.begin();
            upstream.work_end_times.erase(upstream.work_end_times.begin());
        }
        time_point const end = std::max(begin, now_) + std::chrono::milliseconds(work);
        upstream.work_end_times.insert(end);
        work_in_progress_.emplace(end, std::pair(send.id, send.upstream));
    }

    void end_work()
    {
        while (!work_in_progress_.empty() && work_in_progress_.begin()->first <= now_) {
            auto const [id, name] = work_in_progress_.begin()->second;
            auto& end_times = upstreams_[name].work_end_times;
            auto const slot = end_times.find(work_in_progress_.begin()->first);
            if (slot != end_times.end())
                end_times.erase(slot);
            work_in_progress_.erase(work_in_progress_.begin());
            execute(engine_->handle_send_end(
                id, {.result = send_result::answered, .status = 200, .load = {}}, now_));
        }
    }

    void record_answer(request_id id)
    {
        tracked_request const& request = tracked_requests_[id];
        if (!request.after_warm_up)
            return;
        bool const in_time = now_ - request.submitted_at <= std::chrono::milliseconds(300);
        ++(in_time ? outcome_.in_time : outcome_.late);
    }

    load_options options_;
    random_source random_{7};
    time_point now_ = start_time();
    std::unique_ptr<forwarding_engine> engine_;
    std::map<upstream_name, modelled_upstream> upstreams_;
    std::map<request_id, tracked_request> tracked_requests_;
    std::multimap<time_point, std::pair<request_id, upstream_name>> work_in_progress_;
    std::uint64_t last_request_id_ = 0;
    load_outcome outcome_;
};

} // namespace

TEST_GROUP(forwarding_load){};

// 90 requests per second on 18 slots need 1.3 times the slots if no upstream has handled the
// request's object recently.
TEST(forwarding_load, object_affinity_serves_in_time_a_load_that_is_too_high_without_it)
{
    load_outcome const with_object_affinity = load_simulation({.requests_per_s = 90}).run();
    load_outcome const without_object_affinity =
        load_simulation({.requests_per_s = 90, .objects = 400, .names_objects = false}).run();
    CHECK(with_object_affinity.in_time_fraction() > 0.9);
    CHECK(with_object_affinity.in_time_fraction() >
          without_object_affinity.in_time_fraction() + 0.2);
}

TEST(forwarding_load, excess_requests_are_refused_and_accepted_ones_are_answered_in_time)
{
    load_outcome const overload = load_simulation({.requests_per_s = 400, .objects = 60}).run();
    CHECK(overload.refused > overload.total_requests / 4);
    // Almost all requests that get a slot are answered in time: no slots are wasted on late ones.
    CHECK(overload.late < overload.in_time / 10);
}

// This region has 3 slots. 60 requests per second of at least 80 ms need 4.8 or more.
TEST(forwarding_load, region_with_too_few_slots_is_helped_by_another_region)
{
    load_outcome const without_other_region =
        load_simulation({.upstreams = 1, .requests_per_s = 60}).run();
    load_outcome const with_other_region =
        load_simulation({.upstreams = 1, .upstreams_elsewhere = 6, .requests_per_s = 60}).run();
    CHECK(with_other_region.in_time_fraction() > without_other_region.in_time_fraction() + 0.2);
}

TEST_GROUP(spill_controller)
{
    time_point now = start_time();
    spill_controller part{{}};

    void run_steps(unsigned steps, bool request_found_slot, double free_fraction_elsewhere,
                   double planned_fraction = 0)
    {
        for (unsigned i = 0; i < steps; ++i) {
            for (int request = 0; request < 10; ++request)
                part.note(request_found_slot);
            now += ms(250);
            part.step(now, free_fraction_elsewhere, planned_fraction);
        }
    }
};

TEST(spill_controller, grows_gradually_under_pressure_and_returns_to_zero_without_it)
{
    run_steps(8, false, 0.8);
    CHECK(part.part() > 0);
    CHECK(part.part() <= 0.2);
    run_steps(200, false, 0.8);
    CHECK(part.part() > 0.8);
    run_steps(400, true, 0.8);
    DOUBLES_EQUAL(0.0, part.part(), 1e-9);
}

TEST(spill_controller, does_not_grow_while_other_regions_are_full_and_shrinks_when_they_fill_up)
{
    run_steps(100, false, 0.2);
    DOUBLES_EQUAL(0.0, part.part(), 1e-9);
    run_steps(20, false, 0.8);
    double const before = part.part();
    run_steps(5, false, 0.0);
    CHECK(part.part() < before);
}

TEST(spill_controller, approaches_the_planned_part_when_all_regions_are_full)
{
    run_steps(100, false, 0.0, 0.5);
    DOUBLES_EQUAL(0.5, part.part(), 0.03);
    run_steps(100, false, 0.8, 0.5);
    CHECK(part.part() > 0.8);
    run_steps(100, false, 0.0, 0.5);
    DOUBLES_EQUAL(0.5, part.part(), 0.03);
    run_steps(100, true, 0.0, 0.5);
    DOUBLES_EQUAL(0.0, part.part(), 1e-9);
}

TEST(spill_controller, only_the_first_begin_sets_the_part)
{
    part.begin(0.5, now);
    part.begin(0.2, now);
    DOUBLES_EQUAL(0.5, part.part(), 1e-9);
}

TEST(spill_controller, adopts_the_part_of_another_entry_once_and_only_shortly_after_begin)
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

TEST(balanced_spill_fraction, is_the_fraction_by_which_a_region_lacks_its_share_of_slots)
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

TEST(recent_objects, evicts_the_least_recently_used_object)
{
    recent_objects memory(2);
    memory.note(1);
    memory.note(2);
    memory.note(1);
    memory.note(3);
    CHECK(memory.contains(1));
    CHECK(!memory.contains(2));
    CHECK(memory.contains(3));
    memory.note(0); // 0 stands for no object and isn't kept.
    CHECK(memory.contains(1));
}
