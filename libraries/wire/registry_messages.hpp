/// Messages between entries on what they know of the upstreams in the platform's registry.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/store_position.hpp"
#include "libraries/wire/bounded.hpp"
#include "libraries/wire/names.hpp"

#include <cstdint>

namespace burdockstep::wire {

/// State of one upstream's registration.
enum class registration_state : std::uint8_t
{
    ready = 0,
    draining = 1,
    gone = 2 ///< The newest removal is newer than the newest write.
};

using checked_registration_state =
    checked_byte<registration_state, static_cast<std::uint8_t>(registration_state::gone)>;

/// What an entry knows of one upstream's registration: its newest write and its newest removal.
struct registration_record
{
    registry_text name;
    registry_text service;
    registry_text place;
    address at; ///< Address that receives the upstream's requests.
    std::uint32_t slots = 0;
    registration_state state = registration_state::ready;
    std::uint32_t cold_left_ms = 0; ///< Time until the cold start is over.
    std::int64_t heartbeat = 0;     ///< Sequence number of the upstream's last heartbeat.
    std::int64_t started_ms = 0;    ///< Wall clock at the upstream's start.
    /// How often an earlier start has replaced a later one, because a clock had stepped back.
    std::uint32_t start_revision = 0;
    store_position written_at; ///< Of the newest write.
    store_position removed_at; ///< Of the newest removal; version 0 if none is known.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(name, service, place, at, slots, checked_registration_state(state), cold_left_ms,
                heartbeat, started_ms, start_revision, written_at, removed_at);
    }

    friend bool operator==(registration_record const&, registration_record const&) = default;
};

/// Changes of the registry between two positions of the store, sent by an entry that read them. It
/// also carries the positions at which the directives and the list of entries last changed.
struct registry_update_message
{
    store_position after; ///< The update covers changes after this position,
    store_position up_to; ///< up to and including this one.
    store_position directives;
    store_position entries;
    bool complete = true;         ///< If false, not all changes fitted: read the registry.
    std::uint8_t piece_index = 0; ///< Position among the update's pieces, from 0.
    std::uint8_t pieces = 1;      ///< Number of datagrams that the update is split into.
    /// Digest of the upstreams that are registered at `up_to`. A receiver with another digest at
    /// the same position sends a `registry_question`.
    std::uint64_t registered_digest = 0;
    bounded_list<registration_record, 8> changes;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(after, up_to, directives, entries, checked_bool(complete), piece_index, pieces,
                registered_digest, changes);
    }

    friend bool operator==(registry_update_message const&,
                           registry_update_message const&) = default;
};

/// Asks an entry for what it knows of the upstreams in the buckets whose digests differ from its
/// own.
struct registry_question
{
    /// One for each bucket of upstreams, by the hash of their names.
    bounded_list<std::uint32_t, 32> digests;
    /// Asked in return: the sender has sent its own records of the buckets that differ.
    bool is_counter_question = false;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(digests, checked_bool(is_counter_question));
    }

    friend bool operator==(registry_question const&, registry_question const&) = default;
};

/// Answers `registry_question`, in as many datagrams as are needed.
struct registry_records_message
{
    bounded_list<registration_record, 8> records;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(records);
    }

    friend bool operator==(registry_records_message const&,
                           registry_records_message const&) = default;
};

} // namespace burdockstep::wire
