/// Whether an entry knows enough of the current keys to act on one.
#pragma once

#include "libraries/core/clock.hpp"

#include <optional>

namespace burdockstep {

/// Limits on the age of what an entry knows of keys.
struct key_trust_options
{
    /// A withdrawn key must be useless this long after its withdrawal was acknowledged, also at an
    /// entry that nobody reaches; zero: entries may act on what they last heard for any time.
    duration revocation_limit{};
    /// A key that isn't known is denied only if the known keys were complete this short a time ago:
    /// it may be a new one.
    duration denial_limit = std::chrono::milliseconds(1'000);
};

/// Decides by the age of the known keys whether requests may be taken, sent or denied: a key that
/// this entry knows may have been withdrawn since, and one that it doesn't know may have been
/// added. The age counts from the start of the read that confirmed the known keys as the newest
/// ones.
class key_trust
{
public:
    explicit key_trust(key_trust_options options) : options_(options) {}

    /// Records that the known keys were the newest ones at `fresh_as_of`. An older time than the
    /// one known changes nothing.
    void confirm(time_point fresh_as_of);
    /// Forgets the confirmation, because time may have passed that the clock didn't count.
    void forget() { fresh_as_of_.reset(); }

    /// True if a request with a known key may be taken and sent now.
    bool may_act_on_keys(time_point now) const;
    /// True if a request with an unknown key, or none, may be answered as denied now.
    bool may_deny(time_point now) const;
    /// The time at which the known keys were last the newest ones; nothing if none is known.
    std::optional<time_point> fresh_as_of() const { return fresh_as_of_; }

private:
    bool is_confirmed_within(duration limit, time_point now) const;

    key_trust_options options_;
    std::optional<time_point> fresh_as_of_;
};

} // namespace burdockstep
