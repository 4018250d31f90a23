"""`cedarmill fleet ...`: what operators ask of the keepers, and tell them."""

import functools
import getpass
import json
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import click

EXITS = ("Exit codes: 0 done, or yes; 1 refused, or not possible; 2 bad input or use; 3 no keeper answered; "
         "4 it waits.")  # fmt: skip
REFUSED, NOBODY, WAITS = 1, 3, 4
WATCH_S = 0.5
RELEASE_ENDS = ("done", "backed", "halted", "back-halted")

_KIND = click.option(
    "--kind", type=click.Choice(["executor", "node", "keeper"]), default="executor", show_default=True
)


class Asker:
    """The keepers, and how answers are shown."""

    def __init__(
        self, conf: str | None, keepers: str | None, cluster: str | None, as_json: bool, who: str
    ) -> None:
        self.conf, self.keepers, self.cluster, self.as_json, self.who = conf, keepers, cluster, as_json, who

    @functools.cached_property
    def operator(self) -> Any:
        """Whom to ask; read when something is asked, so that help needs no file. Raises ConfError or
        OSError.
        """
        from cedarmill.conf.document import ConfError
        from cedarmill.conf.settings import Settings
        from cedarmill.net.cluster.operator import OperatorClient

        if (self.conf is None) == (self.keepers is None):
            raise ConfError("give -c FILE, or --keepers and --cluster")
        if self.conf is not None:
            part = Settings(self.conf).options.cluster
            if part is None:
                raise ConfError(f"{self.conf}: no <fleet>")
            return OperatorClient(part.cluster, list(part.replicas.values()), self.who)
        if not self.cluster:
            raise ConfError("--keepers takes --cluster")
        return OperatorClient(self.cluster, [place for place in self.keepers.split(",") if place], self.who)

    def ask(self, ask: Any) -> Any:
        """The answer; ends the command where no keeper gives one."""
        from cedarmill.net.cluster.operator import NoReplicaError

        try:
            return self.operator.ask(ask)
        except NoReplicaError as error:
            click.echo(f"no keeper answered: {error}", err=True)
            sys.exit(NOBODY)

    def look(self, what: str, kind: str = "", names: tuple[str, ...] = ()) -> Any:
        """A part of what is agreed."""
        from cedarmill.cluster.messages import ReadRequest

        return json.loads(self.ask(ReadRequest(what, kind, list(names))).body)

    def do(self, make: Callable[[str, str], Any]) -> Any:
        """A request under an id of its own, the same at each keeper that is asked."""
        from cedarmill.cluster.messages import SubmitRequest
        from cedarmill.net.cluster.operator import new_id

        return self.ask(SubmitRequest(make(self.who, new_id())))

    def show(self, value: Any, lines: Callable[[], Iterator[str]]) -> None:
        """As JSON, or as lines for people."""
        if self.as_json:
            click.echo(json.dumps(value))
        else:
            for line in lines():
                click.echo(line)


def _duration(text: str) -> int:
    from cedarmill.conf.document import ConfError, microseconds

    try:
        return microseconds(text)
    except ValueError as error:
        raise ConfError(str(error)) from None


@click.group(epilog=EXITS)
@click.option("-c", "--conf", type=click.Path(dir_okay=False), help="A cedarmill.xml with a <fleet>.")
@click.option("--keepers", help="HOST:PORT of keepers, with commas between them; instead of -c.")
@click.option("--cluster", help="Its name; with --keepers.")
@click.option("--as", "who", help="Who asks, for the log.", default=None)
@click.option("--json", "as_json", is_flag=True, help="JSON instead of lines.")
@click.pass_context
def fleet(
    ctx: click.Context,
    conf: str | None,
    keepers: str | None,
    cluster: str | None,
    who: str | None,
    as_json: bool,
) -> None:
    """Ask the keepers, whichever answers, and tell them.

    \b
    Examples:
      cedarmill fleet -c cedarmill.xml status
      cedarmill fleet -c cedarmill.xml drain box-7 --reason "new disk" --dry-run
      cedarmill fleet --keepers 127.0.0.1:7101,127.0.0.1:7102 --cluster main release status
    """
    ctx.obj = Asker(conf, keepers, cluster, as_json, who or getpass.getuser())


# Looking.


@fleet.command(epilog=EXITS)
@click.pass_obj
def status(asker: Asker) -> None:
    """Who leads, what is out, what waits, and whether anything is halted."""
    found = asker.look("status")

    def lines() -> Iterator[str]:
        yield f"cluster {found['cluster']}, generation {found['generation']}"
        yield f"leader {found['leader']}, term {found['term']}, agreed up to entry {found['agreed']}"
        for name, one in found["keepers"].items():
            silent = one.get("silent_s")
            yield f"  {name} at {one['address']}: {'votes' if one['votes'] else 'is brought up to date'}" + (
                f", silent for {silent} s" if silent and silent > 1 else ""
            )
        yield f"members: {found['members']['node']} nodes, {found['members']['steward']} stewards"
        yield f"out by permit: {', '.join(found['out']) or 'nothing'}; {found['waiting']} wait"
        if found["halted"]:
            yield f"HALTED: {found['halted']}"

    asker.show(found, lines)


@fleet.command(epilog=EXITS)
@click.pass_obj
def members(asker: Asker) -> None:
    """Nodes and stewards: who has a session, who is silent or cut off, and since when."""
    found = asker.look("members")

    def lines() -> Iterator[str]:
        for one in sorted(found, key=lambda one: (one["kind"], one["name"], one["joined"])):
            yield (
                f"{one['kind']:8} {one['name']:20} {one['life']:14} {one['state']:8} "
                f"zone {one['zone'] or '-'}"
                f" heard {one['heard_s']} s ago"
            )

    asker.show(found, lines)


@fleet.command(epilog=EXITS)
@click.pass_obj
def targets(asker: Asker) -> None:
    """What may be taken out, and how each is seen."""
    found = asker.look("targets")
    asker.show(
        found,
        lambda: (
            f"{t['kind']:8} {t['name']:20} {t['health']:8} zone {t['zone'] or '-'} type "
            f"{t['type'] or '-'} slots {t['slots']}"
            for t in found
        ),
    )


@fleet.command(epilog=EXITS)
@click.pass_obj
def permits(asker: Asker) -> None:
    """What is out and what waits, by whom, and why."""
    found = asker.look("permits")

    def lines() -> Iterator[str]:
        for one in found:
            state = "drained" if one["drained"] and one["state"] == "granted" else one["state"]
            need = (
                f" waits for {', '.join(one['need'])}"
                if one["need"] and one["state"] in ("granted", "lost")
                else ""
            )
            yield (
                f"{one['id']:4} {one['kind']:8} {one['target']:16} {state:9} {one['holder']:16} "
                f"{one['age_s']} s"
                f"{need} {'; '.join(one['notes'])}"
            )

    asker.show(found, lines)


@fleet.command(epilog=EXITS)
@click.pass_obj
def log(asker: Asker) -> None:
    """The newest words for operators."""
    found = asker.look("log")
    asker.show(found, lambda: iter(found))


@fleet.command(epilog=EXITS)
@click.option(
    "--set", "path", type=click.Path(dir_okay=False), help="Replace them by the <limit>s of a keeper.xml."
)
@click.pass_obj
def limits(asker: Asker, path: str | None) -> None:
    """The limits, with what is out under each; or new ones."""
    from cedarmill.cluster.state import Limit
    from cedarmill.cluster.state_machine import commands

    if path is not None:
        from cedarmill.conf.cluster import read_replica_settings

        wanted = tuple(
            Limit(one.kind, one.per, one.most, one.share, one.capacity_left)
            for one in read_replica_settings(path).limits
        )
        did = asker.do(lambda who, number: commands.SetLimits(0, who, number, wanted))
        asker.show({"ok": did.ok, "text": did.text}, lambda: iter([did.text]))
        return
    found = asker.look("limits")
    asker.show(
        found,
        lambda: (
            f"{one['limit']}{' ' + one['scope'] if one['scope'] else ''}: {one['out']:g} of "
            f"{one['of']} out, {one['allowed']} allowed"
            for one in found
        ),
    )


# Drains.


@fleet.command(epilog=EXITS)
@click.argument("names", nargs=-1, required=True)
@_KIND
@click.option("--reason", default="", help="For the log.")
@click.option("--priority", type=click.IntRange(-100, 100), default=0, show_default=True)
@click.option("--wait", default="10min", show_default=True, help="How long a request may wait for room.")
@click.option("--dry-run", is_flag=True, help="Say what would be granted now, and what stands in the way.")
@click.option("--watch", is_flag=True, help="Stay till each is drained, or refused.")
@click.pass_obj
def drain(
    asker: Asker,
    names: tuple[str, ...],
    kind: str,
    reason: str,
    priority: int,
    wait: str,
    dry_run: bool,
    watch: bool,
) -> None:
    """Ask leave to take targets out; each is decided by itself, in one order over the fleet."""
    from cedarmill.cluster.state_machine import commands

    if dry_run:
        sys.exit(_dry_run(asker, names, kind))
    us = _duration(wait)
    did = asker.do(
        lambda who, number: commands.RequestPermits(0, who, number, kind, names, reason, priority, us)
    )
    rows = [
        {"permit": p[0], "target": p[1], "state": p[2], "why": p[3], "epoch": p[4], "drained": bool(p[5])}
        for p in did.permits
    ]
    if watch:
        rows = _watch_permits(asker, rows)
    asker.show(rows, lambda: map(_permit_line, rows))
    states = {row["state"] for row in rows}
    sys.exit(REFUSED if states & {"refused", "expired"} else WAITS if "waiting" in states else 0)


def _permit_line(row: dict) -> str:
    state = "drained" if row["drained"] else row["state"]
    return f"{row['target']}: {state} (permit {row['permit']}) {'; '.join(row['why'])}".rstrip()


def _dry_run(asker: Asker, names: tuple[str, ...], kind: str) -> int:
    found = asker.look("would", kind, names)
    words = {"now": "would be granted", "later": "would wait", "never": "would be refused"}
    asker.show(
        found,
        lambda: (
            f"{one['target']}: {words[one['verdict']]} {'; '.join(one['reasons'])}".rstrip() for one in found
        ),
    )
    verdicts = {one["verdict"] for one in found}
    return REFUSED if "never" in verdicts else WAITS if "later" in verdicts else 0


def _watch_permits(asker: Asker, rows: list[dict]) -> list[dict]:
    """Look till each is drained or has ended."""
    told: dict[int, str] = {}
    while True:
        found = {
            one["id"]: one for one in asker.look("permits", names=tuple(str(row["permit"]) for row in rows))
        }
        for row in rows:
            one = found.get(row["permit"])
            if one is None:
                continue
            row |= {
                "state": one["state"],
                "why": one["notes"],
                "drained": bool(one["drained"]),
                "need": one["need"],
            }
            line = _permit_line(row) + (f" waits for {', '.join(one['need'])}" if one["need"] else "")
            if told.get(row["permit"]) != line and not asker.as_json:
                told[row["permit"]] = line
                click.echo(line)
        if all(row["drained"] or row["state"] not in ("waiting", "granted", "lost") for row in rows):
            return rows
        time.sleep(WATCH_S)


@fleet.command(epilog=EXITS)
@click.argument("name")
@_KIND
@click.pass_obj
def undrain(asker: Asker, name: str, kind: str) -> None:
    """Put a target back, or no longer wait for it."""
    from cedarmill.cluster.state_machine import commands

    _tell(asker, asker.do(lambda who, number: commands.ReturnPermit(0, who, number, kind, name)))


@fleet.command(epilog=EXITS)
@click.argument("what", type=click.Choice(["drained", "ended", "found", "forget", "go-on"]))
@click.argument("name", default="")
@click.option("--reason", required=True, help="Why you know.")
@click.pass_obj
def say(asker: Asker, what: str, name: str, reason: str) -> None:
    """Say what nobody can prove: that a target is drained, a member has ended, a lost target is found."""
    from cedarmill.cluster.state_machine import commands

    _tell(asker, asker.do(lambda who, number: commands.OperatorStatement(0, who, number, what, name, reason)))


def _tell(asker: Asker, did: Any) -> None:
    asker.show({"ok": did.ok, "text": did.text, "release": did.release_id}, lambda: iter([did.text]))
    sys.exit(0 if did.ok else REFUSED)


# Keepers.


@fleet.command(epilog=EXITS)
@click.argument("act", type=click.Choice(["add", "remove", "lead"]))
@click.argument("name")
@click.option("--address", default="", help="HOST:PORT; with add.")
@click.option("--disk", default="", help="The disk's name, as the new keeper's log tells it; with add.")
@click.pass_obj
def keepers(asker: Asker, act: str, name: str, address: str, disk: str) -> None:
    """Change the keepers by one, or hand the lead over."""
    from cedarmill.cluster.messages import ChangeReplicas

    answer = asker.ask(ChangeReplicas(act, name, address, disk))
    _tell(asker, answer)


@fleet.command(epilog=EXITS)
@click.argument("path", type=click.Path(dir_okay=False, path_type=Path))
@click.pass_obj
def backup(asker: Asker, path: Path) -> None:
    """Write what is agreed into a file, for `keeper --init --restore`."""
    import msgspec

    from cedarmill.cluster.messages import ReadRequest
    from cedarmill.cluster.raft.messages import Snapshot
    from cedarmill.store import files, snapshots

    text = asker.ask(ReadRequest("backup")).body
    snapshot = msgspec.msgpack.decode(text, type=Snapshot)
    files.replace_file(str(path), snapshots.encode_checksummed(snapshot))
    asker.show(
        {"index": snapshot.index, "bytes": len(text)},
        lambda: iter([f"{path}: agreed up to entry {snapshot.index}, {len(text)} bytes"]),
    )


# Releases.


@fleet.group(epilog=EXITS)
def release() -> None:
    """Releases: plan, start, watch, halt, resume, take back."""


@release.command(epilog=EXITS)
@click.option("--version", required=True)
@click.option(
    "--group", "groups", multiple=True, required=True, help="Units with commas; the first is the canary."
)
@click.option(
    "--width", type=click.IntRange(1), default=1, show_default=True, help="Units on their way at once."
)
@click.option("--pause", default="0s", show_default=True, help="Between two groups.")
@click.option("--bake", default="10s", show_default=True, help="How long a group is watched.")
@click.option("--ready", default="30s", show_default=True, help="For a unit to be ready.")
@click.option(
    "--sample", type=click.IntRange(1), default=50, show_default=True, help="Jobs before it is compared."
)
@click.pass_obj
def plan(
    asker: Asker,
    version: str,
    groups: tuple[str, ...],
    width: int,
    pause: str,
    bake: str,
    ready: str,
    sample: int,
) -> None:
    """Enter a plan; nothing happens before it is started."""
    from cedarmill.cluster.state import ReleasePlan
    from cedarmill.cluster.state_machine import commands

    made = ReleasePlan(
        version,
        tuple(tuple(group.split(",")) for group in groups),
        width,
        _duration(pause),
        _duration(bake),
        _duration(ready),
        sample,
    )
    _tell(asker, asker.do(lambda who, number: commands.PlanRelease(0, who, number, made)))


def _act(name: str, text: str) -> None:
    @release.command(name=name, epilog=EXITS, help=text)
    @click.argument("number", type=int)
    @click.option("--why", default="")
    @click.pass_obj
    def act(asker: Asker, number: int, why: str) -> None:
        from cedarmill.cluster.state_machine import commands

        _tell(asker, asker.do(lambda who, token: commands.ControlRelease(0, who, token, number, name, why)))


_act("start", "Start a plan.")
_act("halt", "Change nothing more; what is on its way comes to its end.")
_act("resume", "Go on from a halt.")
_act("back", "The way back: each unit that was changed gets its old version, under the same permits.")


def release_lines(one: dict) -> Iterator[str]:
    """A release as people read it."""
    states: dict[str, list[str]] = {}
    for step in one["steps"]:
        states.setdefault(step["state"], []).append(step["unit"])
    yield (
        f"release {one['id']} of {one['plan']['version']}: {one['state']} for {one['age_s']} s, group "
        f"{min(one['group'] + 1, len(one['plan']['groups']))} of {len(one['plan']['groups'])}"
    )
    for state, units in states.items():
        yield f"  {state}: {', '.join(units)}"
    for side in ("new", "rest"):
        if one[side]:
            jobs, failed, late, refused = one[side]
            yield f"  {side}: {jobs} jobs, {failed} failed, {late} late, {refused} refused"
    for why in one["why"][-3:]:
        yield f"  {why}"


@release.command(name="status", epilog=EXITS)
@click.argument("number", type=int, required=False)
@click.option("--watch", is_flag=True, help="Stay till it has ended or halted.")
@click.option("--plain", is_flag=True, help="With --watch: lines, no screen.")
@click.pass_obj
def status_(asker: Asker, number: int | None, watch: bool, plain: bool) -> None:
    """Where releases stand."""

    def found() -> list[dict]:
        return [one for one in asker.look("releases") if number in (None, one["id"])]

    if watch and not plain and not asker.as_json and sys.stdout.isatty():
        from cedarmill.cli.release_screen import watch_releases

        watch_releases(found, release_lines, RELEASE_ENDS)
    elif watch:
        _watch_lines(asker, found)
    rows = found()
    asker.show(rows, lambda: (line for one in rows for line in release_lines(one)))
    if number is not None and not rows:
        sys.exit(REFUSED)
    sys.exit(REFUSED if any("halted" in one["state"] for one in rows) else 0)


def _watch_lines(asker: Asker, found: Callable[[], list[dict]]) -> None:
    """A line for each change."""
    before = ""
    while True:
        rows = found()
        text = "\n".join(line for one in rows for line in list(release_lines(one))[1:])
        if text != before and not asker.as_json:
            before = text
            click.echo("\n".join(line for one in rows for line in release_lines(one)))
        if all(one["state"] in RELEASE_ENDS for one in rows):
            return
        time.sleep(WATCH_S)
