/// HTTP/1.1 client on libcurl's multi interface: streamed answers with back-pressure and cancel.
#pragma once

#include "libraries/core/address.hpp"
#include "libraries/core/clock.hpp"
#include "libraries/net/event_loop.hpp"
#include "libraries/net/http_types.hpp"

#include <functional>
#include <memory>
#include <string>

namespace burdockstep {

/// How a call ended.
enum class call_end
{
    complete,      ///< The whole answer arrived, as its length or chunks tell.
    not_connected, ///< No connection: no byte of the request has left.
    timed_out,     ///< The deadline passed, or the answer stalled too long.
    broken         ///< The connection ended, or the answer was cut or malformed.
};

/// Options of one call.
struct call_options
{
    address to;
    std::string method = "GET";
    std::string path; ///< With the query.
    http_headers headers;
    std::string body;
    duration deadline = std::chrono::seconds(10);
    duration connect_timeout = std::chrono::seconds(1);
    /// Longest time without a byte before the call counts as timed out; zero for no limit.
    duration stall_timeout{};
    /// A pooled connection that died is retried by the library on a new one, which would send the
    /// request twice; a fresh connection never is.
    bool fresh_connection = false;
    /// Local address to connect from; empty for any.
    std::string local_ip;
};

/// Gets the events of one call. `on_done` comes last and exactly once unless cancelled.
class call_listener
{
public:
    virtual ~call_listener() = default;
    /// The head of the final answer has arrived.
    virtual void on_head(http_head const& head) = 0;
    /// Body bytes. Return false to refuse them for now; they come again after `resume`.
    virtual bool on_body(std::string_view bytes) = 0;
    virtual void on_done(call_end end) = 0;
};

/// Numbers a call within its client.
using call_number = std::uint64_t;

/// Runs calls on a loop.
class http_client
{
public:
    explicit http_client(event_loop& loop);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Starts a call. The listener must outlive it or cancel it.
    call_number start(call_options const& options, call_listener& listener);
    /// Ends a call and its connection; the listener hears no more. An ended number does nothing.
    void cancel(call_number call);
    /// Continues a call whose listener refused bytes.
    void resume(call_number call);

    /// No later call to this address uses a connection that exists now: a connection that has gone
    /// silent tells nothing, and what silenced it may have silenced the others too.
    void abandon_pooled_connections(address const& to);

    /// What `fetch` hands over: an answer with its whole body.
    struct fetch_result
    {
        call_end end = call_end::broken;
        http_head head;
        std::string body;
    };

    /// Runs a call and collects at most `max_body_bytes` bytes of its answer.
    void fetch(call_options const& options, std::size_t max_body_bytes,
               std::function<void(fetch_result)> handler);

    /// Shared with the libcurl callbacks; defined in the source file.
    struct implementation;

private:
    std::unique_ptr<implementation> implementation_;
};

} // namespace burdockstep
