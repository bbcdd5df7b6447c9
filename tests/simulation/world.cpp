#include "tests/simulation/world.hpp"

#include "tests/fakes/documents.hpp"
#include "tests/simulation/simulated_entry.hpp"

#include "libraries/configuration/deployment_reader.hpp"

#include <algorithm>

namespace burdockstep::testing {

namespace {

/// Entries hear of each other and take up the first configuration before callers come.
constexpr duration warm_up = std::chrono::seconds(2);
constexpr duration fault_interval = std::chrono::milliseconds(500);
/// At the end faults stop. A caller needs at most five sends of two seconds each to end.
constexpr duration calm_time = std::chrono::seconds(11);
/// The brief's "a few seconds" for new work to a leaving upstream.
constexpr duration leaving_limit = std::chrono::seconds(3);
constexpr duration telling_time = std::chrono::seconds(1);
/// The brief's "within seconds" for an accepted configuration.
constexpr duration in_force_limit = std::chrono::seconds(5);
/// A send that can't connect ends within this time.
constexpr duration connect_time = std::chrono::milliseconds(100);
constexpr unsigned most_sends = 5;

std::string numbered_document(unsigned number)
{
    return small_document() + "# " + std::to_string(number) + "\n";
}

} // namespace

world::world(world_options options) : options_(std::move(options)), random_(options_.seed)
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
    deployment const document = *read_deployment("small", small_document()).document;
    for (upstream const& each : document.upstreams)
        upstreams_.push_back({.name = each.name, .at = each.at});
}

world::~world() = default;

void world::violated(std::string what)
{
    auto const at =
        std::chrono::duration_cast<std::chrono::milliseconds>(queue_.now().time_since_epoch());
    violations_.push_back(fmt::format("at {} ms: {}", at.count(), what));
}

void world::trace(simulated_request const& request, std::string const& step) const
{
    bool const wanted = request.id == options_.traced || request.callers_ticket == options_.traced;
    if (options_.traced.empty() || !wanted)
        return;
    auto const at =
        std::chrono::duration_cast<std::chrono::microseconds>(queue_.now().time_since_epoch());
    fmt::print("{:>12} us {} [{}] {}\n", at.count(), request.id,
               request.presented ? request.presented->text() : "no ticket", step);
}

duration world::network_delay()
{
    return duration(static_cast<std::int64_t>(500 + random_.exponential(4'000)));
}

simulated_entry& world::any_entry()
{
    return *entries_[random_.below(entries_.size())];
}

violations world::run()
{
    for (auto const& each : entries_)
        each->start();
    start_apply();
    time_point const end = queue_.now() + options_.length;
    for (time_point when = queue_.now() + warm_up; when < end - calm_time;
         when += duration(static_cast<std::int64_t>(random_.exponential(25'000))))
        queue_.at(when, [this] { start_request(); });
    for (time_point when = queue_.now() + fault_interval; when < end - calm_time;
         when += fault_interval)
        queue_.at(when, [this] { step_faults(); });
    queue_.at(end - calm_time, [this] { heal(); });
    queue_.run_until(end);
    check_at_end();
    return violations_;
}

void world::step_faults()
{
    for (auto const& each : entries_) {
        if (!each->is_running()) {
            if (chance(0.5))
                each->start();
        }
        else if (chance(options_.crash)) {
            ++totals_.crashes;
            each->crash();
        }
        else if (chance(options_.pause)) {
            ++totals_.pauses;
            each->pause(duration(static_cast<std::int64_t>(random_.exponential(1'500'000))));
        }
    }
    store_.is_unreachable = chance(options_.store_outage) || (store_.is_unreachable && chance(0.7));
    store_.stale_reads = chance(0.1);
    if (chance(0.3))
        store_.queued_faults.push_back(chance(0.5) ? store_fault::lose_answer
                                                   : store_fault::lose_request);
    for (simulated_upstream& each : upstreams_) {
        // The last upstreams of each service stay, so that requests still have a way.
        bool const may_leave = each.name.get().ends_with("-2");
        if (may_leave && !each.leaving && chance(options_.leave)) {
            ++totals_.leaves;
            each.leaving = true;
        }
    }
    if (chance(0.3))
        start_apply();
}

void world::heal()
{
    calm_ = true;
    store_.is_unreachable = false;
    store_.stale_reads = false;
    store_.queued_faults.clear();
    for (auto const& each : entries_) {
        if (!each->is_running())
            each->start();
    }
}

void world::send_datagram(address const& from, address const& to, wire::message const& message)
{
    unsigned copies = calm_ || !chance(options_.datagram_loss) ? 1 : 0;
    if (!calm_ && chance(options_.datagram_repeat))
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

void world::send_request(address const& to, simulated_request const& request,
                         answer_handler const& handler)
{
    bool const lost = !calm_ && chance(options_.request_loss);
    bool const answer_lost = !calm_ && chance(options_.answer_loss);
    trace(request, fmt::format("sent to {}{}{}", to.text(), lost ? ", lost" : "",
                               answer_lost ? ", answer to be lost" : ""));
    if (lost)
        return;
    auto const back = [this, handler, answer_lost](simulated_answer const& answer) {
        if (!answer_lost)
            queue_.after(network_delay(), [handler, answer] { handler(answer); });
    };
    queue_.after(network_delay(), [this, to, request, back] {
        for (simulated_upstream& each : upstreams_) {
            if (each.at == to)
                upstream_receives(each, request, back);
        }
        for (auto const& each : entries_) {
            if (each->listed().callers == to)
                each->receive(request, back);
        }
    });
}

void world::upstream_receives(simulated_upstream& upstream, simulated_request const& request,
                              answer_handler const& handler)
{
    if (upstream.leaving || (!calm_ && chance(options_.shed))) {
        handler({.kind = answer_head_kind::not_run, .from_leaving = upstream.leaving});
        return;
    }
    note_run(upstream, request);
    duration const service(static_cast<std::int64_t>(random_.exponential(20'000)));
    queue_.after(service, [&upstream, request, handler] {
        handler({.kind = answer_head_kind::answer,
                 .body = request.id,
                 .from_leaving = upstream.leaving});
    });
}

void world::start_request()
{
    auto const caller = std::make_shared<caller_state>();
    caller->idempotent = chance(0.4);
    caller->request.id = fmt::format("r{}", ++next_request_);
    caller->request.service = service_name(caller->idempotent ? "levels" : "transfers");
    caller->request.body = "body of " + caller->request.id;
    caller->request.time_left = std::chrono::seconds(2);
    ++totals_.requests;
    callers_.push_back(caller);
    caller_sends(caller);
}

void world::caller_sends(std::shared_ptr<caller_state> const& caller)
{
    if (++caller->sends > most_sends) {
        end_request(*caller,
                    caller->in_doubt ? answer_head_kind::unknown : answer_head_kind::not_run);
        return;
    }
    simulated_entry& asked = any_entry();
    auto const again = [this, caller] {
        queue_.after(std::chrono::milliseconds(100), [this, caller] { caller_sends(caller); });
    };
    if (!asked.is_running()) {
        again();
        return;
    }
    auto const choices =
        asked.engine().lookups().entries(caller->request.service, asked.listed().region);
    if (choices.empty()) {
        again();
        return;
    }
    member_view const& chosen = *choices[(caller->sends - 1) % choices.size()];
    if (!caller->idempotent && !caller->request.presented)
        caller->request.presented = generate_ticket(chosen.incarnation, chosen.epoch, random_);
    caller->request.callers_ticket =
        caller->request.presented ? caller->request.presented->text() : std::string{};
    std::string const shown = caller->request.callers_ticket;
    auto const answered = std::make_shared<bool>(false);
    auto const never_left = std::make_shared<bool>(false);
    auto const hear = [this, caller, shown, answered, never_left](simulated_answer const& answer) {
        *never_left = *never_left || answer.end == send_end::not_connected;
        if (!std::exchange(*answered, true))
            caller_hears(caller, shown, answer);
    };
    send_request(chosen.listed.callers, caller->request, hear);
    queue_.after(caller->request.time_left, [hear] { hear({.end = send_end::broken}); });
    if (!chance(options_.late_copy))
        return;
    ++totals_.late_copies;
    simulated_request const copy = caller->request;
    address const to = chance(0.5) ? chosen.listed.callers : any_entry().listed().callers;
    // Nothing can repeat a request of which no byte has left its caller.
    duration const lateness(static_cast<std::int64_t>(random_.exponential(1'500'000)));
    queue_.after(connect_time + lateness, [this, copy, to, never_left] {
        if (!*never_left)
            send_request(to, copy, [](simulated_answer const&) {});
    });
}

void world::caller_hears(std::shared_ptr<caller_state> const& caller, std::string const& shown,
                         simulated_answer const& answer)
{
    trace(caller->request, fmt::format("caller hears end {} kind {}", static_cast<int>(answer.end),
                                       static_cast<int>(answer.kind)));
    if (answer.end == send_end::complete && answer.kind == answer_head_kind::answer) {
        if (answer.body != caller->request.id)
            violated(caller->request.id + " got the answer of " + answer.body);
        end_request(*caller, answer_head_kind::answer);
        return;
    }
    bool const not_run =
        (answer.end == send_end::complete && answer.kind == answer_head_kind::not_run) ||
        answer.end == send_end::not_connected;
    if (answer.end == send_end::complete && not_run) {
        if (!shown.empty())
            tickets_told_not_run_.insert(shown);
        caller->in_doubt = false;
        caller->request.presented = answer.next;
    }
    else if (not_run && !caller->in_doubt) {
        caller->request.presented.reset();
    }
    else if (!not_run) {
        caller->in_doubt = true;
    }
    queue_.after(std::chrono::milliseconds(50), [this, caller] { caller_sends(caller); });
}

void world::end_request(caller_state& caller, answer_head_kind outcome)
{
    caller.ended = true;
    if (outcome == answer_head_kind::answer)
        ++totals_.answered;
    else if (outcome == answer_head_kind::unknown)
        ++totals_.unknown;
    else
        ++totals_.not_run;
    bool const told_not_run = outcome == answer_head_kind::not_run && !caller.idempotent;
    if (told_not_run && runs_by_request_[caller.request.id] > 0)
        violated(caller.request.id + " was told 'not run' but has run");
}

void world::note_run(simulated_upstream const& upstream, simulated_request const& request)
{
    std::uint64_t const runs = ++runs_by_request_[request.id];
    ++runs_by_ticket_[request.callers_ticket];
    trace(request, "runs at " + upstream.name.get());
    bool const once = request.service.get() == "transfers";
    if (once && runs > 1)
        violated(fmt::format("{} ran {} times, last at {}", request.id, runs, upstream.name.get()));
}

void world::note_leaving_sign(simulated_entry const& entry, upstream_name const& upstream)
{
    for (simulated_upstream& each : upstreams_) {
        if (each.name != upstream || each.first_sign)
            continue;
        // A sign that dies with the instance that saw it is none: it must live to tell it.
        time_point const seen = queue_.now();
        queue_.after(telling_time, [&entry, &each, seen] {
            if (!each.first_sign && entry.steady_for(telling_time))
                each.first_sign = seen;
        });
    }
}

void world::note_new_work(simulated_entry const& entry, upstream_name const& upstream)
{
    for (simulated_upstream const& each : upstreams_) {
        bool const late = each.first_sign && each.name == upstream &&
                          queue_.now() - *each.first_sign > leaving_limit;
        // An entry that was stopped or restarted has the limit anew from when it is back.
        if (late && entry.steady_for(leaving_limit))
            violated(fmt::format("{} sent new work to {}, {} ms after the first sign",
                                 entry.listed().instance.get(), upstream.get(),
                                 (queue_.now() - *each.first_sign).count() / 1000));
    }
}

void world::start_apply()
{
    unsigned const number = ++next_apply_;
    auto const publisher = std::make_shared<configuration_publisher>(
        apply_request{.id = apply_id(fmt::format("a{}", number)),
                      .file = "file",
                      .document = numbered_document(number),
                      .who = "operator",
                      .why = "test"});
    queue_.after(network_delay(), [this, publisher] { carry_out(publisher, publisher->start()); });
}

void world::carry_out(std::shared_ptr<configuration_publisher> const& publisher,
                      publisher_command const& command)
{
    // Each answer of the store travels, so that the steps of several applies interleave.
    auto const next = [this, publisher](publisher_command const& following) {
        queue_.after(network_delay(),
                     [this, publisher, following] { carry_out(publisher, following); });
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

void world::end_apply(configuration_publisher const& publisher, apply_outcome const& outcome)
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

void world::check_at_end()
{
    for (std::shared_ptr<caller_state> const& each : callers_) {
        if (!each->ended)
            violated(each->request.id + " never ended");
    }
    for (std::string const& each : tickets_told_not_run_) {
        if (runs_by_ticket_.contains(each))
            violated("ticket " + each + " was told 'not run' but has run");
    }
    std::set<std::string> written;
    std::uint64_t version = 0;
    for (std::string const& value : store_.history(head_row_key)) {
        configuration_head_record const head =
            handle_failure([&] { return parse_head_record(value); },
                           [](failure const&) { return configuration_head_record{}; });
        written.insert(head.applied_by.get());
        if (head.version.get() != ++version)
            violated("the head row skips or repeats a version");
    }
    for (std::string const& each : accepted_applies_) {
        if (!written.contains(each))
            violated("apply " + each + " was accepted but isn't written");
    }
    for (std::string const& each : refused_applies_) {
        if (written.contains(each))
            violated("apply " + each + " was refused but is written");
    }
    for (auto const& each : entries_) {
        if (each->steady_for(in_force_limit) && each->version().get() != version)
            violated(fmt::format("{} has version {} in force, not {}",
                                 each->listed().instance.get(), each->version().get(), version));
    }
}

} // namespace burdockstep::testing
