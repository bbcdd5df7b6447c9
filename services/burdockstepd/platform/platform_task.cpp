#include "services/burdockstepd/platform/platform_task.hpp"

#include "libraries/configuration_sync/configuration_records.hpp"
#include "libraries/core/digest.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

constexpr duration platform_patience = std::chrono::seconds(2);
constexpr duration list_interval = std::chrono::milliseconds(1'000);
/// Time between two reads of the list by any entry, as a mean over all.
constexpr duration list_read_share = std::chrono::milliseconds(2);
constexpr duration head_interval = std::chrono::milliseconds(500);
/// Entries that don't poll look all the same after this time, in case no peer tells them.
constexpr duration longest_without_read = std::chrono::seconds(30);
constexpr std::size_t pollers_per_region = 2;

} // namespace

platform_task::platform_task(daemon_context& context)
    : context_(context), client_(context.loop),
      platform_(client_, context.settings.platform, platform_patience),
      follower_(context.clock.now() + configuration_follower::adoption_delay_after_start),
      list_timer_(context.loop), head_timer_(context.loop), retry_timer_(context.loop)
{}

result<void> platform_task::try_start()
{
    list_timer_.start_periodic(list_interval, [this] { poll_list(); });
    head_timer_.start_periodic(head_interval, [this] { poll_head(); });
    retry_timer_.start_periodic(configuration_follower::retry_interval,
                                [this] { carry_out(follower_.tick(context_.clock.now())); });
    poll_list();
    poll_head();
    return {};
}

void platform_task::poll_list()
{
    time_point const now = context_.clock.now();
    if (list_pending_ || now < next_list_read_)
        return;
    // All entries together stay under a fixed number of reads a second. The timer is what keeps the
    // interval for few entries; half of it leaves room for the timer's jitter.
    next_list_read_ =
        now + std::max<duration>(list_interval / 2, list_read_share * members_.size());
    list_pending_ = true;
    platform_.read([this](store_status status, instance_list_snapshot const& list) {
        list_pending_ = false;
        note_reachability(status);
        if (status != store_status::done)
            return;
        context_.post(instance_list_read{.entries = list.entries});
        for (upstream_name const& each : list.leaving_upstreams) {
            context_.post(upstream_leaving{.name = each,
                                           .sign = context_.clock.now(),
                                           .source = leaving_source::instance_list_snapshot});
        }
    });
}

bool platform_task::is_poller() const
{
    std::vector<std::uint64_t> ranks;
    for (member_view const& each : members_) {
        if (each.is_reachable() && each.listed.region == context_.settings.region)
            ranks.push_back(hash_of(each.listed.instance.get()));
    }
    std::uint64_t const own = hash_of(context_.settings.instance.get());
    auto const before =
        std::count_if(ranks.begin(), ranks.end(), [&](std::uint64_t rank) { return rank < own; });
    return static_cast<std::size_t>(before) < pollers_per_region;
}

void platform_task::poll_head()
{
    time_point const now = context_.clock.now();
    bool const overdue = now - last_head_read_ > longest_without_read;
    if (head_pending_ || (!is_poller() && !overdue && follower_.in_force()))
        return;
    head_pending_ = true;
    platform_.read(head_row_key, [this](store_status status, std::optional<table_row> const& row) {
        head_pending_ = false;
        note_reachability(status);
        if (status != store_status::done)
            return;
        last_head_read_ = context_.clock.now();
        if (!row)
            return;
        handle_failure(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(head, parse_head_record(row->value));
                carry_out(follower_.handle_store_head(
                    {.version = head.version.get(), .document = head.document},
                    context_.clock.now()));
                return {};
            },
            [&](failure const& error) {
                log_.error("head row ignored", {field("why", error.message)});
            });
    });
}

void platform_task::note_reachability(store_status status)
{
    bool const reachable = status == store_status::done || status == store_status::conflict;
    if (reachable_ == reachable)
        return;
    reachable_ = reachable;
    if (reachable)
        log_.info("platform answers", {field("address", context_.settings.platform.text())});
    else
        log_.warning("platform doesn't answer; what is in force stands",
                     {field("address", context_.settings.platform.text())});
    context_.post(platform_reachability{.reachable = reachable});
}

void platform_task::carry_out(std::vector<follower_command> const& commands)
{
    for (follower_command const& each : commands) {
        if (auto const* const fetch = std::get_if<fetch_object_command>(&each)) {
            wire::configuration_head const head = follower_.newest_head();
            platform_.get(fetch->name, [this, head](store_status status,
                                                    std::optional<std::string> const& text) {
                if (status == store_status::done && text)
                    carry_out(follower_.handle_document(head, *text, context_.clock.now()));
            });
        }
        else if (auto const* const ask = std::get_if<ask_peer_command>(&each)) {
            context_.post(peer_document_wanted{.peer = ask->peer});
        }
        else if (auto const* const adopt = std::get_if<adopt_command>(&each)) {
            log_.info("configuration in force", {field("version", adopt->adopted->version.get()),
                                                 field("document", adopt->adopted->name.text())});
            context_.post(configuration_adopted{.adopted = adopt->adopted});
        }
    }
}

void platform_task::receive(event const& what)
{
    if (auto const* const changed = std::get_if<members_changed>(&what)) {
        members_ = changed->members;
    }
    else if (auto const* const heard = std::get_if<peer_head_heard>(&what)) {
        carry_out(follower_.handle_peer_head(heard->head, heard->peer, context_.clock.now()));
    }
    else if (auto const* const document = std::get_if<peer_document_received>(&what)) {
        carry_out(follower_.handle_document(document->head, document->text, context_.clock.now()));
    }
}

} // namespace burdockstep
