"""Faults by chance: an entry of the timeline becomes those that the run's seed draws."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

import numpy

from cedarmill.conf.document import parse_duration
from cedarmill.lab.cluster.links import ANY
from cedarmill.lab.cluster.scenario import ScenarioEvent

DURATION_S = (0.3, 2.5)  # of a fault by chance, between these
ZONE_EXTRA_US = 3_000_000  # that a fault of a zone lasts longer: long enough to be believed
SLOW_DUTY = "30%"  # of a process slowed by chance
DROP_SHARE, DELAY = "30%", "400ms"  # of a link
ZONE_DROP_SHARE, ZONE_DELAY = "20%", "300ms"  # of all links between two zones
ZONE_SLOW_SIZE, ZONE_REFUSE_SIZE = "50%", "33%"  # of a zone's executors
PROCESS_FAULTS = ("kill", "pause", "slow", "term")
LINK_FAULTS = ("cut", "delay", "drop", "reset", "half-open")
ZONE_PREFIX = "zone-"
EXECUTOR_FAULTS = ("kill", "slow", "reset", "refuse")  # that may befall the executors of a zone


@dataclass(frozen=True, slots=True)
class Span:
    """When a fault begins, and how long it lasts (us)."""

    at: int
    duration: int


class FaultSchedule:
    """Draws the faults of one run."""

    def __init__(self, random: numpy.random.Generator, names: Sequence[str], zones: Sequence[str]) -> None:
        """`names`: all that may meet a fault, in an order that does not hang on when each started."""
        self.random, self.names, self.zones = random, names, zones

    def expand(self, entry: ScenarioEvent) -> list[ScenarioEvent]:
        """What an entry of the timeline comes to: itself, unless it is by chance."""
        if entry.kind != "chance":
            return [entry]
        kinds, targets = entry.attributes["faults"].split(), entry.attributes["on"].split()
        if targets != ["zone"] and not self._named(targets):
            return []  # nobody of those is there
        events: list[ScenarioEvent] = []
        at, until = float(entry.at), parse_duration(entry.attributes["until"])
        while True:
            at += float(self.random.exponential(parse_duration(entry.attributes["every"])))
            if at >= until:
                return events
            span = Span(int(at), int(self.random.uniform(*DURATION_S) * 1e6))
            kind = str(self.random.choice(kinds))
            if kind.startswith(ZONE_PREFIX):
                events += self._on_zones(kind.removeprefix(ZONE_PREFIX), span)
            else:
                events.append(self._on_one(kind, targets, span))

    def _named(self, kinds: Sequence[str]) -> list[str]:
        """All names of these kinds."""
        return [name for name in self.names if name.partition("-")[0] in kinds]

    def _on_one(self, kind: str, targets: Sequence[str], span: Span) -> ScenarioEvent:
        names = self._named(targets)
        name = str(self.random.choice(names))
        if kind in PROCESS_FAULTS:
            attributes = {"name": name, "fault": kind, "size": SLOW_DUTY}
            return ScenarioEvent("process", span.at, span.duration, attributes)
        if kind in LINK_FAULTS:
            other = str(self.random.choice([one for one in names if one != name] or [ANY]))
            to = other if self.random.random() < 0.5 else ANY
            attributes = {"from": name, "to": to, "fault": kind, "share": DROP_SHARE, "delay": DELAY}
            return ScenarioEvent("link", span.at, span.duration, attributes)
        return ScenarioEvent("disk", span.at, span.duration, {"name": name, "fault": kind})

    def _on_zones(self, fault: str, span: Span) -> list[ScenarioEvent]:
        """A fault of a whole zone, or of what lies between two."""
        one, other = (str(name) for name in self.random.choice(self.zones, 2, replace=False))
        span = replace(span, duration=span.duration + ZONE_EXTRA_US)
        if fault in EXECUTOR_FAULTS:
            size = ZONE_SLOW_SIZE if fault == "slow" else ZONE_REFUSE_SIZE
            attributes = {"name": f"box@{one}", "fault": fault, "size": size}
            return [ScenarioEvent("executor", span.at, span.duration, attributes)]
        if fault == "blind":
            attributes = {"name": f"node@{one}", "fault": "pause"}
            return [ScenarioEvent("process", span.at, span.duration, attributes)]
        return self._between_zones(fault, f"node@{one}", f"box@{other}", span)

    def _between_zones(self, fault: str, nodes: str, executors: str, span: Span) -> list[ScenarioEvent]:
        kind = "cut" if fault == "one-way" else fault
        ways = [(nodes, executors)] if fault == "one-way" else [(nodes, executors), (executors, nodes)]
        sizes = {"fault": kind, "share": ZONE_DROP_SHARE, "delay": ZONE_DELAY}
        return [
            ScenarioEvent("link", span.at, span.duration, {"from": source, "to": target} | sizes)
            for source, target in ways
        ]
