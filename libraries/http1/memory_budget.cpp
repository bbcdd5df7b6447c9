#include "libraries/http1/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace burdockstep::http1 {

namespace {

/// Accounts that hold at most this much may use the whole budget, larger ones all but `max_bytes`
/// divided by `reserve_divisor`.
constexpr std::size_t max_small_account_bytes = std::size_t{64} * 1024;
constexpr std::size_t reserve_divisor = 8;
/// Connections that are given up free their memory a moment later. Until then, the budget may be
/// exceeded by `max_bytes` divided by this.
constexpr std::size_t overdraft_divisor = 4;
/// A peer is slow if it moves less in a second than the held bytes divided by this. One that
/// completes its message within half a minute isn't slow.
constexpr std::size_t progress_divisor = 32;
constexpr unsigned samples_per_second = 1'000 / memory_budget::sample_interval_ms;

} // namespace

std::shared_ptr<memory_account> memory_budget::open_account(memory_holder& holder)
{
    auto account =
        std::make_shared<memory_account>(shared_from_this(), holder, ++last_opened_number_);
    account->position_ = accounts_.size();
    accounts_.push_back(account.get());
    return account;
}

void memory_budget::remove(memory_account& account)
{
    given_up_connections_ -= account.given_up_ ? 1 : 0;
    memory_account* const last = accounts_.back();
    accounts_[account.position_] = last;
    last->position_ = account.position_;
    accounts_.pop_back();
}

void memory_budget::sample()
{
    for (memory_account* const each : accounts_)
        each->sample();
}

bool memory_budget::has_room(std::size_t bytes, bool is_large) const
{
    std::size_t const reserved = is_large ? options_.max_bytes / reserve_divisor : 0;
    std::size_t const allowed = options_.max_bytes - reserved;
    std::size_t const overdraft = options_.max_bytes / overdraft_divisor;
    std::size_t const staying = used_bytes_ - releasing_bytes_;
    return bytes <= allowed && staying <= allowed - bytes &&
           releasing_bytes_ <= allowed - bytes - staying + overdraft;
}

bool memory_budget::make_room(memory_account const* account, std::size_t bytes, bool is_large)
{
    while (!has_room(bytes, is_large)) {
        memory_account* const slow_account = slow_account_with_most_bytes(account);
        if (slow_account == nullptr)
            return false;
        give_up(*slow_account);
    }
    return true;
}

bool memory_budget::try_hold(memory_account& account, std::size_t bytes)
{
    bool const is_large = account.held_bytes_ + bytes > max_small_account_bytes;
    if (!make_room(&account, bytes, is_large)) {
        ++counters_.refused_bytes;
        return false;
    }
    hold(account, bytes);
    return true;
}

void memory_budget::hold(memory_account& account, std::size_t bytes)
{
    account.held_bytes_ += bytes;
    used_bytes_ += bytes;
    releasing_bytes_ += account.given_up_ ? bytes : 0;
}

void memory_budget::release(memory_account& account, std::size_t bytes)
{
    account.held_bytes_ -= bytes;
    used_bytes_ -= bytes;
    releasing_bytes_ -= account.given_up_ ? bytes : 0;
}

bool memory_budget::try_accept_connection()
{
    if (!make_connection_room(options_.max_connections_to_accept))
        return false;
    if (make_room(nullptr, connection_bytes, false))
        return true;
    ++counters_.refused_connections;
    return false;
}

bool memory_budget::make_connection_room(std::size_t max_connections)
{
    if (connections() < max_connections)
        return true;
    memory_account* replaced_account = account_without_progress_for_longest();
    if (replaced_account == nullptr && options_.replaces_oldest_connection)
        replaced_account = oldest_account_awaiting_peer();
    if (replaced_account == nullptr) {
        ++counters_.refused_connections;
        return false;
    }
    give_up(*replaced_account);
    return true;
}

memory_account* memory_budget::slow_account_with_most_bytes(memory_account const* except) const
{
    memory_account* found = nullptr;
    for (memory_account* const each : accounts_) {
        bool const holds_more = found == nullptr || each->held_bytes_ > found->held_bytes_;
        if (each != except && holds_more && each->is_slow())
            found = each;
    }
    return found;
}

memory_account* memory_budget::account_without_progress_for_longest() const
{
    memory_account* found = nullptr;
    for (memory_account* const each : accounts_) {
        bool const waits_longer =
            found == nullptr || each->samples_without_progress_ > found->samples_without_progress_;
        if (waits_longer && each->is_slow())
            found = each;
    }
    return found;
}

memory_account* memory_budget::oldest_account_awaiting_peer() const
{
    memory_account* found = nullptr;
    for (memory_account* const each : accounts_) {
        bool const is_older = found == nullptr || each->opened_number_ < found->opened_number_;
        if (is_older && !each->given_up_ && each->holder_->awaits_peer())
            found = each;
    }
    return found;
}

void memory_budget::give_up(memory_account& account)
{
    ++counters_.given_up;
    ++given_up_connections_;
    account.given_up_ = true;
    releasing_bytes_ += account.held_bytes_;
    account.holder_->give_up();
}

memory_account::~memory_account()
{
    detach();
}

void memory_account::detach()
{
    if (std::exchange(holder_, nullptr) != nullptr)
        budget_->remove(*this);
}

bool memory_account::is_slow() const
{
    return !given_up_ && samples_without_progress_ >= samples_per_second &&
           holder_->awaits_peer() && !has_progress();
}

bool memory_account::has_progress() const
{
    std::size_t const expected_bytes = std::max<std::size_t>(held_bytes_ / progress_divisor, 1);
    return holder_->moved_bytes() - moved_bytes_at_mark_ >= expected_bytes;
}

void memory_account::sample()
{
    bool const is_peers_turn = holder_->awaits_peer();
    if (is_peers_turn && !has_progress()) {
        ++samples_without_progress_;
        return;
    }
    moved_bytes_at_mark_ = holder_->moved_bytes();
    samples_without_progress_ = 0;
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : account_(std::move(other.account_)), bytes_(std::exchange(other.bytes_, 0))
{}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept
{
    if (this == &other)
        return *this;
    resize(0);
    account_ = std::move(other.account_);
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

bool memory_charge::try_resize(std::size_t bytes)
{
    if (bytes <= bytes_) {
        resize(bytes);
        return true;
    }
    std::size_t const added_bytes = bytes - bytes_;
    if (account_ != nullptr && !account_->budget_->try_hold(*account_, added_bytes))
        return false;
    // Connections that were given up for it may have shrunk this charge.
    bytes_ += added_bytes;
    return true;
}

void memory_charge::resize(std::size_t bytes)
{
    if (account_ != nullptr && bytes > bytes_)
        account_->budget_->hold(*account_, bytes - bytes_);
    else if (account_ != nullptr && bytes < bytes_)
        account_->budget_->release(*account_, bytes_ - bytes);
    bytes_ = bytes;
}

memory_charge memory_charge::split(std::size_t bytes)
{
    memory_charge part(account_);
    part.bytes_ = std::min(bytes, bytes_);
    bytes_ -= part.bytes_;
    return part;
}

} // namespace burdockstep::http1
