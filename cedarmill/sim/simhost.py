"""The adapter: reads batches on standard input, lets one balancer per instance act, writes replies."""

import sys
from typing import BinaryIO

from cedarmill.decisions.balancer import Balancer
from cedarmill.sim import wire

EXIT_MALFORMED_INPUT = 2
EXIT_NO_READER = 1


def _read(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise wire.WireError(f"the input ends after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends; raise WireError on a malformed one."""
    decoder = wire.Decoder()
    balancers: dict[int, Balancer] = {}
    batch = 0
    while head := source.read(wire.HEADER.size):
        where = f"batch {batch}"
        if len(head) != wire.HEADER.size:
            raise wire.WireError(f"{where}: the input ends within the header, after {len(head)} bytes")
        length, count, now = wire.HEADER.unpack(head)
        replies: list[bytes] = []
        try:
            for instance, record in decoder.records(_read(source, length), count):
                _act(balancers, instance, record, now, replies)
        except wire.WireError as error:
            raise wire.WireError(f"{where}: {error}") from None
        sink.write(wire.reply(replies))
        sink.flush()
        batch += 1


def _act(
    balancers: dict[int, Balancer], instance: int, record: wire.Record, now: int, replies: list[bytes]
) -> None:
    if isinstance(record, wire.Provision):
        balancers[instance] = Balancer(record.settings, record.seed)
        return
    if isinstance(record, wire.Down):
        balancers.pop(instance, None)
        return
    if (balancer := balancers.get(instance)) is None:
        raise wire.WireError(f"an event for instance {instance}, which has not started")
    try:
        for action in balancer.handle(now, record):
            replies.append(wire.encode(instance, action))
    except Exception as error:  # the wire asks for every failure of the decision code as Bug
        replies.append(wire.encode_bug(instance, f"{type(error).__name__}: {error}"))


def main() -> int:
    """Run the adapter on the standard streams."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"cedarmill: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_NO_READER
    return 0


if __name__ == "__main__":
    sys.exit(main())
