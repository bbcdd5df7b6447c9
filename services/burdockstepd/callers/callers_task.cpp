#include "services/burdockstepd/callers/callers_task.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace burdockstep {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(5);
constexpr duration report_interval = std::chrono::milliseconds(250);
constexpr duration upstream_connect_timeout = std::chrono::milliseconds(500);
constexpr duration upstream_stall_limit = std::chrono::seconds(5);
constexpr std::string_view lookup_path = "/v1/lookup/";
constexpr std::string_view call_path = "/v1/call/";
constexpr unsigned most_tickets = 16;
constexpr std::size_t entries_with_tickets = 3;

entry_engine_options engine_options(daemon_context const& context)
{
    return {.instance = context.settings.instance,
            .region = context.settings.region,
            .place = context.settings.place,
            .incarnation = context.run.incarnation};
}

unsigned parse_count(std::string const& text, unsigned fallback, unsigned most)
{
    unsigned count = 0;
    auto const [stop, code] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (code != std::errc{} || stop != text.data() + text.size())
        return fallback;
    return std::min(count, most);
}

duration parse_deadline(std::string_view text)
{
    std::int64_t milliseconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    constexpr std::int64_t longest_ms = 3'600'000;
    return std::chrono::milliseconds(std::clamp<std::int64_t>(milliseconds, 0, longest_ms));
}

call_route parse_route(std::string_view text)
{
    if (text == "passed")
        return call_route::forwarded;
    return text == "spilled" ? call_route::spilled : call_route::direct;
}

/// The part of a call's path after the service, with the query.
std::string upstream_path(http_request const& request)
{
    std::string_view const rest = std::string_view(request.path).substr(call_path.size());
    auto const slash = rest.find('/');
    std::string path(slash == std::string_view::npos ? "/" : rest.substr(slash));
    if (!request.query.empty())
        path += "?" + request.query;
    return path;
}

bool is_end_to_end(std::string const& name)
{
    constexpr std::string_view hop_by_hop[] = {"connection",
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
    return std::find(std::begin(hop_by_hop), std::end(hop_by_hop), name) == std::end(hop_by_hop);
}

std::string milliseconds_text(duration span)
{
    auto const rounded = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return fmt::format("{}", std::max<std::int64_t>(rounded, 1));
}

} // namespace

callers_task::callers_task(daemon_context& context)
    : context_(context), server_(context.loop, {}), client_(context.loop),
      engine_(engine_options(context), context.random, context.clock.now()),
      tick_timer_(context.loop), report_timer_(context.loop)
{}

callers_task::~callers_task()
{
    for (auto& [id, call] : calls_)
        call.exchange->on_disconnect(nullptr);
}

result<void> callers_task::try_start()
{
    BOOST_LEAF_ASSIGN(context_.settings.callers,
                      server_.try_listen(context_.settings.callers,
                                         [this](std::shared_ptr<http_exchange> exchange) {
                                             on_request(std::move(exchange));
                                         }));
    tick_timer_.start_periodic(tick_interval, [this] {
        carry_out(engine_.tick(context_.clock.now()));
        note_epoch();
    });
    report_timer_.start_periodic(report_interval, [this] { publish_reports(); });
    return {};
}

void callers_task::note_epoch()
{
    epoch_number const present = engine_.current_epoch();
    if (present == published_epoch_)
        return;
    published_epoch_ = present;
    context_.post(epoch_opened{.epoch = present});
}

void callers_task::log_end(request_id id, std::string_view outcome, refusal_reason reason)
{
    auto const sent_to = sent_to_.find(id);
    log_.info("request ended",
              {field("number", id.get()), field("outcome", outcome),
               field("reason", name_of(reason)),
               field("upstream", sent_to == sent_to_.end() ? "-" : sent_to->second.get())});
}

void callers_task::publish_reports()
{
    for (entry_engine::outgoing_pool_report& each : engine_.make_pool_reports())
        context_.post(pool_report_made{.report = std::move(each.report),
                                       .receivers = std::move(each.receivers)});
}

void callers_task::on_request(std::shared_ptr<http_exchange> exchange)
{
    std::string const& path = exchange->request().path;
    if (path.starts_with(lookup_path))
        answer_lookup(*exchange);
    else if (path.starts_with(call_path))
        start_call(std::move(exchange));
    else
        exchange->reply(404, {{"content-type", "text/plain"}},
                        "no such path; use /v1/lookup/SERVICE or /v1/call/SERVICE/PATH\n");
}

void callers_task::answer_lookup(http_exchange& exchange)
{
    http_request const& request = exchange.request();
    service_name const wanted(request.path.substr(lookup_path.size()));
    auto const configuration = engine_.configuration();
    service const* const found =
        configuration ? configuration->document->find_service(wanted) : nullptr;
    if (found == nullptr) {
        bool const starting = !configuration;
        exchange.reply(starting ? 503 : 404, {{"content-type", "text/plain"}},
                       starting ? "no configuration yet; ask another instance\n"
                                : "no such service; check its name with the operators\n");
        return;
    }
    std::string const asked_region = request.parameter("region");
    region_name region(asked_region);
    if (region.get().empty())
        region = configuration->document->region_of_client(exchange.peer().ip);
    if (region.get().empty())
        region = context_.settings.region;
    unsigned const tickets = parse_count(request.parameter("tickets"), 1, most_tickets);
    std::string entries;
    std::size_t count = 0;
    for (member_view const* const each : engine_.lookups().entries(wanted, region)) {
        if (count > 0)
            entries.push_back(',');
        entries += entry_json(*each, *found, count < entries_with_tickets ? tickets : 0);
        ++count;
    }
    ++lookups_answered_;
    std::string const body = fmt::format(
        R"({{"service":"{}","configuration_version":{},"lifetime_ms":{},"deadline_ms":{},"idempotent":{},"entries":[{}]}})"
        "\n",
        wanted.get(), configuration->version.get(),
        context_.settings.lookup_lifetime.count() / 1000, found->deadline.count() / 1000,
        found->idempotent, entries);
    exchange.reply(200, {{"content-type", "application/json"}}, body);
}

std::string callers_task::entry_json(member_view const& entry, service const& wanted,
                                     unsigned tickets)
{
    std::string json = fmt::format(R"({{"instance":"{}","region":"{}","address":"{}","tickets":[)",
                                   entry.listed.instance.get(), entry.listed.region.get(),
                                   entry.listed.callers.text());
    bool const own = entry.incarnation == context_.run.incarnation;
    epoch_number const epoch = own ? engine_.current_epoch() : entry.epoch;
    for (unsigned i = 0; !wanted.idempotent && i < tickets; ++i) {
        ticket const minted = generate_ticket(entry.incarnation, epoch, context_.random);
        json += fmt::format(R"({}"{}")", i == 0 ? "" : ",", minted.text());
    }
    json += "]}";
    return json;
}

void callers_task::start_call(std::shared_ptr<http_exchange> exchange)
{
    http_request const& request = exchange->request();
    std::string_view const rest = std::string_view(request.path).substr(call_path.size());
    call_arrival arrival;
    arrival.id = request_id(next_call_++);
    arrival.service = service_name(std::string(rest.substr(0, rest.find('/'))));
    arrival.deadline = parse_deadline(request.headers.find(header::deadline));
    arrival.route = parse_route(request.headers.find(header::route));
    arrival.request =
        digest_of(fmt::format("{} {}\n{}", request.method, upstream_path(request), request.body));
    std::string_view const ticket_text = request.headers.find(header::ticket);
    if (!ticket_text.empty()) {
        arrival.presented = handle_failure(
            [&]() -> result<std::optional<ticket>> {
                BOOST_LEAF_AUTO(parsed, parse_ticket(ticket_text));
                return std::optional<ticket>(parsed);
            },
            [](failure const&) { return std::optional<ticket>{}; });
        if (!arrival.presented) {
            exchange->reply(400, {{"content-type", "text/plain"}},
                            "the ticket doesn't decode; send it as the look-up gave it\n");
            return;
        }
    }
    request_id const id = arrival.id;
    exchange->on_disconnect([this, id] {
        auto const found = calls_.find(id);
        if (found != calls_.end() && found->second.relay)
            found->second.relay->note_caller_gone();
        carry_out(engine_.handle_caller_gone(id, context_.clock.now()));
    });
    calls_.emplace(id, open_call{.exchange = std::move(exchange), .relay = nullptr});
    carry_out(engine_.handle_arrival(std::move(arrival), context_.clock.now()));
}

call_options callers_task::base_options(open_call const& call, duration time_left) const
{
    http_request const& request = call.exchange->request();
    call_options options;
    options.method = request.method;
    for (http_header const& each : request.headers) {
        if (is_end_to_end(each.name))
            options.headers.add(each.name, each.value);
    }
    options.headers.add(header::deadline, milliseconds_text(time_left));
    options.body = request.body;
    options.deadline = time_left;
    options.connect_timeout = std::min(time_left, upstream_connect_timeout);
    options.stall_timeout = upstream_stall_limit;
    options.local_ip = context_.settings.callers.ip_text();
    return options;
}

void callers_task::start_relay(open_call& call, request_id id, call_options const& options)
{
    call.relay = std::make_unique<answer_relay>(id, call.exchange, client_, *this);
    call.relay->start(options);
}

void callers_task::send(send_upstream const& command)
{
    auto const found = calls_.find(command.id);
    if (found == calls_.end())
        return;
    sent_to_[command.id] = command.upstream;
    call_options options = base_options(found->second, command.time_left);
    options.to = command.to;
    options.path = upstream_path(found->second.exchange->request());
    options.fresh_connection = command.fresh_connection;
    start_relay(found->second, command.id, options);
}

void callers_task::send(send_peer const& command)
{
    auto const found = calls_.find(command.id);
    if (found == calls_.end())
        return;
    http_request const& request = found->second.exchange->request();
    call_options options = base_options(found->second, command.time_left);
    options.to = command.to;
    options.path = request.path;
    if (!request.query.empty())
        options.path += "?" + request.query;
    options.headers.add(header::route, command.route == call_route::spilled ? "spilled" : "passed");
    std::string_view const home = request.headers.find(header::region);
    if (!home.empty())
        options.headers.add(header::region, std::string(home));
    if (command.present)
        options.headers.add(header::ticket, command.present->text());
    options.fresh_connection = command.fresh_connection;
    start_relay(found->second, command.id, options);
}

void callers_task::reply(request_id id, int status, char const* outcome, http_headers extra,
                         std::string const& text)
{
    auto const found = calls_.find(id);
    if (found == calls_.end())
        return;
    extra.add(header::outcome, outcome);
    found->second.exchange->on_disconnect(nullptr);
    found->second.exchange->reply(status, extra, text);
    calls_.erase(found);
    sent_to_.erase(id);
}

void callers_task::carry_out(entry_engine::commands const& commands)
{
    struct carrier
    {
        callers_task& self;

        void operator()(send_upstream const& command) const { self.send(command); }
        void operator()(send_peer const& command) const { self.send(command); }
        // The relay hands the head on when `on_relay_head` returns.
        void operator()(forward_answer const& /*command*/) const {}
        void operator()(complete_answer const& command) const { end(command.id, true); }
        void operator()(truncate_answer const& command) const { end(command.id, false); }
        void operator()(reply_retained_answer const& command) const
        {
            http_headers headers;
            if (!command.answer->content_type.empty())
                headers.add("content-type", command.answer->content_type);
            self.reply(command.id, command.answer->status, "answered", std::move(headers),
                       command.answer->body);
        }
        void operator()(reply_not_run const& command) const
        {
            http_headers headers{{"content-type", "text/plain"},
                                 {header::reason, name_of(command.reason)}};
            self.log_end(command.id, "not-run", command.reason);
            if (command.next)
                headers.add(header::next_ticket, command.next->text());
            self.reply(command.id, 503, "not-run", std::move(headers),
                       "not run; a further try is safe\n");
        }
        void operator()(reply_unknown const& command) const
        {
            self.log_end(command.id, "unknown", command.reason);
            self.reply(command.id, 502, "unknown",
                       {{"content-type", "text/plain"}, {header::reason, name_of(command.reason)}},
                       "the outcome is unknown; ask with the same ticket or check the account\n");
        }
        void operator()(reply_conflict const& command) const
        {
            self.reply(command.id, 409, "conflict", {{"content-type", "text/plain"}},
                       "the ticket was spent on another request; take a new one\n");
        }
        void operator()(reply_answer_not_retained const& command) const
        {
            self.reply(command.id, 410, "answered", {{"content-type", "text/plain"}},
                       "the request ran and was answered; the answer is no longer kept\n");
        }
        void operator()(cancel_send const& command) const
        {
            auto const found = self.calls_.find(command.id);
            if (found == self.calls_.end())
                return;
            found->second.exchange->abort();
            self.calls_.erase(found);
            self.sent_to_.erase(command.id);
        }

        void operator()(abandon_send const& command) const
        {
            self.client_.abandon_pooled_connections(command.upstream_address);
            auto const found = self.calls_.find(command.id);
            if (found != self.calls_.end())
                found->second.relay.reset();
        }

        void end(request_id id, bool whole) const
        {
            auto const found = self.calls_.find(id);
            if (found == self.calls_.end())
                return;
            found->second.exchange->on_disconnect(nullptr);
            if (whole)
                found->second.exchange->finish();
            else
                found->second.exchange->abort();
            self.calls_.erase(found);
            self.sent_to_.erase(id);
        }
    };
    for (entry_command const& each : commands)
        std::visit(carrier{*this}, each);
}

bool callers_task::on_relay_head(request_id id, answer_head_kind kind)
{
    auto const commands = engine_.handle_answer_head(id, kind, context_.clock.now());
    return std::any_of(commands.begin(), commands.end(), [](entry_command const& each) {
        return std::holds_alternative<forward_answer>(each);
    });
}

void callers_task::on_relay_leaving(request_id id)
{
    auto const found = sent_to_.find(id);
    if (found == sent_to_.end())
        return;
    time_point const now = context_.clock.now();
    if (engine_.mark_leaving(found->second, now, now)) {
        log_.info("upstream says that it is leaving", {field("upstream", found->second.get())});
        context_.post(upstream_leaving{
            .name = found->second, .sign = now, .source = leaving_source::own_answer});
    }
}

void callers_task::on_relay_end(request_id id, send_end end, std::optional<retained_answer> answer)
{
    carry_out(engine_.handle_send_end(id, end, std::move(answer), context_.clock.now()));
}

void callers_task::receive(event const& what)
{
    time_point const now = context_.clock.now();
    if (auto const* const changed = std::get_if<members_changed>(&what)) {
        engine_.update_members(changed->members);
    }
    else if (auto const* const adopted = std::get_if<configuration_adopted>(&what)) {
        carry_out(engine_.apply_configuration(adopted->adopted, now));
    }
    else if (auto const* const leaving = std::get_if<upstream_leaving>(&what)) {
        if (engine_.mark_leaving(leaving->name, leaving->sign, now))
            log_.info("upstream is leaving", {field("upstream", leaving->name.get())});
    }
    else if (auto const* const heard = std::get_if<pool_report_heard>(&what)) {
        engine_.record_pool_report(heard->report, now);
    }
    else if (std::holds_alternative<lookups_expired>(what)) {
        server_.close_connections_after_answers();
    }
}

bool callers_task::is_idle() const
{
    return calls_.empty() && server_.exchanges_in_flight() == 0;
}

} // namespace burdockstep
