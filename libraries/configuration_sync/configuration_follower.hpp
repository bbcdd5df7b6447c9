/// Takes up the configuration on one instance: only ever a higher version, only whole.
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

/// The configuration in force on this instance.
struct configuration_in_force
{
    configuration_version version;
    digest name;
    std::string text;
    std::shared_ptr<deployment const> document;
};

/// Get the object from the store, then call `handle_document`.
struct fetch_object_command
{
    digest name;
};
/// Ask a peer for its state, then call `handle_document`.
struct ask_peer_command
{
    address peer;
};
/// The new configuration is in force from now on.
struct adopt_command
{
    std::shared_ptr<configuration_in_force const> adopted;
};

using follower_command = std::variant<fetch_object_command, ask_peer_command, adopt_command>;

/// Follows the highest head that store or peers have told, and gets its document from either.
class configuration_follower
{
public:
    /// Time between two tries to get a document.
    static constexpr duration retry_interval = std::chrono::milliseconds(200);
    /// Time after a start in which heads are only heard: the store may answer with an older row
    /// than the one that was in force here before, and the peers' heartbeats tell the newer.
    static constexpr duration adoption_delay_after_start = std::chrono::milliseconds(1'200);

    /// Takes nothing up before `adoption_allowed_at`.
    explicit configuration_follower(time_point adoption_allowed_at = {})
        : adoption_allowed_at_(adoption_allowed_at)
    {}

    /// A head row read from the store. An older one than already heard is ignored.
    std::vector<follower_command> handle_store_head(wire::configuration_head const& head,
                                                    time_point now);
    /// A head in a heartbeat.
    std::vector<follower_command> handle_peer_head(wire::configuration_head const& head,
                                                   address const& peer, time_point now);
    /// A document from the store or a peer, for the head that it was fetched for. Bytes that
    /// don't match the digest, or don't read as a document, are dropped.
    std::vector<follower_command> handle_document(wire::configuration_head const& head,
                                                  std::string const& text, time_point now);
    /// Tries again what hasn't arrived.
    std::vector<follower_command> tick(time_point now);

    /// Null before the first configuration.
    std::shared_ptr<configuration_in_force const> in_force() const { return in_force_; }
    /// The head of what is in force; version 0 before the first.
    wire::configuration_head head_in_force() const;
    /// The highest head heard of.
    wire::configuration_head newest_head() const { return newest_head_; }
    /// Documents dropped because of a wrong digest or content.
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
