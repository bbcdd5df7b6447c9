#include "services/burdockstepd/operators/operators_task.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace burdockstep {

namespace json = boost::json;

namespace {

constexpr duration store_patience = std::chrono::seconds(2);
constexpr std::size_t most_audit_rows = 200;
constexpr std::size_t largest_apply_body = std::size_t{5} * 1024 * 1024;
constexpr std::size_t most_operator_connections = 64;

std::uint64_t wall_clock_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::optional<std::uint64_t> parse_number(std::string const& text)
{
    std::uint64_t value = 0;
    auto const [stop, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || code != std::errc{} || stop != text.data() + text.size())
        return std::nullopt;
    return value;
}

void reply_json(http_exchange& exchange, int status, json::value const& value)
{
    exchange.reply(status, {{"content-type", "application/json"}}, json::serialize(value) + "\n");
}

void reply_error(http_exchange& exchange, int status, std::string const& message)
{
    reply_json(exchange, status, json::object{{"error", message}});
}

char const* name_of(apply_verdict verdict)
{
    switch (verdict) {
    case apply_verdict::accepted:
        return "accepted";
    case apply_verdict::refused:
        return "refused";
    case apply_verdict::unknown:
        return "unknown";
    }
    return "unknown";
}

std::int64_t age_ms(time_point now, time_point then)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
}

} // namespace

operators_task::operators_task(daemon_context& context, callers_task const& callers)
    : context_(context), callers_(callers),
      server_(context.loop,
              {.max_body_bytes = largest_apply_body, .max_connections = most_operator_connections}),
      client_(context.loop), platform_(client_, context.settings.platform, store_patience)
{}

result<void> operators_task::try_start()
{
    BOOST_LEAF_ASSIGN(context_.settings.operators,
                      server_.try_listen(context_.settings.operators,
                                         [this](std::shared_ptr<http_exchange> const& exchange) {
                                             on_request(exchange);
                                         }));
    return {};
}

void operators_task::on_request(std::shared_ptr<http_exchange> const& exchange)
{
    std::string const& path = exchange->request().path;
    std::string const& method = exchange->request().method;
    if (path == "/v1/apply" && method == "POST")
        apply(exchange);
    else if (path == "/v1/show" && method == "GET")
        show(*exchange);
    else if (path == "/v1/status" && method == "GET")
        status(*exchange);
    else if (path == "/v1/audit" && method == "GET")
        audit(exchange);
    else if (path == "/metrics" && method == "GET")
        metrics(*exchange);
    else
        reply_error(*exchange, 404, "no such page; see docs/OPERATORS.md");
}

void operators_task::show(http_exchange& exchange) const
{
    if (!configuration_) {
        reply_error(exchange, 404, "no configuration is in force yet; apply a file");
        return;
    }
    reply_json(exchange, 200,
               json::object{{"version", configuration_->version.get()},
                            {"document", configuration_->text}});
}

void operators_task::status(http_exchange& exchange) const
{
    time_point const now = context_.clock.now();
    json::array entries;
    for (member_view const& each : members_) {
        entries.push_back(json::object{{"instance", each.listed.instance.get()},
                                       {"place", each.listed.place.get()},
                                       {"region", each.listed.region.get()},
                                       {"state", name_of(each.state)},
                                       {"leaving", each.listed.leaving},
                                       {"configuration", each.configuration.get()},
                                       {"heard_ms_ago", age_ms(now, each.last_heard)},
                                       {"operators", each.listed.operators.text()}});
    }
    json::array pools;
    for (auto const& [service, pool] : callers_.engine().pools()) {
        pool_load const load = pool.load();
        json::array upstreams;
        for (pool_member_view const& each : pool.members(now)) {
            upstreams.push_back(json::object{
                {"upstream", each.name.get()},
                {"slots", each.slots},
                {"in_flight", each.in_flight},
                {"mean_latency_ms", static_cast<double>(each.mean_latency.count()) / 1000},
                {"leaving", each.leaving},
                {"ejected", each.ejected}});
        }
        pools.push_back(json::object{{"service", service.get()},
                                     {"region", context_.settings.region.get()},
                                     {"slots", load.slots},
                                     {"in_flight", load.in_flight},
                                     {"queued", load.queued},
                                     {"upstreams", std::move(upstreams)}});
    }
    json::array shifts;
    for (auto const& [service, governors] : callers_.engine().shifts()) {
        shifts.push_back(
            json::object{{"service", service.get()},
                         {"moved_out", governors.outward.last_shifted_fraction()},
                         {"moved_out_limit", governors.outward.shifted_fraction_limit()},
                         {"moved_in", governors.inward.last_shifted_fraction()},
                         {"moved_in_limit", governors.inward.shifted_fraction_limit()}});
    }
    json::array leaving;
    for (auto const& [name, sign] : callers_.engine().leaving())
        leaving.push_back(
            json::object{{"upstream", name.get()}, {"last_sign_ms_ago", age_ms(now, sign)}});
    json::array drains;
    if (configuration_) {
        for (drain const& each : configuration_->document->drains)
            drains.push_back(json::object{{"name", each.name}, {"reason", each.reason}});
    }
    json::object body{{"instance", context_.settings.instance.get()},
                      {"stopping", stopping_},
                      {"platform_reachable", platform_reachable_},
                      {"configuration", configuration_ ? configuration_->version.get() : 0},
                      {"calls_in_progress", callers_.engine().calls_in_progress()},
                      {"entries", std::move(entries)},
                      {"pools", std::move(pools)},
                      {"shifts", std::move(shifts)},
                      {"drains", std::move(drains)},
                      {"leaving_upstreams", std::move(leaving)}};
    reply_json(exchange, 200, body);
}

void operators_task::metrics(http_exchange& exchange) const
{
    std::string text;
    auto const line = [&](char const* name, char const* type, auto value) {
        text +=
            fmt::format("# TYPE burdockstep_{} {}\nburdockstep_{} {}\n", name, type, name, value);
    };
    entry_counters const& counters = callers_.engine().counters();
    line("calls_total", "counter", counters.arrived);
    line("calls_answered_total", "counter", counters.answered);
    line("calls_not_run_total", "counter", counters.not_run);
    line("calls_unknown_total", "counter", counters.unknown);
    line("calls_cut_total", "counter", counters.truncated_answers);
    line("ticket_conflicts_total", "counter", counters.ticket_conflicts);
    line("kept_answers_total", "counter", counters.retained_answers);
    line("retries_total", "counter", counters.retries);
    line("silent_sends_total", "counter", counters.abandoned_sends);
    line("passed_to_owner_total", "counter", counters.forwarded_to_owner);
    line("spilled_total", "counter", counters.spilled);
    line("shift_refused_total", "counter", counters.refused_by_shift_cap);
    line("lookups_total", "counter", callers_.lookups_answered());
    line("calls_in_progress", "gauge", callers_.engine().calls_in_progress());
    line("caller_connections", "gauge", callers_.connections());
    line("ticket_records", "gauge", callers_.engine().redeemed_tickets().records());
    line("configuration_version", "gauge", configuration_ ? configuration_->version.get() : 0);
    line("platform_reachable", "gauge", platform_reachable_ ? 1 : 0);
    exchange.reply(200, {{"content-type", "text/plain; version=0.0.4"}}, text);
}

void operators_task::audit(std::shared_ptr<http_exchange> const& exchange)
{
    http_request const& request = exchange->request();
    std::size_t const limit = std::min<std::size_t>(
        parse_number(request.parameter("limit")).value_or(20), most_audit_rows);
    platform_.scan_descending(
        audit_row_prefix, request.parameter("before"), limit,
        [exchange](store_status status, std::vector<table_row> const& rows) {
            if (status != store_status::done) {
                reply_error(*exchange, 503, "the platform's store doesn't answer; try again later");
                return;
            }
            json::array records;
            for (table_row const& each : rows) {
                json::error_code code;
                json::value record = json::parse(each.value, code);
                if (code || !record.is_object())
                    continue;
                record.get_object()["key"] = each.key;
                records.push_back(std::move(record));
            }
            reply_json(*exchange, 200, records);
        });
}

void operators_task::apply(std::shared_ptr<http_exchange> const& exchange)
{
    http_request const& request = exchange->request();
    apply_request wanted;
    wanted.id =
        apply_id(fmt::format("{:016x}{:016x}", context_.random.next(), context_.random.next()));
    wanted.document = request.body;
    wanted.file = request.parameter("file");
    wanted.who = request.parameter("who");
    wanted.why = request.parameter("why");
    wanted.requested_at_ms = wall_clock_ms();
    if (configuration_)
        wanted.in_force = configuration_->document;
    std::string const base_version = request.parameter("base");
    if (!base_version.empty()) {
        auto const number = parse_number(base_version);
        if (!number) {
            reply_error(*exchange, 400, "base isn't a version; give the number that 'show' prints");
            return;
        }
        wanted.base_version = configuration_version(*number);
    }
    if (wanted.who.empty() || wanted.why.empty()) {
        reply_error(*exchange, 400, "who and why are missing; give --who and --reason");
        return;
    }
    auto const running = std::make_shared<running_apply>(running_apply{
        .publisher = configuration_publisher(std::move(wanted)), .exchange = exchange});
    carry_out(running, running->publisher.start());
}

void operators_task::carry_out(std::shared_ptr<running_apply> const& running,
                               publisher_command const& command)
{
    configuration_publisher& publisher = running->publisher;
    if (std::holds_alternative<read_head_command>(command)) {
        platform_.read(head_row_key,
                       [this, running](store_status status, std::optional<table_row> const& row) {
                           carry_out(running, running->publisher.handle_head_read(status, row));
                       });
    }
    else if (auto const* const put = std::get_if<put_document_command>(&command)) {
        platform_.put(put->name, publisher.request().document,
                      [this, running](store_status status) {
                          carry_out(running, running->publisher.handle_document_put(status));
                      });
    }
    else if (auto const* const commit = std::get_if<commit_command>(&command)) {
        platform_.commit(commit->transaction, [this, running](store_status status) {
            carry_out(running, running->publisher.handle_commit_result(status));
        });
    }
    else if (auto const* const check = std::get_if<check_applied_command>(&command)) {
        platform_.commit(check->transaction, [this, running](store_status status) {
            carry_out(running, running->publisher.handle_applied_check(status));
        });
    }
    else if (auto const* const refusal = std::get_if<write_refusal_command>(&command)) {
        platform_.commit(refusal->transaction, [](store_status) {});
        finish(*running, refusal->outcome);
    }
    else {
        finish(*running, std::get<finish_command>(command).outcome);
    }
}

void operators_task::finish(running_apply const& running, apply_outcome const& outcome)
{
    apply_request const& request = running.publisher.request();
    log_.info("apply ended",
              {field("verdict", name_of(outcome.verdict)), field("version", outcome.version.get()),
               field("who", request.who), field("why", request.why)});
    constexpr int statuses[] = {200, 409, 502};
    reply_json(*running.exchange, statuses[static_cast<int>(outcome.verdict)],
               json::object{{"verdict", name_of(outcome.verdict)},
                            {"version", outcome.version.get()},
                            {"apply", request.id.get()},
                            {"detail", outcome.detail}});
}

void operators_task::receive(event const& what)
{
    if (auto const* const changed = std::get_if<members_changed>(&what))
        members_ = changed->members;
    else if (auto const* const adopted = std::get_if<configuration_adopted>(&what))
        configuration_ = adopted->adopted;
    else if (auto const* const platform = std::get_if<platform_reachability>(&what))
        platform_reachable_ = platform->reachable;
    else if (std::holds_alternative<stop_begun>(what))
        stopping_ = true;
}

} // namespace burdockstep
