"""Validation of a new configuration: its base, its version, and whether it was accepted before."""

from typing import Any

from dockmux.control.state import State
from dockmux.control.version_log import digest_of
from dockmux.runtime.outcomes import Outcome, OutcomeKind
from dockmux.runtime.time_units import instant_us


def validate_version(*, change: dict[str, Any], tentative: State) -> Outcome | None:
    """The outcome of a configuration that is refused or was accepted before, None if it may be appended.

    A configuration must be based on the current one. Where operators assign versions, the version must increase. One
    that is sent again after an unclear answer, and was accepted, is answered as accepted, whatever was accepted since.
    Stores the tree's `digest` in `change`.
    """
    digest = digest_of(tree=change["tree"])
    change["digest"] = digest.hex()
    versions = tentative.versions
    based_on, version = change["based_on"], change.get("version")
    if version is None:
        known = based_on is None or based_on >= versions.forgotten_upto
        accepted = versions.successor_of(number=based_on) if known and based_on is not None else None
    else:
        known = version > versions.forgotten_upto
        accepted = versions.lookup(number=version)
    if accepted is not None and accepted.digest == digest:
        return _accepted_before(number=accepted.number, tentative=tentative)
    current = tentative.config.number if tentative.config else 0
    if based_on != current and not known:
        return Outcome(kind=OutcomeKind.UNKNOWN, detail={"why": "too old: it is no longer known whether it was taken"})
    if based_on != current:
        return Outcome(kind=OutcomeKind.MARK_OUTDATED, detail={"mark" if version is None else "version": current})
    if version is not None and version <= current:
        return Outcome(kind=OutcomeKind.INVALID, detail={"errors": [f"the version must be above {current}"]})
    return None


def _accepted_before(*, number: int, tentative: State) -> Outcome:
    detail: dict[str, Any] = {"mark": number}
    for config in tentative.configs:
        if config.number == number:
            detail = {"mark": config.mark, "activateUs": instant_us(config.activate)}
            if config.version:
                detail["version"] = config.version
    return Outcome(kind=OutcomeKind.ANSWERED, detail=detail)
