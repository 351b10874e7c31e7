"""The planted faults, one for each condition."""

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
    _fault("grant-number", "a lease is granted for the voter's own view only", ViewAgreement, "on_grant",
           "and view.number == request.number", "", directed="grants"),
    _fault("grant-voter", "only a voter of the view grants", ViewAgreement, "on_grant",
           "and self.own_disk in view.voters", "", directed="grants"),
    _fault("grant-chain", "a lease is granted to a member of the chain only", ViewAgreement, "on_grant",
           "and request.disk in view.chain", "", directed="grants"),
    _fault("grant-accepted-newer", "who accepted a newer view grants none under the old one", ViewAgreement, "on_grant",
           'and not (self.store.accepted and self.store.accepted["number"] > view.number)', "", directed="grants"),
]  # fmt: skip

LEASE_COUNT = [
    _fault("lease-majority", "a lease needs a majority of the voters", ViewAgreement, "lease_expiry",
           "needed = len(self.view.voters) // 2", "needed = 0", directed="head_cut_off"),
    _fault("lease-from-answer", "a grant counts from before it was asked for", ViewAgreement, "_request_grant",
           "max(sent, self.grants.get(voter, ZERO))", "self.host.elapsed()", directed="late_grant"),
    _fault("lease-grant-of-other-view", "a grant counts for the view that it was asked under", ViewAgreement,
           "_request_grant", "and self.view.number == number", "",
           harmless="a grant asked for before the takeover ends before may_act_from, a lease and its margin after it"),
    _fault("lease-grant-of-other-disk", "a grant counts only if the voter itself gave it", ViewAgreement,
           "_request_grant", "if reply.disk != voter:", "if False:",
           harmless="the address is looked up by the disk, and another disk there is no voter"),
    _fault("lease-no-end", "a lease ends", ViewAgreement, "holds_lease",
           "self.may_act_from <= now < self.lease_expiry()", "self.may_act_from <= now", directed="head_cut_off"),
]  # fmt: skip

PROMISE = [
    _fault("promise-number", "a voter promises for the number after its view's only", ViewAgreement, "on_promise",
           "or self.view.number != request.number - 1", "", directed="promises"),
    _fault("promise-voter", "only a voter promises", ViewAgreement, "on_promise",
           "or self.own_disk not in self.view.voters", "", directed="promises"),
    _fault("promise-ballot", "a ballot that is not above the promised one is refused", ViewAgreement, "on_promise",
           "if (request.ballot, request.proposer) <= promised:", "if False:", directed="promises"),
    _fault("promise-untold-acceptance", "a promise tells what was accepted before", ViewAgreement, "on_promise",
           'if accepted is None or accepted["number"] != request.number:', "if True:", directed="promises"),
    _fault("promise-unsynced", "a promise is synced before it is told", ViewAgreement, "on_promise",
           "if not self._sync_vote(promised=codec.to_fields(message=request)):",
           "self.store.promised = codec.to_fields(message=request)\n        if False:", directed="promises"),
    _fault("propose-earlier", "a proposer takes up what was accepted before", ViewAgreement, "propose",
           "if earlier:", "if False:", directed="proposer_takes_up_what_was_accepted"),
    _fault("propose-level", "a view is proposed only when its head is known to be level", ViewAgreement, "propose",
           "if not earlier and not _enough_caught_up(promises, view=wanted, copies=copies):", "if False:",
           harmless="a head that is not level does not accept the view, nor act under it"),
    _fault("propose-promises", "a proposer needs a majority of promises", ViewAgreement, "propose",
           "if _count_granted(promises) < majority or self.view is not old:", "if self.view is not old:",
           directed="proposer_needs_majorities"),
    _fault("propose-acceptances", "a view is decided by a majority of acceptances", ViewAgreement, "propose",
           "if _count_granted(accepts) < majority:", "if False:",
           directed="proposer_needs_majorities"),
]  # fmt: skip

ACCEPTANCE = [
    _fault("accept-number", "a voter accepts the number after its view's only", ViewAgreement, "on_accept",
           "or self.view.number != number - 1", "", directed="acceptances"),
    _fault("accept-voter", "only a voter accepts", ViewAgreement, "on_accept",
           "or self.own_disk not in self.view.voters", "", directed="acceptances"),
    _fault("accept-ballot", "a ballot below the promised one is not accepted", ViewAgreement, "on_accept",
           "if (request.ballot, request.proposer) < self._promised_ballot(number=number):", "if False:",
           directed="acceptances"),
    _fault("accept-would-lack", "who lacks acknowledged entries accepts no view that it heads", ViewAgreement,
           "on_accept", "if self._would_head_incomplete(view=request.view):", "if False:", directed="acceptances"),
    _fault("accept-unsynced", "an acceptance is synced before it is told", ViewAgreement, "on_accept",
           "synced = self._sync_vote(",
           "synced = (lambda **fields: self.store.__dict__.update(fields) or True)(", directed="acceptances"),
]  # fmt: skip

TAKEOVER = [
    _fault("takeover-wait", "nobody acts under a view before the leases under the one before have ended",
           ViewAgreement, "learn",
           "self.may_act_from = self.view_adopted_at + self.lease_duration * CLOCK_DRIFT_FACTOR",
           "self.may_act_from = self.view_adopted_at", directed="takeover"),
    _fault("takeover-grants", "grants under the view before count no more", ViewAgreement, "learn",
           "self.grants.clear()", "pass",
           harmless="every grant from before the takeover ends before may_act_from, a lease and its margin after it"),
    _fault("takeover-level-not-level", "a member that is not level does not become so by a view", ViewAgreement,
           "_stays_caught_up", "or not self.store.caught_up:", ":", directed="takeover"),
    _fault("takeover-level-rejoined", "a member that left the chain and came back is not level", ViewAgreement,
           "_stays_caught_up", "return view.joined.get(self.own_disk, view.number - 1) <= old.number", "return True",
           directed="takeover"),
    _fault("takeover-level-new-member", "a member that was not in the chain before is not level", ViewAgreement,
           "_stays_caught_up", "or self.own_disk not in old.chain", "", directed="takeover"),
    _fault("takeover-level-outside", "who is not in the chain is not level", ViewAgreement,
           "_stays_caught_up", "if self.own_disk not in view.chain:", "if False:", directed="takeover"),
    _fault("takeover-while-extending", "no view is taken over while entries are added", ViewAgreement, "learn",
           "with self.append_lock, self.vote_lock:", "with self.vote_lock:",
           directed="takeover_while_extending"),
    _fault("start-wait", "a daemon that starts acts under no view for the length of a lease", ViewAgreement, "__init__",
           "self.may_act_from = host.elapsed() + self.lease_duration * CLOCK_DRIFT_FACTOR",
           "self.may_act_from = host.elapsed()", directed="takeover"),
]  # fmt: skip

FOUNDING = [
    _fault("found-blank", "only a blank disk founds", ViewAgreement, "on_found",
           "if self.view is not None:", "if False:", directed="founding"),
    _fault("found-once", "a disk founds one set only", ViewAgreement, "on_found",
           "if self.store.founding is not None:", "if False:", directed="founding"),
    _fault("found-may", "only who is told that it may found does", ViewAgreement, "on_found",
           "if not self.store.may_found:", "if False:", directed="founding"),
    _fault("found-seeds", "every founder knows the same seeds", ViewAgreement, "_agrees_with_founders",
           "return founders.disks == disks or (bool(founders.seeds) and founders.seeds <= set(disks))", "return True",
           directed="founding"),
    _fault("found-self", "a founder is in the set", ViewAgreement, "_agrees_with_founders",
           "or self.own_disk not in disks", "", directed="founding"),
    _fault("found-count", "as many found as are to", ViewAgreement, "_agrees_with_founders",
           "or len(disks) != self.settings.cores", "", directed="founding"),
    _fault("found-early", "nobody founds before it has heard every seed", ViewAgreement, "_founders",
           "if any(seed not in heard and seed != self.settings.address for seed in self.settings.seeds):", "if False:",
           directed="founding"),
    _fault("found-unsynced", "a founder's vote is synced before it is told", ViewAgreement, "on_found",
           "self._sync_vote(founding=request.view)", 'not setattr(self.store, "founding", request.view)',
           directed="founding"),
    _fault("found-unanimous", "founding is unanimous", ViewAgreement, "_propose_founding",
           "return _count_granted(replies) == len(view.voters)", "return True", directed="founding_in_part"),
]  # fmt: skip

ACKNOWLEDGEMENT = [
    _fault("copies", "a change is taken only by a chain of enough copies", ChainReplica, "_write",
           "if len(view.chain) < self.settings.copies:", "if False:",
           harmless="the answer is held back all the same, see answer-copies; both are taken out in copies-both"),
    _fault("answer-copies", "a change that too few disks hold is not answered as taken", ChainReplica,
           "_answer_acknowledged", "if len(view.chain) < self.settings.copies:", "if False:",
           directed="chain_shrinks_under_a_write"),
    _fault("answer-view", "a change is answered once it is acknowledged under the present view", ChainReplica,
           "_answer_acknowledged", "if number != view.number:", "if False:",
           directed="answers_of_a_former_view"),
    _fault("answer-mark", "a change is answered, or refused, once what that rests on is acknowledged", ChainReplica,
           "_answer_acknowledged", "done = [write for write in self.waiting if write.index <= mark]",
           "done, mark = self.waiting, 1 << 60", directed="raced"),
    _fault("refusal-at-once", "a change is refused once what it is judged by is acknowledged", ChainReplica,
           "_append_pending", "answered.append(write)", "write.done.send(write.verdict)", directed="raced"),
    _fault("level-upto", "only a level member brings its successor up", ChainReplica, "_push_to_successor",
           "upto = self.synced_index if self.store.caught_up else UNREACHABLE_INDEX", "upto = self.synced_index",
           directed="level_by_one_that_is_not"),
    _fault("followed-view", "a member passes on only what its successor acknowledged under the same view",
           ChainReplica, "on_append", "if self.successor_acked[0] != request.number:", "if False:",
           directed="acknowledged_under_another_view"),
    _fault("tail-lease", "a tail acknowledges only under its own lease", ChainReplica, "on_append",
           "if not self.acting_tail():", "if not self.acting_tail() and False:", directed="tail_without_lease"),
    _fault("acting-tail-lease", "who answers as the tail holds a lease", ChainReplica, "acting_tail",
           "or not agreement.holds_lease()", "", directed="tail_without_lease"),
    _fault("acting-tail-level", "who answers as the tail is level", ChainReplica, "acting_tail",
           "or not self.store.caught_up", "", directed="tail_not_level"),
    _fault("push-view", "an answer from the successor counts under the view that it was asked under only",
           ChainReplica, "_push_to_successor", "if self.agreement.view.number != number:", "if False:",
           directed="acknowledged_under_another_view"),
    _fault("head-lease-to-take", "a head takes a change only under its lease", ChainReplica, "_write",
           "if not self.agreement.holds_lease():", "if False:",
           harmless="run_head() and _append_pending() look at the lease too, and answers wait for acknowledgements"),
    _fault("head-lease-to-add", "a head adds entries only under its lease", ChainReplica, "_append_pending",
           "if not (self.agreement.is_head() and self.agreement.holds_lease()):", "if not self.agreement.is_head():",
           harmless="write() and run_head() look at the lease as well; no entry passes on under an older view"),
    _fault("plan-anew", "a new head judges by all that it holds", ChainReplica, "run_head",
           "if self.tentative_view != self.agreement.view.number:", "if False:",
           harmless="members fold each entry into what they judge by as they add it; only the time of claims differs"),
    _fault("settle-lost", "a head that was replaced says that it does not know", ChainReplica, "_fail_orphaned_writes",
           "if self.waiting and not self.agreement.is_head():", "if False:",
           directed="answers_of_a_former_view"),
]  # fmt: skip

APPEND = [
    _fault("append-view", "entries are taken under the same view only", ChainReplica, "on_append",
           "or agreement.view.number != request.number", "", directed="appends"),
    _fault("append-member", "entries are taken by a member only", ChainReplica, "on_append",
           "or not agreement.is_member()", "", directed="appends"),
    _fault("append-behind", "entries after a gap are asked for anew", ChainReplica, "on_append",
           "if request.mark > self.synced_index:", "if False:", directed="appends"),
    _fault("append-gap", "entries leave no gap", ChainReplica, "on_append",
           "if fresh and fresh[0].mark != self.synced_index + 1:", "if False:", directed="appends"),
    _fault("append-known", "entries that are held are not added again", ChainReplica, "on_append",
           "if entry.mark > self.synced_index]", "]", directed="appends"),
    _fault("append-level-early", "a member is level when it holds all that its predecessor held", ChainReplica,
           "on_append", "if not self.store.caught_up and upto >= request.upto:", "if not self.store.caught_up:",
           directed="appends"),
    _fault("append-level-unsynced", "being level is synced", ChainReplica, "on_append",
           "self.store.vote(level=True)", "self.store.caught_up = True",
           harmless="unsynced, a restart finds the member not level, which is the careful side"),
    _fault("append-unsynced", "entries are synced before they are acknowledged", ChainReplica, "on_append",
           "self.sync_entries(entries=fresh)", "self.store.entries.extend(fresh)", directed="appends"),
]  # fmt: skip

SYNC = [
    _fault("vote-sync", "votes are synced", ReplicaStore, "vote",
           "self.vote_log.append(records=[record])", "pass", directed="promises"),
    _fault("entry-sync", "entries are synced", ReplicaStore, "append",
           "self.entry_log.append(records=[codec.to_fields(message=entry) for entry in entries])", "pass",
           directed="all_killed_after_acknowledgement"),
    _fault("view-sync", "a view that was taken over is synced", ViewAgreement, "learn",
           "self.store.vote(view=view, level=level)", "self.store.view, self.store.caught_up = view, level",
           harmless="it was decided by synced acceptances, from which a restart learns it anew"),
    _fault("failed-sync", "entries whose sync failed are not counted", ChainReplica, "sync_entries",
           "raise", "self.store.entries.extend(entries)", directed="appends"),
]  # fmt: skip

JOIN = [
    _fault("join-caught-up", "only who has caught up is a candidate", Joining, "on_join",
           "if len(missing) <= MAX_BATCH_ENTRIES:", "if True:", directed="joins"),
    _fault("join-acknowledged", "a joiner is handed acknowledged entries only", Joining, "on_join",
           "if entry.mark <= self.chain.state.mark", "", directed="joins"),
    _fault("join-snapshot-member", "only a member hands out a snapshot", Joining, "on_join",
           "if agreement.is_member() else None", "", directed="joins"),
    _fault("join-tail", "only who acts as the tail hands out entries", Joining, "on_join",
           "if not self.chain.acting_tail():", "if False:", directed="joins"),
    _fault("join-base", "a joiner that is behind what is kept needs a snapshot", Joining, "on_join",
           "if request.mark < self.store.base_index:", "if False:", directed="joins"),
    _fault("join-snapshot", "who comes back throws away what it held", Joining, "run",
           "self.needs_snapshot = True", "self.needs_snapshot = False", directed="old_head_returns"),
    _fault("join-start-snapshot", "a daemon that starts outside the chain throws away what it held", Joining,
           "__init__", "self.needs_snapshot = True", "self.needs_snapshot = False",
           directed="old_head_returns_and_starts_anew"),
    _fault("join-member", "a member takes nothing from a hand-over that is still under way", Joining,
           "_catch_up", "if self.agreement.is_member():", "if False:", directed="late_hand_over"),
    _fault("become-member", "a member is not put back to a snapshot", Joining, "_install_snapshot",
           "if self.agreement.is_member():", "if False:", directed="late_hand_over"),
    _fault("snapshot-parts", "the parts of a snapshot are of one mark", Joining, "_fetch_snapshot",
           'or (number and part["mark"] != state.mark)', "", directed="snapshot_parts"),
]  # fmt: skip

LEAVING = [
    _fault("mend-majority", "a view is proposed only with a live majority", ViewAgreement, "run_repair",
           "or len(live) <= len(view.voters) // 2", "",
           harmless="the proposal itself needs majorities of promises and acceptances"),
    _fault("mend-level", "nobody that is not level proposes itself as head", ViewAgreement, "run_repair",
           "if chain[0] == self.own_disk and not self.store.caught_up:", "if False:",
           harmless="it would not accept such a view itself, and others' acceptances need its own level all the same"),
    _fault("voters-silent", "a voter is replaced only when it has been silent", ViewAgreement, "_next_voters",
           "or silent[most_silent] <= self.suspect_timeout", "", directed="voter_replacement"),
    _fault("voters-chain", "a voter in the chain is not replaced", ViewAgreement, "_next_voters",
           "most_silent in view.chain or", "", directed="voter_replacement"),
    _fault("voters-one", "one voter at a time is replaced", ViewAgreement, "_next_voters",
           "return [joiner if disk == most_silent else disk for disk in view.voters]",
           "return [joiner]", directed="voter_replacement"),
    _fault("voters-dead", "voters stay when members are left out", ViewAgreement, "_next_voters",
           "return view.voters",
           "return [disk for disk in view.voters if silent[disk] <= self.suspect_timeout]",
           directed="voter_replacement"),
]  # fmt: skip

VERSIONS = [
    _fault("version-base", "a change builds on the current version", chain_replica, "validate_version",
           "if based_on != current:", "if False:", directed="versions"),
    _fault("version-rises", "a version is above the current one", chain_replica, "validate_version",
           "if version is not None and version <= current:", "if False:", directed="versions"),
    _fault("version-resent", "a change that was taken is known when it is sent again", chain_replica,
           "validate_version", "if accepted is not None and accepted.digest == digest:", "if False:",
           directed="versions"),
    _fault("version-text", "a change of a taken number is another one when its text differs", chain_replica,
           "validate_version", "and accepted.digest == digest", "", directed="versions"),
]  # fmt: skip

READS = [
    _fault("read-confirmed", "a read is answered once the tail has confirmed", OperatorApi, "_get",
           "if not self.core.chain.confirm_read():", "if False:", directed="read_from_cut_off"),
    _fault("read-began", "the tail confirms after the read began", ChainReplica, "confirm_read",
           "return self.fresh_as_of >= began", "return self.staleness() < self.agreement.lease_duration",
           directed="read_from_lagging_head"),
    _fault("confirm-tail", "only who acts as the tail confirms", ChainReplica, "on_confirm",
           "and self.acting_tail()", "", directed="read_from_cut_off"),
    _fault("confirm-view", "a tail confirms under its own view only", ChainReplica, "on_confirm",
           "and view.number == request.number", "",
           harmless="the answer brings the newer view, which is taken over before the rest is looked at"),
    _fault("confirm-mark", "what the tail confirms is held here", ChainReplica, "_confirm_with_tail",
           "and reply.mark <= self.synced_index", "",
           directed="late_confirmation"),
    _fault("confirm-from-answer", "knowledge counts from before it was asked for", ChainReplica, "_confirm_with_tail",
           "max(self.fresh_as_of, sent)", "self.host.elapsed()",
           directed="late_confirmation"),
]  # fmt: skip

COPIES_BOTH = PlantedFault(
    name="copies-both",
    condition="neither is a change taken nor answered by a chain of enough copies only",
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
