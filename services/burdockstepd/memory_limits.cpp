#include "services/burdockstepd/memory_limits.hpp"

#include "libraries/wire/codec.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace burdockstep {

namespace {

constexpr std::size_t callers_memory_divisor = 2;
constexpr std::size_t operators_memory_divisor = 8;
constexpr std::size_t platform_answers_memory_divisor = 8;
constexpr std::size_t peer_answers_memory_divisor = 8;
constexpr std::size_t callers_descriptors_divisor = 2;
constexpr std::size_t sends_descriptors_divisor = 4;
constexpr std::size_t operators_descriptors_divisor = 16;

constexpr std::size_t max_caller_connections = 4'096;
constexpr std::size_t max_operator_connections = 64;
constexpr std::size_t max_apply_body_bytes = std::size_t{5} * 1024 * 1024;

std::size_t granted_descriptors()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace

http_server_limits make_callers_limits(daemon_settings const& settings)
{
    return {.max_connections = std::min(max_caller_connections,
                                        granted_descriptors() / callers_descriptors_divisor),
            .max_held_bytes = settings.memory_bytes / callers_memory_divisor};
}

http_server_limits make_operators_limits(daemon_settings const& settings)
{
    return {.max_body_bytes = max_apply_body_bytes,
            .max_connections = std::min(max_operator_connections,
                                        granted_descriptors() / operators_descriptors_divisor),
            .replaces_oldest_connection = true,
            .max_held_bytes = settings.memory_bytes / operators_memory_divisor};
}

http_client_limits make_platform_client_limits(daemon_settings const& settings)
{
    return {.max_collected_bytes = settings.memory_bytes / platform_answers_memory_divisor};
}

framed_stream_limits make_peer_stream_limits(daemon_settings const& settings)
{
    return {.max_answer_bytes = wire::max_stream_message_bytes,
            .max_held_answer_bytes = settings.memory_bytes / peer_answers_memory_divisor};
}

http_client_limits make_send_limits()
{
    return {.max_connections = granted_descriptors() / sends_descriptors_divisor};
}

} // namespace burdockstep
