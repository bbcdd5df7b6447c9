/// Shares of the memory and descriptors of a daemon.
#pragma once

#include "libraries/configuration/daemon_settings.hpp"
#include "libraries/net/framed_stream.hpp"
#include "libraries/net/http_client.hpp"
#include "libraries/net/http_server.hpp"

namespace burdockstep {

/// Limits for the callers' listener: half of the memory and of the descriptors. The rest of the
/// memory is for the program, what it knows of the deployment, and the memory allocator's gaps.
http_server_limits make_callers_limits(daemon_settings const& settings);
/// Limits for the operators' listener: an eighth of the memory, and a 16th of the descriptors.
http_server_limits make_operators_limits(daemon_settings const& settings);
/// Limits for calls to the platform, of operators or of the daemon itself: their answers may take
/// an eighth of the memory.
http_client_limits make_platform_client_limits(daemon_settings const& settings);
/// Limits for state requests to peers and from them: the answers of either kind may take an eighth
/// of the memory.
framed_stream_limits make_peer_stream_limits(daemon_settings const& settings);
/// Limits for the sends to upstreams and other entries: a quarter of the descriptors.
http_client_limits make_send_limits();

} // namespace burdockstep
