#!/usr/bin/env bash
# Breaks one mechanism at a time in a temporary copy of HEAD and checks that at least one test fails.
# Not part of CI.
# Usage: meta/prove_red.sh [PATTERN], where PATTERN selects mechanisms by a part of their name.
set -euo pipefail
cd "$(dirname "$0")/.."

pattern=${1:-}
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git archive HEAD | tar -x -C "$scratch"
cd "$scratch"
cmake -S . -B build -G Ninja >/dev/null
cmake --build build >/dev/null

unnoticed=0
# break_one NAME FILE OLD NEW: replaces the first occurrence of OLD in FILE by NEW, builds, runs the
# unit tests and the simulation, and restores FILE. Sets `unnoticed` if all of them pass.
break_one() {
    local name=$1 file=$2
    [[ $name == *"$pattern"* ]] || return 0
    cp "$file" "$file.saved"
    python3 - "$file" "$3" "$4" <<'PYTHON'
import sys
path, old, new = sys.argv[1:]
text = open(path, encoding="utf-8").read()
assert text.count(old) >= 1, f"{path}: the text to break isn't there: {old}"
open(path, "w", encoding="utf-8").write(text.replace(old, new, 1))
PYTHON
    echo "== $name"
    cmake --build build >build.txt || { grep error: build.txt; exit 2; }
    local red=0
    if ! { build/burdockstep-tests; } >unit.txt 2>&1; then
        red=1
        grep 'Failure in' unit.txt | sed 's/.*Failure in/  red:/' | head -3 || true
    fi
    if ! { build/burdockstep-simulation --seeds 500; } >simulation.txt 2>&1; then
        red=1
        head -1 simulation.txt | cut -c1-150 | sed 's/^/  red: simulation: /'
    fi
    [ "$red" = 1 ] || { echo "  NOT NOTICED"; unnoticed=1; }
    mv "$file.saved" "$file"
    touch "$file"
}

break_one "the ticket of a request that was not run is not recorded" \
    libraries/tickets/redeemed_ticket_table.cpp \
    "    found->second.state = state;" \
    "    if (state == ticketed_request_state::not_run) {
        epoch->second.erase(found);
        return;
    }
    found->second.state = state;"
break_one "a ticket may be used again by the same request" libraries/tickets/redeemed_ticket_table.cpp \
    "if (found != records.end())" "if (found != records.end() && found->second.request_digest != request_digest)"
break_one "a non-idempotent request lost after dispatch is sent again" \
    libraries/entry/entry_completion.cpp \
    "bool const may_retry = call.idempotent && call.sends" "bool const may_retry = call.sends"
break_one "a ticket of another incarnation is accepted" libraries/entry/entry_engine.cpp \
    "if (presented && presented->incarnation != options_.incarnation) {" "if (false) {"
break_one "a full ticket ledger does not close the epoch" libraries/tickets/redeemed_ticket_table.cpp \
    "        close_epochs_through(presented.epoch);" "        (void)0;"
break_one "an older configuration replaces a newer one" \
    libraries/configuration_sync/configuration_follower.cpp \
    "if (head.version <= head_in_force().version || head.version < newest_head_.version)
        return {};
    if (digest_of" "if (digest_of"
break_one "a commit does not expect the version of the head row" \
    libraries/configuration_sync/configuration_publisher.cpp \
    "transaction.expectations.push_back({.key = head_row_key, .version = head_row_version_});" ""
break_one "a conflict after a lost commit answer is not taken as accepted" \
    libraries/configuration_sync/configuration_publisher.cpp \
    "    if (status == store_status::conflict) {" "    if (false) {"
break_one "a stopping entry takes requests that may outlast it" \
    libraries/forwarding/stop_admission.cpp \
    "latest_end + options_.answer_margin <= *process_end_" "latest_end > time_point{}"
break_one "leaving upstreams are not announced to peers" libraries/membership/leaving_upstream_tracker.cpp \
    "sent_count < last_reports_.size()" "sent_count < 0 * last_reports_.size()"
break_one "leaving upstreams receive new requests" libraries/dispatch/upstream_pool.cpp \
    "if (state.leaving || state.removed || now < state.unusable_until)" \
    "if (state.removed || now < state.unusable_until)"
break_one "the shift cap is not enforced" libraries/steering/shift_limiter.cpp \
    "shifted > shifted_fraction_limit() * expected_arrivals" "shifted > 1e9 * expected_arrivals"
break_one "a truncated answer is ended as complete" libraries/entry/entry_completion.cpp \
    "out.emplace_back(truncate_answer{.id = call.arrival.id});" \
    "out.emplace_back(complete_answer{.id = call.arrival.id});"
break_one "two starts of an entry may have the same incarnation" \
    tests/simulation/simulated_entry.cpp \
    "incarnation_id const incarnation(simulation_.random_.next());" \
    "incarnation_id const incarnation(1 + simulation_.random_.below(64));"
break_one "gateway: a leaving upstream's own word is ignored" \
    libraries/forwarding/forwarding_endings.cpp "notice.leaving && mark_leaving" "false && mark_leaving"
break_one "gateway: an older state of the registry undoes a leaving mark" \
    libraries/forwarding/upstream_tracker.cpp \
    "known_.draining = known_.draining || was_leaving;" "(void)was_leaving;"
break_one "gateway: a notice of an earlier incarnation counts" \
    libraries/forwarding/forwarding_endings.cpp "found->second.incarnation() != incarnation" \
    "(false && found->second.incarnation() != incarnation)"
break_one "gateway: a leaving mark ends with its registration" \
    libraries/discovery/upstream_registry.cpp \
    "known.draining = has_leaving_mark(registration);" "known.draining = false;"
break_one "gateway: a report of an earlier incarnation marks the present one" \
    libraries/discovery/upstream_registry.cpp "if (!is_known_incarnation)" \
    "if (false && !is_known_incarnation)"
break_one "gateway: a later, shorter pause ends a longer one" \
    libraries/forwarding/upstream_tracker.cpp "std::max(requested_pause_end_, now + pause)" "now + pause"
break_one "gateway: a paused upstream gets requests" libraries/forwarding/upstream_tracker.hpp \
    "now >= requested_pause_end_" "(now >= requested_pause_end_ || true)"
break_one "gateway: requests wait although all upstreams are paused for longer" \
    libraries/forwarding/forwarding_engine.cpp \
    "if (accepted_from && *accepted_from > now + *hold)" "if (false)"
break_one "gateway: an unproved 503 is delivered" libraries/forwarding/forwarding_endings.cpp \
    "if (promises_not_run(status))" "if (promises_not_run(status) && false)"
break_one "gateway: any number of slots is believed" platform/operator_documents.cpp \
    "*slots > max_slots" "false"
break_one "gateway: an unsigned 64-bit integer is cast to a signed one" platform/json_access.cpp \
    "    if (!found->is_int64())
        return std::nullopt;" \
    "    if (found->is_uint64())
        return static_cast<std::int64_t>(found->as_uint64());
    if (!found->is_int64())
        return std::nullopt;"
break_one "gateway: an update of the registry is split by count only" \
    libraries/discovery/registry_update.cpp "pieces.back().changes.is_full() || is_oversized" \
    "pieces.back().changes.is_full() || (is_oversized && false)"
break_one "gateway: the bytes of a call aren't limited" libraries/http1/client_connection.cpp \
    "if (call_bytes_ > limits_.max_call_bytes)" "if (false)"
break_one "gateway: the time of a call isn't limited" libraries/http1/client_connection.cpp \
    "if (options_->call_timeout > duration::zero())" "if (false)"
break_one "gateway: a removed upstream returns with an older copy of the store" \
    libraries/discovery/upstream_registry.cpp \
    "if (!is_new && is_outdated_copy(known, registration)) {" \
    "if (!is_new && is_outdated_copy(known, registration) && false) {"
break_one "gateway: what an older copy of the store lacks counts as gone at once" \
    libraries/discovery/upstream_registry.cpp \
    "if (item.second.in_restored_copy && in_recovery)" \
    "if (item.second.in_restored_copy && in_recovery && false)"
break_one "gateway: an evacuation that an older copy of the store lacks ends at once" \
    libraries/discovery/evacuations.cpp "if (era > era_) {" "if (era > era_ && false) {"
break_one "gateway: answers of a replaced history are applied" libraries/discovery/store_history.cpp \
    "if (answered.era < known.era || answered.era < newest)" \
    "if (answered.era < known.era && answered.era < newest && false)"
break_one "gateway: the era in the store's answers is not read" platform/platform_store.cpp \
    "return store_era(is_number ? era : 0);" "return store_era(is_number ? 0 * era : 0);"
break_one "gateway: the memory of all answers isn't limited" libraries/http1/client.cpp \
    "if (buffered_bytes_ <= limits_.max_buffered_bytes)" "if (true)"
break_one "gateway: a connection carries the same id twice" libraries/http1/client.cpp \
    "most_recently_used.has_carried(options.answer_id)" \
    "(most_recently_used.has_carried(options.answer_id) && false)"
break_one "gateway: the beginning of a copy behind an answer is overlooked" \
    libraries/http1/client_connection.cpp "|| reader_.is_inside_message()" ""
break_one "gateway: an answer without an id is believed" libraries/http1/client_connection.cpp \
    "return head.headers.find(options_->answer_id.name)" \
    "return !head.headers.contains(options_->answer_id.name) ||
           head.headers.find(options_->answer_id.name)"
break_one "gateway: a cut head and the answer behind it are one" \
    libraries/http1/message_reader.cpp "(has_status_line_inside_head() ||" \
    "((has_status_line_inside_head() && false) ||"
break_one "quotas: a new owner's bucket begins full" libraries/teams/quota_owner.cpp \
    "    checked.tokens = 0;" "    checked.tokens = quota.of_share.burst;"
break_one "quotas: a regained ownership isn't noticed" libraries/teams/quota_owner.cpp \
    "owned.generation != generation();" "false;"
break_one "quotas: lost entries don't count" libraries/teams/quota_census.cpp \
    "lost += may_live ? 1 : 0;" ""
break_one "quotas: planned stops count as losses" libraries/teams/quota_census.cpp \
    "!each.last.leaves_as_planned &&" "true &&"
break_one "quotas: a fallen part doesn't cut buckets" libraries/teams/quota_owner.cpp \
    "if (living_part_ == census_.living_part())" "if (true)"
break_one "quotas: a lowered quota doesn't cut buckets" libraries/teams/quota_owner.cpp \
    "filled.tokens = std::min(filled.tokens, capacity(quota, living_part));" ""
break_one "quotas: a gap in the own process isn't noticed" libraries/teams/team_quotas.cpp \
    "if (now - observed_at_ > max_gap)" "if (false)"
break_one "quotas: tokens are used after their lease" libraries/teams/team_quotas.cpp \
    "if (now >= share.held_until) {" "if (false) {"
break_one "quotas: a token that comes back late is used again" libraries/teams/team_quotas.cpp \
    "if (now >= token.usable_until || token.share" "if (token.share"
break_one "quotas: tokens of refused requests are lost" libraries/teams/team_quotas.cpp \
    "    share.held = holds_others ? share.held + 1 : 1;" ""
break_one "quotas: a silent owner is waited for" libraries/teams/team_quotas.cpp \
    "if (!std::exchange(batch.is_given_up, true))" "if (false)"
break_one "quotas: one owner for a whole team" libraries/teams/quota_shares.cpp \
    "std::clamp(shares, 1.0, max_shares)" "1.0"
break_one "a drained region runs requests again when the others have no room" \
    libraries/entry/entry_routing.cpp "outward.note_refused();" ""
break_one "lost entries stay on the ring of watchers" libraries/membership/member_watching.cpp \
    "return member.view.is_reachable() || is_being_introduced;" \
    "return member.view.is_reachable() || is_being_introduced || true;"
break_one "views that differ are not repaired" libraries/membership/member_directory.cpp \
    "if (table.digest(compared) != each)" "if (table.digest(compared) != each && false)"
break_one "a reported loss is believed without a check" libraries/membership/member_watching.cpp \
    "if (now < suspected.gives_up_at)" "if (now < suspected.gives_up_at && !suspected.is_reported)"
break_one "a failed write does not count for the end of a stream" libraries/http1/stream_socket.cpp \
    "read_status == UV_EOF && !has_failed &&" "read_status == UV_EOF &&"
break_one "a former start replaces a newer one" libraries/discovery/upstream_registry.cpp \
    "if (order == start_order::older && !is_start_after_clock_step(registration, now))" \
    "if (order == start_order::older && !is_start_after_clock_step(registration, now) && false)"
exit "$unnoticed"
