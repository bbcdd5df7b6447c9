#include "tests/fakes/fake_store.hpp"

#include <algorithm>

namespace burdockstep::testing {

store_fault fake_store::take_next_fault()
{
    if (is_unreachable)
        return store_fault::report_unreachable;
    if (queued_faults.empty())
        return store_fault::none;
    store_fault const fault = queued_faults.front();
    queued_faults.pop_front();
    return fault;
}

void fake_store::read(std::string const& key,
                      std::function<void(store_status, std::optional<table_row>)> handler)
{
    store_fault const fault = take_next_fault();
    if (fault != store_fault::none) {
        handler(fault == store_fault::report_unreachable ? store_status::unreachable
                                                         : store_status::unknown,
                std::nullopt);
        return;
    }
    auto const& values = row_histories_[key];
    std::size_t const version = values.size() - (stale_reads && !values.empty() ? 1 : 0);
    if (version == 0) {
        handler(store_status::done, std::nullopt);
        return;
    }
    handler(store_status::done,
            table_row{.key = key, .value = values[version - 1], .version = version});
}

void fake_store::scan_descending(std::string const& prefix, std::string const& before,
                                 std::size_t limit,
                                 std::function<void(store_status, std::vector<table_row>)> handler)
{
    std::vector<table_row> found;
    for (auto each = row_histories_.rbegin(); each != row_histories_.rend() && found.size() < limit;
         ++each) {
        bool const is_match = each->first.starts_with(prefix) && !each->second.empty() &&
                              (before.empty() || each->first < before);
        if (is_match)
            found.push_back(
                {.key = each->first, .value = each->second.back(), .version = each->second.size()});
    }
    handler(store_status::done, std::move(found));
}

void fake_store::commit(table_transaction const& transaction,
                        std::function<void(store_status)> handler)
{
    store_fault const fault = take_next_fault();
    if (fault == store_fault::report_unreachable || fault == store_fault::lose_request) {
        handler(fault == store_fault::report_unreachable ? store_status::unreachable
                                                         : store_status::unknown);
        return;
    }
    bool const expectations_hold =
        std::all_of(transaction.expectations.begin(), transaction.expectations.end(),
                    [&](row_expectation const& each) {
                        return row_histories_[each.key].size() == each.version;
                    });
    if (expectations_hold) {
        ++commit_count;
        for (row_write const& each : transaction.writes)
            row_histories_[each.key].push_back(each.value);
    }
    if (fault == store_fault::lose_answer)
        handler(store_status::unknown);
    else
        handler(expectations_hold ? store_status::done : store_status::conflict);
}

void fake_store::put(digest const& name, std::string const& bytes,
                     std::function<void(store_status)> handler)
{
    store_fault const fault = take_next_fault();
    if (fault == store_fault::none || fault == store_fault::lose_answer)
        objects_[name] = bytes;
    if (fault == store_fault::none)
        handler(store_status::done);
    else
        handler(fault == store_fault::report_unreachable ? store_status::unreachable
                                                         : store_status::unknown);
}

void fake_store::get(digest const& name,
                     std::function<void(store_status, std::optional<std::string>)> handler)
{
    if (take_next_fault() != store_fault::none) {
        handler(store_status::unreachable, std::nullopt);
        return;
    }
    auto const found = objects_.find(name);
    handler(store_status::done,
            found == objects_.end() ? std::nullopt : std::optional(found->second));
}

} // namespace burdockstep::testing
