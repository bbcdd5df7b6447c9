#include "libraries/configuration/daemon_settings.hpp"
#include "libraries/configuration/deployment_reader.hpp"
#include "libraries/configuration/deployment_writer.hpp"

#include "tests/fakes/documents.hpp"
#include "tests/fakes/harness.hpp"

#include <algorithm>

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// An edit that makes a valid file invalid, and the texts that its finding must contain.
struct invalid_input_case
{
    char const* from;
    char const* to;
    char const* key;
    char const* seen;
    char const* remedy;
};

std::string with_replacement(std::string text, std::string const& from, std::string const& to)
{
    auto const position = text.find(from);
    CHECK_TEXT(position != std::string::npos, from.c_str());
    return text.replace(position, from.size(), to);
}

} // namespace

TEST_GROUP(configuration){};

TEST(configuration, valid_document_is_parsed_without_findings)
{
    deployment_parse_result const parse_result = read_deployment("a.toml", sample_deployment());
    STRCMP_EQUAL("", findings_text(parse_result.findings).c_str());
    CHECK(parse_result.document.has_value());
    LONGS_EQUAL(2, parse_result.document->services.size());
}

TEST(configuration, written_document_parses_and_is_written_identically)
{
    deployment_parse_result const first_parse = read_deployment("a.toml", sample_deployment());
    std::string const written_text = write_deployment(*first_parse.document);
    deployment_parse_result const second_parse = read_deployment("b.toml", written_text);
    STRCMP_EQUAL("", findings_text(second_parse.findings).c_str());
    STRCMP_EQUAL(written_text.c_str(), write_deployment(*second_parse.document).c_str());
}

TEST(configuration, each_finding_names_file_key_value_and_remedy)
{
    invalid_input_case const cases[] = {
        {"class = \"short\"", "class = \"quick\"", "service.class", "quick", "one of short, long"},
        {"deadline_ms = 2000", "deadline_ms = 0", "service.deadline_ms", "0", "1 to 3600000"},
        {"deadline_ms = 2000", "deadline_ms = \"2s\"", "service.deadline_ms", "2s", "whole number"},
        {"idempotent = true", "idempotent = 1", "service.idempotent", "1", "true or false"},
        {"shift_cap_percent = 20", "shift_cap_percent = 101", "service.shift_cap_percent", "101",
         "0.1 to 100"},
        {"shift_cap_percent = 20", "shift_cap_percent = nan", "service.shift_cap_percent", "nan",
         "0.1 to 100"},
        {"slots = 3", "slots = 0", "upstreams.slots", "0", "1 to 1024"},
        {"place = \"brest\"", "place = \"paris\"", "upstreams.place", "paris", "name a place"},
        {"service = \"levels\"", "service = \"level\"", "upstreams.service", "level",
         "name a service"},
        {"127.0.0.1:9001", "localhost:9001", "upstreams.addresses", "localhost:9001", "IP:PORT"},
        {"127.0.0.1:9002", "127.0.0.1:9001", "upstreams.addresses", "127.0.0.1:9001", "taken"},
        {"region = \"ille\"", "region = \"maine\"", "place.region", "maine", "deployment.regions"},
        {"name = \"vannes\"", "name = \"brest\"", "place.name", "brest", "taken"},
        {"name = \"vannes\"", "name = \"Vannes!\"", "place.name", "Vannes!", "a-z"},
        {"cap_percent = 90", "cap_percentage = 90", "place.cap_percentage", "90", "unknown"},
        {"[delays]", "[delay]", "delays", "nothing", "add this key"},
        {"10.1.0.0/16", "10.1.0.1/16", "clients.blocks", "10.1.0.1/16", "prefix"},
        {"10.1.0.0/16", "10.1.0.0/33", "clients.blocks", "10.1.0.0/33", "prefix"},
        {"10.1.0.0/16", "10.2.3.0/24", "clients.blocks", "10.2.3.0/24", "once"},
        {"to = \"ille\"", "to = \"armor\"", "link.to", "armor", "two different regions"},
    };
    for (invalid_input_case const& each : cases) {
        std::string const text = with_replacement(sample_deployment(), each.from, each.to);
        deployment_parse_result const parse_result = read_deployment("a.toml", text);
        CHECK_TEXT(!parse_result.document, each.to);
        std::string const findings_message = findings_text(parse_result.findings);
        STRCMP_CONTAINS("a.toml:", findings_message.c_str());
        STRCMP_CONTAINS(each.key, findings_message.c_str());
        STRCMP_CONTAINS(each.seen, findings_message.c_str());
        STRCMP_CONTAINS(each.remedy, findings_message.c_str());
    }
}

TEST(configuration, finding_names_the_line_of_the_invalid_value)
{
    std::string const text = with_replacement(sample_deployment(), "slots = 3", "slots = -3");
    auto const line =
        1 + std::count(text.begin(),
                       text.begin() + static_cast<std::ptrdiff_t>(text.find("slots = -3")), '\n');
    deployment_parse_result const parse_result = read_deployment("a.toml", text);
    LONGS_EQUAL(1, parse_result.findings.size());
    LONGS_EQUAL(line, parse_result.findings.front().line);
}

TEST(configuration, syntax_error_names_the_line)
{
    deployment_parse_result const parse_result =
        read_deployment("a.toml", "[deployment]\nname = \n");
    CHECK(!parse_result.document);
    LONGS_EQUAL(2, parse_result.findings.front().line);
}

TEST(configuration, drains_covering_every_upstream_are_refused)
{
    std::string const text = sample_deployment() +
                             "\n[[drain]]\nscope = \"region\"\nname = \"armor\"\nreason = \"x\"\n"
                             "[[drain]]\nscope = \"region\"\nname = \"ille\"\nreason = \"x\"\n";
    deployment_parse_result const parse_result = read_deployment("a.toml", text);
    CHECK(!parse_result.document);
    STRCMP_CONTAINS("undrained", findings_text(parse_result.findings).c_str());
}

TEST(configuration, drain_of_an_unknown_place_is_refused)
{
    std::string const text = sample_deployment() +
                             "\n[[drain]]\nscope = \"place\"\nname = \"nowhere\"\nreason = \"x\"\n";
    CHECK(!read_deployment("a.toml", text).document);
}

TEST(configuration, drain_scope_may_be_upstream_place_or_region)
{
    for (char const* scope :
         {"scope = \"upstream\"\nname = \"levels-vannes-1\"",
          "scope = \"place\"\nname = \"vannes\"", "scope = \"region\"\nname = \"ille\""}) {
        std::string const text =
            sample_deployment() + "\n[[drain]]\n" + scope + "\nreason = \"work\"\n";
        deployment_parse_result const parse_result = read_deployment("a.toml", text);
        CHECK_TEXT(parse_result.document.has_value(), findings_text(parse_result.findings).c_str());
        std::size_t draining = 0;
        for (upstream const& each : parse_result.document->upstreams)
            draining += parse_result.document->is_draining(each) ? 1 : 0;
        CHECK(draining > 0);
        CHECK(draining < parse_result.document->upstreams.size());
    }
}

TEST(configuration, document_over_the_size_limit_is_refused)
{
    std::string const text(max_document_bytes + 1, '#');
    CHECK(!read_deployment("a.toml", text).document);
}

TEST(configuration, settings_findings_name_key_and_remedy)
{
    std::string const valid_settings =
        "[instance]\nname = \"a-1\"\nplace = \"brest\"\nregion = \"armor\"\n"
        "callers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\n"
        "peers = \"127.0.0.1:3\"\n[platform]\naddress = \"127.0.0.1:4\"\n";
    CHECK(read_daemon_settings("s.toml", valid_settings).settings.has_value());
    invalid_input_case const cases[] = {
        {"127.0.0.1:2", "127.0.0.1:1", "instance.operators", "127.0.0.1:1", "own"},
        {"127.0.0.1:4", "127.0.0.1", "platform.address", "127.0.0.1", "IP:PORT"},
        {"place =", "plaice =", "instance.plaice", "brest", "unknown"},
        {"region = \"armor\"\n", "", "instance.region", "nothing", "add this key"},
    };
    for (invalid_input_case const& each : cases) {
        auto const parse_result =
            read_daemon_settings("s.toml", with_replacement(valid_settings, each.from, each.to));
        CHECK_TEXT(!parse_result.settings, each.to);
        std::string const findings_message = findings_text(parse_result.findings);
        STRCMP_CONTAINS(each.key, findings_message.c_str());
        STRCMP_CONTAINS(each.remedy, findings_message.c_str());
    }
}
