/// Inputs and commands of the forwarding engine.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/teams/caller_key.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace burdockstep {

/// A request of a caller that has been received completely.
struct request_arrival
{
    request_id id;
    std::string caller_id; ///< The caller's own id of the request, for logs.
    std::string host;
    std::string path;                  ///< Includes the query string.
    std::uint64_t object = 0;          ///< Hash of the object that the request is for, or 0.
    std::optional<duration> time_left; ///< How long the caller will wait, if it said so.
    std::optional<key_digest> key;     ///< Digest of the key by which the caller identifies itself.
};

/// The load of an upstream, as reported in its answers to requests and health probes.
struct load_report
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    double slowness = 1.0; ///< Current service time as a multiple of the upstream's usual one.
};

/// What an upstream said of itself in the head of any answer.
struct upstream_notice
{
    bool leaving = false;                ///< It is shutting down and wants no new requests.
    std::optional<duration> retry_after; ///< It wants no requests for this time.
    /// The pause was negative, unreadable or so long that it was shortened.
    bool has_unusable_pause = false;

    bool is_empty() const { return !leaving && !retry_after; }
};

/// How a send to an upstream ended.
enum class send_result
{
    answered,       ///< The upstream's complete answer was received.
    shed,           ///< The upstream rejected the request without running it.
    other_instance, ///< Another instance uses the address now and rejected the request.
    not_connected,  ///< The connection failed, so no byte of the request was sent.
    broken,         ///< The send failed after it may have reached the upstream: it may have run.
    not_permitted,  ///< It wasn't begun: the caller's key was no longer known well enough.
    no_room_here    ///< It wasn't begun: this process has no memory or descriptor left for it.
};

constexpr std::size_t send_result_count = static_cast<std::size_t>(send_result::no_room_here) + 1;
/// The name of a result in logs, such as "not-connected".
char const* name_of(send_result result);

/// How a send ended and what the upstream's answer said.
struct send_end_report
{
    send_result result = send_result::broken;
    int status = 0; ///< HTTP status of the answer; 0 if there was none.
    std::optional<load_report> load;
    bool on_kept_connection = false; ///< The send reused a kept-alive connection.
    bool was_reset = false;          ///< The upstream reset the connection.
    std::size_t body_bytes = 0;      ///< Of the request's body and the answer's.
};

/// Result of a health probe.
struct probe_report
{
    bool healthy = false;
    bool is_other_instance = false;    ///< Another instance uses the upstream's address now.
    std::optional<duration> cold_left; ///< Time until the upstream has warmed up.
    std::optional<load_report> load;
};

/// Who sends a request, where callers identify themselves.
struct caller_identity
{
    team_name team; ///< Empty on a public route.
};

/// Command: send the request to an upstream.
struct send_request
{
    request_id id;
    upstream_name upstream;
    upstream_incarnation incarnation; ///< The upstream's incarnation as this entry knows it.
    address to;
    duration time_left{};
    duration connect_timeout{};
    duration longest_idle{}; ///< Kept connections that were idle for longer aren't reused.
    /// Nothing if the configuration has no teams: the caller's own headers are passed on.
    std::optional<caller_identity> caller;
};

/// Command: cancel the request's current send. No end of this send is reported to the engine.
struct cancel_request_send
{
    request_id id;
};

/// Command: deliver the answer of the send that has just ended to the caller.
struct deliver_answer
{
    request_id id;
};

/// Why this entry answers a request itself instead of delivering an upstream's answer.
enum class refusal
{
    no_configuration, ///< No routing document is known, or routes may be missing.
    no_route,         ///< No route matches the request.
    no_upstream,      ///< The service has no upstream.
    no_room,          ///< No slot became free in time, or upstreams rejected the request.
    upstreams_paused, ///< All upstreams that could run it asked for a pause that is too long.
    deadline_passed,  ///< The deadline passed while the request waited for a slot.
    upstream_failed,  ///< A send failed and no further send is allowed.
    answer_timeout,   ///< The deadline passed while the request was at an upstream.
    stopping,         ///< This entry is shutting down.
    unknown_key,      ///< No team holds the caller's key.
    unconfirmed_key,  ///< What this entry knows of keys is too old to act on.
    over_quota,       ///< The caller's team has used its quota.
    unknown_quota     ///< The entries that count the team's requests don't answer.
};

constexpr std::size_t refusal_count = static_cast<std::size_t>(refusal::unknown_quota) + 1;
/// The name of a refusal in logs, such as "no-room".
char const* name_of(refusal reason);

/// Command: answer the request from this entry with an error status.
struct refuse_request
{
    request_id id;
    int status = 503;
    refusal reason = refusal::no_room;
    std::optional<duration> retry_after;
};

/// Command: send a health probe to an upstream.
struct probe_upstream
{
    upstream_name upstream;
    upstream_incarnation incarnation;
    address to;
    std::string path;
    duration timeout{};
};

/// Command: tell the other entries that an incarnation of an upstream is leaving, because it said
/// so or because another instance answered at its address.
struct announce_upstream_leaving
{
    upstream_name upstream;
    upstream_incarnation incarnation;
};

using forwarding_command = std::variant<send_request, cancel_request_send, deliver_answer,
                                        refuse_request, probe_upstream, announce_upstream_leaving>;

} // namespace burdockstep
