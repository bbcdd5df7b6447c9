// The setting that limits withdrawn keys, and the clock by which the limit is kept.
#include "libraries/configuration/gateway_settings.hpp"

#include "tests/fakes/harness.hpp"

#include <ctime>

using namespace burdockstep;
using namespace burdockstep::testing;

TEST_GROUP(key_revocation_setting){
    static gateway_settings_parse_result read(std::string const& limits){
        return read_gateway_settings("f", R"([instance]
name = "e"
place = "p"
region = "r"
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
lookups = "127.0.0.1:3"
metrics = "127.0.0.1:4"
peers = "127.0.0.1:5"
store = "127.0.0.1:6"
[limits]
)" + limits + "\n[places]\np = \"r\"\n");
}
}
;

TEST(key_revocation_setting, is_read_and_absent_by_default)
{
    CHECK(read("key_revocation_limit_ms = 5000").settings->key_revocation_limit == ms(5'000));
    CHECK(read("").settings->key_revocation_limit == duration::zero());
    CHECK(read("key_revocation_limit_ms = 0").settings->key_revocation_limit == duration::zero());
}

TEST(key_revocation_setting, a_limit_that_cannot_be_kept_is_an_error)
{
    for (char const* const value : {"-1", "1", "2999", "3600001", "\"5000\""}) {
        auto const parsed = read(std::string("key_revocation_limit_ms = ") + value);
        CHECK(!parsed.settings);
        LONGS_EQUAL(1, parsed.findings.size());
        LONGS_EQUAL(12, parsed.findings[0].line);
    }
    CHECK(read("key_revocation_limit_ms = 3000").settings.has_value());
}

TEST(key_revocation_setting, the_clock_counts_the_time_since_the_machine_s_boot)
{
    auto const since_boot = [] {
        timespec now{};
        clock_gettime(CLOCK_BOOTTIME, &now);
        return std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                    std::chrono::nanoseconds(now.tv_nsec));
    };
    duration const before = since_boot();
    duration const measured = system_clock_source().now().time_since_epoch();
    CHECK(before <= measured);
    CHECK(measured <= since_boot());
}
