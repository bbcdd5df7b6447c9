// What entries tell each other of the registry: records of upstreams, and digests of those that are
// registered.
#include "libraries/discovery/upstream_registry.hpp"

#include "libraries/core/digest.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

std::size_t digest_bucket_of(upstream_name const& name)
{
    return hash_of(name.get()) % upstream_registry::digest_buckets;
}

std::uint32_t digest_of_start(upstream_name const& name, upstream_history const& history)
{
    registration_write const& write = history.newest_write();
    return static_cast<std::uint32_t>(
        hash_of(name.get(), static_cast<std::uint64_t>(write.started_ms) + write.start_revision));
}

} // namespace

void upstream_registry::merge_records(std::vector<upstream_record> const& records, time_point now)
{
    for (upstream_record const& each : records) {
        upstream_name const& name = each.registration.name;
        if (each.is_registered() && !try_take_up(name))
            continue;
        upstream_history& history = history_of(name, now);
        if (each.removed_at)
            history.merge_removal(*each.removed_at);
        bool const is_news = history.merge_write(each.write());
        if (is_news && history.is_registered())
            adopt(each.registration, each.start_revision, now);
        settle(name, now);
    }
    resolve_missing(now);
}

std::vector<upstream_record> upstream_registry::records_of(std::vector<upstream_name> const& names,
                                                           time_point now) const
{
    std::vector<upstream_record> records;
    for (upstream_name const& name : names) {
        auto const remembered = histories_.find(name);
        if (remembered == histories_.end() || !remembered->second.history.has_write())
            continue;
        upstream_history const& history = remembered->second.history;
        upstream_record record;
        if (history.is_registered()) {
            known_upstream const& known = upstreams_.at(name);
            record.registration = known.registration;
            record.registration.cold_left = std::max(known.cold_until - now, duration::zero());
        }
        registration_write const& write = history.newest_write();
        record.registration.name = name;
        record.registration.started_ms = write.started_ms;
        record.registration.heartbeat = write.heartbeat;
        record.start_revision = write.start_revision;
        record.written_at = write.position;
        record.removed_at = history.removed_at();
        records.push_back(std::move(record));
    }
    return records;
}

void upstream_registry::update_digest(known_upstream const& known, remembered_history& remembered)
{
    upstream_name const& name = known.registration.name;
    bool const is_counted =
        remembered.history.is_registered() && known.registration.state != upstream_state::draining;
    std::uint32_t const digest = is_counted ? digest_of_start(name, remembered.history) : 0;
    if (digest == remembered.digest)
        return;
    registered_digests_.at(digest_bucket_of(name)) ^= remembered.digest ^ digest;
    remembered.digest = digest;
}

std::vector<upstream_name> upstream_registry::names_in(std::set<std::size_t> const& buckets) const
{
    std::vector<upstream_name> names;
    for (auto const& [name, remembered] : histories_) {
        if (buckets.contains(digest_bucket_of(name)))
            names.push_back(name);
    }
    return names;
}

} // namespace burdockstep
