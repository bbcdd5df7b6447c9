/// In-memory table service and object store with fault injection.
#pragma once

#include "libraries/platform/platform.hpp"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace burdockstep::testing {

/// Fault injected into one operation.
enum class store_fault
{
    none,
    report_unreachable, ///< Not executed; reported as unreachable.
    lose_request,       ///< Not executed; the outcome is reported as unknown.
    lose_answer         ///< Executed; the outcome is reported as unknown.
};

/// Calls each handler before the operation returns. Each operation except `scan_descending` takes
/// one fault from a queue.
class fake_store final : public table_service, public object_store
{
public:
    using table_service::read;

    void read(std::string const& key,
              std::function<void(store_status, std::optional<table_row>)> handler) override;
    void
    scan_descending(std::string const& prefix, std::string const& before, std::size_t limit,
                    std::function<void(store_status, std::vector<table_row>)> handler) override;
    void commit(table_transaction const& transaction,
                std::function<void(store_status)> handler) override;
    void put(digest const& name, std::string const& bytes,
             std::function<void(store_status)> handler) override;
    void get(digest const& name,
             std::function<void(store_status, std::optional<std::string>)> handler) override;

    std::deque<store_fault> queued_faults;
    bool stale_reads = false; ///< `read` returns each row as it was before its last write.
    bool is_unreachable = false;
    std::size_t commit_count = 0;

    /// All values that a row has had, oldest first.
    std::vector<std::string> const& history(std::string const& key) { return row_histories_[key]; }

private:
    store_fault take_next_fault();

    std::map<std::string, std::vector<std::string>> row_histories_;
    std::map<digest, std::string> objects_;
};

} // namespace burdockstep::testing
