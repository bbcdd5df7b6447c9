// Fuzzing target: decoding of datagrams and stream messages. What can be decoded must have the same
// encoding again.
#include "tests/fuzz/fuzz_target.hpp"

#include "libraries/wire/codec.hpp"

#include <cstdlib>
#include <string_view>

using namespace burdockstep;

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* bytes, std::size_t size)
{
    std::string_view const text(reinterpret_cast<char const*>(bytes), size);
    handle_failure(
        [&]() -> result<void> {
            BOOST_LEAF_AUTO(message, wire::decode(text));
            BOOST_LEAF_AUTO(again, wire::decode(wire::encode(message)));
            if (wire::encode(again) != wire::encode(message))
                std::abort();
            return {};
        },
        [](failure const&) {});
    return 0;
}

std::vector<std::string> burdockstep::fuzz::sample_inputs()
{
    wire::heartbeat beat;
    beat.sender.instance = wire::name_text("entry-1");
    beat.member_updates.add({.instance = wire::name_text("entry-2"), .incarnation = 3});
    beat.wants_answer = true;
    beat.digests = {.buckets = 2, .first = 1, .digests = {}};
    beat.digests.digests.add(77);
    beat.leaving.add({.name = wire::registry_text("u1"), .started_ms = 99, .age_ms = 12});
    wire::registry_update_message update{
        .after = {.era = store_era(1), .version = store_version(1)},
        .up_to = {.era = store_era(1), .version = store_version(2)},
        .changes = {}};
    update.changes.add({.name = wire::registry_text("u1"),
                        .service = wire::registry_text("s"),
                        .place = wire::registry_text("p"),
                        .slots = 3});
    wire::registry_question question{.digests = {}, .is_counter_question = true};
    question.digests.add(5);
    wire::registry_records_message known;
    known.records.add(update.changes.get().front());
    wire::slot_report report{.instance = wire::name_text("entry-1"), .counts = {}};
    report.counts.add({.upstream = 5, .under_way = 2});
    wire::entries_update_message entries{
        .after = {.era = store_era(1), .version = store_version(1)},
        .up_to = {.era = store_era(1), .version = store_version(2)},
        .entries = {}};
    entries.entries.add({.instance = wire::name_text("entry-1")});
    wire::member_records records;
    records.records.add({.instance = wire::name_text("entry-2"), .incarnation = 3});
    wire::entry_capacities_message capacities;
    capacities.entries.add(
        {.instance = wire::name_text("entry-1"), .core_thousandths = 500, .link_kbps = 200'000});
    wire::quota_questions questions{.number = 7, .items = {}};
    questions.items.add({.team = 5, .share = 1, .wanted = 2});
    wire::quota_grants grants{.number = 7, .items = {}};
    grants.items.add({.team = 5, .share = 1, .granted = 2, .wait_ms = 3});
    return {wire::encode(beat),
            wire::encode(capacities),
            wire::encode(questions),
            wire::encode(grants),
            wire::encode(records),
            wire::encode(update),
            wire::encode(question),
            wire::encode(known),
            wire::encode(report),
            wire::encode(entries),
            wire::encode(wire::state_request{.known_version = 4}),
            wire::encode(wire::directives_question{.number = 7}),
            wire::encode(wire::directives_proof{
                .number = 7, .position = update.up_to, .is_proven = true, .age_ms = 900}),
            wire::encode(wire::state_answer{}),
            wire::encode(wire::pool_report{.service = wire::name_text("s"), .slots = 3})};
}
