"""The commands `cedarmill cluster release ...`: plan, start, watch, halt, resume and roll back releases."""

import sys
import time
from collections.abc import Callable, Iterator

import click

from cedarmill.cli.cluster.console import EXIT_CODES, Console, ExitCode, View, read_duration

POLL_INTERVAL_S = 0.5
END_STATES = ("done", "backed", "halted", "back-halted")
"""States in which a release makes no further changes without an operator."""

MAX_SHOWN_REASONS = 3  # per release


@click.group(epilog=EXIT_CODES)
def release() -> None:
    """Release a version to nodes, group by group.

    A release is planned first, then started. A release halts automatically if the new version performs worse
    than the old one.
    """


@release.command(epilog=EXIT_CODES)
@click.option("--version", required=True, help="Version, as named in the process supervisors' settings.")
@click.option(
    "--group",
    "groups",
    multiple=True,
    required=True,
    metavar="UNIT,...",
    help="Units released as one group; may be repeated. The first group is the canary.",
)
@click.option(
    "--width",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="Number of units that may change at once.",
)
@click.option("--pause", metavar="TIME", default="0s", show_default=True, help="Pause between two groups.")
@click.option(
    "--bake",
    metavar="TIME",
    default="10s",
    show_default=True,
    help="How long a ready group is observed.",
)
@click.option(
    "--ready", metavar="TIME", default="30s", show_default=True, help="Time limit for a unit to become ready."
)
@click.option(
    "--sample",
    type=click.IntRange(1),
    default=50,
    show_default=True,
    help="Number of requests needed to compare the versions.",
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
    """Submit a release plan, and print its number.

    The plan has no effect until it is started.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml release plan --version v2 --group node-0 --group node-1,node-2
    """
    from cedarmill.cluster.state import ReleasePlan
    from cedarmill.cluster.state_machine import commands

    unit_groups = tuple(tuple(group.split(",")) for group in groups)
    durations = (read_duration(pause), read_duration(bake), read_duration(ready))
    release_plan = ReleasePlan(version, unit_groups, width, *durations, sample)
    console.print_reply_and_exit(
        console.submit(
            lambda operator, request_id: commands.PlanRelease(0, operator, request_id, release_plan)
        )
    )


def _add_control_command(action: str, help_text: str) -> None:
    """Add a command that applies `action` to a release."""

    @release.command(name=action, epilog=EXIT_CODES, help=help_text)
    @click.argument("number", type=int)
    @click.option("--why", default="", help="Reason, for the cluster's log.")
    @click.pass_obj
    def control(console: Console, number: int, why: str) -> None:
        from cedarmill.cluster.state_machine import commands

        console.print_reply_and_exit(
            console.submit(
                lambda operator, request_id: commands.ControlRelease(
                    0, operator, request_id, number, action, why
                )
            )
        )


_add_control_command("start", "Start the plan NUMBER.")
_add_control_command(
    "halt", "Halt the release NUMBER.\n\nUnits in progress are finished, no further units are changed."
)
_add_control_command("resume", "Resume the release NUMBER after a halt.\n\nA failed unit is retried.")
_add_control_command(
    "back", "Roll the release NUMBER back.\n\nEach changed unit returns to its old version, under permits."
)


@release.command(name="status", epilog=EXIT_CODES)
@click.argument("number", type=int, required=False)
@click.option("--watch", is_flag=True, help="Show a screen until the release has ended or halted.")
@click.option("--plain", is_flag=True, help="With --watch: print lines instead of a screen.")
@click.pass_obj
def show_status(console: Console, number: int | None, watch: bool, plain: bool) -> None:
    """Show the progress of the release NUMBER, or of all releases.

    \b
    Example:
      cedarmill cluster -c cedarmill.xml release status 12 --watch
    """

    def read_releases() -> list[View]:
        return [row for row in console.read_view("releases") if number in (None, row["id"])]

    if watch and not plain and not console.as_json and sys.stdout.isatty():
        from cedarmill.cli.cluster.release_screen import watch_releases

        watch_releases(read_releases, release_lines, END_STATES)
    elif watch:
        _watch_lines(console, read_releases)
    rows = read_releases()
    console.print_result(rows, (line for row in rows for line in release_lines(row)))
    is_unknown = number is not None and not rows
    is_halted = any("halted" in row["state"] for row in rows)
    sys.exit(ExitCode.REFUSED if is_unknown or is_halted else ExitCode.DONE)


def release_lines(row: View) -> Iterator[str]:
    """Return lines of text on a release."""
    units_by_state: dict[str, list[str]] = {}
    for step in row["steps"]:
        units_by_state.setdefault(step["state"], []).append(step["unit"])
    group_count = len(row["plan"]["groups"])
    yield (
        f"release {row['id']} of {row['plan']['version']}: {row['state']} for {row['age_s']} s, group "
        f"{min(row['group'] + 1, group_count)} of {group_count}"
    )
    for state, units in units_by_state.items():
        yield f"  {state}: {', '.join(units)}"
    for side in ("new", "rest"):
        if row[side]:
            jobs, failed, late, refused = row[side]
            yield f"  {side}: {jobs} jobs, {failed} failed, {late} late, {refused} refused"
    for why in row["why"][-MAX_SHOWN_REASONS:]:
        yield f"  {why}"


def _watch_lines(console: Console, read_releases: Callable[[], list[View]]) -> None:
    """Print the releases at each change until all are finished."""
    printed_text = ""
    while True:
        rows = read_releases()
        text = "\n".join(line for row in rows for line in list(release_lines(row))[1:])
        if text != printed_text and not console.as_json:
            printed_text = text
            click.echo("\n".join(line for row in rows for line in release_lines(row)))
        if all(row["state"] in END_STATES for row in rows):
            return
        time.sleep(POLL_INTERVAL_S)
