/// Messages into and out of the forwarding engine.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace burdockstep {

/// A whole request has arrived.
struct request_arrival
{
    request_id id;
    std::string caller_id; ///< As the caller named it; for logs.
    std::string host;
    std::string path;                  ///< With the query.
    std::uint64_t object = 0;          ///< Hash of the object that it concerns; 0: none.
    std::optional<duration> time_left; ///< How long the caller will wait, where it said so.
};

/// What a usual answer or a health answer says of its upstream's load.
struct load_report
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    double slowness = 1.0; ///< How long work takes there now, 1 means as usual.
};

/// How a send to an upstream ended.
enum class send_result
{
    answered,       ///< The upstream's own answer, whole.
    shed,           ///< The upstream says that it didn't run it.
    other_instance, ///< Another instance has the address. It didn't run it.
    not_connected,  ///< No byte was sent.
    broken          ///< It may have run.
};

/// Short name of a result, such as "not-connected".
char const* name_of(send_result result);

/// The end of a send.
struct send_end_report
{
    send_result result = send_result::broken;
    int status = 0; ///< Of an answer.
    std::optional<load_report> load;
    bool on_kept_connection = false;
    bool was_reset = false;
};

/// What a health answer says.
struct probe_report
{
    bool healthy = false;
    bool is_other_instance = false;
    std::optional<duration> cold_left;
    std::optional<load_report> load;
};

/// Send the request to an upstream.
struct send_request
{
    request_id id;
    upstream_name upstream;
    address to;
    duration time_left{};
    duration connect_timeout{};
    duration longest_idle{}; ///< Of a kept connection that may be used.
};

/// End the send that is under way; its end isn't reported.
struct cancel_request_send
{
    request_id id;
};

/// Hand the answer of the send that has just ended to the caller.
struct deliver_answer
{
    request_id id;
};

/// Why a request gets no upstream's answer.
enum class refusal
{
    no_configuration,
    no_route,
    no_upstream,     ///< None may be used now.
    no_room,         ///< No slot can be had in time.
    deadline_passed, ///< The time limit came before a send.
    upstream_failed, ///< Sends failed and no further one is allowed.
    answer_timeout,  ///< The time limit came while it was at an upstream.
    stopping         ///< This entry stops.
};

/// Short name of a refusal, such as "no-room".
char const* name_of(refusal reason);

/// Answer the request from here.
struct refuse_request
{
    request_id id;
    int status = 503;
    refusal reason = refusal::no_room;
    std::optional<duration> retry_after;
};

/// Ask an upstream for its health.
struct probe_upstream
{
    upstream_name upstream;
    address to;
    std::string path;
    duration timeout{};
};

/// An upstream no longer has its address, or leaves: tell the other entries.
struct announce_upstream_leaving
{
    upstream_name upstream;
};

using forwarding_command = std::variant<send_request, cancel_request_send, deliver_answer,
                                        refuse_request, probe_upstream, announce_upstream_leaving>;

} // namespace burdockstep
