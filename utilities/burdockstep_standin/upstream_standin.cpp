#include "utilities/burdockstep_standin/upstream_standin.hpp"

#include "libraries/standin/answer_pattern.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace burdockstep {

namespace {

constexpr duration chunk_interval = std::chrono::milliseconds(10);
constexpr duration stall_poll_interval = std::chrono::milliseconds(5);

} // namespace

upstream_standin::upstream_standin(event_loop& loop, upstream const& definition,
                                   upstream_behaviour behaviour, delay_function one_way_delay,
                                   random_source& random, request_run_counts& run_counts)
    : loop_(loop), definition_(definition), behaviour_(behaviour),
      one_way_delay_(std::move(one_way_delay)), random_(random), run_counts_(run_counts),
      server_(loop, {})
{}

result<address> upstream_standin::try_listen(address const& at)
{
    return server_.try_listen(
        at, [this](std::shared_ptr<http_exchange> const& exchange) { on_request(exchange); });
}

void upstream_standin::silence_open_connections()
{
    faults_.silent_connections.insert(connections_.begin(), connections_.end());
}

void upstream_standin::on_request(std::shared_ptr<http_exchange> const& exchange)
{
    connections_.insert(exchange->connection());
    if (faults_.silent_connections.contains(exchange->connection()))
        return;
    if (exchange->request().path == "/load") {
        auto const reported_busy_slots =
            static_cast<std::uint32_t>(busy_slots_ * faults_.reported_load_factor);
        exchange->reply(200, {{"content-type", "application/json"}},
                        fmt::format(R"({{"slots":{},"busy":{}}})", definition_.slots.get(),
                                    reported_busy_slots));
        return;
    }
    std::uint64_t const request_number = next_request_number_++;
    active_request& new_request = active_requests_[request_number];
    new_request.exchange = exchange;
    new_request.one_way_delay = one_way_delay_(exchange->peer());
    new_request.delay_timer = std::make_unique<timer>(loop_);
    exchange->on_disconnect([this, request_number] { handle_caller_disconnect(request_number); });
    new_request.delay_timer->start_once(new_request.one_way_delay,
                                        [this, request_number] { handle_arrival(request_number); });
}

void upstream_standin::send_refusal(active_request const& current_request, char const* reason) const
{
    http_headers headers{{"burdockstep-not-run", reason}};
    if (faults_.is_leaving)
        headers.add("burdockstep-leaving", "1");
    current_request.exchange->reply(503, headers, "");
}

void upstream_standin::handle_arrival(std::uint64_t request_number)
{
    auto const found = active_requests_.find(request_number);
    if (found == active_requests_.end())
        return;
    active_request& current_request = found->second;
    std::size_t const max_queued = behaviour_.max_queued_per_slot * definition_.slots.get();
    if (faults_.is_leaving || faults_.sheds_requests || queue_.size() >= max_queued) {
        char const* const reason = faults_.is_leaving ? "leaving" : "shed";
        current_request.delay_timer->start_once(
            current_request.one_way_delay, [this, request_number, reason] {
                send_refusal(active_requests_.at(request_number), reason);
                remove_request(request_number);
            });
        return;
    }
    current_request.queued = true;
    queue_.push_back(request_number);
    start_queued_requests();
}

void upstream_standin::start_queued_requests()
{
    while (busy_slots_ < definition_.slots.get() && !queue_.empty()) {
        std::uint64_t const next = queue_.front();
        queue_.pop_front();
        start_service(next);
    }
}

void upstream_standin::start_service(std::uint64_t request_number)
{
    active_request& current_request = active_requests_.at(request_number);
    current_request.queued = false;
    current_request.holds_slot = true;
    ++busy_slots_;
    ++run_counts_[std::string(current_request.exchange->request().headers.find(request_id_header))];
    double mean_us =
        static_cast<double>(behaviour_.mean_service_time.count()) * faults_.service_time_factor;
    if (random_.uniform_fraction() < behaviour_.slow_request_share)
        mean_us *= behaviour_.slow_request_factor;
    duration const service_time(static_cast<std::int64_t>(random_.exponential(mean_us)));
    current_request.delay_timer->start_once(
        service_time, [this, request_number] { finish_service(request_number); });
}

void upstream_standin::finish_service(std::uint64_t request_number)
{
    active_request& current_request = active_requests_.at(request_number);
    if (clock_.now() < faults_.stalled_until) {
        current_request.delay_timer->start_once(
            stall_poll_interval, [this, request_number] { finish_service(request_number); });
        return;
    }
    current_request.answer_bytes = behaviour_.answer_bytes;
    bool const sends_in_chunks = behaviour_.streaming_time > duration::zero();
    current_request.delay_timer->start_once(
        current_request.one_way_delay, [this, request_number, sends_in_chunks] {
            active_request& answered_request = active_requests_.at(request_number);
            http_headers headers{{"content-type", "application/octet-stream"}};
            if (faults_.is_leaving)
                headers.add("burdockstep-leaving", "1");
            answered_request.exchange->start({.status = 200,
                                              .headers = headers,
                                              .content_length = answered_request.answer_bytes,
                                              .delimited = true});
            if (sends_in_chunks)
                answered_request.delay_timer->start_periodic(
                    chunk_interval, [this, request_number] { send_answer_bytes(request_number); });
            else
                send_answer_bytes(request_number);
        });
    if (!sends_in_chunks) {
        current_request.holds_slot = false;
        --busy_slots_;
        start_queued_requests();
    }
}

void upstream_standin::send_answer_bytes(std::uint64_t request_number)
{
    active_request& current_request = active_requests_.at(request_number);
    std::size_t chunk_bytes = current_request.answer_bytes;
    if (behaviour_.streaming_time > duration::zero()) {
        auto const chunk_count =
            std::max<std::int64_t>(behaviour_.streaming_time / chunk_interval, 1);
        chunk_bytes = current_request.answer_bytes / static_cast<std::size_t>(chunk_count) + 1;
    }
    chunk_bytes = std::min<std::size_t>(chunk_bytes,
                                        current_request.answer_bytes - current_request.sent_bytes);
    std::string const id(current_request.exchange->request().headers.find(request_id_header));
    current_request.exchange->write(pattern_bytes(id, current_request.sent_bytes, chunk_bytes));
    current_request.sent_bytes += chunk_bytes;
    if (current_request.sent_bytes < current_request.answer_bytes)
        return;
    ++answered_;
    current_request.exchange->on_disconnect(nullptr);
    current_request.exchange->finish();
    remove_request(request_number);
}

void upstream_standin::handle_caller_disconnect(std::uint64_t request_number)
{
    auto const found = active_requests_.find(request_number);
    if (found == active_requests_.end())
        return;
    if (found->second.queued)
        std::erase(queue_, request_number);
    remove_request(request_number);
}

void upstream_standin::remove_request(std::uint64_t request_number)
{
    auto const found = active_requests_.find(request_number);
    bool const held_slot = found->second.holds_slot;
    found->second.delay_timer->stop();
    found->second.exchange->on_disconnect(nullptr);
    // This function may run inside the timer's action, so the event loop destroys the timer later.
    auto const delay_timer =
        std::make_shared<std::unique_ptr<timer>>(std::move(found->second.delay_timer));
    loop_.post([delay_timer] {});
    active_requests_.erase(found);
    if (held_slot) {
        --busy_slots_;
        start_queued_requests();
    }
}

} // namespace burdockstep
