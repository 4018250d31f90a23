"""Helpers for all command groups: one-line errors, and old command names that still work."""

import copy
import inspect
from typing import Any

import click

EXIT_BAD_INPUT = 2
"""Exit code of every command for invalid input and invalid usage."""

click.ClickException.exit_code = EXIT_BAD_INPUT  # the same code as click's usage errors


class OneLineErrorGroup(click.Group):
    """Command group that reports invalid input as a one-line error with exit code 2."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command and convert ValueError and OSError into a one-line error."""
        try:
            return super().invoke(ctx)
        except BrokenPipeError:  # the reader closed the pipe; click exits without a message
            raise
        except (ValueError, OSError) as error:  # ConfError is a ValueError
            raise click.ClickException(" ".join(str(error).split())) from None


def add_with_old_name(group: click.Group, command: click.Command, old_name: str) -> None:
    """Add a command under its name and its old name; the help of the old name refers to the new one."""
    group.add_command(command)
    alias = copy.copy(command)  # a copied group shares the sub-commands of the original
    alias.name = old_name
    alias.short_help = f"Old name of `{command.name}`."
    alias.help = (
        f"Old name of `{command.name}`, which does the same.\n\n{inspect.cleandoc(command.help or '')}"
    )
    group.add_command(alias)
