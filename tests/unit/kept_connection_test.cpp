#include "libraries/http1/client.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/scripted_upstream.hpp"

#include <fmt/format.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr int status_ok = 200;
constexpr int status_misdirected = 421;
constexpr int status_unavailable = 503;

std::string answer_text(int status, std::string_view id, std::string_view body)
{
    std::string const id_line = id.empty() ? std::string() : fmt::format("X-Id: {}\r\n", id);
    std::string_view const refusal_line = status == status_ok ? "" : "X-Not-Run: 1\r\n";
    return fmt::format("HTTP/1.1 {} Status\r\n{}{}Content-Length: {}\r\n\r\n{}", status,
                       refusal_line, id_line, body.size(), body);
}

http1::call_options call_with_id(address const& to, std::string const& id)
{
    http1::call_options options{.to = to,
                                .headers = {{.name = "x-id", .value = id}},
                                .body = {},
                                .answer_id = {.name = "x-id", .value = id},
                                .answer_timeout = ms(3'000)};
    if (id.empty())
        options.answer_id = {};
    return options;
}

/// Reacts to the n-th request with the n-th reaction.
scripted_upstream::script in_order(std::vector<upstream_reaction> reactions)
{
    return
        [reactions = std::move(reactions), next = std::size_t{0}](std::string const&, int) mutable {
            return next < reactions.size() ? reactions[next++] : upstream_reaction{.closes = true};
        };
}

} // namespace

TEST_GROUP(kept_connection)
{
    event_loop loop;
    system_clock_source clock;
    std::unique_ptr<http1::client> client =
        std::make_unique<http1::client>(loop, clock, http1::client_limits{});

    void teardown() override
    {
        client.reset();
    }

    http1::call_result call_and_wait(http1::call_options options)
    {
        std::optional<http1::call_result> reported_result;
        client->start(std::move(options), [&](http1::call_result result) {
            reported_result = std::move(result);
            loop.stop();
        });
        timer time_limit(loop);
        time_limit.start_once(std::chrono::seconds(5), [&] { loop.stop(); });
        loop.run();
        CHECK_TEXT(reported_result.has_value(), "the call did not end within 5 s");
        return *reported_result;
    }

    /// Calls with id "first", which is refused, then with `second_id`, which is run. Returns the
    /// result of the second call.
    http1::call_result call_twice(std::string const& second_id,
                                  std::vector<std::string> first_segments,
                                  std::vector<std::string> second_segments)
    {
        scripted_upstream const upstream(in_order(
            {{.segments = std::move(first_segments)}, {.segments = std::move(second_segments)}}));
        auto const first = call_and_wait(call_with_id(upstream.at(), "first"));
        CHECK(first.end == http1::call_end::complete);
        LONGS_EQUAL(status_unavailable, first.head.status);
        auto result = call_and_wait(call_with_id(upstream.at(), second_id));
        client = std::make_unique<http1::client>(loop, clock, http1::client_limits{});
        return result;
    }

    void check_is_answer_to_the_second_call(http1::call_result const& result)
    {
        CHECK(result.end == http1::call_end::complete);
        LONGS_EQUAL(status_ok, result.head.status);
        STRCMP_EQUAL("second", result.body.c_str());
    }
};

TEST(kept_connection, copy_of_an_earlier_refusal_is_not_the_answer_to_a_later_call)
{
    std::string const refusal = answer_text(status_unavailable, "first", "busy");
    std::string const own = answer_text(status_ok, "second", "second");
    check_is_answer_to_the_second_call(call_twice("second", {refusal}, {refusal + own}));
    check_is_answer_to_the_second_call(call_twice("second", {refusal}, {refusal, own}));
    check_is_answer_to_the_second_call(
        call_twice("second", {refusal}, {refusal.substr(0, 20), refusal.substr(20), own}));
    check_is_answer_to_the_second_call(call_twice("second", {refusal + refusal}, {own}));
    check_is_answer_to_the_second_call(call_twice("second", {refusal, refusal}, {own}));
    std::string const misdirected = answer_text(status_misdirected, "first", "");
    check_is_answer_to_the_second_call(call_twice("second", {refusal}, {misdirected, own}));
}

TEST(kept_connection, copy_without_an_id_is_not_the_answer_to_a_later_call)
{
    std::string const refusal = answer_text(status_unavailable, "first", "busy");
    std::string const copy = answer_text(status_unavailable, "", "busy");
    std::string const own = answer_text(status_ok, "second", "second");
    check_is_answer_to_the_second_call(call_twice("second", {refusal}, {copy + own}));
    check_is_answer_to_the_second_call(call_twice("second", {refusal}, {copy, own}));
}

TEST(kept_connection, answer_without_the_id_of_its_call_is_not_believed_on_a_new_connection)
{
    std::string const without_id = answer_text(status_unavailable, "", "busy");
    std::string const own = answer_text(status_ok, "second", "second");
    scripted_upstream const upstream(in_order({{.segments = {without_id + own}}}));
    check_is_answer_to_the_second_call(call_and_wait(call_with_id(upstream.at(), "second")));
}

TEST(kept_connection, answer_without_the_id_behind_one_to_another_call_is_not_believed)
{
    std::string const foreign = answer_text(status_unavailable, "other", "busy");
    std::string const without_id = answer_text(status_unavailable, "", "busy");
    scripted_upstream const upstream(
        in_order({{.segments = {foreign + without_id}, .closes = true}}));
    auto const result = call_and_wait(call_with_id(upstream.at(), "second"));
    CHECK(result.end == http1::call_end::broken);
}

TEST(kept_connection, call_with_the_id_of_an_earlier_one_is_not_made_on_its_connection)
{
    std::string const refusal = answer_text(status_unavailable, "same", "busy");
    std::string const own = answer_text(status_ok, "same", "second");
    scripted_upstream const upstream([&](std::string const&, int connection) {
        if (connection == 0)
            return upstream_reaction{.segments = {refusal}};
        return upstream_reaction{.segments = {own}};
    });
    CHECK(call_and_wait(call_with_id(upstream.at(), "same")).end == http1::call_end::complete);
    check_is_answer_to_the_second_call(call_and_wait(call_with_id(upstream.at(), "same")));
}

TEST(kept_connection, connection_is_not_used_again_after_very_many_calls)
{
    scripted_upstream const upstream([](std::string const& request, int connection) {
        std::size_t const start = request.find("x-id: ") + 6;
        std::string const id = request.substr(start, request.find("\r\n", start) - start);
        return upstream_reaction{
            .segments = {answer_text(status_ok, id, fmt::format("{}", connection))}};
    });
    constexpr int more_calls_than_a_connection_carries = 1'100;
    std::string last_connection;
    for (int i = 0; i < more_calls_than_a_connection_carries; ++i)
        last_connection = call_and_wait(call_with_id(upstream.at(), fmt::format("id{}", i))).body;
    STRCMP_EQUAL("1", last_connection.c_str());
}

TEST(kept_connection, call_without_an_id_is_made_on_a_new_connection_where_that_is_asked_for)
{
    std::string const refusal = answer_text(status_unavailable, "first", "busy");
    scripted_upstream const upstream([&](std::string const&, int connection) {
        if (connection == 0)
            return upstream_reaction{.segments = {refusal}};
        return upstream_reaction{.segments = {answer_text(status_ok, "", "second")}};
    });
    CHECK(call_and_wait(call_with_id(upstream.at(), "first")).end == http1::call_end::complete);
    auto options = call_with_id(upstream.at(), "");
    options.on_new_connection = true;
    check_is_answer_to_the_second_call(call_and_wait(std::move(options)));
}

TEST(kept_connection, beginning_of_a_copy_behind_an_answer_ends_its_connection)
{
    std::string const refusal = answer_text(status_unavailable, "first", "busy");
    std::string const own = answer_text(status_ok, "second", "second");
    for (std::size_t size = 1; size <= refusal.size(); ++size) {
        auto const result = call_twice("second", {refusal + refusal.substr(0, size)}, {own});
        check_is_answer_to_the_second_call(result);
        CHECK_TEXT(!result.on_reused_connection, fmt::format("{} bytes", size).c_str());
    }
}

TEST(kept_connection, cut_copy_and_the_answer_behind_it_are_not_read_as_one_answer)
{
    std::string const refusal = answer_text(status_unavailable, "first", "busy");
    std::string const own = answer_text(status_ok, "second", "second");
    for (std::size_t size = 1; size < refusal.size(); ++size) {
        scripted_upstream const upstream(
            in_order({{.segments = {answer_text(status_ok, "first", "first")}},
                      {.segments = {refusal.substr(0, size) + own}, .closes = true}}));
        CHECK(call_and_wait(call_with_id(upstream.at(), "first")).end == http1::call_end::complete);
        auto const result = call_and_wait(call_with_id(upstream.at(), "second"));
        CHECK_TEXT(result.end == http1::call_end::broken || result.head.status == status_ok,
                   fmt::format("{} bytes", size).c_str());
    }
}

TEST(kept_connection, trailers_of_an_answer_are_not_taken_for_headers_of_the_next_one)
{
    std::string const with_trailers = "HTTP/1.1 503 Status\r\nX-Id: first\r\nTransfer-Encoding: "
                                      "chunked\r\n\r\n4\r\nbusy\r\n0\r\nX-Sum: 1\r\n\r\n";
    std::string const own =
        "HTTP/1.1 200 Status\r\nX-Id: second\r\nContent-Length: 6\r\n\r\nsecond";
    check_is_answer_to_the_second_call(call_twice("second", {with_trailers}, {own}));
}

TEST(kept_connection, answer_without_a_body_ends_with_its_head_whatever_length_it_states)
{
    std::string const refusal = answer_text(status_unavailable, "first", "busy");
    std::string const own = answer_text(status_ok, "second", "second");
    for (char const* length : {"Content-Length: 9", "Transfer-Encoding: chunked"}) {
        check_is_answer_to_the_second_call(call_twice(
            "second", {refusal}, {fmt::format("HTTP/1.1 103 Hints\r\n{}\r\n\r\n", length) + own}));
        auto const unchanged = call_twice(
            "second", {refusal},
            {fmt::format("HTTP/1.1 304 Not Modified\r\nX-Id: second\r\n{}\r\n\r\n", length)});
        CHECK_TEXT(unchanged.end == http1::call_end::complete, length);
        LONGS_EQUAL(304, unchanged.head.status);
        STRCMP_EQUAL("", unchanged.body.c_str());
    }
}

namespace {

/// An upstream that sends copies of earlier answers, whole or cut, at random moments, and that
/// remembers which calls it ran.
class copying_upstream
{
public:
    explicit copying_upstream(std::uint64_t seed) : random_(seed) {}

    upstream_reaction react(std::string const& request, int connection)
    {
        std::string const id = header(request, "x-id: ");
        std::string const call = header(request, "x-call: ");
        bool const runs = chance(50);
        {
            std::lock_guard const lock(mutex_);
            was_run_[call] = runs;
        }
        std::string const own = answer_text(runs ? status_ok : status_unavailable, id, call);
        auto& earlier = earlier_answers_[connection];
        upstream_reaction reaction;
        if (!earlier.empty() && chance(15))
            add(reaction, copy_of(earlier));
        if (chance(5)) {
            add(reaction, own.substr(0, random_() % own.size()));
            reaction.closes = true;
            return reaction;
        }
        add(reaction, own);
        earlier.push_back(own);
        if (chance(20))
            add(reaction, copy_of(earlier));
        reaction.closes = chance(5);
        return reaction;
    }

    bool was_run(std::string const& call)
    {
        std::lock_guard const lock(mutex_);
        return was_run_[call];
    }

private:
    static std::string header(std::string const& request, std::string_view name)
    {
        std::size_t const start = request.find(name) + name.size();
        return request.substr(start, request.find("\r\n", start) - start);
    }

    bool chance(unsigned percent) { return random_() % 100 < percent; }

    std::string copy_of(std::vector<std::string> const& earlier)
    {
        std::string copy = earlier[random_() % earlier.size()];
        if (chance(30)) {
            std::size_t const id_start = copy.find("X-Id: ");
            copy.erase(id_start, copy.find("\r\n", id_start) + 2 - id_start);
        }
        if (chance(40))
            copy.resize(1 + random_() % copy.size());
        return copy;
    }

    /// Adds bytes to the last segment or behind it.
    void add(upstream_reaction& reaction, std::string const& bytes)
    {
        if (reaction.segments.empty() || chance(50))
            reaction.segments.push_back(bytes);
        else
            reaction.segments.back() += bytes;
    }

    std::minstd_rand random_;
    std::map<int, std::vector<std::string>> earlier_answers_; ///< By connection.
    std::mutex mutex_;
    std::map<std::string, bool> was_run_; ///< By call.
};

} // namespace

TEST(kept_connection, no_call_gets_another_ones_answer_from_an_upstream_that_copies_answers)
{
    constexpr int calls_per_seed = 60;
    int complete_calls = 0;
    for (unsigned const seed : {1U, 2U, 3U, 4U, 5U}) {
        copying_upstream faulty(seed);
        scripted_upstream const upstream([&](std::string const& request, int connection) {
            return faulty.react(request, connection);
        });
        client = std::make_unique<http1::client>(loop, clock, http1::client_limits{});
        std::minstd_rand random(seed);
        int id = 0;
        for (int call = 0; call < calls_per_seed; ++call) {
            id += random() % 4 == 0 ? 0 : 1; // Some calls carry the id of the call before.
            std::string const call_text = fmt::format("{}", call);
            auto options = call_with_id(upstream.at(), fmt::format("id{}", id));
            options.headers.add("x-call", call_text);
            options.answer_timeout = ms(20);
            auto const result = call_and_wait(std::move(options));
            if (result.end != http1::call_end::complete)
                continue;
            ++complete_calls;
            std::string const where = fmt::format("seed {}, call {}", seed, call);
            STRCMP_EQUAL_TEXT(call_text.c_str(), result.body.c_str(), where.c_str());
            CHECK_TEXT(faulty.was_run(call_text) == (result.head.status == status_ok),
                       where.c_str());
        }
    }
    CHECK(complete_calls > calls_per_seed);
}
