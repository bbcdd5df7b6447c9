#include "utilities/burdockstep_standin/platform_standin.hpp"

#include "libraries/platform/platform_json.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace burdockstep {

namespace json = boost::json;

namespace {

constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t max_rows_per_answer = 500;

std::uint64_t parse_number(std::string const& text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void reply_json(http_exchange& exchange, int status, json::value const& value)
{
    exchange.reply(status, {{"content-type", "application/json"}}, json::serialize(value));
}

void reply_text(http_exchange& exchange, int status, std::string const& text)
{
    exchange.reply(status, {{"content-type", "text/plain"}}, text);
}

} // namespace

platform_standin::platform_standin(event_loop& loop)
    : loop_(loop), server_(loop, {.max_body_bytes = max_body_bytes})
{
    list_snapshots_.push_back({.visible_at = clock_.now(), .list = {}});
}

result<address> platform_standin::try_listen(address const& at)
{
    return server_.try_listen(
        at, [this](std::shared_ptr<http_exchange> const& exchange) { on_request(exchange); });
}

void platform_standin::on_request(std::shared_ptr<http_exchange> const& exchange)
{
    std::string const& path = exchange->request().path;
    if (path == "/control") {
        handle_fault_control(*exchange);
        return;
    }
    if (path == "/control/instances") {
        handle_instance_control(*exchange);
        return;
    }
    if (path == "/control/leaving") {
        handle_leaving_upstream_control(*exchange);
        return;
    }
    if (faults_.ignore_operations)
        return;
    if (faults_.refuse_operations) {
        reply_text(*exchange, 503, "outage\n");
        return;
    }
    if (faults_.operation_delay == duration::zero()) {
        execute_operation(exchange);
        return;
    }
    std::uint64_t const delay_timer_number = next_delay_timer_number_++;
    auto& delay_timer = delay_timers_[delay_timer_number] = std::make_unique<timer>(loop_);
    delay_timer->start_once(faults_.operation_delay, [this, delay_timer_number, exchange] {
        execute_operation(exchange);
        loop_.post([this, delay_timer_number] { delay_timers_.erase(delay_timer_number); });
    });
}

void platform_standin::execute_operation(std::shared_ptr<http_exchange> const& exchange)
{
    std::string const& path = exchange->request().path;
    ++operation_counts_[path.substr(0, path.find('/', 1))];
    if (path == "/table/row")
        serve_row(*exchange);
    else if (path == "/table/rows")
        serve_rows(*exchange);
    else if (path == "/table/transaction")
        serve_transaction(*exchange);
    else if (path.starts_with("/objects/"))
        serve_object(*exchange);
    else if (path == "/instances")
        serve_list(*exchange);
    else
        reply_text(*exchange, 400, "unknown path\n");
}

void platform_standin::serve_row(http_exchange& exchange) const
{
    std::string const key = exchange.request().parameter("key");
    auto const found = rows_.find(key);
    bool const reads_stale = found != rows_.end() && faults_.stale_reads;
    if (found == rows_.end() || (reads_stale && found->second.version == 1)) {
        reply_text(exchange, 404, "no such row\n");
        return;
    }
    stored_row const& row = found->second;
    table_row const reply_value{.key = key,
                                .value = reads_stale ? row.previous_value : row.value,
                                .version = reads_stale ? row.version - 1 : row.version};
    reply_json(exchange, 200, to_json(reply_value));
}

void platform_standin::serve_rows(http_exchange& exchange) const
{
    std::string const prefix = exchange.request().parameter("prefix");
    std::string const before = exchange.request().parameter("before");
    std::size_t const limit = std::min<std::size_t>(
        parse_number(exchange.request().parameter("limit")), max_rows_per_answer);
    json::array reply_value;
    auto next_row = before.empty() ? rows_.lower_bound(prefix + "\x7f") : rows_.lower_bound(before);
    while (next_row != rows_.begin() && reply_value.size() < limit) {
        --next_row;
        if (!next_row->first.starts_with(prefix))
            break;
        reply_value.push_back(to_json(table_row{.key = next_row->first,
                                                .value = next_row->second.value,
                                                .version = next_row->second.version}));
    }
    reply_json(exchange, 200, reply_value);
}

bool platform_standin::expectations_hold(table_transaction const& transaction) const
{
    return std::all_of(transaction.expectations.begin(), transaction.expectations.end(),
                       [&](row_expectation const& each) {
                           auto const found = rows_.find(each.key);
                           auto const version = found == rows_.end() ? 0 : found->second.version;
                           return version == each.version;
                       });
}

void platform_standin::serve_transaction(http_exchange& exchange)
{
    auto const transaction = handle_failure(
        [&]() -> result<std::optional<table_transaction>> {
            BOOST_LEAF_AUTO(value, parse_json(exchange.request().body));
            BOOST_LEAF_AUTO(parsed, transaction_from_json(value));
            return std::optional<table_transaction>(std::move(parsed));
        },
        [](failure const&) { return std::optional<table_transaction>{}; });
    if (!transaction) {
        reply_text(exchange, 400, "invalid transaction\n");
        return;
    }
    if (!expectations_hold(*transaction)) {
        reply_text(exchange, 409, "conflict\n");
        return;
    }
    for (row_write const& each : transaction->writes) {
        stored_row& row = rows_[each.key];
        row.previous_value = std::exchange(row.value, each.value);
        ++row.version;
    }
    if (faults_.commit_answers_to_lose > 0) {
        --faults_.commit_answers_to_lose;
        exchange.start({.status = 200, .headers = {}, .content_length = 4, .delimited = true});
        exchange.abort();
        return;
    }
    reply_text(exchange, 200, "done");
}

void platform_standin::serve_object(http_exchange& exchange)
{
    std::string const name = exchange.request().path.substr(std::string("/objects/").size());
    if (exchange.request().method == "PUT") {
        auto const [object, is_new] = objects_.try_emplace(name);
        if (is_new)
            object->second = {.bytes = std::string(exchange.request().body.bytes()),
                              .visible_at = clock_.now() + faults_.object_visibility_delay};
        reply_text(exchange, 200, "done");
        return;
    }
    auto const found = objects_.find(name);
    if (found == objects_.end() || clock_.now() < found->second.visible_at) {
        reply_text(exchange, 404, "no such object\n");
        return;
    }
    exchange.reply(200, {{"content-type", "application/octet-stream"}}, found->second.bytes);
}

void platform_standin::serve_list(http_exchange& exchange)
{
    while (list_snapshots_.size() > 1 && list_snapshots_[1].visible_at <= clock_.now())
        list_snapshots_.pop_front();
    reply_json(exchange, 200, to_json(list_snapshots_.front().list));
}

void platform_standin::publish_list()
{
    list_snapshots_.push_back(
        {.visible_at = clock_.now() + faults_.list_visibility_delay, .list = list_});
}

void platform_standin::handle_fault_control(http_exchange& exchange)
{
    http_request const& request = exchange.request();
    if (request.method == "GET") {
        json::object counts;
        for (auto const& [path, count] : operation_counts_)
            counts[path] = count;
        reply_json(exchange, 200, counts);
        return;
    }
    auto const set_flag = [&](char const* key, bool& setting) {
        if (std::string const value = request.parameter(key); !value.empty())
            setting = parse_number(value) != 0;
    };
    auto const set_duration = [&](char const* key, duration& setting) {
        if (std::string const value = request.parameter(key); !value.empty())
            setting = std::chrono::milliseconds(parse_number(value));
    };
    set_flag("refuse", faults_.refuse_operations);
    set_flag("silent", faults_.ignore_operations);
    set_flag("stale_reads", faults_.stale_reads);
    set_duration("delay_ms", faults_.operation_delay);
    set_duration("object_lag_ms", faults_.object_visibility_delay);
    set_duration("list_lag_ms", faults_.list_visibility_delay);
    if (std::string const value = request.parameter("lose_answers"); !value.empty())
        faults_.commit_answers_to_lose = static_cast<unsigned>(parse_number(value));
    reply_text(exchange, 200, "done\n");
}

void platform_standin::handle_instance_control(http_exchange& exchange)
{
    http_request const& request = exchange.request();
    if (request.method == "DELETE") {
        std::string const name = request.parameter("instance");
        std::erase_if(list_.entries,
                      [&](listed_member const& each) { return each.instance.get() == name; });
        publish_list();
        reply_text(exchange, 200, "done\n");
        return;
    }
    auto const member = handle_failure(
        [&]() -> result<std::optional<listed_member>> {
            BOOST_LEAF_AUTO(value, parse_json(request.body));
            BOOST_LEAF_AUTO(parsed, listed_member_from_json(value));
            return std::optional<listed_member>(std::move(parsed));
        },
        [](failure const&) { return std::optional<listed_member>{}; });
    if (!member) {
        reply_text(exchange, 400, "invalid instance\n");
        return;
    }
    std::erase_if(list_.entries,
                  [&](listed_member const& each) { return each.instance == member->instance; });
    list_.entries.push_back(*member);
    publish_list();
    reply_text(exchange, 200, "done\n");
}

void platform_standin::handle_leaving_upstream_control(http_exchange& exchange)
{
    upstream_name const name(exchange.request().parameter("upstream"));
    std::erase(list_.leaving_upstreams, name);
    if (exchange.request().method != "DELETE")
        list_.leaving_upstreams.push_back(name);
    publish_list();
    reply_text(exchange, 200, "done\n");
}

} // namespace burdockstep
