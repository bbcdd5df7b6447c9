/// Rows of the table service that store the configuration head and the audit trail.
#pragma once

#include "libraries/core/digest.hpp"
#include "libraries/core/error.hpp"
#include "libraries/core/ids.hpp"

#include <cstdint>
#include <string>

namespace burdockstep {

/// Key of the single row that names the configuration in force.
inline constexpr char head_row_key[] = "configuration/head";
/// Key prefix of audit rows. The rest of the key sorts by time.
inline constexpr char audit_row_prefix[] = "audit/";
/// Key prefix of the rows that record which applies took effect.
inline constexpr char applied_row_prefix[] = "applied/";

/// Identifies one apply, so that its effect can be looked up after the store's answer was lost.
using apply_id = strong_type<std::string, struct apply_id_tag>;

/// Content of the head row: which configuration is in force, and who applied it and why.
struct configuration_head_record
{
    configuration_version version;
    digest document; ///< Digest of the document, which is its name in the object store.
    apply_id applied_by;
    std::string who;
    std::string why;
};

/// Content of one audit row: an apply that was accepted or refused.
struct audit_record
{
    std::uint64_t requested_at_ms = 0; ///< Wall clock, in milliseconds since 1970.
    apply_id apply;
    bool accepted = false;
    configuration_version version; ///< The new version; after a refusal the one still in force.
    std::string who;
    std::string why;
    std::string detail; ///< The changes made, or the reason for the refusal.
};

std::string to_json_text(configuration_head_record const& head);
std::string to_json_text(audit_record const& audit);
/// Both parsers fail with `malformed`.
result<configuration_head_record> parse_head_record(std::string const& text);
result<audit_record> parse_audit_record(std::string const& text);

/// Key of an audit row. Keys of later rows sort higher.
std::string audit_row_key(audit_record const& audit);

} // namespace burdockstep
