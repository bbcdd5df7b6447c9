#include "services/burdockstepd/platform/platform_task.hpp"

#include "services/burdockstepd/memory_limits.hpp"

#include "libraries/configuration_sync/configuration_records.hpp"
#include "libraries/core/digest.hpp"

#include <algorithm>

namespace burdockstep {

namespace {

constexpr duration platform_timeout = std::chrono::seconds(2);
constexpr duration list_read_interval = std::chrono::milliseconds(1'000);
/// Mean time between two reads of the instance list, counted over the reads of all entries.
constexpr duration mean_time_between_list_reads = std::chrono::milliseconds(2);
constexpr duration head_read_interval = std::chrono::milliseconds(500);
/// Entries that don't poll the configuration head still read it this often, in case no peer
/// reports a change to them.
constexpr duration max_time_between_head_reads = std::chrono::seconds(30);
constexpr std::size_t head_pollers_per_region = 2;

} // namespace

platform_task::platform_task(daemon_context& context)
    : context_(context),
      platform_http_client_(context.loop, make_platform_client_limits(context.settings)),
      platform_client_(platform_http_client_, context.settings.platform, platform_timeout),
      follower_(context.clock.now() + configuration_follower::adoption_delay_after_start),
      list_read_timer_(context.loop), head_read_timer_(context.loop),
      fetch_retry_timer_(context.loop)
{}

result<void> platform_task::try_start()
{
    list_read_timer_.start_periodic(list_read_interval, [this] { read_instance_list(); });
    head_read_timer_.start_periodic(head_read_interval, [this] { read_configuration_head(); });
    fetch_retry_timer_.start_periodic(configuration_follower::retry_interval, [this] {
        execute_follower_commands(follower_.tick(context_.clock.now()));
    });
    read_instance_list();
    read_configuration_head();
    return {};
}

void platform_task::read_instance_list()
{
    time_point const now = context_.clock.now();
    if (list_read_pending_ || now < next_list_read_at_)
        return;
    // The time to the next read grows with the number of entries, which bounds the read rate of all
    // entries together. With few entries the timer sets the interval; half of it as the minimum
    // keeps timer jitter from skipping a read.
    next_list_read_at_ = now + std::max<duration>(list_read_interval / 2,
                                                  mean_time_between_list_reads * members_.size());
    list_read_pending_ = true;
    platform_client_.read([this](store_status status, instance_list_snapshot const& list) {
        list_read_pending_ = false;
        update_reachability(status);
        if (status != store_status::done)
            return;
        context_.post(instance_list_received{.entries = list.entries});
        for (upstream_name const& each : list.leaving_upstreams) {
            context_.post(
                upstream_leaving{.name = each,
                                 .observed_at = context_.clock.now(),
                                 .reported_by = leaving_report_source::instance_list_snapshot});
        }
    });
}

bool platform_task::is_head_poller() const
{
    std::vector<std::uint64_t> reachable_ranks;
    for (member_view const& each : members_) {
        if (each.is_reachable() && each.listed.region == context_.settings.region)
            reachable_ranks.push_back(hash_of(each.listed.instance.get()));
    }
    std::uint64_t const own_rank = hash_of(context_.settings.instance.get());
    auto const lower_ranked_entries =
        std::count_if(reachable_ranks.begin(), reachable_ranks.end(),
                      [&](std::uint64_t rank) { return rank < own_rank; });
    return static_cast<std::size_t>(lower_ranked_entries) < head_pollers_per_region;
}

void platform_task::read_configuration_head()
{
    time_point const now = context_.clock.now();
    bool const is_head_read_overdue = now - last_head_read_at_ > max_time_between_head_reads;
    if (head_read_pending_ || (!is_head_poller() && !is_head_read_overdue && follower_.in_force()))
        return;
    head_read_pending_ = true;
    platform_client_.read(
        head_row_key, [this](store_status status, std::optional<table_row> const& row) {
            head_read_pending_ = false;
            update_reachability(status);
            if (status != store_status::done)
                return;
            last_head_read_at_ = context_.clock.now();
            if (!row)
                return;
            handle_failure(
                [&]() -> result<void> {
                    BOOST_LEAF_AUTO(head, parse_head_record(row->value));
                    execute_follower_commands(follower_.handle_store_head(
                        {.version = head.version.get(), .document = head.document},
                        context_.clock.now()));
                    return {};
                },
                [&](failure const& error) {
                    log_.error("ignored malformed configuration head row",
                               {field("why", error.message)});
                });
        });
}

void platform_task::update_reachability(store_status status)
{
    bool const reachable = status == store_status::done || status == store_status::conflict;
    if (is_reachable_ == reachable)
        return;
    is_reachable_ = reachable;
    if (reachable)
        log_.info("platform is reachable", {field("address", context_.settings.platform.text())});
    else
        log_.warning("platform is unreachable; keeping the current configuration and instance list",
                     {field("address", context_.settings.platform.text())});
    context_.post(platform_reachability_changed{.reachable = reachable});
}

void platform_task::execute_follower_commands(std::vector<follower_command> const& commands)
{
    for (follower_command const& each : commands) {
        if (auto const* const fetch_command = std::get_if<fetch_object_command>(&each)) {
            wire::configuration_head const head = follower_.newest_head();
            platform_client_.get(
                fetch_command->name,
                [this, head](store_status status, std::optional<std::string> const& text) {
                    if (status == store_status::done && text)
                        execute_follower_commands(
                            follower_.handle_document(head, *text, context_.clock.now()));
                });
        }
        else if (auto const* const ask_command = std::get_if<ask_peer_command>(&each)) {
            context_.post(peer_configuration_requested{.peer = ask_command->peer});
        }
        else if (auto const* const adopt = std::get_if<adopt_command>(&each)) {
            log_.info("configuration in force", {field("version", adopt->adopted->version.get()),
                                                 field("document", adopt->adopted->name.text())});
            context_.post(configuration_applied{.configuration = adopt->adopted});
        }
    }
}

void platform_task::receive(event const& new_event)
{
    if (auto const* const members_event = std::get_if<members_changed>(&new_event)) {
        members_ = members_event->members;
    }
    else if (auto const* const head_event =
                 std::get_if<peer_configuration_head_received>(&new_event)) {
        execute_follower_commands(
            follower_.handle_peer_head(head_event->head, head_event->peer, context_.clock.now()));
    }
    else if (auto const* const configuration_event =
                 std::get_if<peer_configuration_received>(&new_event)) {
        execute_follower_commands(follower_.handle_document(
            configuration_event->head, configuration_event->text, context_.clock.now()));
    }
}

} // namespace burdockstep
