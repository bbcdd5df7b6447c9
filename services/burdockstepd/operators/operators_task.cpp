#include "services/burdockstepd/operators/operators_task.hpp"

#include "services/burdockstepd/memory_limits.hpp"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace burdockstep {

namespace json = boost::json;

namespace {

constexpr duration platform_timeout = std::chrono::seconds(2);
constexpr std::size_t max_audit_records = 200;

std::uint64_t unix_time_ms()
{
    auto const now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

std::optional<std::uint64_t> parse_number(std::string const& text)
{
    std::uint64_t value = 0;
    auto const [number_end, parse_error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || parse_error != std::errc{} || number_end != text.data() + text.size())
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

std::int64_t elapsed_ms(time_point now, time_point earlier_time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - earlier_time).count();
}

} // namespace

operators_task::operators_task(daemon_context& context, callers_task const& callers)
    : context_(context), callers_task_(callers),
      operators_server_(context.loop, make_operators_limits(context.settings)),
      platform_http_client_(context.loop, make_platform_client_limits(context.settings)),
      platform_client_(platform_http_client_, context.settings.platform, platform_timeout)
{}

result<void> operators_task::try_start()
{
    BOOST_LEAF_ASSIGN(
        context_.settings.operators,
        operators_server_.try_listen(
            context_.settings.operators,
            [this](std::shared_ptr<http_exchange> const& exchange) { on_request(exchange); }));
    return {};
}

void operators_task::on_request(std::shared_ptr<http_exchange> const& exchange)
{
    std::string const& path = exchange->request().path;
    std::string const& method = exchange->request().method;
    if (path == "/v1/apply" && method == "POST")
        handle_apply(exchange);
    else if (path == "/v1/show" && method == "GET")
        handle_show(*exchange);
    else if (path == "/v1/status" && method == "GET")
        handle_status(*exchange);
    else if (path == "/v1/audit" && method == "GET")
        handle_audit(exchange);
    else if (path == "/metrics" && method == "GET")
        handle_metrics(*exchange);
    else
        reply_error(*exchange, 404, "unknown path or method; see docs/OPERATORS.md");
}

void operators_task::handle_show(http_exchange& exchange) const
{
    if (!configuration_) {
        reply_error(exchange, 404, "no configuration is in force yet; apply a deployment file");
        return;
    }
    reply_json(exchange, 200,
               json::object{{"version", configuration_->version.get()},
                            {"document", configuration_->text}});
}

void operators_task::handle_status(http_exchange& exchange) const
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
                                       {"heard_ms_ago", elapsed_ms(now, each.last_heard)},
                                       {"operators", each.listed.operators.text()}});
    }
    json::array pools;
    for (auto const& [service, pool] : callers_task_.engine().pools()) {
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
    for (auto const& [service, shift_governors] : callers_task_.engine().shifts()) {
        shifts.push_back(
            json::object{{"service", service.get()},
                         {"moved_out", shift_governors.outward.last_shifted_fraction()},
                         {"moved_out_limit", shift_governors.outward.shifted_fraction_limit()},
                         {"moved_in", shift_governors.inward.last_shifted_fraction()},
                         {"moved_in_limit", shift_governors.inward.shifted_fraction_limit()}});
    }
    json::array leaving;
    for (auto const& [name, report] : callers_task_.engine().leaving())
        leaving.push_back(json::object{{"upstream", name.get()},
                                       {"last_sign_ms_ago", elapsed_ms(now, report.reported_at)}});
    json::array drains;
    if (configuration_) {
        for (drain const& each : configuration_->document->drains)
            drains.push_back(json::object{{"name", each.name}, {"reason", each.reason}});
    }
    json::object body{{"instance", context_.settings.instance.get()},
                      {"stopping", is_stopping_},
                      {"platform_reachable", platform_reachable_},
                      {"configuration", configuration_ ? configuration_->version.get() : 0},
                      {"calls_in_progress", callers_task_.engine().calls_in_progress()},
                      {"entries", std::move(entries)},
                      {"pools", std::move(pools)},
                      {"shifts", std::move(shifts)},
                      {"drains", std::move(drains)},
                      {"leaving_upstreams", std::move(leaving)}};
    reply_json(exchange, 200, body);
}

void operators_task::handle_metrics(http_exchange& exchange) const
{
    std::string text;
    auto const write_metric = [&](char const* name, char const* type, auto value) {
        text +=
            fmt::format("# TYPE burdockstep_{} {}\nburdockstep_{} {}\n", name, type, name, value);
    };
    entry_counters const& counters = callers_task_.engine().counters();
    write_metric("calls_total", "counter", counters.arrived);
    write_metric("calls_answered_total", "counter", counters.answered);
    write_metric("calls_not_run_total", "counter", counters.not_run);
    write_metric("calls_unknown_total", "counter", counters.unknown);
    write_metric("calls_cut_total", "counter", counters.truncated_answers);
    write_metric("ticket_conflicts_total", "counter", counters.ticket_conflicts);
    write_metric("kept_answers_total", "counter", counters.retained_answers);
    write_metric("retries_total", "counter", counters.retries);
    write_metric("silent_sends_total", "counter", counters.abandoned_sends);
    write_metric("passed_to_owner_total", "counter", counters.forwarded_to_owner);
    write_metric("spilled_total", "counter", counters.spilled);
    write_metric("shift_refused_total", "counter", counters.refused_by_shift_cap);
    write_metric("lookups_total", "counter", callers_task_.lookups_answered());
    write_metric("calls_in_progress", "gauge", callers_task_.engine().calls_in_progress());
    write_metric("caller_connections", "gauge", callers_task_.connections());
    write_metric("held_bytes", "gauge", callers_task_.budget().used_bytes());
    write_metric("held_bytes_max", "gauge", callers_task_.budget().max_bytes());
    write_metric("no_room_total", "counter", callers_task_.budget().counters().refusals());
    for (std::size_t i = 1; i < http1::answer_limit_count; ++i) {
        auto const limit = static_cast<http1::answer_limit>(i);
        auto const name = fmt::format("answers_over_limit_{}_total", http1::name_of(limit));
        write_metric(name.c_str(), "counter", callers_task_.answers_over(limit));
    }
    write_metric("ticket_records", "gauge", callers_task_.engine().redeemed_tickets().records());
    write_metric("configuration_version", "gauge",
                 configuration_ ? configuration_->version.get() : 0);
    write_metric("platform_reachable", "gauge", platform_reachable_ ? 1 : 0);
    exchange.reply(200, {{"content-type", "text/plain; version=0.0.4"}}, text);
}

void operators_task::handle_audit(std::shared_ptr<http_exchange> const& exchange)
{
    http_request const& request = exchange->request();
    std::size_t const limit = std::min<std::size_t>(
        parse_number(request.parameter("limit")).value_or(20), max_audit_records);
    platform_client_.scan_descending(
        audit_row_prefix, request.parameter("before"), limit,
        [exchange](store_status status, std::vector<table_row> const& rows) {
            if (status != store_status::done) {
                reply_error(*exchange, 503, "the platform's store is unreachable; try again later");
                return;
            }
            json::array records;
            for (table_row const& each : rows) {
                json::error_code parse_error;
                json::value record = json::parse(each.value, parse_error);
                if (parse_error || !record.is_object())
                    continue;
                record.get_object()["key"] = each.key;
                records.push_back(std::move(record));
            }
            reply_json(*exchange, 200, records);
        });
}

void operators_task::handle_apply(std::shared_ptr<http_exchange> const& exchange)
{
    http_request const& request = exchange->request();
    apply_request requested_apply;
    requested_apply.id =
        apply_id(fmt::format("{:016x}{:016x}", context_.random.next(), context_.random.next()));
    requested_apply.document = std::string(request.body.bytes());
    requested_apply.file = request.parameter("file");
    requested_apply.who = request.parameter("who");
    requested_apply.why = request.parameter("why");
    requested_apply.requested_at_ms = unix_time_ms();
    if (configuration_)
        requested_apply.in_force = configuration_->document;
    std::string const base_version = request.parameter("base");
    if (!base_version.empty()) {
        auto const parsed_base_version = parse_number(base_version);
        if (!parsed_base_version) {
            reply_error(*exchange, 400,
                        "base is not a version number; use the one that 'show' prints");
            return;
        }
        requested_apply.base_version = configuration_version(*parsed_base_version);
    }
    if (requested_apply.who.empty() || requested_apply.why.empty()) {
        reply_error(*exchange, 400, "who or why is missing; give --who and --reason");
        return;
    }
    auto const ongoing_apply = std::make_shared<apply_in_progress>(apply_in_progress{
        .publisher = configuration_publisher(std::move(requested_apply)), .exchange = exchange});
    execute_publisher_command(ongoing_apply, ongoing_apply->publisher.start());
}

void operators_task::execute_publisher_command(
    std::shared_ptr<apply_in_progress> const& ongoing_apply, publisher_command const& command)
{
    configuration_publisher& publisher = ongoing_apply->publisher;
    if (std::holds_alternative<read_head_command>(command)) {
        platform_client_.read(
            head_row_key,
            [this, ongoing_apply](store_status status, std::optional<table_row> const& row) {
                execute_publisher_command(ongoing_apply,
                                          ongoing_apply->publisher.handle_head_read(status, row));
            });
    }
    else if (auto const* const put = std::get_if<put_document_command>(&command)) {
        platform_client_.put(
            put->name, publisher.request().document, [this, ongoing_apply](store_status status) {
                execute_publisher_command(ongoing_apply,
                                          ongoing_apply->publisher.handle_document_put(status));
            });
    }
    else if (auto const* const commit = std::get_if<commit_command>(&command)) {
        platform_client_.commit(commit->transaction, [this, ongoing_apply](store_status status) {
            execute_publisher_command(ongoing_apply,
                                      ongoing_apply->publisher.handle_commit_result(status));
        });
    }
    else if (auto const* const check = std::get_if<check_applied_command>(&command)) {
        platform_client_.commit(check->transaction, [this, ongoing_apply](store_status status) {
            execute_publisher_command(ongoing_apply,
                                      ongoing_apply->publisher.handle_applied_check(status));
        });
    }
    else if (auto const* const refusal = std::get_if<write_refusal_command>(&command)) {
        platform_client_.commit(refusal->transaction, [](store_status) {});
        finish_apply(*ongoing_apply, refusal->outcome);
    }
    else {
        finish_apply(*ongoing_apply, std::get<finish_command>(command).outcome);
    }
}

void operators_task::finish_apply(apply_in_progress const& ongoing_apply,
                                  apply_outcome const& outcome)
{
    apply_request const& request = ongoing_apply.publisher.request();
    log_.info("apply finished",
              {field("verdict", name_of(outcome.verdict)), field("version", outcome.version.get()),
               field("who", request.who), field("why", request.why)});
    constexpr int http_status_by_verdict[] = {200, 409, 502};
    reply_json(*ongoing_apply.exchange, http_status_by_verdict[static_cast<int>(outcome.verdict)],
               json::object{{"verdict", name_of(outcome.verdict)},
                            {"version", outcome.version.get()},
                            {"apply", request.id.get()},
                            {"detail", outcome.detail}});
}

void operators_task::receive(event const& new_event)
{
    if (auto const* const members_event = std::get_if<members_changed>(&new_event))
        members_ = members_event->members;
    else if (auto const* const applied = std::get_if<configuration_applied>(&new_event))
        configuration_ = applied->configuration;
    else if (auto const* const platform = std::get_if<platform_reachability_changed>(&new_event))
        platform_reachable_ = platform->reachable;
    else if (std::holds_alternative<stop_begun>(new_event))
        is_stopping_ = true;
}

} // namespace burdockstep
