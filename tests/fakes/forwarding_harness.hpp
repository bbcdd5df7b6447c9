/// Base of test groups that run a forwarding engine with sample routes and upstreams.
#pragma once

#include "libraries/forwarding/forwarding_engine.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/routing_samples.hpp"

#include <memory>
#include <string>
#include <vector>

namespace burdockstep::testing {

/// Returns the first command of the given type, or null.
template <class Command>
Command const* find_command(std::vector<forwarding_command> const& commands)
{
    for (forwarding_command const& each : commands) {
        if (auto const* const found = std::get_if<Command>(&each))
            return found;
    }
    return nullptr;
}

/// Owns an engine, the time that it is told, and the numbers of its requests, which count from 1.
class forwarding_harness : public Utest
{
public:
    random_source random{1};
    time_point now = start_time();
    std::unique_ptr<forwarding_engine> engine;
    std::uint64_t last_request = 0;

    void start(unsigned upstreams, double retry_slack = 100)
    {
        forwarding_options options{
            .instance = instance_name("e"),
            .place = place_name("p"),
            .region = region_name("r"),
            .tracker_options = {},
            .admission = {},
            .region_shift_limits = {},
            .retry_budget = {.max_retry_ratio = 0.2, .fixed_retries = retry_slack}};
        engine = std::make_unique<forwarding_engine>(std::move(options), random);
        engine->update_entries({{instance_name("e"), region_name("r")}});
        engine->update_document(sample_document(), now);
        engine->update_upstreams(sample_upstreams(upstreams), now);
    }

    request_arrival make_request(std::string path, duration time_left = ms(2'000))
    {
        return {.id = request_id(++last_request),
                .caller_id = "c",
                .host = "h",
                .path = std::move(path),
                .time_left = time_left};
    }

    forwarding_engine::commands submit(std::string path, duration time_left = ms(2'000))
    {
        return engine->submit(make_request(std::move(path), time_left), now);
    }

    forwarding_engine::commands end_send(std::uint64_t id, send_result result, int status = 0)
    {
        return engine->handle_send_end(request_id(id), {.result = result, .status = status}, now);
    }

    /// Advances time in steps of a millisecond, and returns the commands of all ticks.
    forwarding_engine::commands advance_time(duration span)
    {
        forwarding_engine::commands all_commands;
        for (time_point const until = now + span; now < until;) {
            now += ms(1);
            auto const tick_commands = engine->tick(now);
            all_commands.insert(all_commands.end(), tick_commands.begin(), tick_commands.end());
        }
        return all_commands;
    }
};

} // namespace burdockstep::testing
