#include "libraries/platform/platform_json.hpp"

#include "libraries/platform/json_fields.hpp"

namespace burdockstep {

namespace json = boost::json;

namespace {

leaf::error_id malformed(char const* what)
{
    return fail(error_kind::malformed,
                fmt::format("the platform's {} can't be decoded; check that both sides run the "
                            "same version",
                            what));
}

json::array const* array_member(json::object const& object, std::string_view key)
{
    json::value const* const value = object.if_contains(key);
    return value == nullptr ? nullptr : value->if_array();
}

json::value to_json(listed_member const& member)
{
    return json::object{{"instance", member.instance.get()},
                        {"place", member.place.get()},
                        {"region", member.region.get()},
                        {"callers", member.callers.text()},
                        {"operators", member.operators.text()},
                        {"peers", member.peers.text()},
                        {"leaving", member.leaving}};
}

} // namespace

result<json::value> parse_json(std::string_view text)
{
    json::error_code code;
    json::value value = json::parse(json::string_view(text.data(), text.size()), code);
    if (code)
        return malformed("JSON");
    return value;
}

json::value to_json(table_row const& row)
{
    return json::object{{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

json::value to_json(table_transaction const& transaction)
{
    json::array expectations;
    for (row_expectation const& each : transaction.expectations)
        expectations.push_back(json::object{{"key", each.key}, {"version", each.version}});
    json::array writes;
    for (row_write const& each : transaction.writes)
        writes.push_back(json::object{{"key", each.key}, {"value", each.value}});
    return json::object{{"expectations", std::move(expectations)}, {"writes", std::move(writes)}};
}

json::value to_json(instance_list_snapshot const& list)
{
    json::array entries;
    for (listed_member const& each : list.entries)
        entries.push_back(to_json(each));
    json::array leaving;
    for (upstream_name const& each : list.leaving_upstreams)
        leaving.push_back(json::string(each.get()));
    return json::object{{"entries", std::move(entries)}, {"leaving_upstreams", std::move(leaving)}};
}

result<table_row> row_from_json(json::value const& value)
{
    json::object const* const object = value.if_object();
    if (object == nullptr)
        return malformed("row");
    return table_row{.key = json_text(*object, "key"),
                     .value = json_text(*object, "value"),
                     .version = json_number(*object, "version")};
}

result<std::vector<table_row>> rows_from_json(json::value const& value)
{
    json::array const* const array = value.if_array();
    if (array == nullptr)
        return malformed("rows");
    std::vector<table_row> rows;
    for (json::value const& each : *array) {
        BOOST_LEAF_AUTO(row, row_from_json(each));
        rows.push_back(std::move(row));
    }
    return rows;
}

result<table_transaction> transaction_from_json(json::value const& value)
{
    json::object const* const object = value.if_object();
    if (object == nullptr)
        return malformed("transaction");
    json::array const* const expectations = array_member(*object, "expectations");
    json::array const* const writes = array_member(*object, "writes");
    if (expectations == nullptr || writes == nullptr)
        return malformed("transaction");
    table_transaction transaction;
    for (json::value const& each : *expectations) {
        BOOST_LEAF_AUTO(row, row_from_json(each));
        transaction.expectations.push_back({.key = row.key, .version = row.version});
    }
    for (json::value const& each : *writes) {
        BOOST_LEAF_AUTO(row, row_from_json(each));
        transaction.writes.push_back({.key = row.key, .value = row.value});
    }
    return transaction;
}

result<listed_member> listed_member_from_json(json::value const& value)
{
    json::object const* const object = value.if_object();
    if (object == nullptr)
        return malformed("instance");
    listed_member member;
    member.instance = instance_name(json_text(*object, "instance"));
    member.place = place_name(json_text(*object, "place"));
    member.region = region_name(json_text(*object, "region"));
    BOOST_LEAF_ASSIGN(member.callers, parse_address(json_text(*object, "callers")));
    BOOST_LEAF_ASSIGN(member.operators, parse_address(json_text(*object, "operators")));
    BOOST_LEAF_ASSIGN(member.peers, parse_address(json_text(*object, "peers")));
    member.leaving = json_bool(*object, "leaving");
    return member;
}

result<instance_list_snapshot> instance_list_from_json(json::value const& value)
{
    json::object const* const object = value.if_object();
    if (object == nullptr || array_member(*object, "entries") == nullptr ||
        array_member(*object, "leaving_upstreams") == nullptr)
        return malformed("instance list");
    instance_list_snapshot list;
    for (json::value const& each : *array_member(*object, "entries")) {
        BOOST_LEAF_AUTO(member, listed_member_from_json(each));
        list.entries.push_back(std::move(member));
    }
    for (json::value const& each : *array_member(*object, "leaving_upstreams")) {
        if (each.is_string())
            list.leaving_upstreams.emplace_back(std::string(each.get_string()));
    }
    return list;
}

} // namespace burdockstep
