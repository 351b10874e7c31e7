"""Whether a configuration may be taken: what it builds on, its number, and whether it was taken before."""

from typing import Any

from dockmux.control.state import State
from dockmux.control.version_log import digest_of
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.time_units import instant_us


def judge_version(*, change: dict[str, Any], planned: State) -> Outcome | None:
    """A configuration builds on the current one. Where operators number them, the number must rise. One that was
    taken before, sent again for want of a clear answer, is told so, whatever was taken since."""
    digest = digest_of(tree=change["tree"])
    change["digest"] = digest.hex()
    versions = planned.versions
    based_on, version = change["based_on"], change.get("version")
    if version is None:
        known = based_on is None or based_on >= versions.forgotten_upto
        taken = versions.built_on(number=based_on) if known and based_on is not None else None
    else:
        known = version > versions.forgotten_upto
        taken = versions.taken(number=version)
    if taken is not None and taken.digest == digest:
        return _taken_before(number=taken.number, planned=planned)
    current = planned.config.number if planned.config else 0
    if based_on != current and not known:
        return Outcome(kind=OutcomeKind.UNKNOWN, detail={"why": "too old: it is no longer known whether it was taken"})
    if based_on != current:
        return Outcome(kind=OutcomeKind.MARK_OUTDATED, detail={"mark" if version is None else "version": current})
    if version is not None and version <= current:
        return Outcome(kind=OutcomeKind.INVALID, detail={"errors": [f"the version must be above {current}"]})
    return None


def _taken_before(*, number: int, planned: State) -> Outcome:
    detail: dict[str, Any] = {"mark": number}
    for config in planned.configs:
        if config.number == number:
            detail = {"mark": config.mark, "activateUs": instant_us(config.activate)}
            if config.version:
                detail["version"] = config.version
    return Outcome(kind=OutcomeKind.ANSWERED, detail=detail)
