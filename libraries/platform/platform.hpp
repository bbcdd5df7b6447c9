/// What the platform gives, as abstract interfaces: table service, object store, instance list.
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

/// How an operation on the platform ended.
enum class store_status
{
    done,
    conflict,    ///< An expectation didn't hold: nothing was written.
    unreachable, ///< Nothing was done.
    unknown      ///< The answer was lost: a write may have taken effect.
};

/// A row of the table service. Versions grow with each write of the row, from 1.
struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;
};

/// The row must have this version for a transaction to commit; 0 means that it must be absent.
struct row_expectation
{
    std::string key;
    std::uint64_t version = 0;
};

/// A write of a whole row.
struct row_write
{
    std::string key;
    std::string value;
};

/// All expectations hold and all writes are done, or nothing is written.
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

    /// Reads one row; nothing when it is absent.
    virtual void read(std::string const& key,
                      std::function<void(store_status, std::optional<table_row>)> handler) = 0;
    /// Reads rows whose key starts with `prefix`, from the last key down, below `before` when that
    /// isn't empty.
    virtual void
    scan_descending(std::string const& prefix, std::string const& before, std::size_t limit,
                    std::function<void(store_status, std::vector<table_row>)> handler) = 0;
    virtual void commit(table_transaction const& transaction,
                        std::function<void(store_status)> handler) = 0;
};

/// The object store. Objects are named by the digest of their bytes and never change.
class object_store
{
public:
    virtual ~object_store() = default;

    virtual void put(digest const& name, std::string const& bytes,
                     std::function<void(store_status)> handler) = 0;
    /// Nothing when the object isn't there, or not yet.
    virtual void get(digest const& name,
                     std::function<void(store_status, std::optional<std::string>)> handler) = 0;
};

/// The lagging list of live and leaving instances.
struct instance_list_snapshot
{
    std::vector<listed_member> entries;
    std::vector<upstream_name> leaving_upstreams;
};

/// The platform's instance list.
class instance_list
{
public:
    virtual ~instance_list() = default;

    virtual void read(std::function<void(store_status, instance_list_snapshot)> handler) = 0;
};

} // namespace burdockstep
