/// Client-side cache of look-up answers.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/net/http_client.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockstep {

/// One entry of a look-up answer.
struct lookup_entry
{
    address callers_address;
    /// Unused tickets; one is removed for each non-idempotent request.
    std::vector<std::string> tickets;
};

/// A parsed look-up answer for one service and region.
struct lookup_answer
{
    bool idempotent = false;
    duration deadline{};
    time_point expires_at;
    std::vector<lookup_entry> entries;
};

/// Sends look-ups to the given instances in turn until one answers, and caches each answer for its
/// lifetime. Concurrent look-ups of the same service and region share one request.
class lookup_cache
{
public:
    using answer_handler = std::function<void(std::shared_ptr<lookup_answer>)>;

    lookup_cache(http_client& client, clock_source const& clock, std::vector<address> instances);

    /// Calls `on_answer` with an unexpired answer for a caller in `region`, or with null when no
    /// instance gave a valid answer. The call is synchronous when the answer is cached.
    void get(service_name const& service, region_name const& region, answer_handler on_answer);
    /// Removes a cached answer, so that the next `get` requests a new one.
    void invalidate(service_name const& service, region_name const& region);

private:
    struct lookup_key
    {
        service_name service;
        region_name region;

        friend auto operator<=>(lookup_key const&, lookup_key const&) = default;
    };

    void request_answer(lookup_key const& requested_key, unsigned attempts_left);
    void deliver_answer(lookup_key const& requested_key,
                        std::shared_ptr<lookup_answer> const& answer);

    http_client& client_;
    clock_source const& clock_;
    std::vector<address> instances_;
    std::size_t next_instance_index_ = 0;
    std::map<lookup_key, std::shared_ptr<lookup_answer>> cached_answers_;
    std::map<lookup_key, std::vector<answer_handler>> pending_handlers_;
};

} // namespace burdockstep
