#!/usr/bin/env bash
# Removes one rule of the core at a time and shows that a test notices it.
# Usage: tests/core/mutations.sh [BUILD]; needs a finished build. Each changed
# file is compiled into a scratch folder and linked in place of the original.
# VANILLAFERRY_TEST_RUNS sets the length of the property runs (default 50).
set -euo pipefail
cd "$(dirname "$0")/../.."
build=$(realpath "${1:-build}")
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export VANILLAFERRY_TEST_RUNS="${VANILLAFERRY_TEST_RUNS:-50}"
export VANILLAFERRY_TEST_SEED="${VANILLAFERRY_TEST_SEED:-1}"
missed=0

# mutate NAME FILE PERL-EXPRESSION TESTS
mutate() {
  local name=$1 file=$2 expression=$3 tests=$4
  local object="CMakeFiles/vanillaferry-core.dir/$file.o"
  perl -0pe "$expression" "$file" >"$scratch/changed.cpp"
  if cmp -s "$file" "$scratch/changed.cpp"; then
    echo "$name: the expression changes nothing"
    missed=$((missed + 1))
    return
  fi
  # Includes of src/core/... are found through -I; unused helpers are allowed.
  (cd "$build" && eval "$(ninja -t commands "$object" | tail -1 |
    sed "s|$object|$scratch/changed.o|g; s|-c [^ ]*|-c $scratch/changed.cpp|; s|-Werror||")") 2>"$scratch/errors" ||
    { echo "$name: does not compile"; cat "$scratch/errors"; missed=$((missed + 1)); return; }
  (cd "$build" && eval "$(ninja -t commands test-core | tail -1 |
    sed "s|-o test-core|-o $scratch/test|; s|libvanillaferry-daemon.a|$scratch/changed.o libvanillaferry-daemon.a|")")
  if "$scratch/test" --run_test="$tests" >"$scratch/out" 2>&1; then
    echo "$name: NOT NOTICED by $tests"
    missed=$((missed + 1))
  else
    echo "$name: noticed; $(grep -oE 'in "[A-Za-z/]+"' "$scratch/out" | sort -u | wc -l) tests fail, first $(grep -oE 'in "[A-Za-z/]+"' "$scratch/out" | head -1)"
  fi
}

lease=src/core/process/node_lease.cpp
table=src/core/process/lease_table.cpp
shares=src/core/process/account_shares.cpp
journal=src/core/request/journal.cpp
machine=src/core/process/state_machine.cpp
document=src/core/version/document.cpp
orders=src/core/process/engine_orders.cpp
random=Lease/RandomFaultsNeverBreakTheInvariants

mutate "router ignores the end of its lease" $lease 's/return leaseHolds\(Lease, Now\) &&/return/' $random
mutate "lease counts from the arrival of the grant" $lease 's/Lease.m_ExpiresAt =\s+Sent->second \+/Lease.m_ExpiresAt = Now +/' $random
mutate "no drift bound" $lease 's/\(PerMille - DriftPerMille\)/PerMille/' $random
mutate "interrupted owner keeps its ownership" $lease 's/    Lease.m_HeldSince = Granted.m_Epoch;\n  \}\n/  }\n/' Lease
mutate "interrupted membership is not noticed" $lease 's/if \(Granted.m_Interrupted && Lease.m_Epoch < Granted.m_Epoch\)/if (false)/' $random
mutate "grants for renewals of an ended lease are taken" $lease 's/if \(Sent->second < Lease.m_ExpiresAt\)/if (false)/' Lease
mutate "safe epoch is not awaited" $lease 's/Lease.m_HeldSince <= Lease.m_SafeEpoch &&\s+mayDispatch\(Owned, Target, Lease.m_SafeEpoch\)/mayDispatch(Owned, Target, Epoch(~0ULL))/' $random
mutate "new leader waits for no former lease" $table 's/return Table.m_LedSince \+ Table.m_Options.m_LeaseTime <= Now;/return true;/' $random
mutate "leases of replaced processes are forgotten" $table 's/Table.m_Former.push_back\(std::move\(Found->second\)\);//' $random
mutate "leases of removed members are forgotten" $table 's/if \(isLive\(Row.second, Now\)\)/if (isLive(Row.second, Now) \&\& Row.second.m_Sequence % 2 == 0)/' $random
mutate "every renewal acknowledges the present epoch" $table 's/if \(WasEnded\) \{/if (true) {/' $random
mutate "replaced incarnations get grants" $machine 's/return Joined.back\(\) != Which &&/return false \&\&/' Lease
mutate "unacknowledged shares are given again" $shares 's/for \(const GrantedShare &Given : Holder.m_GrantedShares\)\n    Most = std::max\(Most, Given.m_Limit\);/if (!Holder.m_GrantedShares.empty())\n    Most = std::max(Most, Holder.m_GrantedShares.back().m_Limit);/' $random
mutate "new leader divides shares at once" $shares 's/if \(FormerLeases\)/if (false)/' $random
mutate "any begin is granted" $journal 's/bool Free = /bool Free = true || /' JournalRules/NoKeyRunsTwiceUnderRandomFaults
mutate "expired keys are accepted" $journal 's/if \(Begin.m_IssuedAt.m_Value < Now.m_Value - KeyMaxAge.m_Value\)/if (false)/' JournalRules/NoKeyRunsTwiceUnderRandomFaults
mutate "any request ends a call" $journal 's/if \(!sameCall\(Entry, End\) \|\|/if (/' JournalRules/NoKeyRunsTwiceUnderRandomFaults
mutate "release forgets the request" $journal 's/Entry.m_State = CallState::Released;\n    break;/Calls.m_Entries.erase(Found);\n    break;/' JournalRules
mutate "calls of ended routers stay running" $journal 's/Entry.m_State = CallState::Unknown;\n  \}\n\}/;\n  }\n}/' JournalRules
mutate "another body is accepted" $journal 's/if \(Entry.m_BodyHash != Begin.m_BodyHash\)/if (false)/' JournalRules
mutate "clock goes back" $machine 's/if \(Input.m_Now <= State.m_Clock\)/if (false)/' JournalRules
mutate "versions are not compared" $document 's/Current == Edit.m_Expected/true/' DocumentEdits
mutate "answers to edits are not kept" $document 's/Doc.m_Answers.emplace\(Edit.m_Edit, std::move\(Keep\)\);//' DocumentEdits
mutate "edit ids are not compared" $document 's/if \(Kept->second.m_Fingerprint != Fingerprint\)/if (false)/' DocumentEdits

mutate "a second leader may start an order" $machine 's/ && Order.m_StartedIn == Term\(0\)\)/)/' EngineOrders
mutate "started orders are sent again" $orders 's/if \(Order.m_StartedIn != Term\(0\)\)/if (false)/' EngineOrders
mutate "order ids are forgotten early" $machine 's/Order.m_FencingToken < Oldest \&\&/Order.m_FencingToken < Oldest;/; s/\n\s+Order.m_EndedAt.m_Value \+ OrderRetention.m_Value <\n\s+State.m_Clock.m_Value;//' EngineOrders
mutate "orders to engines that ignore tokens go out at once" $orders 's/if \(!ChecksFencing && Now < FormerEnd\)/if (false)/' EngineOrders
mutate "the weight store has no rate" $orders 's/if \(Sender.m_Loads < WholeLoad\)/if (false)/' EngineOrders

echo "$missed not noticed"
[ "$missed" -eq 0 ]
