/// Tickets: single-use tokens, each of which allows one request to run at most once.
#pragma once

#include "libraries/core/digest.hpp"
#include "libraries/core/error.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/core/random.hpp"

#include <string>
#include <string_view>

namespace burdockstep {

/// Identifies the only incarnation that may run a request, by a random nonce that is unique across
/// the deployment. Because nonces are random, any instance can generate tickets for any live entry
/// without coordination.
struct ticket
{
    incarnation_id incarnation;
    epoch_number epoch;
    digest nonce;

    friend bool operator==(ticket const&, ticket const&) = default;

    /// Serializes the ticket as "INCARNATION.EPOCH.NONCE", each part in hexadecimal.
    std::string text() const;
};

/// Generates a ticket for the entry that runs as `incarnation`.
ticket generate_ticket(incarnation_id incarnation, epoch_number epoch, random_source& random);

/// Parses the output of `ticket::text`. Fails with `malformed` on any other text.
result<ticket> parse_ticket(std::string_view text);

} // namespace burdockstep
