#include "libraries/configuration_sync/configuration_records.hpp"

#include "libraries/platform/json_fields.hpp"
#include "libraries/platform/platform_json.hpp"

#include <charconv>

namespace burdockstep {

namespace json = boost::json;

namespace {

bool parse_digest(std::string const& text, digest& parsed)
{
    constexpr std::size_t hex_digits_per_word = 16;
    if (text.size() != 2 * hex_digits_per_word)
        return false;
    char const* const low_word_begin = text.data() + hex_digits_per_word;
    char const* const low_word_end = low_word_begin + hex_digits_per_word;
    auto const high = std::from_chars(text.data(), low_word_begin, parsed.high, 16);
    auto const low = std::from_chars(low_word_begin, low_word_end, parsed.low, 16);
    return high.ptr == low_word_begin && low.ptr == low_word_end;
}

result<json::object> parse_object(std::string const& text)
{
    BOOST_LEAF_AUTO(value, parse_json(text));
    if (!value.is_object())
        return fail(error_kind::malformed, "the row isn't a JSON object; restore it by an apply");
    return std::move(value.get_object());
}

} // namespace

std::string to_json_text(configuration_head_record const& head)
{
    return json::serialize(json::object{{"version", head.version.get()},
                                        {"document", head.document.text()},
                                        {"applied_by", head.applied_by.get()},
                                        {"who", head.who},
                                        {"why", head.why}});
}

result<configuration_head_record> parse_head_record(std::string const& text)
{
    BOOST_LEAF_AUTO(object, parse_object(text));
    configuration_head_record head;
    head.version = configuration_version(json_number(object, "version"));
    head.applied_by = apply_id(json_text(object, "applied_by"));
    head.who = json_text(object, "who");
    head.why = json_text(object, "why");
    if (head.version.get() == 0 || !parse_digest(json_text(object, "document"), head.document))
        return fail(error_kind::malformed,
                    "the configuration's head row doesn't decode; restore it by an apply");
    return head;
}

std::string to_json_text(audit_record const& audit)
{
    return json::serialize(json::object{{"at_ms", audit.requested_at_ms},
                                        {"apply", audit.apply.get()},
                                        {"accepted", audit.accepted},
                                        {"version", audit.version.get()},
                                        {"who", audit.who},
                                        {"why", audit.why},
                                        {"detail", audit.detail}});
}

result<audit_record> parse_audit_record(std::string const& text)
{
    BOOST_LEAF_AUTO(object, parse_object(text));
    audit_record audit;
    audit.requested_at_ms = json_number(object, "at_ms");
    audit.apply = apply_id(json_text(object, "apply"));
    audit.version = configuration_version(json_number(object, "version"));
    audit.who = json_text(object, "who");
    audit.why = json_text(object, "why");
    audit.detail = json_text(object, "detail");
    audit.accepted = json_bool(object, "accepted");
    return audit;
}

std::string audit_row_key(audit_record const& audit)
{
    return fmt::format("{}{:020}-{}", audit_row_prefix, audit.requested_at_ms, audit.apply.get());
}

} // namespace burdockstep
