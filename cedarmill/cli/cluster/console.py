"""Sends operators' requests to the replicas and prints the replies as JSON or as text."""

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
    "Exit codes: 0 success, or yes; 1 refused, or not possible; 2 invalid input or usage; "
    "3 no replica answered; 4 a permit is pending."
)

View = dict[str, Any]
"""Part of the cluster's state, decoded from JSON; see `cedarmill.cluster.state_views`."""


class ExitCode(enum.IntEnum):
    """Exit code of a cluster command; click exits with 2 for invalid input and usage."""

    DONE = 0
    REFUSED = 1
    NO_ANSWER = 3
    WAITING = 4


class ReplicaAddresses(NamedTuple):
    """Source of the replicas' addresses: a settings file, or the options --replicas and --cluster."""

    settings_path: str | None
    addresses: str | None  # HOST:PORT,...
    cluster: str | None

    def create_client(self, name: str) -> "OperatorClient":
        """Return a client of the replicas for the operator `name`; raise ConfError or OSError."""
        from cedarmill.conf.document import ConfError
        from cedarmill.conf.settings import Settings
        from cedarmill.net.cluster.operator import OperatorClient

        if self.settings_path is not None and self.addresses is None:
            membership = Settings(self.settings_path).options.cluster
            if membership is None:
                raise ConfError(f"{self.settings_path}: element <fleet> is missing")
            return OperatorClient(membership.cluster, list(membership.replicas.values()), name)
        if self.settings_path is not None or self.addresses is None:
            raise ConfError("-c FILE is required, or --replicas and --cluster")
        if not self.cluster:
            raise ConfError("--replicas requires --cluster")
        return OperatorClient(
            self.cluster, [address for address in self.addresses.split(",") if address], name
        )


class Console:
    """Sends the requests of one command in the operator's name, and prints the results."""

    def __init__(self, replicas: ReplicaAddresses, as_json: bool, operator: str) -> None:
        self.replicas, self.as_json, self.operator = replicas, as_json, operator

    @functools.cached_property
    def client(self) -> "OperatorClient":
        """Client of the replicas, created on first use, so that --help needs no settings file."""
        return self.replicas.create_client(self.operator)

    def send_request(self, request: "ClientRequest") -> "ClientReply":
        """Return the first replica's answer; exit with NO_ANSWER if no replica answers."""
        from cedarmill.net.cluster.operator import NoReplicaError

        try:
            return self.client.send(request)
        except NoReplicaError as error:
            click.echo(f"no replica answered: {error}", err=True)
            sys.exit(ExitCode.NO_ANSWER)

    def read_view(self, name: str, kind: str = "", names: tuple[str, ...] = ()) -> Any:
        """Return the view `name` of the replicated state, decoded from JSON."""
        from cedarmill.cluster.messages import ReadReply, ReadRequest

        reply = self.send_request(ReadRequest(name, kind, list(names)))
        assert isinstance(reply, ReadReply)
        return json.loads(reply.body)

    def submit(self, make_request: "Callable[[str, str], AnyRequest]") -> "SubmitReply":
        """Submit the request that `make_request` builds from the operator's name and a new request id.

        Each replica receives the same id, so that a repeated request takes effect once.
        """
        from cedarmill.cluster.messages import SubmitReply, SubmitRequest
        from cedarmill.net.cluster.operator import new_request_id

        reply = self.send_request(SubmitRequest(make_request(self.operator, new_request_id())))
        assert isinstance(reply, SubmitReply)
        return reply

    def print_result(self, value: Any, lines: Iterable[str]) -> None:
        """Print the value as JSON if --json is given, otherwise the lines."""
        if self.as_json:
            click.echo(json.dumps(value))
        else:
            for line in lines:
                click.echo(line)

    def print_reply_and_exit(self, reply: "SubmitReply") -> NoReturn:
        """Print the reply to a request, and exit with the code for its result."""
        self.print_result({"ok": reply.ok, "text": reply.text, "release": reply.release_id}, [reply.text])
        sys.exit(ExitCode.DONE if reply.ok else ExitCode.REFUSED)


def read_duration(text: str) -> int:
    """Return a duration such as `10min` in microseconds; raise ConfError if the text is not a duration."""
    from cedarmill.conf.document import ConfError, parse_duration

    try:
        return parse_duration(text)
    except ValueError as error:
        raise ConfError(str(error)) from None
