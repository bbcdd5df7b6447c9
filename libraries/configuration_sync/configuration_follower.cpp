#include "libraries/configuration_sync/configuration_follower.hpp"

#include "libraries/configuration/deployment_reader.hpp"

#include <algorithm>

namespace burdockstep {

wire::configuration_head configuration_follower::head_in_force() const
{
    if (!in_force_)
        return {};
    return {.version = in_force_->version.get(), .document = in_force_->name};
}

std::vector<follower_command>
configuration_follower::handle_store_head(wire::configuration_head const& head, time_point now)
{
    return note_head(head, std::nullopt, now);
}

std::vector<follower_command>
configuration_follower::handle_peer_head(wire::configuration_head const& head, address const& peer,
                                         time_point now)
{
    return note_head(head, peer, now);
}

std::vector<follower_command>
configuration_follower::note_head(wire::configuration_head const& head, std::optional<address> peer,
                                  time_point now)
{
    if (head.version <= head_in_force().version || head.version < newest_head_.version)
        return {};
    bool const is_newer_head = head.version > newest_head_.version;
    if (is_newer_head) {
        newest_head_ = head;
        peers_with_document_.clear();
        next_source_number_ = 0;
    }
    bool const is_known_peer =
        peer && std::find(peers_with_document_.begin(), peers_with_document_.end(), *peer) !=
                    peers_with_document_.end();
    if (peer && !is_known_peer)
        peers_with_document_.push_back(*peer);
    if (is_newer_head && now >= adoption_allowed_at_)
        return fetch_document(now);
    return {};
}

std::vector<follower_command> configuration_follower::fetch_document(time_point now)
{
    next_fetch_at_ = now + retry_interval;
    // Round-robin over the sources: each peer that announced the head, then the store.
    std::size_t const source_count = peers_with_document_.size() + 1;
    std::size_t const source_index = next_source_number_++ % source_count;
    if (source_index < peers_with_document_.size())
        return {ask_peer_command{.peer = peers_with_document_[source_index]}};
    return {fetch_object_command{.name = newest_head_.document}};
}

std::vector<follower_command>
configuration_follower::handle_document(wire::configuration_head const& head,
                                        std::string const& text, time_point now)
{
    if (now < adoption_allowed_at_)
        return note_head(head, std::nullopt, now);
    if (head.version <= head_in_force().version || head.version < newest_head_.version)
        return {};
    if (digest_of(text) != head.document) {
        ++dropped_documents_;
        return {};
    }
    deployment_parse_result parse_result = read_deployment("configuration", text);
    if (!parse_result.document) {
        ++dropped_documents_;
        return {};
    }
    auto adopted = std::make_shared<configuration_in_force>();
    adopted->version = configuration_version(head.version);
    adopted->name = head.document;
    adopted->text = text;
    adopted->document = std::make_shared<deployment const>(std::move(*parse_result.document));
    in_force_ = adopted;
    newest_head_ = std::max(newest_head_, head, [](auto const& left, auto const& right) {
        return left.version < right.version;
    });
    return {adopt_command{.adopted = std::move(adopted)}};
}

std::vector<follower_command> configuration_follower::tick(time_point now)
{
    if (newest_head_.version <= head_in_force().version || now < next_fetch_at_ ||
        now < adoption_allowed_at_)
        return {};
    return fetch_document(now);
}

} // namespace burdockstep
