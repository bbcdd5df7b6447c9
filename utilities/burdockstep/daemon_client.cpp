#include "utilities/burdockstep/daemon_client.hpp"

#include <utility>

namespace burdockstep {

namespace {

constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;

} // namespace

daemon_client::daemon_client(std::vector<address> daemon_addresses)
    : client_(loop_), daemon_addresses_(std::move(daemon_addresses))
{}

std::optional<http_client::fetch_result> daemon_client::send(call_options options, bool idempotent)
{
    outcome_unknown_ = false;
    for (address const& each : daemon_addresses_) {
        options.to = each;
        std::optional<http_client::fetch_result> answer;
        client_.fetch(options, max_answer_bytes, [&](http_client::fetch_result received) {
            answer = std::move(received);
            loop_.stop();
        });
        loop_.run();
        last_asked_daemon_ = each;
        if (answer->end == call_end::complete)
            return answer;
        if (answer->end != call_end::not_connected && !idempotent) {
            outcome_unknown_ = true;
            return std::nullopt;
        }
    }
    return std::nullopt;
}

} // namespace burdockstep
