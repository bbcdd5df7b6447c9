/// Messages between daemons. Fields are encoded in the order in which `serialize` lists them; any
/// change needs a new wire version.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/digest.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/core/store_position.hpp"
#include "libraries/wire/bounded.hpp"
#include "libraries/wire/names.hpp"
#include "libraries/wire/registry_messages.hpp"

#include <cstdint>
#include <variant>

namespace burdockstep::wire {

/// State of an entry, as reported by itself or by other entries.
enum class member_state : std::uint8_t
{
    serving = 0,  ///< It accepts requests.
    stopping = 1, ///< Planned stop: look-ups no longer name it, and it finishes its requests.
    lost = 2      ///< No heartbeat has arrived within the suspicion timeout.
};

using checked_member_state =
    checked_byte<member_state, static_cast<std::uint8_t>(member_state::lost)>;

/// State of one entry. Of two records of one incarnation, that with the higher `heartbeat_number`
/// is newer.
struct member_record
{
    name_text instance;
    std::uint64_t incarnation = 0; ///< Random id of this run of the instance.
    /// Wall clock at its start, which orders the runs of one instance.
    std::uint64_t started_ms = 0;
    std::uint64_t epoch = 0; ///< Current ticket epoch.
    std::uint64_t heartbeat_number = 0;
    member_state state = member_state::serving;
    std::uint64_t configuration = 0; ///< Version of the configuration that the entry uses.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(instance, incarnation, started_ms, epoch, heartbeat_number,
                checked_member_state(state), configuration);
    }

    friend bool operator==(member_record const&, member_record const&) = default;
};

/// Identifies a configuration by its version and the digest of its document.
struct configuration_head
{
    std::uint64_t version = 0;
    digest document;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, document);
    }

    friend bool operator==(configuration_head const&, configuration_head const&) = default;
};

/// An upstream that is leaving, by its own announcement or by the platform's instance list.
struct leaving_upstream
{
    registry_text name;
    /// Wall clock at the start of the incarnation that is leaving; 0 if unknown.
    std::int64_t started_ms = 0;
    /// Milliseconds since this was first learned, from which the receiver computes the expiry.
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, started_ms, age_ms);
    }

    friend bool operator==(leaving_upstream const&, leaving_upstream const&) = default;
};

/// Digests of some of the buckets into which the sender divides the members it knows. Where a
/// digest differs from the receiver's, the receiver answers with its records of that bucket.
struct member_digests
{
    std::uint16_t buckets = 0; ///< Number of buckets; 0 if no digests are sent.
    std::uint16_t first = 0;   ///< Bucket of the first digest. The others follow, cyclically.
    bounded_list<std::uint64_t, 4> digests;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(buckets, first, digests);
    }

    friend bool operator==(member_digests const&, member_digests const&) = default;
};

/// Sent to the watching entries each period. `member_updates` holds records of other entries that
/// changed recently.
struct heartbeat
{
    member_record sender;
    bool wants_answer = false; ///< The receiver sends its own heartbeat to the sender at once.
    configuration_head head;
    /// Position of the store at which the directives that the sender applies last changed.
    store_position directives;
    member_digests digests;
    bounded_list<member_record, 8> member_updates;
    bounded_list<leaving_upstream, 4> leaving;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sender, checked_bool(wants_answer), head, directives, digests, member_updates,
                leaving);
    }

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

/// Records of members, sent to an entry whose digests of them differ from the sender's.
struct member_records
{
    /// As many as fit in a datagram with the longest names.
    bounded_list<member_record, 12> records;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(records);
    }

    friend bool operator==(member_records const&, member_records const&) = default;
};

/// Load of one pool, sent by the pool's owner to the owners of the same service's pools in other
/// regions.
struct pool_report
{
    name_text service;
    name_text region;
    std::uint64_t incarnation = 0;
    std::uint32_t slots = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, region, incarnation, slots, in_flight, queued);
    }

    friend bool operator==(pool_report const&, pool_report const&) = default;
};

/// One instance of the platform's instance list. Entries pass it on to each other while the
/// platform can't be reached.
struct listed_instance
{
    name_text instance;
    name_text place;
    name_text region;
    address callers;   ///< Address for callers' requests.
    address operators; ///< Address for operators' requests.
    address peers;     ///< Address for messages of other entries.
    bool leaving = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(instance, place, region, callers, operators, peers, checked_bool(leaving));
    }

    friend bool operator==(listed_instance const&, listed_instance const&) = default;
};

/// Requests the document in force and the instance list, over TCP.
struct state_request
{
    /// Version that the requesting entry has; its document isn't sent again.
    std::uint64_t known_version = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(known_version);
    }

    friend bool operator==(state_request const&, state_request const&) = default;
};

/// Answers `state_request`. `document` is empty when the requesting entry already has this version.
struct state_answer
{
    configuration_head head;
    document_text document;
    bounded_list<listed_instance, 8192> instances;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(head, document, instances);
    }

    friend bool operator==(state_answer const&, state_answer const&) = default;
};

/// Number of requests that the sender has under way at one upstream.
struct upstream_request_count
{
    std::uint32_t upstream = 0; ///< Hash of its name.
    std::uint16_t under_way = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, under_way);
    }

    friend bool operator==(upstream_request_count const&, upstream_request_count const&) = default;
};

/// Fraction of a service's objects that the sender directs to other regions.
struct service_spill_fraction
{
    std::uint32_t service = 0; ///< Hash of its name.
    std::uint16_t thousandths = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(service, thousandths);
    }

    friend bool operator==(service_spill_fraction const&, service_spill_fraction const&) = default;
};

/// Requests that an entry has under way, sent to the entries that use the same upstreams.
struct slot_report
{
    name_text instance;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;    ///< Increases with each report of an incarnation.
    bool is_full_report = false; ///< Upstreams that aren't listed have no requests under way.
    bounded_list<upstream_request_count, 160> counts;
    /// Sent at intervals to the entries of the same region: an entry that starts takes its initial
    /// fractions from them.
    bounded_list<service_spill_fraction, 16> spilled_fractions;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(instance, incarnation, number, checked_bool(is_full_report), counts,
                spilled_fractions);
    }

    friend bool operator==(slot_report const&, slot_report const&) = default;
};

/// Entries whose records changed between two positions of the list of entries, sent by an entry
/// that read them.
struct entries_update_message
{
    store_position after;
    store_position up_to;
    bool complete = true; ///< If false, not all entries fitted: read the list.
    /// As many as fit in a datagram with the longest names.
    bounded_list<listed_instance, 5> entries;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(after, up_to, checked_bool(complete), entries);
    }

    friend bool operator==(entries_update_message const&, entries_update_message const&) = default;
};

/// Asks an entry for its proof of how new the directives are that it applies.
struct directives_question
{
    std::uint64_t number = 0; ///< Returned in the answer.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number);
    }

    friend bool operator==(directives_question const&, directives_question const&) = default;
};

/// Answers `directives_question`: the directives at `position` were the newest ones `age_ms` ago.
struct directives_proof
{
    std::uint64_t number = 0; ///< Of the question.
    /// Position of the store at which the directives that the sender applies last changed.
    store_position position;
    bool is_proven = false;   ///< If false, the sender has no proof and `age_ms` means nothing.
    std::uint32_t age_ms = 0; ///< By the sender's clock, rounded up.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, position, checked_bool(is_proven), age_ms);
    }

    friend bool operator==(directives_proof const&, directives_proof const&) = default;
};

/// What the machine of one entry can carry. 0 means that a figure isn't known.
struct entry_capacity_record
{
    name_text instance;
    std::uint32_t core_thousandths = 0;
    std::uint32_t link_kbps = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(instance, core_thousandths, link_kbps);
    }

    friend bool operator==(entry_capacity_record const&, entry_capacity_record const&) = default;
};

/// Capacities of the entries in an entries_update_message, sent after it by the same entry.
struct entry_capacities_message
{
    bounded_list<entry_capacity_record, 12> entries;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(entries);
    }

    friend bool operator==(entry_capacities_message const&,
                           entry_capacities_message const&) = default;
};

/// Requests that all entries of one place have under way, sent by the place's relay to the entries
/// of other places. From another relay than the last one, they apply only a full report, unless the
/// last one is silent.
struct place_slot_report
{
    name_text place;
    slot_report sums; ///< `instance` and `incarnation` are those of the relay.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(place, sums);
    }

    friend bool operator==(place_slot_report const&, place_slot_report const&) = default;
};

/// How many tokens of one share of a team's quota the sender wants.
struct quota_question_item
{
    std::uint64_t team = 0; ///< Hash of its name.
    std::uint8_t share = 0;
    std::uint16_t wanted = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, share, wanted);
    }

    friend bool operator==(quota_question_item const&, quota_question_item const&) = default;
};

/// Asks the owner of quota shares for tokens.
struct quota_questions
{
    std::uint64_t number = 0; ///< Differs for all questions of one sender.
    bounded_list<quota_question_item, 64> items;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, items);
    }

    friend bool operator==(quota_questions const&, quota_questions const&) = default;
};

/// The answer to one item of a question.
struct quota_grant_item
{
    std::uint64_t team = 0; ///< Hash of its name.
    std::uint8_t share = 0;
    std::uint16_t granted = 0;
    std::uint16_t wait_ms = 0; ///< How long not to ask again; 0 if all that was wanted is granted.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(team, share, granted, wait_ms);
    }

    friend bool operator==(quota_grant_item const&, quota_grant_item const&) = default;
};

/// Answers `quota_questions`: the items have the same order.
struct quota_grants
{
    std::uint64_t number = 0; ///< Of the questions.
    bounded_list<quota_grant_item, 64> items;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(number, items);
    }

    friend bool operator==(quota_grants const&, quota_grants const&) = default;
};

/// Any message. The index of an alternative is the type byte of the encoding.
using message =
    std::variant<heartbeat, pool_report, state_request, state_answer, slot_report,
                 registry_update_message, entries_update_message, member_records,
                 directives_question, directives_proof, entry_capacities_message, place_slot_report,
                 quota_questions, quota_grants, registry_question, registry_records_message>;

} // namespace burdockstep::wire
