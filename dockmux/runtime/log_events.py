"""Every event that a daemon logs: number, level, text, and what an operator does about it."""

from enum import Enum
from typing import Any


class LogEvent(Enum):
    """A numbered event. Invariant: a number, once released, keeps its meaning."""

    STARTED = (1001, "info", "started {role} {name} at {address}", "Nothing.")
    STOPPING = (1002, "info", "stopping, {open} requests open", "Nothing; it ends when they do.")
    STOPPED = (
        1003,
        "info",
        "stopped {afterMs} ms after the signal, {open} requests open",
        "Requests that were open are cut: look at what kept them.",
    )
    TASK_FAILED = (1004, "error", "task {task} failed: {error}", "Report it; the task was begun again.")
    BAD_FRAME = (
        1005,
        "warning",
        "a message could not be read: {error}",
        "Look for another program that sends to this port, or for mixed releases.",
    )
    CANNOT_RUN = (1006, "error", "cannot run: {error}", "Free the address or the disk that is named.")
    SETTINGS_RELOADED = (1007, "info", "settings read again, seeds {seeds}", "Nothing.")
    SETTINGS_REJECTED = (
        1008,
        "error",
        "the changed settings are not taken: {error}",
        "Mend the line that is named and signal again; the former ones hold.",
    )
    ACCEPT_FAILED = (
        1009,
        "warning",
        "a connection cannot be accepted: {error}",
        "Raise the process's limit of descriptors, or spread its clients over more daemons.",
    )
    CLOCK_SYNCHRONIZED = (2001, "info", "clock synchronized from {peer}, bound {boundMs} ms", "Nothing.")
    CLOCK_PAUSED = (
        2002,
        "warning",
        "this process stood still for {gapMs} ms; clock not trusted",
        "Look at the machine: suspended, swapping or overloaded.",
    )
    TIME_SOURCE_STARTED = (2003, "info", "now the source of time under view {mark}", "Nothing.")
    TIME_SOURCE_STOPPED = (2004, "info", "no longer the source of time", "Nothing.")
    CONTROL_PLANE_FOUNDED = (3001, "info", "control plane founded by {voters}", "Nothing.")
    VIEW_ADOPTED = (3002, "info", "view {number}: chain {chain}, voters {voters}", "Nothing.")
    VIEW_PROPOSED = (3003, "info", "proposing view {number}: chain {chain}, voters {voters}", "Nothing.")
    DISK_INITIALIZED = (
        3004,
        "warning",
        "the data folder is empty: new disk identity {disk}",
        "Expected on a new or replaced core machine only.",
    )
    DISK_FAILED = (3005, "error", "the disk failed: {error}", "Make room or replace the disk.")
    RECORD_LOG_CORRUPT = (
        3006,
        "error",
        "{file} is damaged at byte {offset}; this disk is not used",
        "Replace the disk: empty the data folder and start again.",
    )
    RECORD_LOG_REWRITTEN = (3007, "info", "{file} rewritten: {beforeBytes} to {afterBytes} bytes", "Nothing.")
    TORN_RECORD_REMOVED = (
        3008,
        "info",
        "{file} ended in {lostBytes} bytes of an unfinished record; cut off",
        "Nothing; they had not been acknowledged.",
    )
    CORE_LEAVING = (3011, "info", "told to stop: leaving the chain by agreement, at mark {mark}", "Nothing.")
    DISK_UNRESPONSIVE = (
        3012,
        "error",
        "a file call has not returned within {limitMs} ms: this process ends with code {code} to be started anew",
        "Look at the disk when it comes again; what the core had stored is read again at its start.",
    )
    CORE_JOINED = (3009, "info", "caught up from the tail at mark {mark}", "Nothing.")
    CORE_SUSPECTED = (
        3010,
        "warning",
        "core {disk} has been silent for {silentMs} ms",
        "Look at that machine; the chain goes on without it.",
    )
    CONFIG_RECEIVED = (4001, "info", "configuration {mark} learned, in use at {activate}", "Nothing.")
    PERMISSION_LOST = (
        4002,
        "warning",
        "no fresh news from the control plane; no new work",
        "See `edict status`: the core has no majority or cannot be reached.",
    )
    PERMISSION_RESTORED = (4003, "info", "fresh news again; taking new work", "Nothing.")
    ENGINE_CHANGED = (4004, "info", "engine {engine}: {state}", "Nothing, unless it is not expected.")
    ENGINE_IDENTITY_MISMATCH = (
        4005,
        "warning",
        "{address} is not engine {engine} of {service}: {found}",
        "Correct the engine list: that address belongs to something else.",
    )
    PHASE_ORDERED = (4006, "info", "engine {engine} ordered to {phase} under permit {mark}", "Nothing.")

    PHASE_ORDER_FAILED = (
        4007,
        "warning",
        "engine {engine} was not ordered to {phase}: {why}",
        "Nothing; it is tried again when it is still wanted.",
    )
    LIST_FAILED = (5001, "warning", "the list of engines could not be had: {error}", "Look at the platform's list.")
    LIST_CHANGED = (5002, "info", "the list of engines changed: {count} engines, {leaving} leaving", "Nothing.")
    ENGINE_FAILING = (
        5003,
        "warning",
        "engine {engine} is left out for {wait_ms} ms: {why}",
        "Look at the engine when it stays out; work goes to the others.",
    )
    ENGINE_RECOVERED = (5004, "info", "engine {engine} is used again", "Nothing.")
    CONFIG_IN_USE = (5005, "info", "configuration {version} in use", "Nothing.")
    RESPONSE_INVALID = (
        5006,
        "warning",
        "engine {engine} sent what is no answer to request {request}: {why}",
        "Look at the engine; nothing of it reached a client.",
    )

    @property
    def number(self) -> int:
        return self.value[0]

    @property
    def level(self) -> str:
        return self.value[1]

    def text(self, **fields: Any) -> str:
        return self.value[2].format(**fields)


def page() -> str:
    """docs/events.md, made from the list above."""
    lines = [
        "# Log events",
        "",
        "Made from `dockmux/runtime/log_events.py`; each logged line begins with its number.",
        "",
    ]
    lines += ["| number | level | text | what to do |", "| --- | --- | --- | --- |"]
    lines += [
        f"| {log_event.number} | {log_event.level} | {log_event.value[2]} | {log_event.value[3]} |"
        for log_event in LogEvent
    ]
    return "\n".join(lines) + "\n"


def test_numbers_are_unique():
    numbers = [log_event.number for log_event in LogEvent]
    assert len(numbers) == len(set(numbers))
