"""The one place that asks a replica and prints what it answers, as JSON or as lines for people."""

import enum
import functools
import json
import sys
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any, NamedTuple, NoReturn

import click

if TYPE_CHECKING:
    from cedarmill.cluster.messages import ClientReply, ClientRequest, SubmitReply
    from cedarmill.cluster.state_machine.commands import AnyRequest
    from cedarmill.net.cluster.operator import OperatorClient

EXIT_CODES = (
    "Exit codes: 0 done, or yes; 1 refused, or not possible; 2 bad input or use; 3 no replica answered; "
    "4 it waits."
)

View = dict[str, Any]
"""A part of the cluster's state as JSON; `cedarmill.cluster.state_views` makes them."""


class ExitCode(enum.IntEnum):
    """What a command ends with; bad input and bad use end with click's 2."""

    DONE = 0
    REFUSED = 1
    NO_ANSWER = 3
    WAITING = 4


class ReplicaAddresses(NamedTuple):
    """Whom to ask, as the options say it: a settings file, or addresses with the cluster's name."""

    settings_path: str | None
    addresses: str | None  # HOST:PORT, separated by commas
    cluster: str | None

    def client(self, name: str) -> "OperatorClient":
        """A client that asks them under this name; raises ConfError or OSError."""
        from cedarmill.conf.document import ConfError
        from cedarmill.conf.settings import Settings
        from cedarmill.net.cluster.operator import OperatorClient

        if self.settings_path is not None and self.addresses is None:
            membership = Settings(self.settings_path).options.cluster
            if membership is None:
                raise ConfError(f"{self.settings_path}: no <fleet>")
            return OperatorClient(membership.cluster, list(membership.replicas.values()), name)
        if self.settings_path is not None or self.addresses is None:
            raise ConfError("give -c FILE, or --replicas and --cluster")
        if not self.cluster:
            raise ConfError("--replicas takes --cluster")
        return OperatorClient(self.cluster, [text for text in self.addresses.split(",") if text], name)


class Console:
    """One operator's command: asks the replicas in his name, and prints."""

    def __init__(self, replicas: ReplicaAddresses, as_json: bool, operator: str) -> None:
        self.replicas, self.as_json, self.operator = replicas, as_json, operator

    @functools.cached_property
    def client(self) -> "OperatorClient":
        """Made when something is asked, so that help needs no file; raises ConfError or OSError."""
        return self.replicas.client(self.operator)

    def ask(self, request: "ClientRequest") -> "ClientReply":
        """The answer of whichever replica gives one; ends the command where none does."""
        from cedarmill.net.cluster.operator import NoReplicaError

        try:
            return self.client.ask(request)
        except NoReplicaError as error:
            click.echo(f"no replica answered: {error}", err=True)
            sys.exit(ExitCode.NO_ANSWER)

    def view(self, name: str, kind: str = "", names: tuple[str, ...] = ()) -> Any:
        """A part of the agreed state, by the name of its view."""
        from cedarmill.cluster.messages import ReadReply, ReadRequest

        reply = self.ask(ReadRequest(name, kind, list(names)))
        assert isinstance(reply, ReadReply)
        return json.loads(reply.body)

    def submit(self, make: "Callable[[str, str], AnyRequest]") -> "SubmitReply":
        """What became of the request that `make` makes of the operator's name and a new id.

        The id is the same at each replica that is asked, so the request takes effect once.
        """
        from cedarmill.cluster.messages import SubmitReply, SubmitRequest
        from cedarmill.net.cluster.operator import new_id

        reply = self.ask(SubmitRequest(make(self.operator, new_id())))
        assert isinstance(reply, SubmitReply)
        return reply

    def show(self, value: Any, lines: Iterable[str]) -> None:
        """Print the value as JSON, or the lines for people."""
        if self.as_json:
            click.echo(json.dumps(value))
        else:
            for line in lines:
                click.echo(line)

    def finish(self, reply: "SubmitReply") -> NoReturn:
        """Print what became of a request, and end the command with its exit code."""
        self.show({"ok": reply.ok, "text": reply.text, "release": reply.release_id}, [reply.text])
        sys.exit(ExitCode.DONE if reply.ok else ExitCode.REFUSED)


def read_duration(text: str) -> int:
    """A duration such as `10min` as microseconds; raises ConfError."""
    from cedarmill.conf.document import ConfError, microseconds

    try:
        return microseconds(text)
    except ValueError as error:
        raise ConfError(str(error)) from None
