/// Abstract interfaces of the platform's services: table service, object store, instance list.
#pragma once

#include "libraries/core/digest.hpp"
#include "libraries/core/ids.hpp"
#include "libraries/membership/member_directory.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace burdockstep {

/// Outcome of an operation on the platform.
enum class store_status
{
    done,        ///< The operation succeeded.
    conflict,    ///< A row expectation didn't hold, so nothing was written.
    unreachable, ///< The platform could not be reached, so nothing was done.
    unknown      ///< The answer was lost: a write may have taken effect.
};

/// A row of the table service. Each write of the row increments its version, from 1.
struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// Precondition of a transaction: the version that a row must have. 0 means that the row must be
/// absent.
struct row_expectation
{
    std::string key;
    std::uint64_t version = 0;
};

/// Replaces the value of a row, or creates the row.
struct row_write
{
    std::string key;
    std::string value;
};

/// Writes that are applied atomically, and only when all expectations hold.
struct table_transaction
{
    std::vector<row_expectation> expectations;
    std::vector<row_write> writes;
};

/// The transactional table service.
class table_service
{
public:
    virtual ~table_service() = default;

    /// Reads one row. The handler gets no row when it is absent.
    virtual void read(std::string const& key,
                      std::function<void(store_status, std::optional<table_row>)> handler) = 0;
    /// Reads at most `limit` rows whose key starts with `prefix`, in descending order of keys. When
    /// `before` isn't empty, only keys below it are read.
    virtual void
    scan_descending(std::string const& prefix, std::string const& before, std::size_t limit,
                    std::function<void(store_status, std::vector<table_row>)> handler) = 0;
    /// Applies a transaction.
    virtual void commit(table_transaction const& transaction,
                        std::function<void(store_status)> handler) = 0;
};

/// The object store. Objects are immutable and named by the digest of their bytes.
class object_store
{
public:
    virtual ~object_store() = default;

    /// Stores an object.
    virtual void put(digest const& name, std::string const& bytes,
                     std::function<void(store_status)> handler) = 0;
    /// Reads an object. The handler gets nothing when it is absent or not visible yet.
    virtual void get(digest const& name,
                     std::function<void(store_status, std::optional<std::string>)> handler) = 0;
};

/// The platform's instance list as last read; it lags behind the real state. It holds the entries,
/// and the names of upstreams that are leaving.
struct instance_list_snapshot
{
    std::vector<listed_member> entries;
    std::vector<upstream_name> leaving_upstreams;
};

/// Reads the platform's instance list.
class instance_list
{
public:
    virtual ~instance_list() = default;

    virtual void read(std::function<void(store_status, instance_list_snapshot)> handler) = 0;
};

} // namespace burdockstep
