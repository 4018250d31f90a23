"""Simulator adapter: reads batches from standard input, runs one balancer per instance, writes replies."""

import sys
from typing import BinaryIO

from cedarmill.decisions.balancer import Balancer
from cedarmill.sim import wire

EXIT_MALFORMED_INPUT = 2
EXIT_OUTPUT_CLOSED = 1


def _read(stream: BinaryIO, size: int) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise wire.WireError(f"the input ends after {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to each batch until the input ends; raise WireError for a malformed batch."""
    decoder = wire.Decoder()
    balancers: dict[int, Balancer] = {}
    batch = 0
    while header := source.read(wire.HEADER.size):
        prefix = f"batch {batch}"
        if len(header) != wire.HEADER.size:
            raise wire.WireError(f"{prefix}: the input ends within the header, after {len(header)} bytes")
        length, count, now = wire.HEADER.unpack(header)
        replies: list[bytes] = []
        try:
            for instance, record in decoder.decode_records(_read(source, length), count):
                _act(balancers, instance, record, now, replies)
        except wire.WireError as error:
            raise wire.WireError(f"{prefix}: {error}") from None
        sink.write(wire.encode_reply(replies))
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
        raise wire.WireError(f"event for instance {instance}, which has not been started")
    try:
        for action in balancer.handle(now, record):
            replies.append(wire.encode(instance, action))
    except Exception as error:  # the protocol reports every failure of the balancer as Bug
        replies.append(wire.encode_bug(instance, f"{type(error).__name__}: {error}"))


def main() -> int:
    """Run the adapter on standard input and output; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"cedarmill: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_OUTPUT_CLOSED
    return 0


if __name__ == "__main__":
    sys.exit(main())
