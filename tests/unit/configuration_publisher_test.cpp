#include "libraries/configuration_sync/configuration_publisher.hpp"

#include "tests/fakes/documents.hpp"
#include "tests/fakes/fake_store.hpp"
#include "tests/fakes/harness.hpp"

using namespace burdockstep;
using namespace burdockstep::testing;

namespace {

/// Executes a publisher's commands against a store until the apply ends.
apply_outcome
execute_publisher(configuration_publisher& publisher, fake_store& store,
                  std::function<void(publisher_command const&)> const& before_each_command = {})
{
    publisher_command command = publisher.start();
    while (true) {
        if (before_each_command)
            before_each_command(command);
        publisher_command next_command;
        if (std::holds_alternative<read_head_command>(command)) {
            store.read(head_row_key, [&](store_status status, std::optional<table_row> const& row) {
                next_command = publisher.handle_head_read(status, row);
            });
        }
        else if (auto const* put = std::get_if<put_document_command>(&command)) {
            store.put(put->name, publisher.request().document, [&](store_status status) {
                next_command = publisher.handle_document_put(status);
            });
        }
        else if (auto const* commit = std::get_if<commit_command>(&command)) {
            store.commit(commit->transaction, [&](store_status status) {
                next_command = publisher.handle_commit_result(status);
            });
        }
        else if (auto const* check = std::get_if<check_applied_command>(&command)) {
            store.commit(check->transaction, [&](store_status status) {
                next_command = publisher.handle_applied_check(status);
            });
        }
        else if (auto const* refusal = std::get_if<write_refusal_command>(&command)) {
            store.commit(refusal->transaction, [](store_status) {});
            return refusal->outcome;
        }
        else {
            return std::get<finish_command>(command).outcome;
        }
        command = std::move(next_command);
    }
}

apply_request request(std::string const& id)
{
    return {.id = apply_id(id),
            .file = "a.toml",
            .document = sample_deployment(),
            .who = "anne",
            .why = "test"};
}

} // namespace

TEST_GROUP(configuration_publisher)
{
    fake_store store;

    apply_outcome apply(std::string const& id)
    {
        configuration_publisher publisher(request(id));
        return execute_publisher(publisher, store);
    }

    std::size_t audit_row_count()
    {
        std::size_t count = 0;
        store.scan_descending(
            audit_row_prefix, "", 100,
            [&](store_status, std::vector<table_row> const& rows) { count = rows.size(); });
        return count;
    }
};

TEST(configuration_publisher, successive_applies_are_accepted_as_versions_1_and_2)
{
    LONGS_EQUAL(1, apply("a").version.get());
    LONGS_EQUAL(2, apply("b").version.get());
    LONGS_EQUAL(2, store.history(head_row_key).size());
    LONGS_EQUAL(2, audit_row_count());
}

TEST(configuration_publisher, invalid_document_writes_only_an_audit_row)
{
    apply_request invalid_request = request("a");
    invalid_request.document = "[deployment]\n";
    configuration_publisher publisher(invalid_request);
    apply_outcome const outcome = execute_publisher(publisher, store);
    CHECK(outcome.verdict == apply_verdict::refused);
    STRCMP_CONTAINS("a.toml", outcome.detail.c_str());
    LONGS_EQUAL(0, store.history(head_row_key).size());
    LONGS_EQUAL(1, audit_row_count());
}

TEST(configuration_publisher, apply_that_loses_a_race_is_refused_and_names_the_version_in_force)
{
    // Another operator's complete apply takes place between this one's head read and its commit.
    configuration_publisher publisher(request("slow"));
    bool other_apply_done = false;
    apply_outcome const outcome =
        execute_publisher(publisher, store, [&](publisher_command const& next_command) {
            if (!std::holds_alternative<commit_command>(next_command) || other_apply_done)
                return;
            other_apply_done = true;
            CHECK(apply("fast").verdict == apply_verdict::accepted);
        });
    CHECK(outcome.verdict == apply_verdict::refused);
    LONGS_EQUAL(1, outcome.version.get());
    STRCMP_CONTAINS("version 1 by anne", outcome.detail.c_str());
    LONGS_EQUAL(1, store.history(head_row_key).size());
}

TEST(configuration_publisher, apply_based_on_an_outdated_version_is_refused)
{
    apply("a");
    apply_request outdated_request = request("b");
    outdated_request.base_version = configuration_version(0);
    configuration_publisher publisher(outdated_request);
    CHECK(execute_publisher(publisher, store).verdict == apply_verdict::refused);
    LONGS_EQUAL(1, store.history(head_row_key).size());
}

TEST(configuration_publisher, commit_whose_answer_was_lost_is_accepted_and_takes_effect_once)
{
    store.queued_faults = {store_fault::none, store_fault::none, store_fault::lose_answer};
    apply_outcome const outcome = apply("a");
    CHECK(outcome.verdict == apply_verdict::accepted);
    LONGS_EQUAL(1, outcome.version.get());
    LONGS_EQUAL(1, store.history(head_row_key).size());
}

TEST(configuration_publisher, commit_request_lost_on_the_way_is_retried)
{
    store.queued_faults = {store_fault::none, store_fault::none, store_fault::lose_request};
    CHECK(apply("a").verdict == apply_verdict::accepted);
    LONGS_EQUAL(1, store.history(head_row_key).size());
}

TEST(configuration_publisher, commit_whose_answer_was_lost_is_accepted_after_a_newer_apply)
{
    store.queued_faults = {store_fault::none, store_fault::none, store_fault::lose_answer};
    configuration_publisher publisher(request("slow"));
    unsigned commits_sent = 0;
    apply_outcome const outcome =
        execute_publisher(publisher, store, [&](publisher_command const& next_command) {
            if (std::holds_alternative<commit_command>(next_command) && ++commits_sent == 2)
                apply("other");
        });
    CHECK(outcome.verdict == apply_verdict::accepted);
    LONGS_EQUAL(1, outcome.version.get());
    LONGS_EQUAL(2, store.history(head_row_key).size());
}

TEST(configuration_publisher, apply_with_a_stale_head_read_is_never_accepted)
{
    apply("a");
    store.stale_reads = true;
    apply_outcome const outcome = apply("b");
    CHECK(outcome.verdict == apply_verdict::refused || outcome.verdict == apply_verdict::unknown);
    LONGS_EQUAL(1, store.history(head_row_key).size());
}

TEST(configuration_publisher, store_outage_before_the_commit_ends_in_refusal)
{
    store.is_unreachable = true;
    CHECK(apply("a").verdict == apply_verdict::refused);
    LONGS_EQUAL(0, store.history(head_row_key).size());
}

TEST(configuration_publisher, store_outage_after_the_commit_ends_in_unknown)
{
    store.queued_faults = {store_fault::none, store_fault::none, store_fault::lose_answer};
    configuration_publisher publisher(request("a"));
    unsigned commits_sent = 0;
    apply_outcome const outcome =
        execute_publisher(publisher, store, [&](publisher_command const& next_command) {
            if (std::holds_alternative<commit_command>(next_command) && ++commits_sent == 2)
                store.is_unreachable = true;
        });
    CHECK(outcome.verdict == apply_verdict::unknown);
    LONGS_EQUAL(1, store.history(head_row_key).size());
}
