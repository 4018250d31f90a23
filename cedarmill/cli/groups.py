"""What all groups of commands share: errors in one line, and old names of commands that still work."""

import copy
import inspect
from typing import Any

import click

BAD_INPUT = 2
"""The exit code of bad input and of bad use, whichever command it is."""

click.ClickException.exit_code = BAD_INPUT  # as click's usage errors have


class OneLineErrors(click.Group):
    """Ends bad input, wherever it shows, with one line and exit code 2."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command; what it raises of bad input becomes one line."""
        try:
            return super().invoke(ctx)
        except BrokenPipeError:  # the reader has seen enough: click ends quietly
            raise
        except (ValueError, OSError) as error:  # ConfError and its like name file, line or field
            raise click.ClickException(" ".join(str(error).split())) from None


def add_with_old_name(group: click.Group, command: click.Command, old_name: str) -> None:
    """Add a command under its name and under its old one, whose help says that it is the old one."""
    group.add_command(command)
    alias = copy.copy(command)  # of a group too: both names then hold the same sub-commands
    alias.name = old_name
    alias.short_help = f"Old name of `{command.name}`."
    alias.help = (
        f"Old name of `{command.name}`, which does the same.\n\n{inspect.cleandoc(command.help or '')}"
    )
    group.add_command(alias)
