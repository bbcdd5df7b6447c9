/// Tickets: the right to run one request at most once.
#pragma once

#include "libraries/core/digest.hpp"
#include "libraries/core/error.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/core/random.hpp"

#include <string>
#include <string_view>

namespace burdockstep {

/// Names the only incarnation that may run a request, and a number that nobody else draws.
/// Any instance may mint one for any live entry, as the numbers are random.
struct ticket
{
    incarnation_id incarnation;
    epoch_number epoch;
    digest nonce;

    friend bool operator==(ticket const&, ticket const&) = default;

    /// "INCARNATION.EPOCH.NUMBER" in hexadecimal.
    std::string text() const;
};

/// Draws a ticket for an entry.
ticket generate_ticket(incarnation_id incarnation, epoch_number epoch, random_source& random);

/// Parses what `ticket::text` wrote. Fails with `malformed`.
result<ticket> parse_ticket(std::string_view text);

} // namespace burdockstep
