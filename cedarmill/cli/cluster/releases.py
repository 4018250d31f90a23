"""`cedarmill cluster release ...`: plan, start, watch, halt, resume and take back releases."""

import sys
import time
from collections.abc import Callable, Iterator

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, ExitCode, View, read_duration

WATCH_S = 0.5
END_STATES = ("done", "backed", "halted", "back-halted")
"""States of a release in which it changes nothing more by itself."""

NEWEST_REASONS = 3  # that are shown of a release


@click.group(epilog=EXIT_CODES)
def release() -> None:
    """Release a version to nodes, group by group.

    A release is planned first, then started; it halts by itself where the new version does worse than the
    old one.
    """


@release.command(epilog=EXIT_CODES)
@click.option("--version", required=True, help="As the process supervisors' settings name it.")
@click.option(
    "--group",
    "groups",
    multiple=True,
    required=True,
    metavar="UNIT,...",
    help="Units that are changed one after the other; repeat it. The first group is the canary.",
)
@click.option(
    "--width",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="How many units may be under way at once.",
)
@click.option("--pause", metavar="TIME", default="0s", show_default=True, help="Time between two groups.")
@click.option(
    "--bake",
    metavar="TIME",
    default="10s",
    show_default=True,
    help="How long a group that is ready is watched.",
)
@click.option(
    "--ready", metavar="TIME", default="30s", show_default=True, help="Time in which a unit has to be ready."
)
@click.option(
    "--sample",
    type=click.IntRange(1),
    default=50,
    show_default=True,
    help="Requests before versions are compared.",
)
@click.pass_obj
def plan(
    console: Console,
    version: str,
    groups: tuple[str, ...],
    width: int,
    pause: str,
    bake: str,
    ready: str,
    sample: int,
) -> None:
    """Enter a plan, and print its number.

    Nothing happens before it is started.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml release plan --version v2 --group node-0 --group node-1,node-2
    """
    from cedarmill.cluster.state import ReleasePlan
    from cedarmill.cluster.state_machine import commands

    units = tuple(tuple(group.split(",")) for group in groups)
    times = (read_duration(pause), read_duration(bake), read_duration(ready))
    made = ReleasePlan(version, units, width, *times, sample)
    console.finish(console.submit(lambda operator, number: commands.PlanRelease(0, operator, number, made)))


def _add_control(action: str, text: str) -> None:
    """Add a command that tells a release what to do."""

    @release.command(name=action, epilog=EXIT_CODES, help=text)
    @click.argument("number", type=int)
    @click.option("--why", default="", help="For the cluster's log.")
    @click.pass_obj
    def control(console: Console, number: int, why: str) -> None:
        from cedarmill.cluster.state_machine import commands

        console.finish(
            console.submit(
                lambda operator, token: commands.ControlRelease(0, operator, token, number, action, why)
            )
        )


_add_control("start", "Start the plan NUMBER.")
_add_control(
    "halt", "Halt the release NUMBER.\n\nUnits under way come to their end, nothing more is changed."
)
_add_control("resume", "Let the release NUMBER go on after a halt.\n\nA unit that failed is tried again.")
_add_control(
    "back", "Take the release NUMBER back.\n\nEach unit that was changed gets its old version, under permits."
)


@release.command(name="status", epilog=EXIT_CODES)
@click.argument("number", type=int, required=False)
@click.option("--watch", is_flag=True, help="Stay till it has ended or halted, on a screen.")
@click.option("--plain", is_flag=True, help="With --watch: print lines, show no screen.")
@click.pass_obj
def show_status(console: Console, number: int | None, watch: bool, plain: bool) -> None:
    """Show where the release NUMBER stands, or all releases.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml release status 12 --watch
    """

    def read() -> list[View]:
        return [one for one in console.view("releases") if number in (None, one["id"])]

    if watch and not plain and not console.as_json and sys.stdout.isatty():
        from cedarmill.cli.cluster.release_screen import watch_releases

        watch_releases(read, release_lines, END_STATES)
    elif watch:
        _watch_lines(console, read)
    rows = read()
    console.show(rows, (line for one in rows for line in release_lines(one)))
    is_unknown = number is not None and not rows
    halted = any("halted" in one["state"] for one in rows)
    sys.exit(ExitCode.REFUSED if is_unknown or halted else ExitCode.DONE)


def release_lines(one: View) -> Iterator[str]:
    """A release as people read it."""
    units_by_state: dict[str, list[str]] = {}
    for step in one["steps"]:
        units_by_state.setdefault(step["state"], []).append(step["unit"])
    groups = len(one["plan"]["groups"])
    yield (
        f"release {one['id']} of {one['plan']['version']}: {one['state']} for {one['age_s']} s, group "
        f"{min(one['group'] + 1, groups)} of {groups}"
    )
    for state, units in units_by_state.items():
        yield f"  {state}: {', '.join(units)}"
    for side in ("new", "rest"):
        if one[side]:
            jobs, failed, late, refused = one[side]
            yield f"  {side}: {jobs} jobs, {failed} failed, {late} late, {refused} refused"
    for why in one["why"][-NEWEST_REASONS:]:
        yield f"  {why}"


def _watch_lines(console: Console, read: Callable[[], list[View]]) -> None:
    """Print the releases at each change, till all have come to an end."""
    before = ""
    while True:
        rows = read()
        text = "\n".join(line for one in rows for line in list(release_lines(one))[1:])
        if text != before and not console.as_json:
            before = text
            click.echo("\n".join(line for one in rows for line in release_lines(one)))
        if all(one["state"] in END_STATES for one in rows):
            return
        time.sleep(WATCH_S)
