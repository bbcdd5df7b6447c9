#include "utilities/burdockstep_load/caller.hpp"

#include <fmt/format.h>

#include <utility>

namespace burdockstep {

namespace {

constexpr int status_ok = 200;

} // namespace

caller::caller(caller_request request, http_client& client, lookup_cache& lookups, event_loop& loop,
               clock_source const& clock, result_handler on_finished)
    : request_(std::move(request)), client_(client), lookups_(lookups), clock_(clock),
      on_finished_(std::move(on_finished)), retry_timer_(loop), answer_checker_(request_.id)
{}

void caller::start(caller_request request, http_client& client, lookup_cache& lookups,
                   event_loop& loop, clock_source const& clock, result_handler on_finished)
{
    auto* const self =
        new caller(std::move(request), client, lookups, loop, clock, std::move(on_finished));
    self->look_up();
}

void caller::look_up()
{
    lookups_.get(request_.service, request_.region,
                 [this](std::shared_ptr<lookup_answer> const& answer) {
                     if (answer)
                         send(*answer);
                     else
                         finish(caller_outcome::no_lookup);
                 });
}

void caller::send(lookup_answer& answer)
{
    idempotent_ = answer.idempotent;
    lookup_entry& entry = answer.entries[next_entry_index_ % answer.entries.size()];
    if (!idempotent_ && ticket_.empty()) {
        ticket_ = std::exchange(next_ticket_, {});
        if (ticket_.empty() && entry.tickets.empty()) {
            // All cached tickets of this entry are used up; a new look-up answer contains new ones.
            lookups_.invalidate(request_.service, request_.region);
            if (++sends_ > request_.max_retries + 1)
                finish(caller_outcome::no_lookup);
            else
                look_up();
            return;
        }
        if (ticket_.empty()) {
            ticket_ = entry.tickets.back();
            entry.tickets.pop_back();
        }
    }
    ++sends_;
    answer_head_received_ = false;
    answer_checker_ = pattern_checker(request_.id);
    call_options options;
    options.to = entry.callers_address;
    options.method = idempotent_ ? "GET" : "POST";
    options.path = "/v1/call/" + request_.service.get() + "/work";
    options.headers.add(request_id_header, request_.id);
    if (!request_.region.get().empty())
        options.headers.add("burdockstep-region", request_.region.get());
    if (!ticket_.empty())
        options.headers.add("burdockstep-ticket", ticket_);
    options.headers.add("burdockstep-deadline-ms",
                        fmt::format("{}", answer.deadline.count() / 1000));
    options.body = idempotent_ ? std::string{} : request_.body;
    options.deadline = answer.deadline;
    client_.start(options, *this);
}

void caller::on_head(http_head const& head)
{
    answer_head_received_ = true;
    answer_head_ = head;
}

bool caller::on_body(std::string_view bytes)
{
    if (answer_head_received_ && answer_head_.status == status_ok)
        answer_checker_.append(bytes);
    return true;
}

void caller::on_done(call_end end)
{
    bool const answer_complete = end == call_end::complete && answer_head_received_;
    std::string_view const outcome = answer_head_.headers.find("burdockstep-outcome");
    if (answer_complete && answer_head_.status == status_ok && outcome == "answered") {
        finish(answer_checker_.matches() ? caller_outcome::answered : caller_outcome::wrong_answer);
        return;
    }
    bool const not_run =
        (answer_complete && outcome == "not-run") || end == call_end::not_connected;
    bool const may_retry = sends_ <= request_.max_retries;
    if (not_run && may_retry) {
        if (end != call_end::not_connected) {
            ticket_outcome_unknown_ = false;
            next_ticket_ = std::string(answer_head_.headers.find("burdockstep-next-ticket"));
        }
        // A ticket whose outcome is unknown is sent again: only the entry that issued it knows
        // whether the request has run.
        if (!ticket_outcome_unknown_)
            ticket_.clear();
        schedule_retry(end == call_end::not_connected);
        return;
    }
    if (not_run) {
        finish(ticket_outcome_unknown_ ? caller_outcome::unknown : caller_outcome::not_run);
        return;
    }
    ticket_outcome_unknown_ = !idempotent_;
    // An idempotent request may run again. Any other request is repeated with the same ticket, so
    // that it runs at most once.
    if (may_retry)
        schedule_retry(false);
    else
        finish(caller_outcome::unknown);
}

void caller::schedule_retry(bool refresh_lookup)
{
    ++next_entry_index_;
    if (refresh_lookup)
        lookups_.invalidate(request_.service, request_.region);
    retry_timer_.start_once(request_.retry_delay, [this] { look_up(); });
}

void caller::finish(caller_outcome outcome)
{
    std::unique_ptr<caller> const self(this);
    on_finished_({.outcome = outcome,
                  .service = request_.service,
                  .latency = clock_.now() - request_.planned_start,
                  .bytes = answer_checker_.size(),
                  .sends = sends_});
}

} // namespace burdockstep
