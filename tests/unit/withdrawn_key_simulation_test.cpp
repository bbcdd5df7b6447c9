// Seeded runs of many entries with delays, losses, cuts, pauses and a restored store: no entry acts
// on a key later than the limit after its withdrawal was acknowledged.
#include "libraries/discovery/directives_confirmation.hpp"
#include "libraries/teams/key_trust.hpp"

#include "tests/fakes/harness.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <vector>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

constexpr duration promised_limit = std::chrono::seconds(5);
constexpr duration own_limit = std::chrono::milliseconds(3'800);
constexpr duration step = std::chrono::milliseconds(10);
constexpr duration run_length = std::chrono::seconds(24);
constexpr duration faults_end = std::chrono::seconds(18);
constexpr duration reader_interval = std::chrono::milliseconds(400);

/// A span of time in which something is broken.
struct fault_span
{
    time_point from;
    time_point until;

    bool covers(time_point now) const { return now >= from && now < until; }
};

/// One entry with its own clock.
struct simulated_entry
{
    std::unique_ptr<directives_confirmation> confirmation;
    duration clock_offset{};
    store_position applied;
    store_era newest_era;
    fault_span cut_from_store;
    fault_span cut_from_entries;
    fault_span paused;
    time_point next_poll;
};

/// Entries, the store, and the messages between them.
class simulated_fleet
{
public:
    simulated_fleet(std::uint64_t seed, bool has_faults) : random_(seed), has_faults_(has_faults)
    {
        withdrawn_at_ = start_time() + random_span(ms(5'000), ms(10'000));
        bool const is_restored = has_faults_ && random_.below(3) == 0;
        if (is_restored)
            restored_at_ = start_time() + random_span(ms(2'000), ms(5'000));
        if (has_faults_ && random_.below(2) == 0) {
            store_slow_ = random_fault();
            slowest_answer_ = random_span(ms(200), ms(6'000));
        }
        std::size_t const count = 2 + random_.below(30);
        for (std::size_t i = 0; i < count; ++i)
            add_entry(i, count);
    }

    void run()
    {
        for (; now_ < start_time() + run_length; now_ += step) {
            change_store();
            serve_store_arrivals();
            deliver();
            for (std::size_t i = 0; i < entries_.size(); ++i) {
                if (entries_[i].paused.covers(now_))
                    continue;
                act(i);
                check(entries_[i]);
            }
        }
    }

    duration oldest_proof{}; ///< While nothing is or has lately been broken.
    std::uint64_t questions = 0;
    std::uint64_t store_reads = 0; ///< Beyond the readers' own.

private:
    duration random_span(duration lowest, duration highest)
    {
        return lowest + duration(static_cast<std::int64_t>(
                            random_.below(static_cast<std::uint64_t>((highest - lowest).count()))));
    }

    fault_span random_fault()
    {
        time_point const from = start_time() + random_span(ms(1'000), ms(14'000));
        return {.from = from,
                .until =
                    std::min(from + random_span(ms(500), ms(10'000)), start_time() + faults_end)};
    }

    fault_span rare_fault() { return random_.below(4) == 0 ? random_fault() : fault_span{}; }

    void add_entry(std::size_t index, std::size_t count)
    {
        simulated_entry entry;
        entry.confirmation =
            std::make_unique<directives_confirmation>(directives_confirmation_options{}, random_);
        entry.clock_offset = random_span(ms(0), std::chrono::hours(48));
        entry.confirmation->set_active(true);
        entry.confirmation->set_reads_store(index < 2);
        std::vector<address> preferred;
        std::vector<address> others;
        for (std::uint32_t other = 0; other < count; ++other) {
            if (other == index)
                continue;
            if (other < 2)
                preferred.push_back({.ip = other, .port = 1});
            others.push_back({.ip = other, .port = 1});
        }
        entry.confirmation->set_sources(preferred, others);
        if (has_faults_) {
            entry.cut_from_store = rare_fault();
            entry.cut_from_entries = rare_fault();
            entry.paused = rare_fault();
        }
        entries_.push_back(std::move(entry));
        send_at(now_, index, [this, index] { read_store(index); });
    }

    static time_point local(simulated_entry const& entry, time_point time)
    {
        return time + entry.clock_offset;
    }

    void change_store()
    {
        if (restored_at_ && now_ >= *restored_at_ && store_.era == store_era(1))
            store_ = {.era = store_era(2), .version = store_version(5)};
        if (now_ >= withdrawn_at_ && !withdrawal_) {
            store_.version = store_version(store_.version.get() + 1);
            withdrawal_ = store_;
        }
    }

    /// Runs at an entry at that time, or when its pause ends.
    void send_at(time_point when, std::size_t to, std::function<void()> action)
    {
        messages_.emplace(when, std::pair(to, std::move(action)));
    }

    void deliver()
    {
        while (!messages_.empty() && messages_.begin()->first <= now_) {
            auto [to, action] = std::move(messages_.begin()->second);
            messages_.erase(messages_.begin());
            if (entries_[to].paused.covers(now_))
                send_at(entries_[to].paused.until, to, std::move(action));
            else
                action();
        }
    }

    bool is_lost() { return has_faults_ && random_.below(20) == 0; }

    duration network_delay() { return random_span(ms(1), has_faults_ ? ms(120) : ms(30)); }

    void read_store(std::size_t reader)
    {
        simulated_entry& entry = entries_[reader];
        time_point const began = local(entry, now_);
        duration const slowness =
            store_slow_.covers(now_) ? random_span(ms(0), slowest_answer_) : duration::zero();
        if (entry.cut_from_store.covers(now_) || is_lost())
            return;
        // The store reads its state when the request arrives, whether or not the reader is paused.
        auto const answer_from_store = [this, reader, began, slowness] {
            store_position const seen = store_;
            send_at(now_ + network_delay() + slowness, reader,
                    [this, reader, began, seen] { take_store_answer(reader, began, seen); });
        };
        store_arrivals_.emplace(now_ + network_delay() + slowness / 2, answer_from_store);
    }

    void take_store_answer(std::size_t reader, time_point began, store_position seen)
    {
        simulated_entry& entry = entries_[reader];
        if (entry.cut_from_store.covers(now_) || seen.era < entry.newest_era)
            return;
        entry.newest_era = seen.era;
        entry.confirmation->note_era(seen.era);
        entry.applied = std::max(entry.applied, seen);
        entry.confirmation->handle_store_answer(entry.applied, began);
    }

    void act(std::size_t index)
    {
        simulated_entry& entry = entries_[index];
        bool const polls = index < 2 && now_ >= entry.next_poll;
        if (polls) {
            entry.next_poll = now_ + reader_interval;
            read_store(index);
        }
        execute(index, entry.confirmation->tick(local(entry, now_)));
        if (random_.below(50) == 0)
            execute(index, entry.confirmation->want_early(local(entry, now_)));
    }

    void serve_store_arrivals()
    {
        while (!store_arrivals_.empty() && store_arrivals_.begin()->first <= now_) {
            auto const serve = std::move(store_arrivals_.begin()->second);
            store_arrivals_.erase(store_arrivals_.begin());
            serve();
        }
    }

    bool passes(std::size_t from, std::size_t to)
    {
        return !entries_[from].cut_from_entries.covers(now_) &&
               !entries_[to].cut_from_entries.covers(now_) && !is_lost();
    }

    void execute(std::size_t index, confirmation_actions const& actions)
    {
        if (actions.read_changes || actions.read_directives) {
            ++store_reads;
            read_store(index);
        }
        if (!actions.question)
            return;
        ++questions;
        std::size_t const asked = actions.question->to.ip;
        if (!passes(index, asked))
            return;
        send_at(now_ + network_delay(), asked,
                [this, index, asked, question = actions.question->question] {
                    answer(index, asked, question);
                });
    }

    void answer(std::size_t asker, std::size_t asked, wire::directives_question question)
    {
        simulated_entry& entry = entries_[asked];
        auto const proof = entry.confirmation->answer(question, local(entry, now_));
        if (!passes(asked, asker))
            return;
        send_at(now_ + network_delay(), asker, [this, asker, proof] {
            simulated_entry& receiver = entries_[asker];
            receiver.newest_era = std::max(receiver.newest_era, proof.position.era);
            receiver.confirmation->note_era(receiver.newest_era);
            execute(asker, receiver.confirmation->handle_proof(proof, local(receiver, now_)));
        });
    }

    void check(simulated_entry const& entry)
    {
        auto const fresh_as_of = entry.confirmation->fresh_as_of();
        bool const is_quiet = now_ > start_time() + faults_end + ms(3'000) ||
                              (!has_faults_ && now_ > start_time() + ms(3'000));
        if (is_quiet) {
            CHECK(fresh_as_of.has_value());
            oldest_proof = std::max(oldest_proof, local(entry, now_) - *fresh_as_of);
        }
        bool const lacks_withdrawal = withdrawal_ && entry.applied < *withdrawal_;
        if (!fresh_as_of || !lacks_withdrawal)
            return;
        CHECK(*fresh_as_of <= local(entry, withdrawn_at_ + step));
        key_trust trust({.revocation_limit = own_limit});
        trust.confirm(*fresh_as_of);
        bool const acts = trust.may_act_on_keys(local(entry, now_));
        CHECK(!acts || now_ <= withdrawn_at_ + promised_limit);
    }

    random_source random_;
    bool has_faults_;
    time_point now_ = start_time();
    store_position store_{.era = store_era(1), .version = store_version(10)};
    time_point withdrawn_at_;
    std::optional<time_point> restored_at_;
    std::optional<store_position> withdrawal_;
    fault_span store_slow_;
    duration slowest_answer_{};
    std::vector<simulated_entry> entries_;
    std::multimap<time_point, std::pair<std::size_t, std::function<void()>>> messages_;
    std::multimap<time_point, std::function<void()>> store_arrivals_;
};

} // namespace

TEST_GROUP(withdrawn_key_simulation){};

TEST(withdrawn_key_simulation, no_entry_acts_on_a_withdrawn_key_after_the_limit)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        simulated_fleet fleet(seed, true);
        fleet.run();
        CHECK(fleet.oldest_proof < ms(2'500));
    }
}

TEST(withdrawn_key_simulation, proofs_stay_new_and_cost_little_while_nothing_is_broken)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        simulated_fleet fleet(seed, false);
        fleet.run();
        CHECK(fleet.oldest_proof < ms(1'200));
    }
}
