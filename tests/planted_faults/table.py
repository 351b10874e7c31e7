"""The planted faults, one for each safety condition, grouped by part of the protocol.

`condition` states the rule that the fault removes from the product. `harmless` says why its removal alone breaks no
guarantee of the control plane.
"""

from typing import Any

from dockmux.control import chain_replica
from dockmux.control.chain_replica import ChainReplica
from dockmux.control.joining import Joining
from dockmux.control.replica_store import ReplicaStore
from dockmux.control.view_agreement import ViewAgreement
from dockmux.platform_proxy.operator_api import OperatorApi
from tests.planted_faults.fault import PlantedFault, Rewrite


def _fault(
    name: str, condition: str, owner: Any, method: str, old: str, new: str, *, directed: str = "", harmless: str = ""
) -> PlantedFault:
    rewrite = Rewrite(owner=owner, method=method, old=old, new=new)
    return PlantedFault(
        name=name, condition=condition, rewrites=(rewrite,), directed=directed, harmless=harmless
    )  # fmt: skip


LEASE_GRANT = [
    _fault("grant-number", "a voter grants leases for its own current view only", ViewAgreement, "on_grant",
           "and view.number == request.number", "", directed="grants"),
    _fault("grant-voter", "only a voter of the view grants leases", ViewAgreement, "on_grant",
           "and self.own_disk in view.voters", "", directed="grants"),
    _fault("grant-chain", "a lease is granted only to a member of the chain", ViewAgreement, "on_grant",
           "and request.disk in view.chain", "", directed="grants"),
    _fault("grant-accepted-newer", "a voter that accepted a newer view grants no lease under the old one",
           ViewAgreement, "on_grant",
           'and not (self.store.accepted and self.store.accepted["number"] > view.number)', "", directed="grants"),
]  # fmt: skip

LEASE_COUNT = [
    _fault("lease-majority", "a lease needs a majority of the voters", ViewAgreement, "lease_expiry",
           "majority_index = len(self.view.voters) // 2", "majority_index = 0", directed="head_cut_off"),
    _fault("lease-from-answer", "a grant counts from the time before its request was sent",
           ViewAgreement, "_request_grant",
           "max(sent_at, self.grants.get(voter, ZERO))", "self.host.elapsed()", directed="late_grant"),
    _fault("lease-grant-of-other-view", "a grant counts only for the view it was requested under", ViewAgreement,
           "_request_grant", "and self.view.number == number", "",
           harmless="a grant requested before the view was adopted expires before may_act_from, a "
                    "lease and its margin after it"),
    _fault("lease-grant-of-other-disk", "a grant counts only if the voter itself sent it", ViewAgreement,
           "_request_grant", "if reply.disk != voter:", "if False:",
           harmless="the address is looked up by disk id, and another disk at that address is no voter"),
    _fault("lease-no-end", "a lease expires", ViewAgreement, "holds_lease",
           "self.may_act_from <= now < self.lease_expiry()", "self.may_act_from <= now", directed="head_cut_off"),
]  # fmt: skip

PROMISE = [
    _fault("promise-number", "a voter promises only the view number after its own", ViewAgreement, "on_promise",
           "or self.view.number != request.number - 1", "", directed="promises"),
    _fault("promise-voter", "only a voter promises", ViewAgreement, "on_promise",
           "or self.own_disk not in self.view.voters", "", directed="promises"),
    _fault("promise-ballot", "a ballot that is not above the promised one is refused", ViewAgreement, "on_promise",
           "if (request.ballot, request.proposer) <= promised:", "if False:", directed="promises"),
    _fault("promise-untold-acceptance", "a promise reports the view accepted before", ViewAgreement, "on_promise",
           'if accepted is None or accepted["number"] != request.number:', "if True:", directed="promises"),
    _fault("promise-unsynced", "a promise is synced before the reply is sent", ViewAgreement, "on_promise",
           "if not self._sync_vote(promised=codec.to_fields(message=request)):",
           "self.store.promised = codec.to_fields(message=request)\n        if False:", directed="promises"),
    _fault("propose-earlier", "a proposer proposes the view that was accepted before, if any", ViewAgreement, "propose",
           "if accepted_earlier:", "if False:", directed="proposer_takes_up_what_was_accepted"),
    _fault("propose-level", "a view is proposed only if its head is known to be caught up", ViewAgreement, "propose",
           "if not accepted_earlier and not _enough_caught_up(promises, view=proposed, copies=copies):", "if False:",
           harmless="a head that is not caught up neither accepts the view nor acts under it"),
    _fault("propose-promises", "a proposer needs a majority of promises", ViewAgreement, "propose",
           "if _count_granted(promises) < majority or self.view is not current:", "if self.view is not current:",
           directed="proposer_needs_majorities"),
    _fault("propose-acceptances", "a view is decided by a majority of acceptances", ViewAgreement, "propose",
           "if _count_granted(accepts) < majority:", "if False:",
           directed="proposer_needs_majorities"),
]  # fmt: skip

ACCEPTANCE = [
    _fault("accept-number", "a voter accepts only the view number after its own", ViewAgreement, "on_accept",
           "or self.view.number != number - 1", "", directed="acceptances"),
    _fault("accept-voter", "only a voter accepts", ViewAgreement, "on_accept",
           "or self.own_disk not in self.view.voters", "", directed="acceptances"),
    _fault("accept-ballot", "a ballot below the promised one is not accepted", ViewAgreement, "on_accept",
           "if (request.ballot, request.proposer) < self._promised_ballot(number=number):", "if False:",
           directed="acceptances"),
    _fault("accept-would-lack", "a voter that lacks acknowledged entries accepts no view that makes it the head",
           ViewAgreement,
           "on_accept", "if self._would_head_incomplete(view=request.view):", "if False:", directed="acceptances"),
    _fault("accept-unsynced", "an acceptance is synced before the reply is sent", ViewAgreement, "on_accept",
           "synced = self._sync_vote(",
           "synced = (lambda **fields: self.store.__dict__.update(fields) or True)(", directed="acceptances"),
]  # fmt: skip

TAKEOVER = [
    _fault("takeover-wait", "no member acts under a view before the leases of the previous view have expired",
           ViewAgreement, "learn",
           "self.may_act_from = self.view_adopted_at + self.lease_duration * CLOCK_DRIFT_FACTOR",
           "self.may_act_from = self.view_adopted_at", directed="takeover"),
    _fault("takeover-grants", "lease grants of the previous view no longer count", ViewAgreement, "learn",
           "self.grants.clear()", "pass",
           harmless="every grant from before the view was adopted expires before may_act_from, a "
                    "lease and its margin after it"),
    _fault("takeover-level-not-level", "a member that is not caught up does not become so through a new view",
           ViewAgreement,
           "_stays_caught_up", "or not self.store.caught_up:", ":", directed="takeover"),
    _fault("takeover-level-rejoined", "a member that left the chain and rejoined is not caught up", ViewAgreement,
           "_stays_caught_up", "return view.joined.get(self.own_disk, view.number - 1) <= previous.number",
           "return True",
           directed="takeover"),
    _fault("takeover-level-new-member", "a member that was not in the previous chain is not caught up", ViewAgreement,
           "_stays_caught_up", "or self.own_disk not in previous.chain", "", directed="takeover"),
    _fault("takeover-level-outside", "a daemon outside the chain is not caught up", ViewAgreement,
           "_stays_caught_up", "if self.own_disk not in view.chain:", "if False:", directed="takeover"),
    _fault("takeover-while-extending", "no view is adopted while entries are being appended", ViewAgreement, "learn",
           "with self.append_lock, self.vote_lock:", "with self.vote_lock:",
           directed="takeover_while_extending"),
    _fault("start-wait", "a restarted daemon acts under no view for the duration of a lease", ViewAgreement, "__init__",
           "self.may_act_from = host.elapsed() + self.lease_duration * CLOCK_DRIFT_FACTOR",
           "self.may_act_from = host.elapsed()", directed="takeover"),
]  # fmt: skip

FOUNDING = [
    _fault("found-blank", "only an empty disk votes for a founding view", ViewAgreement, "on_found",
           "if self.view is not None:", "if False:", directed="founding"),
    _fault("found-once", "a disk votes for one set of founders only", ViewAgreement, "on_found",
           "if self.store.founding is not None:", "if False:", directed="founding"),
    _fault("found-may", "only a daemon that is configured to found (may_found) votes for founders",
           ViewAgreement, "on_found",
           "if not self.store.may_found:", "if False:", directed="founding"),
    _fault("found-seeds", "all founders know the same seeds", ViewAgreement, "_agrees_with_founders",
           "return founders.disks == disks or (bool(founders.seeds) and founders.seeds <= set(disks))", "return True",
           directed="founding"),
    _fault("found-self", "a founder votes only for a set that contains it", ViewAgreement, "_agrees_with_founders",
           "or self.own_disk not in disks", "", directed="founding"),
    _fault("found-count", "the number of founders is the configured number of cores",
           ViewAgreement, "_agrees_with_founders",
           "or len(disks) != self.settings.cores", "", directed="founding"),
    _fault("found-early", "no daemon founds before it has heard from every seed", ViewAgreement, "_founders",
           "if any(seed not in cards_by_address and seed != self.settings.address for seed in self.settings.seeds):",
           "if False:",
           directed="founding"),
    _fault("found-unsynced", "a founding vote is synced before the reply is sent", ViewAgreement, "on_found",
           "self._sync_vote(founding=request.view)", 'not setattr(self.store, "founding", request.view)',
           directed="founding"),
    _fault("found-unanimous", "a founding view needs the votes of all founders", ViewAgreement, "_propose_founding",
           "return _count_granted(replies) == len(view.voters)", "return True", directed="founding_in_part"),
]  # fmt: skip

ACKNOWLEDGEMENT = [
    _fault("copies", "a change is accepted only by a chain with enough copies", ChainReplica, "_write",
           "if len(view.chain) < self.settings.copies:", "if False:",
           harmless="the answer is still held back, see answer-copies; copies-both removes both conditions"),
    _fault("answer-copies", "a change on too few disks is not answered as accepted", ChainReplica,
           "_answer_acknowledged", "if len(view.chain) < self.settings.copies:", "if False:",
           directed="chain_shrinks_under_a_write"),
    _fault("answer-view", "a change is answered only once it is acknowledged under the current view", ChainReplica,
           "_answer_acknowledged", "if number != view.number:", "if False:",
           directed="answers_of_a_former_view"),
    _fault("answer-mark", "a change is answered or refused only once the entries it depends on are acknowledged",
           ChainReplica,
           "_answer_acknowledged", "decided = [write for write in self.waiting if write.index <= mark]",
           "decided, mark = self.waiting, 1 << 60", directed="raced"),
    _fault("refusal-at-once", "a change is refused only once the entries it was validated against are acknowledged",
           ChainReplica,
           "_append_pending", "without_entry.append(write)", "write.done.send(write.verdict)", directed="raced"),
    _fault("level-upto", "only a caught-up member lets its successor count as caught up",
           ChainReplica, "_push_to_successor",
           "upto = self.synced_index if self.store.caught_up else UNREACHABLE_INDEX", "upto = self.synced_index",
           directed="level_by_one_that_is_not"),
    _fault("followed-view", "a member forwards only acknowledgements that its successor sent under the same view",
           ChainReplica, "on_append", "if self.successor_acked[0] != request.number:", "if False:",
           directed="acknowledged_under_another_view"),
    _fault("tail-lease", "a tail acknowledges only while it holds a lease", ChainReplica, "on_append",
           "if not self.acting_tail():", "if not self.acting_tail() and False:", directed="tail_without_lease"),
    _fault("acting-tail-lease", "a member acts as the tail only while it holds a lease", ChainReplica, "acting_tail",
           "or not agreement.holds_lease()", "", directed="tail_without_lease"),
    _fault("acting-tail-level", "a member acts as the tail only if it is caught up", ChainReplica, "acting_tail",
           "or not self.store.caught_up", "", directed="tail_not_level"),
    _fault("push-view", "a reply of the successor counts only under the view of its request",
           ChainReplica, "_push_to_successor", "if self.agreement.view.number != number:", "if False:",
           directed="acknowledged_under_another_view"),
    _fault("head-lease-to-take", "a head accepts a change only while it holds a lease", ChainReplica, "_write",
           "if not self.agreement.holds_lease():", "if False:",
           harmless="run_head() and _append_pending() check the lease too, and answers wait for acknowledgements"),
    _fault("head-lease-to-add", "a head appends entries only while it holds a lease", ChainReplica, "_append_pending",
           "if not (self.agreement.is_head() and self.agreement.holds_lease()):", "if not self.agreement.is_head():",
           harmless="write() and run_head() check the lease as well; no entry is replicated under an older view"),
    _fault("plan-anew", "a new head validates changes against all entries in its log", ChainReplica, "run_head",
           "if self.tentative_view != self.agreement.view.number:", "if False:",
           harmless="members apply each entry to the state they validate against as they append it; "
                    "only the time of claims differs"),
    _fault("settle-lost", "a replaced head answers waiting changes with an unknown outcome",
           ChainReplica, "_fail_orphaned_writes",
           "if self.waiting and not self.agreement.is_head():", "if False:",
           directed="answers_of_a_former_view"),
]  # fmt: skip

APPEND = [
    _fault("append-view", "entries are appended under the same view only", ChainReplica, "on_append",
           "or agreement.view.number != request.number", "", directed="appends"),
    _fault("append-member", "entries are appended by a member of the chain only", ChainReplica, "on_append",
           "or not agreement.is_member()", "", directed="appends"),
    _fault("append-behind", "missing entries before a gap are requested again", ChainReplica, "on_append",
           "if request.mark > self.synced_index:", "if False:", directed="appends"),
    _fault("append-gap", "entries are appended without a gap", ChainReplica, "on_append",
           "if new_entries and new_entries[0].mark != self.synced_index + 1:", "if False:", directed="appends"),
    _fault("append-known", "entries that are already in the log are not appended again", ChainReplica, "on_append",
           "if entry.mark > self.synced_index]", "]", directed="appends"),
    _fault("append-level-early", "a member is caught up only once it has all entries that its predecessor had",
           ChainReplica,
           "on_append", "if not self.store.caught_up and upto >= request.upto:", "if not self.store.caught_up:",
           directed="appends"),
    _fault("append-level-unsynced", "the caught-up state is synced", ChainReplica, "on_append",
           "self.store.vote(level=True)", "self.store.caught_up = True",
           harmless="if it is not synced, the member is not caught up after a restart, which is the safe direction"),
    _fault("append-unsynced", "entries are synced before they are acknowledged", ChainReplica, "on_append",
           "self.sync_entries(entries=new_entries)", "self.store.entries.extend(new_entries)", directed="appends"),
]  # fmt: skip

SYNC = [
    _fault("vote-sync", "votes are synced", ReplicaStore, "vote",
           "self.vote_log.append(records=[record])", "pass", directed="promises"),
    _fault("entry-sync", "entries are synced", ReplicaStore, "append",
           "self.entry_log.append(records=[codec.to_fields(message=entry) for entry in entries])", "pass",
           directed="all_killed_after_acknowledgement"),
    _fault("view-sync", "an adopted view is synced", ViewAgreement, "learn",
           "self.store.vote(view=view, level=caught_up)", "self.store.view, self.store.caught_up = view, caught_up",
           harmless="it was decided by synced acceptances, from which the daemon learns it again after a restart"),
    _fault("failed-sync", "entries whose sync failed do not count", ChainReplica, "sync_entries",
           "raise", "self.store.entries.extend(entries)", directed="appends"),
]  # fmt: skip

JOIN = [
    _fault("join-caught-up", "only a joiner that is nearly caught up becomes a join candidate", Joining, "on_join",
           "if len(missing) <= MAX_BATCH_ENTRIES:", "if True:", directed="joins"),
    _fault("join-acknowledged", "a joiner receives acknowledged entries only", Joining, "on_join",
           "if entry.mark <= self.chain.state.mark", "", directed="joins"),
    _fault("join-snapshot-member", "only a member of the chain serves a snapshot", Joining, "on_join",
           "if agreement.is_member() else None", "", directed="joins"),
    _fault("join-tail", "only a member that acts as the tail serves entries to a joiner", Joining, "on_join",
           "if not self.chain.acting_tail():", "if False:", directed="joins"),
    _fault("join-base", "a joiner that is behind the retained log needs a snapshot", Joining, "on_join",
           "if request.mark < self.store.base_index:", "if False:", directed="joins"),
    _fault("join-snapshot", "a member that was removed from the chain discards its log before it rejoins",
           Joining, "run",
           "self.needs_snapshot = True", "self.needs_snapshot = False", directed="old_head_returns"),
    _fault("join-start-snapshot", "a daemon that starts outside the chain discards its log before it joins", Joining,
           "__init__", "self.needs_snapshot = True", "self.needs_snapshot = False",
           directed="old_head_returns_and_starts_anew"),
    _fault("join-member", "a member appends nothing from a join transfer that is still in progress", Joining,
           "_catch_up", "if self.agreement.is_member():", "if False:", directed="late_hand_over"),
    _fault("become-member", "a member is not reset to a snapshot", Joining, "_install_snapshot",
           "if self.agreement.is_member():", "if False:", directed="late_hand_over"),
    _fault("snapshot-parts", "all parts of a snapshot have the same mark", Joining, "_fetch_snapshot",
           'or (number and part["mark"] != state.mark)', "", directed="snapshot_parts"),
]  # fmt: skip

LEAVING = [
    _fault("mend-majority", "a view is proposed only with a live majority", ViewAgreement, "run_repair",
           "or len(live) <= len(view.voters) // 2", "",
           harmless="the proposal itself needs majorities of promises and acceptances"),
    _fault("mend-level", "a member that is not caught up does not propose itself as head", ViewAgreement, "run_repair",
           "if chain[0] == self.own_disk and not self.store.caught_up:", "if False:",
           harmless="it does not accept such a view itself, and others' acceptances still need it to be caught up"),
    _fault("voters-silent", "a voter is replaced only if it has been silent", ViewAgreement, "_next_voters",
           "or silent[most_silent] <= self.suspect_timeout", "", directed="voter_replacement"),
    _fault("voters-chain", "a voter in the chain is not replaced", ViewAgreement, "_next_voters",
           "most_silent in view.chain or", "", directed="voter_replacement"),
    _fault("voters-one", "only one voter at a time is replaced", ViewAgreement, "_next_voters",
           "return [joiner if disk == most_silent else disk for disk in view.voters]",
           "return [joiner]", directed="voter_replacement"),
    _fault("voters-dead", "voters stay when members are removed from the chain", ViewAgreement, "_next_voters",
           "return view.voters",
           "return [disk for disk in view.voters if silent[disk] <= self.suspect_timeout]",
           directed="voter_replacement"),
]  # fmt: skip

VERSIONS = [
    _fault("version-base", "a change must be based on the current version", chain_replica, "validate_version",
           "if based_on != current:", "if False:", directed="versions"),
    _fault("version-rises", "a version must be above the current one", chain_replica, "validate_version",
           "if version is not None and version <= current:", "if False:", directed="versions"),
    _fault("version-resent", "an accepted change is recognized when it is resent", chain_replica,
           "validate_version", "if accepted is not None and accepted.digest == digest:", "if False:",
           directed="versions"),
    _fault("version-text", "a change with an accepted version but a different text is a different change",
           chain_replica,
           "validate_version", "and accepted.digest == digest", "", directed="versions"),
]  # fmt: skip

READS = [
    _fault("read-confirmed", "a read is answered once the tail has confirmed", OperatorApi, "_get",
           "if not self.core.chain.confirm_read():", "if False:", directed="read_from_cut_off"),
    _fault("read-began", "the tail's confirmation must be newer than the start of the read",
           ChainReplica, "confirm_read",
           "return self.fresh_as_of >= started_at", "return self.staleness() < self.agreement.lease_duration",
           directed="read_from_lagging_head"),
    _fault("confirm-tail", "only a member that acts as the tail confirms reads", ChainReplica, "on_confirm",
           "and self.acting_tail()", "", directed="read_from_cut_off"),
    _fault("confirm-view", "a tail confirms reads under its own view only", ChainReplica, "on_confirm",
           "and view.number == request.number", "",
           harmless="the reply carries the newer view, which is adopted before the rest of the reply is processed"),
    _fault("confirm-mark", "the reading member has all entries that the tail confirms",
           ChainReplica, "_confirm_with_tail",
           "and reply.mark <= self.synced_index", "",
           directed="late_confirmation"),
    _fault("confirm-from-answer", "a confirmation counts from the time before its request was sent",
           ChainReplica, "_confirm_with_tail",
           "max(self.fresh_as_of, sent_at)", "self.host.elapsed()",
           directed="late_confirmation"),
]  # fmt: skip

COPIES_BOTH = PlantedFault(
    name="copies-both",
    condition="a change is accepted, and answered, only by a chain with enough copies",
    rewrites=tuple(
        rewrite for fault in ACKNOWLEDGEMENT if fault.name in ("copies", "answer-copies") for rewrite in fault.rewrites
    ),
    directed="short_chain",
)

FAULTS: list[PlantedFault] = [
    COPIES_BOTH,
    *LEASE_GRANT, *LEASE_COUNT, *PROMISE, *ACCEPTANCE, *TAKEOVER, *FOUNDING, *ACKNOWLEDGEMENT, *APPEND, *SYNC, *JOIN,
    *LEAVING, *VERSIONS, *READS,
]  # fmt: skip
