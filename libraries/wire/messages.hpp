/// Messages between daemons. Field order is the wire order; a change needs a new wire version.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/digest.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/wire/bounded.hpp"

#include <cstdint>
#include <variant>

namespace burdockstep::wire {

/// Names are at most 63 bytes in settings and the document.
using name_text = bounded_text<63>;
/// A configuration document.
using document_text = bounded_text<4 * 1024 * 1024>;

/// What an entry says of itself, or others of it.
enum class member_state : std::uint8_t
{
    serving = 0,
    stopping = 1, ///< It stops by plan: no new look-up names it, what it has is finished.
    lost = 2      ///< Nobody has heard it for longer than the suspicion timeout.
};

/// State of one entry. `beat` grows with each heartbeat of an incarnation, so newer wins.
struct member_record
{
    name_text instance;
    std::uint64_t incarnation = 0;
    std::uint64_t started_ms = 0; ///< Wall clock at its start: orders the runs of one instance.
    std::uint64_t epoch = 0;
    std::uint64_t heartbeat_number = 0;
    member_state state = member_state::serving;
    std::uint64_t configuration = 0; ///< Version in force there.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(instance, incarnation, started_ms, epoch, heartbeat_number, state, configuration);
    }

    friend bool operator==(member_record const&, member_record const&) = default;
};

/// The head of the configuration: the version and the digest of its document.
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

/// An upstream that has said, or that the list says, is leaving.
struct leaving_upstream
{
    name_text name;
    /// Age of the first sign in milliseconds, for the expiry at the receiver.
    std::uint32_t age_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, age_ms);
    }

    friend bool operator==(leaving_upstream const&, leaving_upstream const&) = default;
};

/// Sent to watchers each period. `member_updates` holds other entries' records that changed lately.
struct heartbeat
{
    member_record sender;
    configuration_head head;
    bounded_list<member_record, 8> member_updates;
    bounded_list<leaving_upstream, 4> leaving;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(sender, head, member_updates, leaving);
    }

    friend bool operator==(heartbeat const&, heartbeat const&) = default;
};

/// Load of one pool, from its owner to the owners of the same service in other regions.
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

/// One instance of the platform's list, as peers hand it on during an outage.
struct listed_instance
{
    name_text instance;
    name_text place;
    name_text region;
    address callers;
    address operators;
    address peers;
    bool leaving = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(instance, place, region, callers, operators, peers, leaving);
    }

    friend bool operator==(listed_instance const&, listed_instance const&) = default;
};

/// Asks for the document in force and the instance list, over TCP.
struct state_request
{
    /// The document isn't sent again when the asker has this version.
    std::uint64_t known_version = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(known_version);
    }

    friend bool operator==(state_request const&, state_request const&) = default;
};

/// Answers `state_request`. `document` is empty when the asker has the version.
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

/// Requests that the sender has under way at one upstream.
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

/// Which part of a service's objects the sender has served in other regions.
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

/// What an entry has under way, to the entries that share its upstreams.
struct slot_report
{
    name_text instance;
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;    ///< Grows with each report of an incarnation.
    bool is_full_report = false; ///< Upstreams that aren't named have nothing under way.
    bounded_list<upstream_request_count, 160> counts;
    /// Told now and then to the entries of the own region: one that starts goes on from there.
    bounded_list<service_spill_fraction, 16> spilled_fractions;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(instance, incarnation, number, is_full_report, counts, spilled_fractions);
    }

    friend bool operator==(slot_report const&, slot_report const&) = default;
};

/// What became of one upstream's registration.
enum class registration_state : std::uint8_t
{
    ready = 0,
    draining = 1,
    gone = 2 ///< Its entry has been removed, or can't be read.
};

/// One registration as a reader of the registry tells it.
struct registration_change_record
{
    name_text name;
    name_text service;
    name_text place;
    address at;
    std::uint32_t slots = 0;
    registration_state state = registration_state::ready;
    std::uint32_t cold_left_ms = 0;
    std::int64_t heartbeat = 0;
    std::int64_t started_ms = 0;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, service, place, at, slots, state, cold_left_ms, heartbeat, started_ms);
    }

    friend bool operator==(registration_change_record const&,
                           registration_change_record const&) = default;
};

/// What changed in the registry between two versions of the store, from an entry that read it. It
/// also tells at which versions the directives and the list of entries were last changed.
struct registry_update_message
{
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    std::uint64_t directives_version = 0;
    std::uint64_t entries_version = 0;
    bool complete = true;         ///< Else there is more than fits: read the registry.
    std::uint8_t piece_index = 0; ///< Of the pieces that have the same versions, from 0.
    std::uint8_t pieces = 1;
    bounded_list<registration_change_record, 8> changes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(after, version, directives_version, entries_version, complete, piece_index, pieces,
                changes);
    }

    friend bool operator==(registry_update_message const&,
                           registry_update_message const&) = default;
};

/// Entries whose records changed between two changes of their list, from an entry that read them.
struct entries_update_message
{
    std::uint64_t after = 0;
    std::uint64_t version = 0;
    bool complete = true;                     ///< Else there are more than fit: read the list.
    bounded_list<listed_instance, 5> entries; ///< With the longest names they fit a datagram.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(after, version, complete, entries);
    }

    friend bool operator==(entries_update_message const&, entries_update_message const&) = default;
};

/// Any message. The index of the alternative is the type byte on the wire.
using message = std::variant<heartbeat, pool_report, state_request, state_answer, slot_report,
                             registry_update_message, entries_update_message>;

} // namespace burdockstep::wire
