"""What each actor of a run did, saw and was granted: one line an event, kept by the actors themselves.

The invariants read this and nothing of what a replica believes. Times are microseconds of the run's clock.
"""

from collections.abc import Callable, Iterator
from pathlib import Path

import msgspec


class Event(msgspec.Struct, omit_defaults=True):
    """One thing that happened."""

    at: int
    who: str  # the actor that did it or saw it
    what: str
    target: str = ""
    epoch: int = 0  # under which it was granted or told, 0 where nothing was agreed
    note: str = ""
    number: float = 0.0

    def time_text(self) -> str:
        """When it happened, as breaches name it."""
        return f"{self.at / 1e6:.3f} s"


class EventHistory:
    """The events of a run, in the order in which they were told."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.events: list[Event] = []

    def tell(
        self, who: str, what: str, target: str = "", *, epoch: int = 0, note: str = "", number: float = 0.0
    ) -> Event:
        """Enter an event that happens now."""
        event = Event(self.clock(), who, what, target, epoch, note, number)
        self.events.append(event)
        return event

    def of(self, *kinds: str) -> Iterator[Event]:
        """The events of these kinds."""
        return (event for event in self.events if event.what in kinds)

    def write(self, path: Path) -> None:
        """One JSON object a line; raises OSError."""
        path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in self.events))


def read(path: Path) -> list[Event]:
    """The events of a file written by `EventHistory.write`; raises OSError or ValueError naming the line."""
    decoder = msgspec.json.Decoder(Event)
    events: list[Event] = []
    for number, line in enumerate(path.read_bytes().splitlines(), 1):
        try:
            events.append(decoder.decode(line))
        except msgspec.MsgspecError as error:
            raise ValueError(f"{path}:{number}: {error}") from None
    return events
