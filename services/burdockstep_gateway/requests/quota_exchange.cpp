#include "services/burdockstep_gateway/requests/quota_exchange.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace burdockstep::gateway {

namespace {

/// Questions that arise within this time go to an owner in one datagram.
constexpr duration question_delay = std::chrono::milliseconds(2);
constexpr duration log_interval = std::chrono::seconds(1);
/// This many teams, the first ones seen, have labels in the metrics and lines in the log.
constexpr std::size_t max_labelled_teams = 32;

constexpr std::array<char const*, quota_verdict_count> verdict_names{"admitted", "pending",
                                                                     "over_quota", "undecided"};

template <class Integer>
Integer clipped(std::uint64_t value)
{
    return static_cast<Integer>(
        std::min<std::uint64_t>(value, std::numeric_limits<Integer>::max()));
}

quota_distance distance_of(listed_member const& listed, gateway_settings const& settings)
{
    if (listed.instance == settings.instance)
        return quota_distance::itself;
    if (listed.place == settings.place)
        return quota_distance::same_place;
    return listed.region == settings.region ? quota_distance::same_region
                                            : quota_distance::other_region;
}

quota_entry make_quota_entry(member_view const& member, gateway_settings const& settings)
{
    bool const stops = member.state == wire::member_state::stopping || member.listed.leaving;
    return {.instance = member.listed.instance,
            .at = member.listed.peers,
            .distance = distance_of(member.listed, settings),
            .is_alive = member.is_running(),
            .leaves_as_planned = stops};
}

wire::quota_questions to_wire(quota_question_batch const& batch)
{
    wire::quota_questions message{.number = batch.number.get(), .items = {}};
    for (quota_question const& each : batch.questions)
        message.items.add({.team = each.share.team.get(),
                           .share = each.share.index,
                           .wanted = clipped<std::uint16_t>(each.wanted)});
    return message;
}

std::vector<quota_question> from_wire(wire::quota_questions const& message)
{
    std::vector<quota_question> questions;
    for (wire::quota_question_item const& each : message.items.get())
        questions.push_back(
            {.share = {.team = team_hash(each.team), .index = each.share}, .wanted = each.wanted});
    return questions;
}

std::vector<quota_grant> from_wire(wire::quota_grants const& message)
{
    std::vector<quota_grant> grants;
    for (wire::quota_grant_item const& each : message.items.get())
        grants.push_back({.share = {.team = team_hash(each.team), .index = each.share},
                          .granted = each.granted,
                          .wait = std::chrono::milliseconds(each.wait_ms)});
    return grants;
}

wire::quota_grant_item to_wire(quota_grant const& grant)
{
    auto const wait = std::chrono::ceil<std::chrono::milliseconds>(grant.wait);
    return {.team = grant.share.team.get(),
            .share = grant.share.index,
            .granted = clipped<std::uint16_t>(grant.granted),
            .wait_ms = clipped<std::uint16_t>(static_cast<std::uint64_t>(wait.count()))};
}

} // namespace

quota_exchange::quota_exchange(gateway_context& context,
                               std::function<void(late_quota_verdict const&)> deliver)
    : context_(context), deliver_(std::move(deliver)),
      quotas_(context.settings.instance, quota_question_number(context.run.incarnation.get()),
              context.clock.now()),
      tick_timer_(context.loop), question_timer_(context.loop), log_timer_(context.loop)
{}

quota_answer quota_exchange::ask(request_id request, team_settings const& team, time_point now)
{
    quota_answer const answer = quotas_.ask(request, team, now);
    count(team, answer);
    schedule_output();
    return answer;
}

void quota_exchange::give_back(request_id request, team_settings const& team, time_point now)
{
    quotas_.give_back(request, team, now);
    schedule_output();
}

void quota_exchange::receive(event const& new_event)
{
    if (auto const* const applied_document = std::get_if<routing_document_applied>(&new_event))
        apply_document(*applied_document->document);
    else if (auto const* const members = std::get_if<members_changed>(&new_event))
        apply_members(members->members);
    else if (auto const* const received = std::get_if<quota_message_received>(&new_event))
        handle_message(*received);
    else if (std::holds_alternative<process_resumed>(new_event))
        quotas_.forget(context_.clock.now());
}

void quota_exchange::apply_document(routing_document const& document)
{
    bool const was_active = quotas_.is_active();
    quotas_.update_teams(document.teams, context_.clock.now());
    if (quotas_.is_active() == was_active)
        return;
    if (was_active) {
        log_timer_.stop();
        return; // The last tick stops its timer once no request waits for a verdict.
    }
    tick_timer_.start_periodic(team_quotas::tick_interval, [this] { tick(); });
    log_timer_.start_periodic(log_interval, [this] { log_teams_over_quota(); });
}

void quota_exchange::apply_members(std::vector<member_view> const& members)
{
    std::vector<quota_entry> entries;
    entries.reserve(members.size());
    for (member_view const& each : members)
        entries.push_back(make_quota_entry(each, context_.settings));
    quotas_.update_entries(entries, context_.clock.now());
}

void quota_exchange::handle_message(quota_message_received const& received)
{
    if (auto const* const questions = std::get_if<wire::quota_questions>(&received.message))
        answer(received.from, *questions);
    else if (auto const* const grants = std::get_if<wire::quota_grants>(&received.message))
        take_grants(*grants);
}

void quota_exchange::answer(address const& to, wire::quota_questions const& questions)
{
    wire::quota_grants grants{.number = questions.number, .items = {}};
    for (quota_grant const& each : quotas_.answer(from_wire(questions), context_.clock.now()))
        grants.items.add(to_wire(each));
    context_.post(quota_message_ready{.to = to, .message = std::move(grants)});
}

void quota_exchange::take_grants(wire::quota_grants const& grants)
{
    quotas_.handle_grants(quota_question_number(grants.number), from_wire(grants),
                          context_.clock.now());
    deliver_verdicts();
    schedule_output();
}

void quota_exchange::schedule_output()
{
    if (quotas_.has_verdicts() && !std::exchange(verdicts_scheduled_, true)) {
        context_.loop.post([this] {
            verdicts_scheduled_ = false;
            deliver_verdicts();
        });
    }
    if (quotas_.has_questions() && !std::exchange(questions_scheduled_, true)) {
        question_timer_.start_once(question_delay, [this] {
            questions_scheduled_ = false;
            send_questions();
        });
    }
}

void quota_exchange::send_questions()
{
    for (quota_question_batch const& each : quotas_.take_questions(context_.clock.now()))
        context_.post(quota_message_ready{.to = each.to, .message = to_wire(each)});
}

void quota_exchange::deliver_verdicts()
{
    for (late_quota_verdict const& each : quotas_.take_verdicts())
        deliver_(each);
}

void quota_exchange::tick()
{
    quotas_.tick(context_.clock.now());
    deliver_verdicts();
    schedule_output();
    bool const has_ended = !quotas_.is_active() && quotas_.requests_waiting() == 0;
    if (has_ended)
        tick_timer_.stop();
}

void quota_exchange::count(team_settings const& team, quota_answer const& answer)
{
    auto found = counters_by_team_.find(team.name);
    if (found == counters_by_team_.end()) {
        if (counters_by_team_.size() >= max_labelled_teams)
            return;
        found = counters_by_team_.try_emplace(team.name).first;
    }
    ++found->second.asked;
    found->second.over_quota += answer.verdict == quota_verdict::over_quota ? 1 : 0;
}

void quota_exchange::log_teams_over_quota()
{
    for (auto& [team, each] : counters_by_team_) {
        std::uint64_t const refused =
            each.over_quota - std::exchange(each.over_quota_before, each.over_quota);
        if (std::exchange(each.is_over_quota, refused > 0) == (refused > 0))
            continue;
        log_.info(refused > 0 ? "team is over its quota" : "team is within its quota again",
                  {field("team", team.get()), field("refused", refused)});
    }
}

void quota_exchange::write_metrics(std::string& out) const
{
    if (!quotas_.is_active())
        return;
    auto const write = [&](std::string_view name, std::uint64_t value) {
        fmt::format_to(std::back_inserter(out), "burdockstep_quota_{} {}\n", name, value);
    };
    quota_counters const& counters = quotas_.counters();
    for (std::size_t i = 0; i < quota_verdict_count; ++i)
        write(fmt::format("verdicts_total{{verdict=\"{}\"}}", verdict_names[i]),
              counters.verdicts[i]);
    write("question_batches_total", counters.question_batches);
    write("question_batches_unanswered_total", counters.unanswered_batches);
    write("questions_total", counters.questions);
    write("tokens_granted_total", quotas_.owner().tokens_granted());
    write("tokens_lapsed_total", counters.tokens_lapsed);
    write("tokens_given_back_total", counters.tokens_given_back);
    write("tokens_held", quotas_.tokens_held());
    write("buckets", quotas_.owner().bucket_count());
    write("requests_waiting", quotas_.requests_waiting());
    write("teams_in_use", quotas_.teams_in_use());
    for (auto const& [team, each] : counters_by_team_) {
        write(fmt::format("asked_by_team_total{{team=\"{}\"}}", team.get()), each.asked);
        write(fmt::format("over_by_team_total{{team=\"{}\"}}", team.get()), each.over_quota);
    }
}

} // namespace burdockstep::gateway
