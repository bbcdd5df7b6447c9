#include "libraries/platform/http_platform.hpp"

#include "libraries/platform/platform_json.hpp"

#include <fmt/format.h>

namespace burdockstep {

namespace {

constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

/// Parses and decodes an answer's body. Returns nothing when that fails.
template <class Decode>
auto decode_body(std::string const& body, Decode decode)
    -> std::optional<std::decay_t<decltype(*decode(boost::json::value{}))>>
{
    using value_type = std::decay_t<decltype(*decode(boost::json::value{}))>;
    return handle_failure(
        [&]() -> result<std::optional<value_type>> {
            BOOST_LEAF_AUTO(json, parse_json(body));
            BOOST_LEAF_AUTO(value, decode(json));
            return std::optional<value_type>(std::move(value));
        },
        [](failure const&) { return std::optional<value_type>{}; });
}

} // namespace

http_platform::http_platform(http_client& client, address platform_address, duration timeout)
    : client_(client), platform_address_(platform_address), timeout_(timeout)
{}

void http_platform::send_request(
    std::string method, std::string path, std::string body,
    std::function<void(store_status, http_client::fetch_result)> handler)
{
    call_options const options{.to = platform_address_,
                               .method = std::move(method),
                               .path = std::move(path),
                               .headers = {},
                               .body = std::move(body),
                               .deadline = timeout_,
                               .connect_timeout = timeout_};
    client_.fetch(options, max_answer_bytes,
                  [handler = std::move(handler)](http_client::fetch_result answer) {
                      store_status status = store_status::unknown;
                      if (answer.end == call_end::not_connected)
                          status = store_status::unreachable;
                      else if (answer.end == call_end::complete) {
                          if (answer.head.status == status_conflict)
                              status = store_status::conflict;
                          else if (answer.head.status == status_unavailable)
                              status = store_status::unreachable;
                          else if (answer.head.status == status_ok ||
                                   answer.head.status == status_not_found)
                              status = store_status::done;
                      }
                      handler(status, std::move(answer));
                  });
}

void http_platform::read(std::string const& key,
                         std::function<void(store_status, std::optional<table_row>)> handler)
{
    send_request("GET", "/table/row?key=" + key, {},
                 [handler = std::move(handler)](store_status status,
                                                http_client::fetch_result const& answer) {
                     if (status != store_status::done || answer.head.status == status_not_found) {
                         handler(status, std::nullopt);
                         return;
                     }
                     auto row = decode_body(answer.body, row_from_json);
                     handler(row ? status : store_status::unknown, std::move(row));
                 });
}

void http_platform::scan_descending(
    std::string const& prefix, std::string const& before, std::size_t limit,
    std::function<void(store_status, std::vector<table_row>)> handler)
{
    send_request("GET",
                 fmt::format("/table/rows?prefix={}&before={}&limit={}", prefix, before, limit), {},
                 [handler = std::move(handler)](store_status status,
                                                http_client::fetch_result const& answer) {
                     auto rows = decode_body(answer.body, rows_from_json);
                     if (status == store_status::done && !rows)
                         status = store_status::unknown;
                     handler(status, rows ? std::move(*rows) : std::vector<table_row>{});
                 });
}

void http_platform::commit(table_transaction const& transaction,
                           std::function<void(store_status)> handler)
{
    send_request("POST", "/table/transaction", boost::json::serialize(to_json(transaction)),
                 [handler = std::move(handler)](
                     store_status status, http_client::fetch_result const&) { handler(status); });
}

void http_platform::put(digest const& name, std::string const& bytes,
                        std::function<void(store_status)> handler)
{
    send_request("PUT", "/objects/" + name.text(), bytes,
                 [handler = std::move(handler)](
                     store_status status, http_client::fetch_result const&) { handler(status); });
}

void http_platform::get(digest const& name,
                        std::function<void(store_status, std::optional<std::string>)> handler)
{
    send_request(
        "GET", "/objects/" + name.text(), {},
        [handler = std::move(handler)](store_status status, http_client::fetch_result answer) {
            bool const object_found =
                status == store_status::done && answer.head.status == status_ok;
            handler(status, object_found ? std::optional(std::move(answer.body)) : std::nullopt);
        });
}

void http_platform::read(std::function<void(store_status, instance_list_snapshot)> handler)
{
    send_request("GET", "/instances", {},
                 [handler = std::move(handler)](store_status status,
                                                http_client::fetch_result const& answer) {
                     auto list = decode_body(answer.body, instance_list_from_json);
                     if (status == store_status::done && !list)
                         status = store_status::unknown;
                     handler(status, list ? std::move(*list) : instance_list_snapshot{});
                 });
}

} // namespace burdockstep
