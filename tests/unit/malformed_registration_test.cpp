#include "libraries/discovery/registry_update.hpp"
#include "libraries/wire/codec.hpp"
#include "platform/operator_documents.hpp"
#include "platform/platform_dialect.hpp"

#include "tests/fakes/harness.hpp"
#include "tests/fakes/store_positions.hpp"

#include <string>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr std::string_view valid_registration =
    R"({"address":"10.0.0.1:80","info":{"service":"s","version":"v1","zone":"z","slots":3},)"
    R"("status":{"state":"ready","seq":4,"coldLeftMs":120},"born":99})";

std::optional<upstream_registration> parse(std::string const& text)
{
    return handle_failure(
        [&]() -> result<std::optional<upstream_registration>> {
            BOOST_LEAF_AUTO(parsed, platform::parse_registration(upstream_name("i-1"), text));
            return std::optional(std::move(parsed));
        },
        [](failure const&) { return std::optional<upstream_registration>{}; });
}

/// The valid registration with the first occurrence of one part replaced.
std::string with(std::string_view original, std::string_view replacement)
{
    std::string text(valid_registration);
    return text.replace(text.find(original), original.size(), replacement);
}

upstream_record record_with_names_of(std::size_t bytes)
{
    upstream_record record;
    upstream_registration& registration = record.registration;
    registration.name = upstream_name(std::string(bytes, 'n'));
    registration.service = service_name(std::string(bytes, 's'));
    registration.place = place_name(std::string(bytes, 'p'));
    registration.at = {.ip = 0x0a000001, .port = 80};
    registration.slots = slot_count(3);
    record.written_at = at_version(1);
    return record;
}

} // namespace

TEST_GROUP(malformed_registration)
{
    platform::platform_dialect dialect;

    std::optional<load_report> read_load(std::string const& header)
    {
        http1::message_head const head{.status = 200,
                                       .headers = {{.name = "x-backend-load", .value = header}}};
        return dialect.read_answer(head).load;
    }
};

TEST(malformed_registration, ports_out_of_range_are_rejected)
{
    for (char const* port : {"0", "65536", "-1", "4294967376", "80x", ""})
        CHECK_TEXT(!parse(with("10.0.0.1:80", std::string("10.0.0.1:") + port)), port);
    CHECK(parse(with("10.0.0.1:80", "10.0.0.1:65535")).has_value());
}

TEST(malformed_registration, slots_out_of_range_are_rejected)
{
    for (char const* slots :
         {"0", "-1", "4000000000", "4294967297", "9223372036854775808", "18446744073709551615",
          "18446744073709551616", "1e400", "-1e400", "2.5", "[3]"})
        CHECK_TEXT(!parse(with("\"slots\":3", std::string("\"slots\":") + slots)), slots);
}

TEST(malformed_registration, sequence_and_start_that_are_no_int64_are_rejected)
{
    for (char const* number :
         {"9223372036854775808", "18446744073709551615", "18446744073709551616", "1e400"}) {
        CHECK_TEXT(!parse(with("\"seq\":4", std::string("\"seq\":") + number)), number);
        CHECK_TEXT(!parse(with("\"born\":99", std::string("\"born\":") + number)), number);
    }
}

TEST(malformed_registration, cold_time_that_is_absurd_is_bounded)
{
    for (char const* number : {"1e300", "18446744073709551615", "9e15"}) {
        auto const parsed =
            parse(with("\"coldLeftMs\":120", std::string("\"coldLeftMs\":") + number));
        CHECK_TEXT(parsed.has_value(), number);
        CHECK_TEXT(parsed->cold_left >= duration::zero(), number);
        CHECK_TEXT(parsed->cold_left <= std::chrono::minutes(10), number);
    }
    auto const negative = parse(with("\"coldLeftMs\":120", "\"coldLeftMs\":-1e300"));
    CHECK(negative.has_value());
    CHECK(negative->cold_left == duration::zero());
}

TEST(malformed_registration, deep_nesting_is_rejected)
{
    constexpr std::size_t depth = 10'000;
    for (auto const& [open, close] : {std::pair{"[", "]"}, std::pair{"{\"a\":", "}"}}) {
        std::string nested;
        for (std::size_t i = 0; i < depth; ++i)
            nested += open;
        nested += "1";
        for (std::size_t i = 0; i < depth; ++i)
            nested += close;
        CHECK(!parse(nested));
        CHECK(!parse(with("\"version\":\"v1\"", "\"version\":" + nested)));
    }
}

TEST(malformed_registration, bytes_that_are_no_text_are_rejected)
{
    CHECK(!parse(std::string("\x00\xff\xfe", 3)));
    CHECK(!parse(with("\"service\":\"s\"", "\"service\":\"\xff\"")));
}

TEST(malformed_registration, names_over_the_limit_of_the_store_are_rejected)
{
    std::string const longest(200, 'x');
    CHECK(parse(with("\"service\":\"s\"", "\"service\":\"" + longest + "\"")).has_value());
    CHECK(!parse(with("\"service\":\"s\"", "\"service\":\"" + longest + "x\"")));
    CHECK(!parse(with("\"zone\":\"z\"", "\"zone\":\"" + longest + "x\"")));
}

TEST(malformed_registration, registrations_with_the_longest_names_fit_in_an_update)
{
    std::vector<upstream_record> records;
    for (char const digit : {'0', '1', '2', '3'}) {
        records.push_back(record_with_names_of(200));
        records.back().registration.name = upstream_name(std::string(199, 'n') + digit);
    }
    std::size_t sent_changes = 0;
    registry_update_assembler assembler;
    for (wire::registry_update_message const& each :
         make_registry_update_pieces(at_version(1), at_version(2), records)) {
        std::string const bytes = wire::encode(each);
        CHECK(bytes.size() <= wire::max_datagram_bytes);
        sent_changes += each.changes.get().size();
    }
    LONGS_EQUAL(4, sent_changes);
}

TEST(malformed_registration, load_reports_with_impossible_numbers_are_ignored)
{
    for (char const* header : {"nan,0,3", "inf,0,3", "1e300,0,3", "-1,0,3", "0,-1e300,3",
                               "0,0,4294967296", "0,0,3,nan", "0,0,3,1e300", "0,0,3,-5"})
        CHECK_TEXT(!read_load(header), header);
    CHECK(read_load("1,0,3,150").has_value());
}

TEST(malformed_registration, cold_header_and_callers_deadline_are_bounded)
{
    for (char const* number : {"1e300", "18446744073709551616", "inf"}) {
        http1::message_head const answer{.status = 200,
                                         .headers = {{.name = "x-cold-ms", .value = number}}};
        auto const report = dialect.read_health(answer, upstream_name("u"));
        CHECK_TEXT(!report.cold_left || *report.cold_left <= std::chrono::minutes(10), number);
        CHECK_TEXT(!report.cold_left || *report.cold_left >= duration::zero(), number);
        http1::message_head const request{.method = "GET",
                                          .target = "/x",
                                          .headers = {{.name = "x-deadline-ms", .value = number}}};
        auto const arrival = dialect.read_request(request);
        CHECK_TEXT(!arrival.time_left || *arrival.time_left > duration::zero(), number);
        CHECK_TEXT(!arrival.time_left || *arrival.time_left <= std::chrono::hours(1), number);
    }
    http1::message_head const nan{.status = 200,
                                  .headers = {{.name = "x-cold-ms", .value = "nan"}}};
    CHECK(!dialect.read_health(nan, upstream_name("u")).cold_left);
}
