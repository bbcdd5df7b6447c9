#include "utilities/burdockstep_load/lookup_cache.hpp"

#include "libraries/platform/platform_json.hpp"

#include <utility>

namespace burdockstep {

namespace json = boost::json;

namespace {

constexpr std::size_t max_answer_bytes = std::size_t{256} * 1024;
constexpr duration lookup_timeout = std::chrono::seconds(1);
constexpr unsigned tickets_per_entry = 16;

std::shared_ptr<lookup_answer> parse_answer(std::string const& body, time_point now)
{
    json::error_code parse_error;
    json::value const value = json::parse(body, parse_error);
    if (parse_error || !value.is_object())
        return nullptr;
    json::object const& object = value.get_object();
    auto answer = std::make_shared<lookup_answer>();
    answer->idempotent = object.at("idempotent").as_bool();
    answer->deadline =
        std::chrono::milliseconds(object.at("deadline_ms").to_number<std::int64_t>());
    answer->expires_at =
        now + std::chrono::milliseconds(object.at("lifetime_ms").to_number<std::int64_t>());
    for (json::value const& each : object.at("entries").as_array()) {
        lookup_entry entry;
        entry.callers_address = handle_failure(
            [&] { return parse_address(std::string(each.at("address").as_string())); },
            [](failure const&) { return address{}; });
        for (json::value const& ticket : each.at("tickets").as_array())
            entry.tickets.emplace_back(ticket.as_string());
        answer->entries.push_back(std::move(entry));
    }
    return answer->entries.empty() ? nullptr : answer;
}

} // namespace

lookup_cache::lookup_cache(http_client& client, clock_source const& clock,
                           std::vector<address> instances)
    : client_(client), clock_(clock), instances_(std::move(instances))
{}

void lookup_cache::get(service_name const& service, region_name const& region,
                       answer_handler on_answer)
{
    lookup_key const requested_key{.service = service, .region = region};
    auto const found = cached_answers_.find(requested_key);
    if (found != cached_answers_.end() && clock_.now() < found->second->expires_at) {
        on_answer(found->second);
        return;
    }
    auto& reader_callbacks = pending_handlers_[requested_key];
    reader_callbacks.push_back(std::move(on_answer));
    if (reader_callbacks.size() == 1)
        request_answer(requested_key, static_cast<unsigned>(instances_.size()));
}

void lookup_cache::invalidate(service_name const& service, region_name const& region)
{
    cached_answers_.erase({.service = service, .region = region});
}

void lookup_cache::request_answer(lookup_key const& requested_key, unsigned attempts_left)
{
    call_options const options{.to = instances_[next_instance_index_++ % instances_.size()],
                               .path = fmt::format("/v1/lookup/{}?region={}&tickets={}",
                                                   requested_key.service.get(),
                                                   requested_key.region.get(), tickets_per_entry),
                               .headers = {},
                               .body = {},
                               .deadline = lookup_timeout};
    client_.fetch(options, max_answer_bytes,
                  [this, requested_key, attempts_left](http_client::fetch_result const& answer) {
                      std::shared_ptr<lookup_answer> parsed_answer;
                      if (answer.end == call_end::complete && answer.head.status == 200)
                          parsed_answer = parse_answer(answer.body, clock_.now());
                      if (!parsed_answer && attempts_left > 1)
                          request_answer(requested_key, attempts_left - 1);
                      else
                          deliver_answer(requested_key, parsed_answer);
                  });
}

void lookup_cache::deliver_answer(lookup_key const& requested_key,
                                  std::shared_ptr<lookup_answer> const& answer)
{
    if (answer)
        cached_answers_[requested_key] = answer;
    for (answer_handler const& each : std::exchange(pending_handlers_[requested_key], {}))
        each(answer);
}

} // namespace burdockstep
