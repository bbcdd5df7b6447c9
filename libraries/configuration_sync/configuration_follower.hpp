/// Keeps an instance on the newest configuration: versions only increase, and only complete, valid
/// documents are adopted.
#pragma once

#include "libraries/configuration/deployment.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/wire/messages.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdockstep {

/// The configuration that this instance currently uses.
struct configuration_in_force
{
    configuration_version version;
    digest name;
    std::string text;
    std::shared_ptr<deployment const> document;
};

/// Get the document from the object store, then call `handle_document`.
struct fetch_object_command
{
    digest name;
};
/// Ask a peer for its configuration, then call `handle_document`.
struct ask_peer_command
{
    address peer;
};
/// Use the new configuration from now on.
struct adopt_command
{
    std::shared_ptr<configuration_in_force const> adopted;
};

using follower_command = std::variant<fetch_object_command, ask_peer_command, adopt_command>;

/// Tracks the highest configuration head announced by the store or by peers, fetches its document
/// from either, and adopts it.
class configuration_follower
{
public:
    /// Time between two attempts to fetch a document.
    static constexpr duration retry_interval = std::chrono::milliseconds(200);
    /// Time after a start in which heads are collected but nothing is adopted. The store may answer
    /// with an older head row than this instance used before its restart; heartbeats of the peers
    /// announce the newer version within this time.
    static constexpr duration adoption_delay_after_start = std::chrono::milliseconds(1'200);

    /// Adopts nothing before `adoption_allowed_at`.
    explicit configuration_follower(time_point adoption_allowed_at = {})
        : adoption_allowed_at_(adoption_allowed_at)
    {}

    /// Processes a head row read from the store. Heads older than the newest known are ignored.
    std::vector<follower_command> handle_store_head(wire::configuration_head const& head,
                                                    time_point now);
    /// Processes a head from a peer's heartbeat.
    std::vector<follower_command> handle_peer_head(wire::configuration_head const& head,
                                                   address const& peer, time_point now);
    /// Processes a document from the store or a peer. `head` is the head that it was fetched for.
    /// Documents that do not match the head's digest or are invalid are dropped.
    std::vector<follower_command> handle_document(wire::configuration_head const& head,
                                                  std::string const& text, time_point now);
    /// Repeats the fetch when the newest document has not arrived within `retry_interval`.
    std::vector<follower_command> tick(time_point now);

    /// The current configuration; null before the first one.
    std::shared_ptr<configuration_in_force const> in_force() const { return in_force_; }
    /// Head of the current configuration; version 0 before the first one.
    wire::configuration_head head_in_force() const;
    /// The head with the highest version that the store or a peer has announced.
    wire::configuration_head newest_head() const { return newest_head_; }
    /// Number of documents dropped because of a wrong digest or invalid content.
    std::uint64_t dropped_documents() const { return dropped_documents_; }

private:
    std::vector<follower_command> note_head(wire::configuration_head const& head,
                                            std::optional<address> peer, time_point now);
    std::vector<follower_command> fetch_document(time_point now);

    std::shared_ptr<configuration_in_force const> in_force_;
    time_point adoption_allowed_at_;
    wire::configuration_head newest_head_;
    std::vector<address> peers_with_document_;
    std::size_t next_source_number_ = 0;
    time_point next_fetch_at_;
    std::uint64_t dropped_documents_ = 0;
};

} // namespace burdockstep
