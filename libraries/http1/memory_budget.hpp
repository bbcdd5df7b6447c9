/// Budget of the bytes and connections that a process holds for its peers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <vector>

namespace burdockstep::http1 {

/// One connection for whose peer bytes are held.
class memory_holder
{
public:
    virtual ~memory_holder() = default;

    /// Bytes received from the peer and sent to it since the connection was opened.
    virtual std::uint64_t moved_bytes() const = 0;
    /// True if the peer has to act next: complete a message, read an answer, or send another
    /// request.
    virtual bool awaits_peer() const = 0;
    /// Closes the connection. What it holds must be freed before the loop's next iteration ends.
    virtual void give_up() = 0;
};

/// Limits of a budget. By default, nothing is limited.
struct memory_budget_options
{
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
    /// Maximum number of connections, in both directions.
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    /// Connections that peers open are accepted up to this number, so that some can still be opened
    /// to upstreams.
    std::size_t max_connections_to_accept = std::numeric_limits<std::size_t>::max();
    /// If no peer is slow, a new connection takes the place of the one that was opened first of
    /// those whose peer should act. For peers whose requests are short: nobody can keep them out by
    /// connecting again and again.
    bool replaces_oldest_connection = false;
};

/// Totals since the start, for metrics.
struct memory_budget_counters
{
    std::uint64_t refused_bytes = 0;       ///< Times that bytes weren't held for lack of room.
    std::uint64_t refused_connections = 0; ///< Connections not accepted or not opened.
    std::uint64_t given_up = 0;            ///< Slow connections closed to make room.
    std::uint64_t refusals() const { return refused_bytes + refused_connections + given_up; }
};

class memory_account;

/// Decides whether further bytes or connections can be held. If there is no room, it gives up
/// connections whose peers are slow: the one with the most bytes first, or, for connections, the
/// one without progress for the longest time. A peer is slow if it should act and moves less than a
/// 32nd of the bytes that are held for it in a second. An eighth of the bytes is kept for accounts
/// that hold little. Must be owned by a shared pointer.
class memory_budget : public std::enable_shared_from_this<memory_budget>
{
public:
    explicit memory_budget(memory_budget_options options) : options_(options) {}

    /// Opens an account for a connection. `holder` must outlive it or be detached.
    std::shared_ptr<memory_account> open_account(memory_holder& holder);
    /// True if a connection of a peer can be accepted. May give up another one.
    bool try_accept_connection();
    /// True if a connection can be opened. May give up another one.
    bool try_open_connection() { return make_connection_room(options_.max_connections); }
    /// Records the progress of all connections. Must be called every `sample_interval_ms`.
    void sample();

    std::size_t max_bytes() const { return options_.max_bytes; }
    bool replaces_oldest_connection() const { return options_.replaces_oldest_connection; }
    /// True if another connection of a peer can only take the place of one.
    bool is_full() const { return connections() >= options_.max_connections_to_accept; }
    /// Number of connections of peers that a new one may replace. Zero if none are replaced.
    std::size_t replaceable_connections() const
    {
        return options_.replaces_oldest_connection ? options_.max_connections_to_accept : 0;
    }
    std::size_t max_connections() const { return options_.max_connections; }
    std::size_t used_bytes() const { return used_bytes_; }
    std::size_t connections() const { return accounts_.size() - given_up_connections_; }
    memory_budget_counters const& counters() const { return counters_; }

    static constexpr unsigned sample_interval_ms = 200;
    /// What the objects of one connection take, rounded up.
    static constexpr std::size_t connection_bytes = std::size_t{4} * 1024;

private:
    friend class memory_account;
    friend class memory_charge;

    bool try_hold(memory_account& account, std::size_t bytes);
    void hold(memory_account& account, std::size_t bytes);
    void release(memory_account& account, std::size_t bytes);
    void remove(memory_account& account);
    bool has_room(std::size_t bytes, bool is_large) const;
    bool make_room(memory_account const* account, std::size_t bytes, bool is_large);
    bool make_connection_room(std::size_t max_connections);
    memory_account* slow_account_with_most_bytes(memory_account const* except) const;
    memory_account* account_without_progress_for_longest() const;
    memory_account* oldest_account_awaiting_peer() const;
    void give_up(memory_account& account);

    memory_budget_options options_;
    std::vector<memory_account*> accounts_; ///< Those of open connections.
    std::size_t used_bytes_ = 0;
    std::size_t releasing_bytes_ = 0; ///< Part of `used_bytes_` that given up connections hold.
    std::size_t given_up_connections_ = 0;
    std::uint64_t last_opened_number_ = 0;
    memory_budget_counters counters_;
};

/// What is held for one connection. Charges may outlive the connection.
class memory_account
{
public:
    /// Accounts that are opened later have higher numbers.
    memory_account(std::shared_ptr<memory_budget> budget, memory_holder& holder,
                   std::uint64_t opened_number)
        : budget_(std::move(budget)), holder_(&holder), opened_number_(opened_number)
    {}
    ~memory_account();
    memory_account(memory_account const&) = delete;
    memory_account& operator=(memory_account const&) = delete;

    /// Ends the account when its connection is closed. Its charges stay until they are released.
    void detach();

private:
    friend class memory_budget;
    friend class memory_charge;

    bool is_slow() const;
    /// True if the peer has moved enough since the last sample with progress.
    bool has_progress() const;
    void sample();

    std::shared_ptr<memory_budget> budget_;
    memory_holder* holder_; ///< Null once the connection is closed.
    std::uint64_t opened_number_;
    std::size_t position_ = 0; ///< In the budget's list of accounts.
    std::size_t held_bytes_ = 0;
    std::uint64_t moved_bytes_at_mark_ = 0;
    unsigned samples_without_progress_ = 0;
    bool given_up_ = false;
};

/// Bytes that are charged to an account until this is destroyed.
class memory_charge
{
public:
    memory_charge() = default;
    explicit memory_charge(std::shared_ptr<memory_account> account) : account_(std::move(account))
    {}
    ~memory_charge() { resize(0); }
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) noexcept;
    memory_charge(memory_charge const&) = delete;
    memory_charge& operator=(memory_charge const&) = delete;

    std::size_t bytes() const { return bytes_; }
    /// Changes the number of charged bytes. Returns false and changes nothing if there is no room.
    bool try_resize(std::size_t bytes);
    /// Changes the number of charged bytes, whether or not there is room: for bytes that are held
    /// already.
    void resize(std::size_t bytes);
    /// Moves a part of the charge to another one for the same account.
    memory_charge split(std::size_t bytes);

private:
    std::shared_ptr<memory_account> account_;
    std::size_t bytes_ = 0;
};

} // namespace burdockstep::http1
