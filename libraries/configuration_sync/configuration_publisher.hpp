/// Publishes one configuration document (an apply): validation, conditional commit, and resolving
/// lost answers of the store.
#pragma once

#include "libraries/configuration/deployment.hpp"
#include "libraries/configuration_sync/configuration_records.hpp"
#include "libraries/platform/platform.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace burdockstep {

/// An operator's request to apply a document.
struct apply_request
{
    apply_id id;
    std::string file;
    std::string document;
    std::string who;
    std::string why;
    /// The version that the document was derived from; the apply is refused if another version is
    /// in force. If empty, the version in force when the head row is read is replaced.
    std::optional<configuration_version> base_version;
    std::uint64_t requested_at_ms = 0; ///< Wall clock, in milliseconds since 1970.
    /// The configuration that this instance has in force, which the audit trail's list of changes
    /// is computed against. May be null.
    std::shared_ptr<deployment const> in_force;
};

/// Result of an apply.
enum class apply_verdict
{
    accepted,
    refused, ///< The configuration in force is unchanged.
    unknown  ///< The store stopped answering after the commit was sent.
};

/// Result of an apply with the details that the operator is shown.
struct apply_outcome
{
    apply_verdict verdict = apply_verdict::unknown;
    configuration_version version; ///< The new version; after a refusal the one in force.
    std::string detail;
};

/// Read the head row, then call `handle_head_read` with the result.
struct read_head_command
{};
/// Store the document as an object, then call `handle_document_put` with the result.
struct put_document_command
{
    digest name;
};
/// Commit the transaction, then call `handle_commit_result` with the result. The same transaction
/// may be sent again: it takes effect at most once.
struct commit_command
{
    table_transaction transaction;
};
/// Commit the transaction, then call `handle_applied_check` with the result. The transaction writes
/// nothing and expects that this apply has not taken effect. Unlike a read, it is never answered
/// from stale data.
struct check_applied_command
{
    table_transaction transaction;
};
/// Write the audit row of a refusal without waiting for the result. The apply has ended.
struct write_refusal_command
{
    table_transaction transaction;
    apply_outcome outcome;
};
/// The apply has ended; report the outcome.
struct finish_command
{
    apply_outcome outcome;
};

using publisher_command =
    std::variant<read_head_command, put_document_command, commit_command, check_applied_command,
                 write_refusal_command, finish_command>;

/// State machine of one apply: receives the store's answers and returns the next command. The head
/// row is replaced by compare-and-set on its row version. After a lost answer the same transaction
/// is sent again; it can take effect only once, and the row that it writes under the apply's id
/// shows whether it has.
class configuration_publisher
{
public:
    explicit configuration_publisher(apply_request request);

    publisher_command start();
    publisher_command handle_head_read(store_status status, std::optional<table_row> const& row);
    publisher_command handle_document_put(store_status status);
    publisher_command handle_commit_result(store_status status);
    publisher_command handle_applied_check(store_status status);

    apply_request const& request() const { return request_; }

private:
    publisher_command refuse_and_audit(configuration_version in_force, std::string detail);
    publisher_command retry_or_finish(publisher_command retry_command);
    std::string audit_detail_text() const;
    commit_command make_commit_command() const;
    check_applied_command make_check_applied_command() const;

    apply_request request_;
    std::optional<configuration_head_record> head_; ///< As last read; empty if there is no row.
    std::uint64_t head_row_version_ = 0;            ///< As last read; 0 if there is no row.
    unsigned failed_attempts_ = 0;                  ///< Commands without a result, and lost races.
    bool commit_sent_ = false;
};

/// Describes the changes between two documents for operators, one line for each change.
std::string describe_difference(deployment const* before, deployment const& after);

} // namespace burdockstep
