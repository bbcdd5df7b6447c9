/// One apply of a document, from the check to a certain answer.
#pragma once

#include "libraries/configuration/deployment.hpp"
#include "libraries/configuration_sync/configuration_records.hpp"
#include "libraries/platform/platform.hpp"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace burdockstep {

/// What an operator asks for.
struct apply_request
{
    apply_id id;
    std::string file;
    std::string document;
    std::string who;
    std::string why;
    /// The version that the operator saw; an apply onto another one is refused. Nothing: onto
    /// whichever is in force when the head is read.
    std::optional<configuration_version> base_version;
    std::uint64_t requested_at_ms = 0; ///< Wall clock for the audit trail.
    /// What is in force as this instance knows, for the audit trail's words; may be null.
    std::shared_ptr<deployment const> in_force;
};

/// How an apply ended.
enum class apply_verdict
{
    accepted,
    refused, ///< Nothing has changed.
    unknown  ///< The store stopped answering after a write was sent.
};

/// The certain or uncertain end of an apply.
struct apply_outcome
{
    apply_verdict verdict = apply_verdict::unknown;
    configuration_version version; ///< The new version, or the one in force when it was refused.
    std::string detail;
};

/// Read the head row, then call `handle_head_read`.
struct read_head_command
{};
/// Put the document, then call `handle_document_put`.
struct put_document_command
{
    digest name;
};
/// Commit, then call `handle_commit_result`. A repeat of the same transaction does no harm.
struct commit_command
{
    table_transaction transaction;
};
/// Commit, then call `handle_applied_check`. It writes nothing and expects that this apply took no
/// effect; unlike a read it can't be answered from an older state.
struct check_applied_command
{
    table_transaction transaction;
};
/// Write the audit row of a refusal; its answer isn't waited for.
struct write_refusal_command
{
    table_transaction transaction;
    apply_outcome outcome;
};
/// The apply has ended.
struct finish_command
{
    apply_outcome outcome;
};

using publisher_command =
    std::variant<read_head_command, put_document_command, commit_command, check_applied_command,
                 write_refusal_command, finish_command>;

/// Takes the store's answers and says what to do next. The head row changes by compare-and-set on
/// its row version; a lost answer is settled by sending the same transaction again, which can
/// take effect only once, and by the row that the transaction writes under the apply's id.
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
    std::optional<configuration_head_record> head_;
    std::uint64_t head_row_version_ = 0;
    unsigned failed_attempts_ = 0;
    bool commit_sent_ = false;
};

/// What differs between two documents, in words for operators; one clause for each change.
std::string describe_difference(deployment const* before, deployment const& after);

} // namespace burdockstep
