#include "tests/simulation/simulation.hpp"

#include "tests/fakes/documents.hpp"
#include "tests/simulation/simulated_entry.hpp"

#include "libraries/configuration/deployment_reader.hpp"

#include <algorithm>

namespace burdockstep::testing {

namespace {

/// Time before the first request, in which entries discover each other and adopt the first
/// configuration.
constexpr duration warm_up = std::chrono::seconds(2);
constexpr duration fault_interval = std::chrono::milliseconds(500);
/// The last part of a run is free of faults and of new requests, so that open requests can end:
/// each makes at most five sends of two seconds.
constexpr duration fault_free_time = std::chrono::seconds(11);
/// The requirements give "a few seconds" until a leaving upstream gets no new work.
constexpr duration leaving_send_limit = std::chrono::seconds(3);
/// An entry that learns of a leaving upstream tells the others within this time.
constexpr duration notice_spread_time = std::chrono::seconds(1);
/// The requirements say that an accepted configuration is in force "within seconds".
constexpr duration adoption_limit = std::chrono::seconds(5);
/// By this time after a send, its caller knows whether the connection failed.
constexpr duration connect_timeout = std::chrono::milliseconds(100);
constexpr unsigned max_sends = 5;

/// Returns a deployment that differs from the others only in a comment.
std::string numbered_document(unsigned number)
{
    return sample_deployment() + "# " + std::to_string(number) + "\n";
}

} // namespace

simulation::simulation(simulation_options options)
    : options_(std::move(options)), random_(options_.seed)
{
    char const* const places[][2] = {
        {"brest", "armor"}, {"vannes", "ille"}, {"brest", "armor"}, {"vannes", "ille"}};
    for (std::uint32_t i = 0; i < std::size(places); ++i) {
        listed_member listed;
        listed.instance = instance_name(fmt::format("e{}", i));
        listed.place = place_name(places[i][0]);
        listed.region = region_name(places[i][1]);
        listed.callers = {.ip = 100 + i, .port = 1};
        listed.peers = {.ip = 100 + i, .port = 3};
        entries_.push_back(std::make_unique<simulated_entry>(*this, listed));
    }
    deployment const document = *read_deployment("small", sample_deployment()).document;
    for (upstream const& each : document.upstreams)
        upstreams_.push_back({.name = each.name, .at = each.at});
}

simulation::~simulation() = default;

void simulation::add_violation(std::string what)
{
    auto const at =
        std::chrono::duration_cast<std::chrono::milliseconds>(queue_.now().time_since_epoch());
    violations_.push_back(fmt::format("at {} ms: {}", at.count(), what));
}

void simulation::trace(simulated_request const& request, std::string const& step) const
{
    bool const is_traced =
        request.id == options_.traced_id || request.caller_ticket == options_.traced_id;
    if (options_.traced_id.empty() || !is_traced)
        return;
    auto const at =
        std::chrono::duration_cast<std::chrono::microseconds>(queue_.now().time_since_epoch());
    fmt::print("{:>12} us {} [{}] {}\n", at.count(), request.id,
               request.presented ? request.presented->text() : "no ticket", step);
}

duration simulation::network_delay()
{
    return duration(static_cast<std::int64_t>(500 + random_.exponential(4'000)));
}

simulated_entry& simulation::random_entry()
{
    return *entries_[random_.below(entries_.size())];
}

violations simulation::run()
{
    for (auto const& each : entries_)
        each->start();
    start_apply();
    time_point const end = queue_.now() + options_.length;
    for (time_point when = queue_.now() + warm_up; when < end - fault_free_time;
         when += duration(static_cast<std::int64_t>(random_.exponential(25'000))))
        queue_.at(when, [this] { start_request(); });
    for (time_point when = queue_.now() + fault_interval; when < end - fault_free_time;
         when += fault_interval)
        queue_.at(when, [this] { inject_faults(); });
    queue_.at(end - fault_free_time, [this] { stop_faults(); });
    queue_.run_until(end);
    check_at_end();
    return violations_;
}

void simulation::inject_faults()
{
    for (auto const& each : entries_) {
        if (!each->is_running()) {
            if (with_probability(0.5))
                each->start();
        }
        else if (with_probability(options_.crash)) {
            ++totals_.crashes;
            each->crash();
        }
        else if (with_probability(options_.pause)) {
            ++totals_.pauses;
            each->pause(duration(static_cast<std::int64_t>(random_.exponential(1'500'000))));
        }
    }
    store_.is_unreachable =
        with_probability(options_.store_outage) || (store_.is_unreachable && with_probability(0.7));
    store_.stale_reads = with_probability(0.1);
    if (with_probability(0.3))
        store_.queued_faults.push_back(with_probability(0.5) ? store_fault::lose_answer
                                                             : store_fault::lose_request);
    for (simulated_upstream& each : upstreams_) {
        // Only the second upstream of a service in a place may leave, so that each service keeps
        // upstreams that can answer.
        bool const may_leave = each.name.get().ends_with("-2");
        if (may_leave && !each.leaving && with_probability(options_.leave)) {
            ++totals_.upstreams_left;
            each.leaving = true;
        }
    }
    if (with_probability(0.3))
        start_apply();
}

void simulation::stop_faults()
{
    faults_stopped_ = true;
    store_.is_unreachable = false;
    store_.stale_reads = false;
    store_.queued_faults.clear();
    for (auto const& each : entries_) {
        if (!each->is_running())
            each->start();
    }
}

void simulation::send_datagram(address const& from, address const& to, wire::message const& message)
{
    unsigned copies = faults_stopped_ || !with_probability(options_.datagram_loss) ? 1 : 0;
    if (!faults_stopped_ && with_probability(options_.datagram_duplication))
        ++copies;
    for (; copies > 0; --copies) {
        queue_.after(network_delay(), [this, from, to, message] {
            for (auto const& each : entries_) {
                if (each->listed().peers == to)
                    each->receive(from, message);
            }
        });
    }
}

void simulation::send_request(address const& to, simulated_request const& request,
                              answer_handler const& handler)
{
    bool const lost = !faults_stopped_ && with_probability(options_.request_loss);
    bool const answer_lost = !faults_stopped_ && with_probability(options_.answer_loss);
    trace(request, fmt::format("sent to {}{}{}", to.text(), lost ? ", lost" : "",
                               answer_lost ? ", its answer will be lost" : ""));
    if (lost)
        return;
    auto const deliver_answer = [this, handler, answer_lost](simulated_answer const& answer) {
        if (!answer_lost)
            queue_.after(network_delay(), [handler, answer] { handler(answer); });
    };
    queue_.after(network_delay(), [this, to, request, deliver_answer] {
        for (simulated_upstream& each : upstreams_) {
            if (each.at == to)
                receive_at_upstream(each, request, deliver_answer);
        }
        for (auto const& each : entries_) {
            if (each->listed().callers == to)
                each->receive(request, deliver_answer);
        }
    });
}

void simulation::receive_at_upstream(simulated_upstream& upstream, simulated_request const& request,
                                     answer_handler const& handler)
{
    if (upstream.leaving || (!faults_stopped_ && with_probability(options_.shed))) {
        handler({.kind = answer_head_kind::not_run, .from_leaving_upstream = upstream.leaving});
        return;
    }
    record_execution(upstream, request);
    duration const service(static_cast<std::int64_t>(random_.exponential(20'000)));
    queue_.after(service, [&upstream, request, handler] {
        handler({.kind = answer_head_kind::answer,
                 .body = request.id,
                 .from_leaving_upstream = upstream.leaving});
    });
}

void simulation::start_request()
{
    auto const caller = std::make_shared<caller_request>();
    caller->idempotent = with_probability(0.4);
    caller->request.id = fmt::format("r{}", ++next_request_);
    caller->request.service = service_name(caller->idempotent ? "levels" : "transfers");
    caller->request.body = "body of " + caller->request.id;
    caller->request.time_left = std::chrono::seconds(2);
    ++totals_.requests;
    caller_requests_.push_back(caller);
    send_caller_request(caller);
}

void simulation::send_caller_request(std::shared_ptr<caller_request> const& caller)
{
    if (++caller->send_count > max_sends) {
        end_request(*caller,
                    caller->may_have_run ? answer_head_kind::unknown : answer_head_kind::not_run);
        return;
    }
    simulated_entry& lookup_entry = random_entry();
    auto const retry_later = [this, caller] {
        queue_.after(std::chrono::milliseconds(100),
                     [this, caller] { send_caller_request(caller); });
    };
    if (!lookup_entry.is_running()) {
        retry_later();
        return;
    }
    auto const listed_entries = lookup_entry.engine().lookups().entries(
        caller->request.service, lookup_entry.listed().region);
    if (listed_entries.empty()) {
        retry_later();
        return;
    }
    member_view const& chosen_entry =
        *listed_entries[(caller->send_count - 1) % listed_entries.size()];
    if (!caller->idempotent && !caller->request.presented)
        caller->request.presented =
            generate_ticket(chosen_entry.incarnation, chosen_entry.epoch, random_);
    caller->request.caller_ticket =
        caller->request.presented ? caller->request.presented->text() : std::string{};
    std::string const shown_ticket = caller->request.caller_ticket;
    auto const answered = std::make_shared<bool>(false);
    auto const never_connected = std::make_shared<bool>(false);
    auto const on_answer = [this, caller, shown_ticket, answered,
                            never_connected](simulated_answer const& answer) {
        *never_connected = *never_connected || answer.end == send_end::not_connected;
        if (!std::exchange(*answered, true))
            take_caller_answer(caller, shown_ticket, answer);
    };
    send_request(chosen_entry.listed.callers, caller->request, on_answer);
    queue_.after(caller->request.time_left, [on_answer] { on_answer({.end = send_end::broken}); });
    if (!with_probability(options_.late_duplicate))
        return;
    ++totals_.late_duplicates;
    simulated_request const duplicate = caller->request;
    address const to =
        with_probability(0.5) ? chosen_entry.listed.callers : random_entry().listed().callers;
    // A request cannot be duplicated in the network if its caller never connected.
    duration const extra_delay(static_cast<std::int64_t>(random_.exponential(1'500'000)));
    queue_.after(connect_timeout + extra_delay, [this, duplicate, to, never_connected] {
        if (!*never_connected)
            send_request(to, duplicate, [](simulated_answer const&) {});
    });
}

void simulation::take_caller_answer(std::shared_ptr<caller_request> const& caller,
                                    std::string const& shown_ticket, simulated_answer const& answer)
{
    trace(caller->request,
          fmt::format("caller receives end {}, kind {}", static_cast<int>(answer.end),
                      static_cast<int>(answer.kind)));
    if (answer.end == send_end::complete && answer.kind == answer_head_kind::answer) {
        if (answer.body != caller->request.id)
            add_violation(caller->request.id + " received the answer to " + answer.body);
        end_request(*caller, answer_head_kind::answer);
        return;
    }
    bool const not_run =
        (answer.end == send_end::complete && answer.kind == answer_head_kind::not_run) ||
        answer.end == send_end::not_connected;
    if (answer.end == send_end::complete && not_run) {
        if (!shown_ticket.empty())
            tickets_answered_not_run_.insert(shown_ticket);
        caller->may_have_run = false;
        caller->request.presented = answer.next;
    }
    else if (not_run && !caller->may_have_run) {
        caller->request.presented.reset();
    }
    else if (!not_run) {
        caller->may_have_run = true;
    }
    queue_.after(std::chrono::milliseconds(50), [this, caller] { send_caller_request(caller); });
}

void simulation::end_request(caller_request& caller, answer_head_kind outcome)
{
    caller.ended = true;
    if (outcome == answer_head_kind::answer)
        ++totals_.answered;
    else if (outcome == answer_head_kind::unknown)
        ++totals_.unknown;
    else
        ++totals_.not_run;
    bool const answered_not_run = outcome == answer_head_kind::not_run && !caller.idempotent;
    if (answered_not_run && executions_by_request_[caller.request.id] > 0)
        add_violation(caller.request.id + " was answered 'not run' although it ran");
}

void simulation::record_execution(simulated_upstream const& upstream,
                                  simulated_request const& request)
{
    std::uint64_t const runs = ++executions_by_request_[request.id];
    ++executions_by_ticket_[request.caller_ticket];
    trace(request, "runs at " + upstream.name.get());
    bool const must_run_once = request.service.get() == "transfers";
    if (must_run_once && runs > 1)
        add_violation(fmt::format("{} ran {} times, most recently at {}", request.id, runs,
                                  upstream.name.get()));
}

void simulation::record_leaving_notice(simulated_entry const& entry, upstream_name const& upstream)
{
    for (simulated_upstream& each : upstreams_) {
        if (each.name != upstream || each.first_leaving_notice)
            continue;
        // The notice counts only if the entry runs on long enough to pass it on: if it pauses or
        // crashes first, the others may not learn of it.
        time_point const noticed_at = queue_.now();
        queue_.after(notice_spread_time, [&entry, &each, noticed_at] {
            if (!each.first_leaving_notice && entry.uninterrupted_for(notice_spread_time))
                each.first_leaving_notice = noticed_at;
        });
    }
}

void simulation::check_new_work(simulated_entry const& entry, upstream_name const& upstream)
{
    for (simulated_upstream const& each : upstreams_) {
        bool const past_limit = each.first_leaving_notice && each.name == upstream &&
                                queue_.now() - *each.first_leaving_notice > leaving_send_limit;
        // For an entry that was paused or restarted, the limit starts again when it resumes.
        if (past_limit && entry.uninterrupted_for(leaving_send_limit))
            add_violation(
                fmt::format("{} sent new work to {}, {} ms after the first leaving notice",
                            entry.listed().instance.get(), upstream.get(),
                            (queue_.now() - *each.first_leaving_notice).count() / 1000));
    }
}

void simulation::start_apply()
{
    unsigned const number = ++next_apply_;
    auto const publisher = std::make_shared<configuration_publisher>(
        apply_request{.id = apply_id(fmt::format("a{}", number)),
                      .file = "file",
                      .document = numbered_document(number),
                      .who = "operator",
                      .why = "test"});
    queue_.after(network_delay(), [this, publisher] { execute(publisher, publisher->start()); });
}

void simulation::execute(std::shared_ptr<configuration_publisher> const& publisher,
                         publisher_command const& command)
{
    // A network delay follows each answer of the store, so that the steps of concurrent applies
    // interleave.
    auto const next = [this, publisher](publisher_command const& next_command) {
        queue_.after(network_delay(),
                     [this, publisher, next_command] { execute(publisher, next_command); });
    };
    if (std::holds_alternative<read_head_command>(command)) {
        store_.read(head_row_key, [&](store_status status, std::optional<table_row> const& row) {
            next(publisher->handle_head_read(status, row));
        });
    }
    else if (auto const* const put = std::get_if<put_document_command>(&command)) {
        store_.put(put->name, publisher->request().document,
                   [&](store_status status) { next(publisher->handle_document_put(status)); });
    }
    else if (auto const* const commit = std::get_if<commit_command>(&command)) {
        store_.commit(commit->transaction,
                      [&](store_status status) { next(publisher->handle_commit_result(status)); });
    }
    else if (auto const* const check = std::get_if<check_applied_command>(&command)) {
        store_.commit(check->transaction,
                      [&](store_status status) { next(publisher->handle_applied_check(status)); });
    }
    else if (auto const* const refusal = std::get_if<write_refusal_command>(&command)) {
        store_.commit(refusal->transaction, [](store_status) {});
        end_apply(*publisher, refusal->outcome);
    }
    else {
        end_apply(*publisher, std::get<finish_command>(command).outcome);
    }
}

void simulation::end_apply(configuration_publisher const& publisher, apply_outcome const& outcome)
{
    std::string const id = publisher.request().id.get();
    if (outcome.verdict == apply_verdict::accepted) {
        ++totals_.applies_accepted;
        accepted_applies_.insert(id);
    }
    else if (outcome.verdict == apply_verdict::refused) {
        ++totals_.applies_refused;
        refused_applies_.insert(id);
    }
    else {
        ++totals_.applies_unknown;
    }
}

void simulation::check_at_end()
{
    for (std::shared_ptr<caller_request> const& each : caller_requests_) {
        if (!each->ended)
            add_violation(each->request.id + " had no final outcome at the end of the run");
    }
    for (std::string const& each : tickets_answered_not_run_) {
        if (executions_by_ticket_.contains(each))
            add_violation("ticket " + each +
                          " was answered 'not run' although a request with it ran");
    }
    std::set<std::string> written_applies;
    std::uint64_t version = 0;
    for (std::string const& value : store_.history(head_row_key)) {
        configuration_head_record const head =
            handle_failure([&] { return parse_head_record(value); },
                           [](failure const&) { return configuration_head_record{}; });
        written_applies.insert(head.applied_by.get());
        if (head.version.get() != ++version)
            add_violation("the head row skips or repeats a version");
    }
    for (std::string const& each : accepted_applies_) {
        if (!written_applies.contains(each))
            add_violation("apply " + each +
                          " was accepted but is not in the history of the head row");
    }
    for (std::string const& each : refused_applies_) {
        if (written_applies.contains(each))
            add_violation("apply " + each + " was refused but is in the history of the head row");
    }
    for (auto const& each : entries_) {
        if (each->uninterrupted_for(adoption_limit) && each->version().get() != version)
            add_violation(fmt::format("{} has configuration version {} in force instead of {}",
                                      each->listed().instance.get(), each->version().get(),
                                      version));
    }
}

} // namespace burdockstep::testing
