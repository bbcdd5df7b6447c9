/// State of one call of an `http_client`, which libcurl's callbacks update.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/http1/answer_limit.hpp"
#include "libraries/net/answer_head_parser.hpp"
#include "libraries/net/http_client.hpp"

#include <curl/curl.h>

namespace burdockstep {

/// A call that libcurl runs.
struct active_call
{
    http_client::implementation* owner = nullptr;
    call_number number = 0;
    CURL* transfer = nullptr;
    curl_slist* headers = nullptr;
    curl_slist* connect_to_rules = nullptr;
    call_listener* listener = nullptr;
    address to;
    http1::message_body body;
    answer_head_parser parser;
    /// True until a head arrives that delimits the body. Without one, the end of the connection
    /// doesn't show whether the body is complete.
    bool body_is_undelimited = true;
    bool has_final_head = false; ///< Lines that follow belong to the trailer.
    std::size_t head_bytes = 0;
    std::size_t body_bytes = 0;
    std::size_t body_parts = 0;          ///< libcurl delivers each chunk by itself.
    std::size_t received_body_bytes = 0; ///< With the framing of chunks.
    std::size_t max_body_bytes = 0;
    bool collects_body = false;
    http1::answer_limit exceeded = http1::answer_limit::none;
    duration stall_timeout{};
    time_point last_received_at;
    bool body_is_paused = false;

    bool has_tiny_chunks(http_client_limits const& limits) const
    {
        return body_parts > limits.max_small_parts &&
               body_bytes < body_parts * limits.min_mean_part_bytes;
    }

    bool is_stalled(time_point now) const
    {
        return stall_timeout > duration::zero() && !body_is_paused &&
               now - last_received_at > stall_timeout;
    }

    bool has_too_much_framing(http_client_limits const& limits) const
    {
        return received_body_bytes > body_bytes + limits.max_framing_bytes;
    }
};

} // namespace burdockstep
