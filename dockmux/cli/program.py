"""The operators' command line."""

import argparse
import difflib
import json
import os
import re
import sys
from pathlib import Path
from typing import Any

from dockmux.cli.ask import Cores, Unreached
from dockmux.cli.objects import GOOD, BadObjects, is_objects, read
from dockmux.runtime.host import Host
from dockmux.runtime.outcomes import HTTP_MAPPINGS, OutcomeKind

EXITS = """exit codes:
  0  done
  1  no core answers, or the control plane has no majority just now; nothing was changed
  2  the command line is wrong
  3  refused: invalid, outdated or unknown; nothing was changed
  4  not known whether it was taken: look with `edict show`"""


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(
        prog="edict",
        description="Operates a dockmux fleet.",
        epilog=EXITS,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    made.add_argument(
        "--cores",
        default=os.environ.get("DOCKMUX_CORES", ""),
        help="HTTP addresses of the cores, with commas (default: the variable DOCKMUX_CORES)",
    )
    made.add_argument("--json", action="store_true", help="print what was answered as JSON")
    commands = made.add_subparsers(dest="command", required=True)
    apply = commands.add_parser("apply", help="make a whole configuration the current one")
    apply.add_argument("file", help="JSON file, YAML file of objects, or - for JSON on standard input")
    apply.add_argument("--based-on", type=int, help="the mark it was made from (default: the current one)")
    show = commands.add_parser("show", help="print a configuration")
    show.add_argument("mark", nargs="?", type=int, help="its mark (default: the current one)")
    commands.add_parser("history", help="list the configurations that are kept")
    diff = commands.add_parser("diff", help="compare a configuration, or a file, with the current one")
    diff.add_argument("other", help="a mark, a JSON file, or a YAML file of objects")
    explain = commands.add_parser("explain", help="show each value of a lane and where it comes from")
    explain.add_argument("lane")
    explain.add_argument("--site", default="", help="as seen from this site")
    engines = commands.add_parser("engines", help="list the engines, or replace the list")
    engines.add_argument("--put", metavar="FILE", help="JSON file with the whole new list")
    drain = commands.add_parser("drain", help="give an engine no new work")
    drain.add_argument("engine")
    drain.add_argument("--undo", action="store_true", help="give it work again")
    commands.add_parser("status", help="the control plane, its members and what they hold")
    commands.add_parser("clock", help="offset, bound, hops, rate and peers of every daemon")
    return made


def main(argv: list[str] | None = None) -> int:
    made = parser()
    parsed = made.parse_args(argv)
    addresses = [text for text in parsed.cores.split(",") if text]
    if not addresses:
        print("edict: name the cores with --cores or DOCKMUX_CORES", file=sys.stderr)
        return 2
    cores = Cores(host=Host(name="edict"), addresses=addresses)
    try:
        status, told, text = COMMANDS[parsed.command](cores=cores, parsed=parsed)
    except Unreached as error:
        print(f"edict: {error}", file=sys.stderr)
        return 1
    except BadObjects as bad:
        print("\n".join(["invalid: nothing was sent", *(f"  {error}" for error in bad.errors)]), file=sys.stderr)
        return 3
    except (OSError, ValueError) as error:
        print(f"edict: {error}", file=sys.stderr)
        return 2
    if parsed.json:
        print(json.dumps(told, indent=1))
    elif status == 200:
        print(text)
    else:
        print(refusal(told=told), file=sys.stderr)
    return exit_code(status=status, told=told)


def exit_code(*, status: int, told: Any) -> int:
    if status == 200:
        return 0
    kind = told.get("outcome") if isinstance(told, dict) else None
    if kind == OutcomeKind.UNKNOWN:
        return 4
    return 1 if kind in set(OutcomeKind) and HTTP_MAPPINGS[OutcomeKind(kind)].retry else 3


def refusal(*, told: Any) -> str:
    lines = [f"{told.get('outcome', 'refused')}: {told.get('why', '')}".rstrip(": ")]
    if told.get("outcome") == OutcomeKind.MARK_OUTDATED:
        lines[0] = f"outdated: the current mark is {told['mark']}; look at it, then apply again"
    lines += [f"  {error['path']}: {error['error']}" for error in told.get("errors", [])]
    return "\n".join(lines)


def _read(*, name: str) -> Any:
    if is_objects(name=name):
        return read(name=name)
    text = sys.stdin.read() if name == "-" else Path(name).read_text()
    return json.loads(text)


def _apply(*, cores: Cores, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    tree = _read(name=parsed.file)
    based_on = parsed.based_on
    if based_on is None:
        status, told = cores.ask(method="GET", path="/config")
        if status != 200:
            return status, told, ""
        based_on = told["mark"]
    status, told = cores.ask(method="PUT", path="/config", fields=tree, headers={"If-Match": f'"{based_on}"'})
    return status, told, f"configuration {told.get('mark')} taken; in use everywhere within two seconds"


def _show(*, cores: Cores, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    path = "/config" if parsed.mark is None else f"/config/{parsed.mark}"
    status, told = cores.ask(method="GET", path=path)
    return status, told, json.dumps(told.get("tree"), indent=1)


def _history(*, cores: Cores, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status, told = cores.ask(method="GET", path="/history")
    rows = [f"{row['mark']:>8}  {row['activate']}  {row['lanes']} lanes" for row in told.get("configs", [])]
    return status, told, "\n".join(rows) or "no configuration yet"


def _diff(*, cores: Cores, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status, current = cores.ask(method="GET", path="/config")
    if status != 200:
        return status, current, ""
    if parsed.other.isdigit():
        status, other = cores.ask(method="GET", path=f"/config/{parsed.other}")
        if status != 200:
            return status, other, ""
        tree = other["tree"]
    else:
        tree = _read(name=parsed.other)
    sides = [json.dumps(side, indent=1, sort_keys=True).splitlines() for side in (current["tree"], tree)]
    lines = list(difflib.unified_diff(*sides, f"current ({current['mark']})", parsed.other, lineterm=""))
    return status, {"diff": lines}, "\n".join(lines) or "no difference"


def _explain(*, cores: Cores, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status, told = cores.ask(method="GET", path=f"/explain/{parsed.lane}?site={parsed.site}")
    rows = [f"{key:<10} {json.dumps(v['value']):<20} {v['from']}" for key, v in told.get("values", {}).items()]
    return status, told, "\n".join(rows)


def _engines(*, cores: Cores, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    if parsed.put:
        status, told = cores.ask(method="PUT", path="/engines", fields=_read(name=parsed.put))
        return status, told, f"engine list {told.get('mark')} taken"
    status, told = cores.ask(method="GET", path="/engines")
    rows = [
        f"{e['engine']:<16} {e['service']:<16} {e['address']:<22} {e['site']:<12}"
        f" {'leaving' if e.get('leaving') else ''}".rstrip()
        for e in told.get("engines", [])
    ]
    return status, told, "\n".join(rows) or "no engines"


def _drain(*, cores: Cores, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status, told = cores.ask(method="GET", path="/engines")
    if status != 200:
        return status, told, ""
    if parsed.engine not in [engine["engine"] for engine in told["engines"]]:
        return 404, {"outcome": "not_found", "why": f"no engine {parsed.engine} in the list"}, ""
    engines = [{**e, "leaving": not parsed.undo} if e["engine"] == parsed.engine else e for e in told["engines"]]
    headers = {"If-Match": f'"{told["mark"]}"'}
    status, told = cores.ask(method="PUT", path="/engines", fields={"engines": engines}, headers=headers)
    return status, told, f"{parsed.engine}: {'takes work again' if parsed.undo else 'no new work within two seconds'}"


def _status(*, cores: Cores, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    rows = cores.each(path="/status")
    if all(told is None for _, told in rows):
        raise Unreached(f"none of {', '.join(cores.addresses)} answers")
    lines = []
    members: dict[str, Any] = {}
    for address, told in rows:
        if told is None:
            lines.append(f"core at {address}: no answer")
            continue
        members |= {row["name"]: row for row in told["members"]}
        place = (
            "head" if told["chain"][:1] == [told["name"]] else "tail" if told["chain"][-1:] == [told["name"]] else "-"
        )
        lines.append(
            f"core {told['name']}: view {told['view']} chain {' > '.join(told['chain'])}, {place}, "
            f"{'under permit' if told['permit'] else 'NO PERMIT'}, mark {told['mark']}, "
            f"configuration {told['config']}, {told['engines']} engines, {told['claims']} claims"
            f"{', DISK AILING' if told['ailing'] else ''}"
        )
    edges = cores.each(path="/status", addresses=[row["http"] for row in members.values()])
    for (_, told), row in zip(edges, members.values(), strict=True):
        if told is None:
            lines.append(f"edge {row['name']} ({row['site']}): no answer")
            continue
        state = "ready" if told["ready"] else "NOT READY"
        lines.append(
            f"edge {told['name']} ({row['site']}): {'draining' if told['draining'] else state}, "
            f"configuration {told['config']} of {told['newest']}, {told['open']} open"
        )
    told = {"cores": [t for _, t in rows if t], "edges": [t for _, t in edges if t]}
    return 200, told, "\n".join(lines)


def _clock(*, cores: Cores, parsed: argparse.Namespace) -> tuple[int, Any, str]:
    status = _status(cores=cores, parsed=parsed)[1]
    members = {row["http"] for told in status["cores"] for row in told["members"]}
    rows = cores.each(path="/clock") + cores.each(path="/clock", addresses=sorted(members))
    lines = [f"{'daemon':<14}{'offset us':>12}{'bound ms':>10}{'H':>4}{'mHz':>8}  peers"]
    for address, told in rows:
        if told is None:
            lines.append(f"{address:<14} no answer")
            continue
        bound = "none" if told["boundMs"] is None else told["boundMs"]
        hops = "-" if told["hops"] is None else told["hops"]
        rate = f"{told['rateMilliHz']:.1f}"
        lines.append(f"{told['name']:<14}{told['offsetUs']:>12}{bound:>10}{hops:>4}{rate:>8}  {len(told['peers'])}")
    return 200, [told for _, told in rows if told], "\n".join(lines)


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

    told = []
    with serving_fleet() as made:
        cores = Cores(host=made.outside, addresses=[core["http"] for core in made.plan.cores])
        cores.addresses.insert(0, "127.0.40.10:7999")  # Nobody listens there: the next core is asked.
        tree = tmp_path / "tree.json"
        tree.write_text(json.dumps({**made.plan.tree, "sites": {"a": {"urgency": 6}}}))
        (tmp_path / "wrong.json").write_text("{}")

        def say(*words: str) -> None:
            parsed = parser().parse_args([word.replace("@", f"{tmp_path}/") for word in words])
            status, answer, text = COMMANDS[parsed.command](cores=cores, parsed=parsed)
            shown = text if status == 200 else refusal(told=answer)
            told.append([" ".join(words), exit_code(status=status, told=answer), shown.splitlines()])

        say("show", "2")
        say("diff", "@tree.json")
        say("apply", "@tree.json", "--based-on", "1")
        say("apply", "@wrong.json")
        say("apply", "@tree.json")
        say("history")
        say("explain", "once", "--site", "a")
        say("explain", "none")
        say("drain", "engine-9")
        say("drain", "engine-1")
        say("engines")
        say("status")
        say("clock")
    for row in told:
        row[2] = [line.replace(f"{tmp_path}/", "@") for line in row[2]]
        # Times and clock figures hang on every random draw before them.
        row[2] = [re.sub(r"2026-[0-9T:.+-]+", "TIME", line) for line in row[2]]
        row[2] = [re.sub(r"-?\b[0-9.]+", "#", line) if row[0] == "clock" else line for line in row[2]]
    assert told == snapshot


def test_objects_that_are_wrong_are_not_sent(tmp_path, capsys):
    """No core listens at the address: had anything been sent, the exit code would be 1."""
    file = tmp_path / "lanes.yaml"
    file.write_text(GOOD.replace("kind: Lane", "kind: Route"))
    assert main(["--cores", "127.0.0.1:9", "apply", str(file)]) == 3
    told = capsys.readouterr().err.replace(str(tmp_path), "")
    assert told.splitlines()[0] == "invalid: nothing was sent"
    assert told.splitlines()[1].startswith("  /lanes.yaml: document 4: $.kind: 'Route' is not one of")
    file.write_text(GOOD)
    assert main(["--cores", "127.0.0.1:9", "apply", str(file)]) == 1


if __name__ == "__main__":
    sys.exit(main())
