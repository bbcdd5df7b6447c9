#include "services/burdockstepd/callers/callers_task.hpp"

#include "services/burdockstepd/memory_limits.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace burdockstep {

namespace {

constexpr duration engine_tick_interval = std::chrono::milliseconds(5);
constexpr duration pool_report_interval = std::chrono::milliseconds(250);
constexpr duration send_connect_timeout = std::chrono::milliseconds(500);
constexpr duration send_stall_timeout = std::chrono::seconds(5);
constexpr std::string_view lookup_path_prefix = "/v1/lookup/";
constexpr std::string_view call_path_prefix = "/v1/call/";
constexpr unsigned max_tickets_per_entry = 16;
constexpr std::size_t max_entries_with_tickets = 3;

entry_engine_options make_engine_options(daemon_context const& context)
{
    return {.instance = context.settings.instance,
            .region = context.settings.region,
            .place = context.settings.place,
            .incarnation = context.own_run.incarnation};
}

unsigned parse_count_with_limit(std::string const& text, unsigned default_count, unsigned max_count)
{
    unsigned count = 0;
    auto const [number_end, parse_error] =
        std::from_chars(text.data(), text.data() + text.size(), count);
    if (parse_error != std::errc{} || number_end != text.data() + text.size())
        return default_count;
    return std::min(count, max_count);
}

duration parse_deadline(std::string_view text)
{
    std::int64_t milliseconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    constexpr std::int64_t max_call_deadline_ms = 3'600'000;
    return std::chrono::milliseconds(
        std::clamp<std::int64_t>(milliseconds, 0, max_call_deadline_ms));
}

call_route parse_route(std::string_view text)
{
    if (text == "passed")
        return call_route::forwarded;
    return text == "spilled" ? call_route::spilled : call_route::direct;
}

/// The path and query to request from the upstream: a call's path without prefix and service name.
std::string upstream_path_and_query(http_request const& request)
{
    std::string_view const path_after_prefix =
        std::string_view(request.path).substr(call_path_prefix.size());
    auto const slash_position = path_after_prefix.find('/');
    std::string path(
        slash_position == std::string_view::npos ? "/" : path_after_prefix.substr(slash_position));
    if (!request.query.empty())
        path += "?" + request.query;
    return path;
}

bool is_forwarded_header(std::string const& name)
{
    constexpr std::string_view not_forwarded[] = {"connection",
                                                  "keep-alive",
                                                  "transfer-encoding",
                                                  "content-length",
                                                  "upgrade",
                                                  "te",
                                                  "trailer",
                                                  "host",
                                                  "expect",
                                                  header::ticket,
                                                  header::deadline,
                                                  header::route,
                                                  "proxy-authorization",
                                                  "proxy-connection"};
    return std::find(std::begin(not_forwarded), std::end(not_forwarded), name) ==
           std::end(not_forwarded);
}

std::string format_milliseconds(duration time_span)
{
    auto const whole_milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_span).count();
    return fmt::format("{}", std::max<std::int64_t>(whole_milliseconds, 1));
}

} // namespace

callers_task::callers_task(daemon_context& context)
    : context_(context), callers_server_(context.loop, make_callers_limits(context.settings)),
      send_client_(context.loop, make_send_limits()),
      engine_(make_engine_options(context), context.random, context.clock.now()),
      engine_tick_timer_(context.loop), pool_report_timer_(context.loop)
{}

callers_task::~callers_task()
{
    for (auto& [id, call] : calls_in_progress_)
        call.exchange->on_disconnect(nullptr);
}

result<void> callers_task::try_start()
{
    BOOST_LEAF_ASSIGN(context_.settings.callers,
                      callers_server_.try_listen(context_.settings.callers,
                                                 [this](std::shared_ptr<http_exchange> exchange) {
                                                     on_request(std::move(exchange));
                                                 }));
    engine_tick_timer_.start_periodic(engine_tick_interval, [this] {
        execute_engine_commands(engine_.tick(context_.clock.now()));
        publish_newest_epoch();
    });
    pool_report_timer_.start_periodic(pool_report_interval, [this] { publish_pool_reports(); });
    return {};
}

void callers_task::publish_newest_epoch()
{
    epoch_number const newest_epoch = engine_.current_epoch();
    if (newest_epoch == last_published_epoch_)
        return;
    last_published_epoch_ = newest_epoch;
    context_.post(ticket_epoch_opened{.epoch = newest_epoch});
}

void callers_task::log_request_not_answered(request_id id, std::string_view outcome,
                                            refusal_reason reason)
{
    auto const last_upstream = last_upstream_by_request_.find(id);
    log_.info("request ended", {field("number", id.get()), field("outcome", outcome),
                                field("reason", name_of(reason)),
                                field("upstream", last_upstream == last_upstream_by_request_.end()
                                                      ? "-"
                                                      : last_upstream->second.get())});
}

void callers_task::publish_pool_reports()
{
    for (entry_engine::outgoing_pool_report& each : engine_.make_pool_reports())
        context_.post(pool_report_ready{.report = std::move(each.report),
                                        .receivers = std::move(each.receivers)});
}

void callers_task::on_request(std::shared_ptr<http_exchange> exchange)
{
    std::string const& path = exchange->request().path;
    if (path.starts_with(lookup_path_prefix))
        reply_to_lookup(*exchange);
    else if (path.starts_with(call_path_prefix))
        start_call(std::move(exchange));
    else
        exchange->reply(404, {{"content-type", "text/plain"}},
                        "unknown path; use /v1/lookup/SERVICE or /v1/call/SERVICE/PATH\n");
}

void callers_task::reply_to_lookup(http_exchange& exchange)
{
    http_request const& request = exchange.request();
    service_name const requested_service(request.path.substr(lookup_path_prefix.size()));
    auto const configuration = engine_.configuration();
    service const* const known_service =
        configuration ? configuration->document->find_service(requested_service) : nullptr;
    if (known_service == nullptr) {
        bool const has_no_configuration = !configuration;
        exchange.reply(has_no_configuration ? 503 : 404, {{"content-type", "text/plain"}},
                       has_no_configuration
                           ? "no configuration yet; ask another instance\n"
                           : "no such service in the configuration; check its name\n");
        return;
    }
    std::string const region_parameter = request.parameter("region");
    region_name region(region_parameter);
    if (region.get().empty())
        region = configuration->document->region_of_client(exchange.peer().ip);
    if (region.get().empty())
        region = context_.settings.region;
    unsigned const tickets_per_entry =
        parse_count_with_limit(request.parameter("tickets"), 1, max_tickets_per_entry);
    std::string entries;
    std::size_t listed_entries = 0;
    for (member_view const* const each : engine_.lookups().entries(requested_service, region)) {
        if (listed_entries > 0)
            entries.push_back(',');
        entries +=
            format_entry_json(*each, *known_service,
                              listed_entries < max_entries_with_tickets ? tickets_per_entry : 0);
        ++listed_entries;
    }
    ++lookups_answered_;
    std::string const body = fmt::format(
        R"({{"service":"{}","configuration_version":{},"lifetime_ms":{},"deadline_ms":{},"idempotent":{},"entries":[{}]}})"
        "\n",
        requested_service.get(), configuration->version.get(),
        context_.settings.lookup_lifetime.count() / 1000, known_service->deadline.count() / 1000,
        known_service->idempotent, entries);
    exchange.reply(200, {{"content-type", "application/json"}}, body);
}

std::string callers_task::format_entry_json(member_view const& entry,
                                            service const& requested_service,
                                            unsigned tickets_per_entry)
{
    std::string json = fmt::format(R"({{"instance":"{}","region":"{}","address":"{}","tickets":[)",
                                   entry.listed.instance.get(), entry.listed.region.get(),
                                   entry.listed.callers.text());
    bool const is_this_entry = entry.incarnation == context_.own_run.incarnation;
    epoch_number const epoch = is_this_entry ? engine_.current_epoch() : entry.epoch;
    for (unsigned ticket_index = 0;
         !requested_service.idempotent && ticket_index < tickets_per_entry; ++ticket_index) {
        ticket const new_ticket = generate_ticket(entry.incarnation, epoch, context_.random);
        json += fmt::format(R"({}"{}")", ticket_index == 0 ? "" : ",", new_ticket.text());
    }
    json += "]}";
    return json;
}

void callers_task::start_call(std::shared_ptr<http_exchange> exchange)
{
    http_request const& request = exchange->request();
    std::string_view const path_after_prefix =
        std::string_view(request.path).substr(call_path_prefix.size());
    call_arrival arrival;
    arrival.id = request_id(next_request_number_++);
    arrival.service =
        service_name(std::string(path_after_prefix.substr(0, path_after_prefix.find('/'))));
    arrival.deadline = parse_deadline(request.headers.find(header::deadline));
    arrival.route = parse_route(request.headers.find(header::route));
    arrival.request = digest_of(fmt::format(
        "{} {}\n{}", request.method, upstream_path_and_query(request), request.body.bytes()));
    std::string_view const ticket_text = request.headers.find(header::ticket);
    if (!ticket_text.empty()) {
        arrival.presented = handle_failure(
            [&]() -> result<std::optional<ticket>> {
                BOOST_LEAF_AUTO(parsed_ticket, parse_ticket(ticket_text));
                return std::optional<ticket>(parsed_ticket);
            },
            [](failure const&) { return std::optional<ticket>{}; });
        if (!arrival.presented) {
            exchange->reply(400, {{"content-type", "text/plain"}},
                            "malformed ticket; send it exactly as the look-up returned it\n");
            return;
        }
    }
    request_id const id = arrival.id;
    exchange->on_disconnect([this, id] {
        auto const call_iterator = calls_in_progress_.find(id);
        if (call_iterator != calls_in_progress_.end() && call_iterator->second.relay)
            call_iterator->second.relay->stop_waiting_for_caller();
        execute_engine_commands(engine_.handle_caller_gone(id, context_.clock.now()));
    });
    calls_in_progress_.emplace(id,
                               call_in_progress{.exchange = std::move(exchange), .relay = nullptr});
    execute_engine_commands(engine_.handle_arrival(std::move(arrival), context_.clock.now()));
}

call_options callers_task::make_common_send_options(call_in_progress const& call,
                                                    duration time_left) const
{
    http_request const& request = call.exchange->request();
    call_options options;
    options.method = request.method;
    for (http_header const& each : request.headers) {
        if (is_forwarded_header(each.name))
            options.headers.add(each.name, each.value);
    }
    options.headers.add(header::deadline, format_milliseconds(time_left));
    options.body = request.body;
    options.deadline = time_left;
    options.connect_timeout = std::min(time_left, send_connect_timeout);
    options.stall_timeout = send_stall_timeout;
    options.local_ip = context_.settings.callers.ip_text();
    return options;
}

void callers_task::start_answer_relay(call_in_progress& call, request_id id,
                                      call_options const& options)
{
    call.relay = std::make_unique<answer_relay>(id, call.exchange, send_client_, *this);
    call.relay->start(options);
}

void callers_task::send(send_upstream const& command)
{
    auto const call_iterator = calls_in_progress_.find(command.id);
    if (call_iterator == calls_in_progress_.end())
        return;
    last_upstream_by_request_[command.id] = command.upstream;
    call_options options = make_common_send_options(call_iterator->second, command.time_left);
    options.to = command.to;
    options.path = upstream_path_and_query(call_iterator->second.exchange->request());
    options.fresh_connection = command.fresh_connection;
    start_answer_relay(call_iterator->second, command.id, options);
}

void callers_task::send(send_peer const& command)
{
    auto const call_iterator = calls_in_progress_.find(command.id);
    if (call_iterator == calls_in_progress_.end())
        return;
    http_request const& request = call_iterator->second.exchange->request();
    call_options options = make_common_send_options(call_iterator->second, command.time_left);
    options.to = command.to;
    options.path = request.path;
    if (!request.query.empty())
        options.path += "?" + request.query;
    options.headers.add(header::route, command.route == call_route::spilled ? "spilled" : "passed");
    std::string_view const caller_region = request.headers.find(header::region);
    if (!caller_region.empty())
        options.headers.add(header::region, std::string(caller_region));
    if (command.present)
        options.headers.add(header::ticket, command.present->text());
    options.fresh_connection = command.fresh_connection;
    start_answer_relay(call_iterator->second, command.id, options);
}

void callers_task::reply_to_caller(request_id id, int status, char const* outcome,
                                   http_headers extra_headers, std::string const& text)
{
    auto const call_iterator = calls_in_progress_.find(id);
    if (call_iterator == calls_in_progress_.end())
        return;
    extra_headers.add(header::outcome, outcome);
    call_iterator->second.exchange->on_disconnect(nullptr);
    call_iterator->second.exchange->reply(status, extra_headers, text);
    calls_in_progress_.erase(call_iterator);
    last_upstream_by_request_.erase(id);
}

void callers_task::execute_engine_commands(entry_engine::commands const& commands)
{
    struct command_executor
    {
        callers_task& self;

        void operator()(send_upstream const& command) const { self.send(command); }
        void operator()(send_peer const& command) const { self.send(command); }
        // Nothing to do: the relay forwards the answer when `on_relay_answer_head` returns true.
        void operator()(forward_answer const& /*command*/) const {}
        void operator()(complete_answer const& command) const
        {
            finish_forwarded_answer(command.id, true);
        }
        void operator()(truncate_answer const& command) const
        {
            finish_forwarded_answer(command.id, false);
        }
        void operator()(reply_retained_answer const& command) const
        {
            http_headers headers;
            if (!command.answer->content_type.empty())
                headers.add("content-type", command.answer->content_type);
            self.reply_to_caller(command.id, command.answer->status, "answered", std::move(headers),
                                 command.answer->body);
        }
        void operator()(reply_not_run const& command) const
        {
            http_headers headers{{"content-type", "text/plain"},
                                 {header::reason, name_of(command.reason)}};
            self.log_request_not_answered(command.id, "not-run", command.reason);
            if (command.next)
                headers.add(header::next_ticket, command.next->text());
            self.reply_to_caller(command.id, 503, "not-run", std::move(headers),
                                 "the request was not run; it is safe to retry\n");
        }
        void operator()(reply_unknown const& command) const
        {
            self.log_request_not_answered(command.id, "unknown", command.reason);
            self.reply_to_caller(
                command.id, 502, "unknown",
                {{"content-type", "text/plain"}, {header::reason, name_of(command.reason)}},
                "the outcome is unknown; repeat the request with the same ticket, or check "
                "its effects at the service\n");
        }
        void operator()(reply_conflict const& command) const
        {
            self.reply_to_caller(
                command.id, 409, "conflict", {{"content-type", "text/plain"}},
                "the ticket was already used for a different request; use a new one\n");
        }
        void operator()(reply_answer_not_retained const& command) const
        {
            self.reply_to_caller(
                command.id, 410, "answered", {{"content-type", "text/plain"}},
                "the request ran and was answered, but the answer is no longer stored\n");
        }
        void operator()(cancel_send const& command) const
        {
            auto const call_iterator = self.calls_in_progress_.find(command.id);
            if (call_iterator == self.calls_in_progress_.end())
                return;
            call_iterator->second.exchange->abort();
            self.calls_in_progress_.erase(call_iterator);
            self.last_upstream_by_request_.erase(command.id);
        }

        void operator()(abandon_send const& command) const
        {
            self.send_client_.abandon_pooled_connections(command.upstream_address);
            auto const call_iterator = self.calls_in_progress_.find(command.id);
            if (call_iterator != self.calls_in_progress_.end())
                call_iterator->second.relay.reset();
        }

        void finish_forwarded_answer(request_id id, bool is_complete) const
        {
            auto const call_iterator = self.calls_in_progress_.find(id);
            if (call_iterator == self.calls_in_progress_.end())
                return;
            call_iterator->second.exchange->on_disconnect(nullptr);
            if (is_complete)
                call_iterator->second.exchange->finish();
            else
                call_iterator->second.exchange->abort();
            self.calls_in_progress_.erase(call_iterator);
            self.last_upstream_by_request_.erase(id);
        }
    };
    for (entry_command const& each : commands)
        std::visit(command_executor{*this}, each);
}

bool callers_task::on_relay_answer_head(request_id id, answer_head_kind kind)
{
    auto const commands = engine_.handle_answer_head(id, kind, context_.clock.now());
    return std::any_of(commands.begin(), commands.end(), [](entry_command const& each) {
        return std::holds_alternative<forward_answer>(each);
    });
}

void callers_task::on_relay_target_leaving(request_id id)
{
    auto const upstream_iterator = last_upstream_by_request_.find(id);
    if (upstream_iterator == last_upstream_by_request_.end())
        return;
    time_point const now = context_.clock.now();
    if (engine_.mark_leaving(upstream_iterator->second, now, now)) {
        log_.info("upstream announced in an answer that it is leaving",
                  {field("upstream", upstream_iterator->second.get())});
        context_.post(upstream_leaving{.name = upstream_iterator->second,
                                       .observed_at = now,
                                       .reported_by = leaving_report_source::upstream_answer});
    }
}

void callers_task::on_relay_send_ended(request_id id, send_end end,
                                       std::optional<retained_answer> answer)
{
    execute_engine_commands(
        engine_.handle_send_end(id, end, std::move(answer), context_.clock.now()));
}

void callers_task::receive(event const& new_event)
{
    time_point const now = context_.clock.now();
    if (auto const* const members_event = std::get_if<members_changed>(&new_event)) {
        engine_.update_members(members_event->members);
    }
    else if (auto const* const applied = std::get_if<configuration_applied>(&new_event)) {
        execute_engine_commands(engine_.apply_configuration(applied->configuration, now));
    }
    else if (auto const* const leaving_event = std::get_if<upstream_leaving>(&new_event)) {
        if (engine_.mark_leaving(leaving_event->name, leaving_event->observed_at, now))
            log_.info("upstream reported as leaving by the platform or a peer",
                      {field("upstream", leaving_event->name.get())});
    }
    else if (auto const* const pool_report_event = std::get_if<pool_report_received>(&new_event)) {
        engine_.record_pool_report(pool_report_event->report, now);
    }
    else if (std::holds_alternative<cached_lookups_expired>(new_event)) {
        callers_server_.close_connections_after_answers();
    }
}

bool callers_task::is_idle() const
{
    return calls_in_progress_.empty() && callers_server_.exchanges_in_flight() == 0;
}

} // namespace burdockstep
