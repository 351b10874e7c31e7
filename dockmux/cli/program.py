"""The command `edict`: operates the control plane and shows the state of a fleet."""

import argparse
import difflib
import json
import os
import re
import sys
from pathlib import Path
from typing import Any

from dockmux.cli.core_client import CoreClient, NoCoreReachable
from dockmux.cli.objects import VALID_OBJECTS, InvalidObjects, is_object_file, read_objects
from dockmux.runtime.host import Host
from dockmux.runtime.outcomes import HTTP_MAPPINGS, OutcomeKind

EXIT_CODES_HELP = """exit codes:
  0  done
  1  no core answers, or the control plane has no majority just now; nothing was changed
  2  the command line is wrong
  3  refused: invalid, outdated or unknown; nothing was changed
  4  not known whether it was taken: look with `edict show`"""


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line with all subcommands."""
    command_parser = argparse.ArgumentParser(
        prog="edict",
        description="Operates a dockmux fleet.",
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    command_parser.add_argument(
        "--cores",
        default=os.environ.get("DOCKMUX_CORES", ""),
        help="comma-separated HTTP addresses of the cores (default: the variable DOCKMUX_CORES)",
    )
    command_parser.add_argument("--json", action="store_true", help="print the answer as JSON")
    commands = command_parser.add_subparsers(dest="command", required=True)
    apply = commands.add_parser("apply", help="make a whole configuration the current one")
    apply.add_argument("file", help="JSON file, YAML file of objects, or - for JSON on standard input")
    apply.add_argument(
        "--based-on", type=int, help="mark of the configuration it is based on (default: the current one)"
    )
    show = commands.add_parser("show", help="print a configuration")
    show.add_argument("mark", nargs="?", type=int, help="its mark (default: the current one)")
    commands.add_parser("history", help="list the stored configurations")
    diff = commands.add_parser("diff", help="compare a configuration, or a file, with the current one")
    diff.add_argument("other", help="a mark, a JSON file, or a YAML file of objects")
    explain = commands.add_parser("explain", help="show each value of a lane and the level of the tree that sets it")
    explain.add_argument("lane")
    explain.add_argument("--site", default="", help="as seen from this site")
    engines = commands.add_parser("engines", help="list the engines, or replace the list")
    engines.add_argument("--put", metavar="FILE", help="JSON file with the whole new list")
    drain = commands.add_parser("drain", help="give an engine no new work")
    drain.add_argument("engine")
    drain.add_argument("--undo", action="store_true", help="give it work again")
    commands.add_parser("status", help="show the state of cores and edges")
    commands.add_parser("clock", help="show clock offset, bound, hops, exchange rate and peers of every daemon")
    return command_parser


def main(argv: list[str] | None = None) -> int:
    """Runs one command, prints its result and returns the exit code (see EXIT_CODES_HELP)."""
    command_parser = build_parser()
    parsed = command_parser.parse_args(argv)
    addresses = [text for text in parsed.cores.split(",") if text]
    if not addresses:
        print("edict: name the cores with --cores or DOCKMUX_CORES", file=sys.stderr)
        return 2
    cores = CoreClient(host=Host(name="edict"), addresses=addresses)
    try:
        status, answer, text = COMMANDS[parsed.command](cores=cores, parsed=parsed)
    except NoCoreReachable as error:
        print(f"edict: {error}", file=sys.stderr)
        return 1
    except InvalidObjects as invalid:
        print("\n".join(["invalid: nothing was sent", *(f"  {error}" for error in invalid.errors)]), file=sys.stderr)
        return 3
    except (OSError, ValueError) as error:
        print(f"edict: {error}", file=sys.stderr)
        return 2
    if parsed.json:
        print(json.dumps(answer, indent=1))
    elif status == 200:
        print(text)
    else:
        print(format_refusal(answer=answer), file=sys.stderr)
    return exit_code(status=status, answer=answer)


def exit_code(*, status: int, answer: Any) -> int:
    """Maps HTTP status and outcome of an answer to the exit code: outcomes that may be retried give 1, others 3."""
    if status == 200:
        return 0
    kind = answer.get("outcome") if isinstance(answer, dict) else None
    if kind == OutcomeKind.UNKNOWN:
        return 4
    return 1 if kind in set(OutcomeKind) and HTTP_MAPPINGS[OutcomeKind(kind)].retry else 3


def format_refusal(*, answer: Any) -> str:
    """Formats an answer other than 200: outcome and reason, then one line per validation error."""
    lines = [f"{answer.get('outcome', 'refused')}: {answer.get('why', '')}".rstrip(": ")]
    if answer.get("outcome") == OutcomeKind.MARK_OUTDATED:
        lines[0] = f"outdated: the current mark is {answer['mark']}; look at it, then apply again"
    lines += [f"  {error['path']}: {error['error']}" for error in answer.get("errors", [])]
    return "\n".join(lines)


def _read_tree(*, name: str) -> Any:
    """Reads a YAML file of objects, a JSON file, or JSON from standard input if `name` is `-`."""
    if is_object_file(name=name):
        return read_objects(name=name)
    text = sys.stdin.read() if name == "-" else Path(name).read_text()
    return json.loads(text)


def _apply(*, cores: CoreClient, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    tree = _read_tree(name=parsed.file)
    based_on = parsed.based_on
    if based_on is None:
        status, answer = cores.request(method="GET", path="/config")
        if status != 200:
            return status, answer, ""
        based_on = answer["mark"]
    status, answer = cores.request(method="PUT", path="/config", fields=tree, headers={"If-Match": f'"{based_on}"'})
    return status, answer, f"configuration {answer.get('mark')} taken; in use everywhere within two seconds"


def _show(*, cores: CoreClient, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    path = "/config" if parsed.mark is None else f"/config/{parsed.mark}"
    status, answer = cores.request(method="GET", path=path)
    return status, answer, json.dumps(answer.get("tree"), indent=1)


def _history(*, cores: CoreClient, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status, answer = cores.request(method="GET", path="/history")
    rows = [f"{row['mark']:>8}  {row['activate']}  {row['lanes']} lanes" for row in answer.get("configs", [])]
    return status, answer, "\n".join(rows) or "no configuration yet"


def _diff(*, cores: CoreClient, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status, current = cores.request(method="GET", path="/config")
    if status != 200:
        return status, current, ""
    if parsed.other.isdigit():
        status, other = cores.request(method="GET", path=f"/config/{parsed.other}")
        if status != 200:
            return status, other, ""
        tree = other["tree"]
    else:
        tree = _read_tree(name=parsed.other)
    texts = [json.dumps(content, indent=1, sort_keys=True).splitlines() for content in (current["tree"], tree)]
    lines = list(difflib.unified_diff(*texts, f"current ({current['mark']})", parsed.other, lineterm=""))
    return status, {"diff": lines}, "\n".join(lines) or "no difference"


def _explain(*, cores: CoreClient, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status, answer = cores.request(method="GET", path=f"/explain/{parsed.lane}?site={parsed.site}")
    rows = [f"{key:<10} {json.dumps(v['value']):<20} {v['from']}" for key, v in answer.get("values", {}).items()]
    return status, answer, "\n".join(rows)


def _engines(*, cores: CoreClient, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    if parsed.put:
        status, answer = cores.request(method="PUT", path="/engines", fields=_read_tree(name=parsed.put))
        return status, answer, f"engine list {answer.get('mark')} taken"
    status, answer = cores.request(method="GET", path="/engines")
    rows = [
        f"{e['engine']:<16} {e['service']:<16} {e['address']:<22} {e['site']:<12}"
        f" {'leaving' if e.get('leaving') else ''}".rstrip()
        for e in answer.get("engines", [])
    ]
    return status, answer, "\n".join(rows) or "no engines"


def _drain(*, cores: CoreClient, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status, answer = cores.request(method="GET", path="/engines")
    if status != 200:
        return status, answer, ""
    if parsed.engine not in [engine["engine"] for engine in answer["engines"]]:
        return 404, {"outcome": "not_found", "why": f"no engine {parsed.engine} in the list"}, ""
    engines = [{**e, "leaving": not parsed.undo} if e["engine"] == parsed.engine else e for e in answer["engines"]]
    headers = {"If-Match": f'"{answer["mark"]}"'}
    status, answer = cores.request(method="PUT", path="/engines", fields={"engines": engines}, headers=headers)
    return status, answer, f"{parsed.engine}: {'takes work again' if parsed.undo else 'no new work within two seconds'}"


def _status(*, cores: CoreClient, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    rows = cores.get_from_each(path="/status")
    if all(answer is None for _, answer in rows):
        raise NoCoreReachable(f"none of {', '.join(cores.addresses)} answers")
    lines = []
    members: dict[str, Any] = {}
    for address, answer in rows:
        if answer is None:
            lines.append(f"core at {address}: no answer")
            continue
        members |= {row["name"]: row for row in answer["members"]}
        position = (
            "head"
            if answer["chain"][:1] == [answer["name"]]
            else "tail"
            if answer["chain"][-1:] == [answer["name"]]
            else "-"
        )
        lines.append(
            f"core {answer['name']}: view {answer['view']} chain {' > '.join(answer['chain'])}, {position}, "
            f"{'under permit' if answer['permit'] else 'NO PERMIT'}, mark {answer['mark']}, "
            f"configuration {answer['config']}, {answer['engines']} engines, {answer['claims']} claims"
            f"{', DISK AILING' if answer['ailing'] else ''}"
        )
    edges = cores.get_from_each(path="/status", addresses=[row["http"] for row in members.values()])
    for (_, answer), row in zip(edges, members.values(), strict=True):
        if answer is None:
            lines.append(f"edge {row['name']} ({row['site']}): no answer")
            continue
        state = "ready" if answer["ready"] else "NOT READY"
        lines.append(
            f"edge {answer['name']} ({row['site']}): {'draining' if answer['draining'] else state}, "
            f"configuration {answer['config']} of {answer['newest']}, {answer['open']} open"
        )
    answer = {"cores": [t for _, t in rows if t], "edges": [t for _, t in edges if t]}
    return 200, answer, "\n".join(lines)


def _clock(*, cores: CoreClient, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status = _status(cores=cores, parsed=parsed)[1]
    members = {row["http"] for answer in status["cores"] for row in answer["members"]}
    rows = cores.get_from_each(path="/clock") + cores.get_from_each(path="/clock", addresses=sorted(members))
    lines = [f"{'daemon':<14}{'offset us':>12}{'bound ms':>10}{'H':>4}{'mHz':>8}  peers"]
    for address, answer in rows:
        if answer is None:
            lines.append(f"{address:<14} no answer")
            continue
        bound = "none" if answer["boundMs"] is None else answer["boundMs"]
        hops = "-" if answer["hops"] is None else answer["hops"]
        rate = f"{answer['rateMilliHz']:.1f}"
        lines.append(
            f"{answer['name']:<14}{answer['offsetUs']:>12}{bound:>10}{hops:>4}{rate:>8}  {len(answer['peers'])}"
        )
    return 200, [answer for _, answer in rows if answer], "\n".join(lines)


COMMANDS = {
    "apply": _apply,
    "show": _show,
    "history": _history,
    "diff": _diff,
    "explain": _explain,
    "engines": _engines,
    "drain": _drain,
    "status": _status,
    "clock": _clock,
}


def test_operators_commands_against_a_fleet(snapshot, tmp_path):
    from dockmux.simulator.exchanges import serving_fleet

    results = []
    with serving_fleet() as sim_fleet:
        cores = CoreClient(host=sim_fleet.outside, addresses=[core["http"] for core in sim_fleet.plan.cores])
        cores.addresses.insert(0, "127.0.40.10:7999")  # No listener at this address: the client tries the next core.
        tree = tmp_path / "tree.json"
        tree.write_text(json.dumps({**sim_fleet.plan.tree, "sites": {"a": {"urgency": 6}}}))
        (tmp_path / "wrong.json").write_text("{}")

        def run_command(*arguments: str) -> None:
            parsed = build_parser().parse_args([argument.replace("@", f"{tmp_path}/") for argument in arguments])
            status, answer, text = COMMANDS[parsed.command](cores=cores, parsed=parsed)
            shown = text if status == 200 else format_refusal(answer=answer)
            results.append([" ".join(arguments), exit_code(status=status, answer=answer), shown.splitlines()])

        run_command("show", "2")
        run_command("diff", "@tree.json")
        run_command("apply", "@tree.json", "--based-on", "1")
        run_command("apply", "@wrong.json")
        run_command("apply", "@tree.json")
        run_command("history")
        run_command("explain", "once", "--site", "a")
        run_command("explain", "none")
        run_command("drain", "engine-9")
        run_command("drain", "engine-1")
        run_command("engines")
        run_command("status")
        run_command("clock")
    for row in results:
        row[2] = [line.replace(f"{tmp_path}/", "@") for line in row[2]]
        # Masked: times and clock values depend on every earlier draw of the random generator.
        row[2] = [re.sub(r"2026-[0-9T:.+-]+", "TIME", line) for line in row[2]]
        row[2] = [re.sub(r"-?\b[0-9.]+", "#", line) if row[0] == "clock" else line for line in row[2]]
    assert results == snapshot


def test_invalid_objects_are_not_sent(tmp_path, capsys):
    """No core listens at the address, so an attempt to send would give exit code 1."""
    file = tmp_path / "lanes.yaml"
    file.write_text(VALID_OBJECTS.replace("kind: Lane", "kind: Route"))
    assert main(["--cores", "127.0.0.1:9", "apply", str(file)]) == 3
    printed = capsys.readouterr().err.replace(str(tmp_path), "")
    assert printed.splitlines()[0] == "invalid: nothing was sent"
    assert printed.splitlines()[1].startswith("  /lanes.yaml: document 4: $.kind: 'Route' is not one of")
    file.write_text(VALID_OBJECTS)
    assert main(["--cores", "127.0.0.1:9", "apply", str(file)]) == 1


if __name__ == "__main__":
    sys.exit(main())
