"""Every event that a daemon logs: its number, level, message text, and the advice to operators."""

from enum import Enum
from typing import Any


class LogEvent(Enum):
    """A numbered log event: (number, level, text, advice). Invariant: a released number keeps its meaning."""

    STARTED = (1001, "info", "started {role} {name} at {address}", "Nothing.")
    STOPPING = (1002, "info", "stopping, {open} requests open", "Nothing; the process exits once they have ended.")
    STOPPED = (
        1003,
        "info",
        "stopped {afterMs} ms after the signal, {open} requests open",
        "Requests still open were cut off: find out why they did not end in time.",
    )
    TASK_FAILED = (
        1004,
        "error",
        "task {task} failed: {error}",
        "Report it; a task that runs permanently has been restarted.",
    )
    BAD_FRAME = (
        1005,
        "warning",
        "malformed message received: {error}",
        "Check for another program that sends to this port, and for daemons of different releases.",
    )
    CANNOT_RUN = (
        1006,
        "error",
        "cannot run: {error}",
        "Correct the cause: usually an address already in use, or the disk.",
    )
    SETTINGS_RELOADED = (1007, "info", "settings reloaded, seeds {seeds}", "Nothing.")
    SETTINGS_REJECTED = (
        1008,
        "error",
        "changed settings rejected: {error}",
        "Correct the named setting and send SIGHUP again; the previous settings stay in force.",
    )
    ACCEPT_FAILED = (
        1009,
        "warning",
        "cannot accept a connection: {error}",
        "Raise the process's limit on open files, or spread the clients over more daemons.",
    )
    TASKS_DELAYED = (
        1010,
        "warning",
        "tasks waited {delay_ms} ms for the processor",
        "One task kept the processor, or the machine is overloaded or was suspended; compare with other daemons.",
    )
    PORT_UNAVAILABLE = (
        1011,
        "error",
        "cannot bind {address}: {error}; trying again",
        "Find what else uses that port; the daemon serves on its other ports meanwhile and is not ready.",
    )
    SETTINGS_UNUSABLE = (
        1012,
        "error",
        "the settings cannot be used: {error}; reading them again",
        "Correct the named setting; the daemon starts as soon as it can use them.",
    )
    REQUEST_MALFORMED = (
        1013,
        "info",
        "malformed request from {peer}: {error}",
        "Nothing, unless one of your own clients sends them.",
    )
    LIBRARY_OUTPUT = (1014, "warning", "printed by a library: {line}", "Report it if it comes again and again.")
    LOG_LINES_DROPPED = (
        1015,
        "warning",
        "{count} log lines dropped so far",
        "Check the log's disk and reader, and which event comes so often.",
    )
    MEMORY_EXHAUSTED = (
        1016,
        "error",
        "out of memory: {error}",
        "Raise the memory limit, or spread the clients over more daemons.",
    )
    START_FAILED = (
        1017,
        "error",
        "cannot start: {error}; trying again",
        "Correct the cause: usually the disk.",
    )
    CLOCK_SYNCHRONIZED = (2001, "info", "clock synchronized from {peer}, bound {boundMs} ms", "Nothing.")
    CLOCK_PAUSED = (
        2002,
        "warning",
        "process paused for {gapMs} ms; clock no longer trusted",
        "Check whether the machine is suspended, swapping or overloaded.",
    )
    TIME_SOURCE_STARTED = (2003, "info", "now the time source in view {mark}", "Nothing.")
    TIME_SOURCE_STOPPED = (2004, "info", "no longer the time source", "Nothing.")
    CONTROL_PLANE_FOUNDED = (3001, "info", "control plane founded by {voters}", "Nothing.")
    VIEW_ADOPTED = (3002, "info", "view {number}: chain {chain}, voters {voters}", "Nothing.")
    VIEW_PROPOSED = (3003, "info", "proposing view {number}: chain {chain}, voters {voters}", "Nothing.")
    DISK_INITIALIZED = (
        3004,
        "warning",
        "the data folder is empty; new disk identity {disk}",
        "Expected only on a new or replaced core machine.",
    )
    DISK_FAILED = (3005, "error", "disk failure: {error}", "Free disk space, or replace the disk.")
    RECORD_LOG_CORRUPT = (
        3006,
        "error",
        "{file} is corrupt at byte {offset}; this disk is not used",
        "Treat the disk as replaced: empty the data folder and restart the daemon.",
    )
    RECORD_LOG_REWRITTEN = (3007, "info", "{file} rewritten, from {beforeBytes} to {afterBytes} bytes", "Nothing.")
    TORN_RECORD_REMOVED = (
        3008,
        "info",
        "{file} ended with {lostBytes} bytes of an incomplete record; removed",
        "Nothing; the record had not been acknowledged.",
    )
    CORE_LEAVING = (3011, "info", "stopping: leaving the chain through a view change, at mark {mark}", "Nothing.")
    DISK_UNRESPONSIVE = (
        3012,
        "error",
        "a file call did not return within {limitMs} ms; the core leaves until it has",
        "Check the disk if it happens again; the core then reads its stored state and joins again.",
    )
    CORE_JOINED = (3009, "info", "caught up with the tail at mark {mark}", "Nothing.")
    CORE_SUSPECTED = (
        3010,
        "warning",
        "no message from core {disk} for {silentMs} ms",
        "Check that machine; the chain continues without it.",
    )
    CONFIG_RECEIVED = (4001, "info", "configuration {mark} received, in use from {activate}", "Nothing.")
    PERMISSION_LOST = (
        4002,
        "warning",
        "no recent update from the control plane; taking no new requests",
        "Run `edict status`: the cores have no majority or cannot be reached.",
    )
    PERMISSION_RESTORED = (4003, "info", "updates from the control plane resumed; taking new requests", "Nothing.")
    ENGINE_CHANGED = (4004, "info", "engine {engine}: {state}", "Nothing, unless the change is unexpected.")
    ENGINE_IDENTITY_MISMATCH = (
        4005,
        "warning",
        "{address} is not engine {engine} of {service}: {found}",
        "Correct the engine list: another engine or service answers at that address.",
    )
    PHASE_ORDERED = (4006, "info", "engine {engine} ordered to {phase} with fencing token {mark}", "Nothing.")

    PHASE_ORDER_FAILED = (
        4007,
        "warning",
        "engine {engine} was not ordered to {phase}: {why}",
        "Nothing; the order is retried while it is still needed.",
    )
    LIST_FAILED = (
        5001,
        "warning",
        "cannot fetch the engine list: {error}",
        "Check the platform's engine list service.",
    )
    LIST_CHANGED = (5002, "info", "engine list changed: {count} engines, {leaving} leaving", "Nothing.")
    LIST_INCOMPLETE = (
        5007,
        "warning",
        "engine list used with {count} engines: {malformed} rows were unusable, or its pages did not end",
        "Check the platform's engine list service.",
    )
    CONFIG_UNUSABLE = (
        5008,
        "error",
        "configuration {version} cannot be used: {error}; the former one stays in use",
        "Send a new configuration.",
    )
    ENGINE_FAILING = (
        5003,
        "warning",
        "engine {engine} is excluded for {wait_ms} ms: {why}",
        "Check the engine if it stays excluded; other engines take its requests.",
    )
    ENGINE_RECOVERED = (5004, "info", "engine {engine} is in use again", "Nothing.")
    CONFIG_IN_USE = (5005, "info", "configuration {version} in use", "Nothing.")
    RESPONSE_INVALID = (
        5006,
        "warning",
        "engine {engine} sent an invalid response to request {request}: {why}",
        "Check the engine; nothing of the response reached a client.",
    )

    @property
    def number(self) -> int:
        return self.value[0]

    @property
    def level(self) -> str:
        return self.value[1]

    def text(self, **fields: Any) -> str:
        """The message with its fields filled in."""
        return self.value[2].format(**fields)


def page() -> str:
    """The content of docs/events.md."""
    lines = [
        "# Log events",
        "",
        "Generated from `dockmux/runtime/log_events.py`; each log line starts with the number of its event.",
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
