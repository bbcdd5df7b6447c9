/// Rows of the table service that hold the configuration's head and the audit trail.
#pragma once

#include "libraries/core/digest.hpp"
#include "libraries/core/error.hpp"
#include "libraries/core/ids.hpp"

#include <cstdint>
#include <string>

namespace burdockstep {

/// Key of the one head row.
inline constexpr char head_row_key[] = "configuration/head";
/// Prefix of audit rows; the rest of the key sorts by time.
inline constexpr char audit_row_prefix[] = "audit/";
/// Prefix of the rows that tell which applies took effect.
inline constexpr char applied_row_prefix[] = "applied/";

/// Names one apply, so that its effect can be found again after a lost answer.
using apply_id = strong<std::string, struct apply_id_tag>;

/// The head row: which document is in force.
struct configuration_head_record
{
    configuration_version version;
    digest document;
    apply_id applied_by;
    std::string who;
    std::string why;
};

/// One line of the audit trail.
struct audit_record
{
    std::uint64_t requested_at_ms = 0; ///< Wall clock, milliseconds since 1970.
    apply_id apply;
    bool accepted = false;
    configuration_version version; ///< The new version, or the one that stayed in force.
    std::string who;
    std::string why;
    std::string detail; ///< What differed, or why it was refused.
};

std::string to_json_text(configuration_head_record const& head);
std::string to_json_text(audit_record const& audit);
/// Each fails with `malformed`.
result<configuration_head_record> parse_head_record(std::string const& text);
result<audit_record> parse_audit_record(std::string const& text);

/// Key of an audit row; later rows sort higher.
std::string audit_row_key(audit_record const& audit);

} // namespace burdockstep
