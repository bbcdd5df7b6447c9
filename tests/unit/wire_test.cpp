#include "libraries/core/random.hpp"
#include "libraries/wire/codec.hpp"

#include "tests/fakes/harness.hpp"

using namespace burdockstep;

namespace {

wire::heartbeat sample_heartbeat()
{
    wire::heartbeat heartbeat_message;
    heartbeat_message.sender = {.instance = wire::name_text("armor-1"),
                                .incarnation = 7,
                                .epoch = 2,
                                .heartbeat_number = 9,
                                .configuration = 3};
    heartbeat_message.head = {.version = 3, .document = digest_of("text")};
    heartbeat_message.directives = {.era = store_era(2), .version = store_version(40)};
    heartbeat_message.member_updates.add(heartbeat_message.sender);
    heartbeat_message.leaving.add(
        {.name = wire::registry_text("levels-brest-1"), .started_ms = 99, .age_ms = 12});
    return heartbeat_message;
}

bool is_rejected_as_malformed(std::string_view bytes)
{
    return handle_failure(
        [&]() -> result<bool> {
            BOOST_LEAF_CHECK(wire::decode(bytes));
            return false;
        },
        [](failure const& error) { return error.kind == error_kind::malformed; });
}

wire::message round_trip(wire::message const& message)
{
    return handle_failure([&] { return wire::decode(wire::encode(message)); },
                          [](failure const&) { return wire::message{}; });
}

} // namespace

TEST_GROUP(wire){};

TEST(wire, messages_survive_encoding_and_decoding)
{
    wire::state_answer state;
    state.head.version = 5;
    state.document = wire::document_text("[deployment]");
    state.instances.add({.instance = wire::name_text("armor-2"), .leaving = true});
    wire::member_records records;
    records.records.add({.instance = wire::name_text("armor-2"), .incarnation = 3});
    wire::quota_questions questions{.number = 9, .items = {}};
    questions.items.add({.team = 0x0123456789abcdef, .share = 3, .wanted = 500});
    wire::quota_grants grants{.number = 9, .items = {}};
    grants.items.add({.team = 0x0123456789abcdef, .share = 3, .granted = 499, .wait_ms = 20});
    wire::registry_question question{.digests = {}, .is_counter_question = true};
    question.digests.add(0x01234567);
    wire::registry_records_message known;
    known.records.add({.name = wire::registry_text("u1"),
                       .state = wire::registration_state::gone,
                       .start_revision = 2,
                       .written_at = {.era = store_era(2), .version = store_version(40)},
                       .removed_at = {.era = store_era(2), .version = store_version(41)}});
    wire::message const messages[] = {
        sample_heartbeat(),
        wire::pool_report{.service = wire::name_text("levels"), .slots = 12, .in_flight = 3},
        wire::state_request{.known_version = 4},
        state,
        records,
        wire::directives_question{.number = 7},
        wire::directives_proof{.number = 7,
                               .position = {.era = store_era(2), .version = store_version(40)},
                               .is_proven = true,
                               .age_ms = 900},
        questions,
        grants,
        question,
        known};
    for (wire::message const& each : messages)
        CHECK(round_trip(each) == each);
}

TEST(wire, full_heartbeat_fits_in_a_datagram)
{
    wire::heartbeat heartbeat_message = sample_heartbeat();
    heartbeat_message.member_updates = {};
    heartbeat_message.leaving = {};
    heartbeat_message.sender.instance = wire::name_text(std::string(63, 'x'));
    while (!heartbeat_message.member_updates.is_full())
        heartbeat_message.member_updates.add(heartbeat_message.sender);
    while (!heartbeat_message.leaving.is_full())
        heartbeat_message.leaving.add({.name = wire::registry_text(std::string(63, 'y'))});
    while (!heartbeat_message.digests.digests.is_full())
        heartbeat_message.digests.digests.add(1);
    CHECK(wire::encode(heartbeat_message).size() <= wire::max_datagram_bytes);
}

TEST(wire, full_member_records_fit_in_a_datagram)
{
    wire::member_records message;
    while (!message.records.is_full())
        message.records.add({.instance = wire::name_text(std::string(63, 'x'))});
    CHECK(wire::encode(message).size() <= wire::max_datagram_bytes);
}

TEST(wire, full_quota_messages_fit_in_a_datagram)
{
    wire::quota_questions questions{.number = 1, .items = {}};
    while (!questions.items.is_full())
        questions.items.add({.team = 1});
    CHECK(wire::encode(questions).size() <= wire::max_datagram_bytes);
    wire::quota_grants grants{.number = 1, .items = {}};
    while (!grants.items.is_full())
        grants.items.add({.team = 1});
    CHECK(wire::encode(grants).size() <= wire::max_datagram_bytes);
}

TEST(wire, truncated_quota_messages_and_long_lists_are_rejected)
{
    wire::quota_questions questions{.number = 1, .items = {}};
    questions.items.add({.team = 1, .share = 2, .wanted = 3});
    std::string const bytes = wire::encode(questions);
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK(is_rejected_as_malformed(std::string_view(bytes).substr(0, size)));
    // After the version, the type, cereal's byte order and the number comes the list's length.
    std::string too_long = bytes;
    too_long[11] = 65;
    CHECK(is_rejected_as_malformed(too_long));
}

TEST(wire, malformed_messages_are_rejected)
{
    std::string const valid_bytes = wire::encode(sample_heartbeat());
    std::string other_version = valid_bytes;
    other_version[0] = 99;
    std::string unknown_type = valid_bytes;
    unknown_type[1] = 77;
    std::string huge_text = valid_bytes;
    // Bytes 3 to 6 are the length of the first name; before it come the version, the type and
    // cereal's byte order.
    for (std::size_t i = 3; i < 7; ++i)
        huge_text[i] = '\xff';
    for (std::string const& bytes : {std::string{}, std::string("\x01"), std::string("\x01\x00", 2),
                                     other_version, unknown_type, huge_text, valid_bytes + "x",
                                     std::string(70'000, '\0'), std::string(70'000, '\xff')})
        CHECK(is_rejected_as_malformed(bytes));
}

TEST(wire, bytes_that_are_no_bool_or_known_state_are_rejected)
{
    wire::entries_update_message update{.entries = {}};
    update.entries.add({.instance = wire::name_text("armor-2")});
    // The last byte tells whether the instance is leaving.
    std::string bool_out_of_range = wire::encode(update);
    bool_out_of_range.back() = 101;
    CHECK(is_rejected_as_malformed(bool_out_of_range));

    wire::heartbeat heartbeat_message;
    heartbeat_message.sender.state = static_cast<wire::member_state>(3);
    CHECK(is_rejected_as_malformed(wire::encode(heartbeat_message)));
    wire::registry_update_message registry_update{.changes = {}};
    registry_update.changes.add({.state = static_cast<wire::registration_state>(3)});
    CHECK(is_rejected_as_malformed(wire::encode(registry_update)));
}

TEST(wire, every_truncated_message_is_rejected)
{
    std::string const valid_bytes = wire::encode(sample_heartbeat());
    for (std::size_t size = 0; size < valid_bytes.size(); ++size)
        CHECK(is_rejected_as_malformed(std::string_view(valid_bytes).substr(0, size)));
}

TEST(wire, decoding_corrupted_bytes_does_not_crash)
{
    random_source random(11);
    std::string const valid_bytes = wire::encode(sample_heartbeat());
    for (int i = 0; i < 20'000; ++i) {
        std::string bytes = valid_bytes;
        for (std::uint64_t changes = 1 + random.below(4); changes > 0; --changes)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        is_rejected_as_malformed(bytes);
    }
}
