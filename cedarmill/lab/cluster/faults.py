"""The timeline of a run: faults on processes, links, disks and executors, and operators' acts."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable, Coroutine, Iterable
from typing import TYPE_CHECKING

import numpy

from cedarmill.conf.document import microseconds, share
from cedarmill.lab.cluster.links import LinkFault
from cedarmill.lab.cluster.scenario import ScenarioEvent

if TYPE_CHECKING:
    from cedarmill.lab.cluster.run import ClusterRun

CHANCE_S = (0.3, 2.5)  # how long a fault by chance lasts, between these
ZONE_US = 3_000_000  # that a fault of a zone lasts longer than others by chance
SLOW_DUTY = "30%"  # of a process slowed by chance
PROCESS_FAULTS = ("kill", "pause", "slow", "term")
LINK_FAULTS = ("cut", "delay", "drop", "reset", "half-open")


class Faults:
    """Lets what the timeline says happen to a run."""

    def __init__(self, run: "ClusterRun") -> None:
        self.run = run
        self.dice = numpy.random.Generator(numpy.random.PCG64(run.seeds[4]))
        self._timers: list[asyncio.TimerHandle] = []
        self._tasks: set[asyncio.Task] = set()
        self._open: list[object] = []  # faults that have begun and not ended
        self._endings: list[tuple[object, Callable[[], None]]] = []
        self.stopped: set[int] = set()  # processes of units that stand still

    def plan(self, timeline: Iterable[ScenarioEvent]) -> None:
        """Enter all of it."""
        for entry in timeline:
            for at, one in self._drawn(entry):
                self._after(at, getattr(self, f"_{one.what}"), one)

    def _after(self, at: int, call, *words) -> None:
        wait = max(0.0, (at - self.run.clock()) / 1e6)
        self._timers.append(asyncio.get_running_loop().call_later(wait, call, *words))

    def _ends(self, at: int, call: Callable, *words) -> None:
        """What ends a fault: at its time, or when the run's faults are over, whichever comes first."""

        def end() -> None:
            if entry in self._open:
                self._open.remove(entry)
                call(*words)

        entry = object()
        self._open.append(entry)
        self._endings.append((entry, end))
        self._after(at, end)

    def _soon(self, coroutine: Coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _drawn(self, entry: ScenarioEvent) -> list[tuple[int, ScenarioEvent]]:
        """An entry by chance becomes those that the seed draws."""
        if entry.what != "chance":
            return [(entry.at, entry)]
        found, at = [], float(entry.at)
        kinds, places = entry.words["faults"].split(), entry.words["on"].split()
        known = places == ["zone"] or any(name.partition("-")[0] in places for name in self._names())
        if not known:
            return []  # nobody of those is there
        while True:
            at += float(self.dice.exponential(microseconds(entry.words["every"])))
            if at >= microseconds(entry.words["until"]):
                return found
            lasts = int(self.dice.uniform(*CHANCE_S) * 1e6)
            kind = str(self.dice.choice(kinds))
            if kind.startswith("zone-"):
                found += [(int(at), one) for one in self._on_zones(kind, int(at), lasts)]
            else:
                found.append((int(at), self._by_chance(kind, places, int(at), lasts)))

    def _by_chance(self, kind: str, places: list[str], at: int, lasts: int) -> ScenarioEvent:
        names = [name for name in self._names() if name.partition("-")[0] in places]
        name = str(self.dice.choice(names))
        if kind in PROCESS_FAULTS:
            words = {"name": name, "fault": kind, "size": SLOW_DUTY}
            return ScenarioEvent("process", at, lasts, words)
        if kind in LINK_FAULTS:
            other = str(self.dice.choice([one for one in names if one != name] or ["*"]))
            both = self.dice.random() < 0.5
            words = {"from": name, "to": other if both else "*", "fault": kind, "share": "30%",
                     "delay": "400ms"}  # fmt: skip
            return ScenarioEvent("link", at, lasts, words)
        return ScenarioEvent("disk", at, lasts, {"name": name, "fault": kind})

    def _on_zones(self, kind: str, at: int, lasts: int) -> list[ScenarioEvent]:
        """A fault of a whole zone, or of what lies between two."""
        zones = self.run.scenario.layout.zone_names
        one, other = (str(name) for name in self.dice.choice(zones, 2, replace=False))
        lasts += ZONE_US  # long enough to be believed
        fault = kind.removeprefix("zone-")
        if fault in ("kill", "slow", "reset", "refuse"):
            words = {"name": f"box@{one}", "fault": fault, "size": "50%" if fault == "slow" else "33%"}
            return [ScenarioEvent("executor", at, lasts, words)]
        if fault == "blind":
            return [ScenarioEvent("process", at, lasts, {"name": f"node@{one}", "fault": "pause"})]
        words = {"from": f"node@{one}", "to": f"box@{other}", "share": "20%", "delay": "300ms",
                 "fault": {"one-way": "cut"}.get(fault, fault)}  # fmt: skip
        found = [ScenarioEvent("link", at, lasts, words)]
        if fault != "one-way":
            found.append(ScenarioEvent("link", at, lasts, words | {"from": words["to"], "to": words["from"]}))
        return found

    def _names(self) -> list[str]:
        """All that may meet a fault, in an order that does not hang on when each started."""
        return sorted({*self.run.processes, *self.run.executors, *self.run.crew.listens})

    def _matching(self, pattern: str) -> list[str]:
        """A name, several with blanks between them, or a kind with `-*`; `leader` is who leads now."""
        found = []
        for word in pattern.split():
            if word == "leader":
                found += [self.run.leader()] if self.run.leader() else []
            elif "@" in word:  # a kind in a zone
                kind, _, zone = word.partition("@")
                named = [name for name in self._names() if name.startswith(f"{kind}-")]
                found += [name for name in named if self.run.zone_of(name) == zone]
            elif word.endswith("*"):
                found += [name for name in self._names() if name.startswith(word[:-1])]
            else:
                found.append(word)
        return found

    # Processes.

    def _process(self, entry: ScenarioEvent) -> None:
        for name in self._matching(entry.words["name"]):
            self._one_process(name, entry)

    def _one_process(self, name: str, entry: ScenarioEvent) -> None:
        process, fault = self.run.processes.get(name), entry.words["fault"]
        if process is None:
            self._unit(name, entry)
            return
        self.run.history.tell("lab", fault, name, number=entry.lasts / 1e6)
        if fault == "start":
            self._soon(self.run.start_again(name, entry.words.get("disk", "own")))
        elif fault in ("kill", "term"):
            (process.kill if fault == "kill" else process.term)()
            if entry.lasts:
                again = self.run.start_again, name, entry.words.get("disk", "own")
                self._ends(entry.at + entry.lasts, lambda: self._soon(again[0](*again[1:])))
        elif fault == "pause":
            process.pause()
            self._ends(entry.at + entry.lasts, process.go_on)
        elif fault == "slow":
            process.slow(share(entry.words["size"]))
            self._ends(entry.at + entry.lasts, process.full_speed)

    def _unit(self, name: str, entry: ScenarioEvent) -> None:
        """A node that its steward has started: its processes are known by their ids."""
        fault = entry.words["fault"]
        numbers = {"kill": signal.SIGKILL, "term": signal.SIGTERM, "pause": signal.SIGSTOP}
        if name not in self.run.crew.listens or fault not in numbers:
            return
        pids = self.run.crew.pids(name)
        self.run.history.tell("lab", fault, name, number=entry.lasts / 1e6)
        for pid in pids:
            self._signal(pid, numbers[fault])
            if fault == "pause":
                self.stopped.add(pid)
                self._ends(entry.at + entry.lasts, self._go_on, pid)

    def _go_on(self, pid: int) -> None:
        self.stopped.discard(pid)
        self._signal(pid, signal.SIGCONT)

    @staticmethod
    def _signal(pid: int, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, number)

    # Links.

    def _link(self, entry: ScenarioEvent) -> None:
        words = entry.words
        sizes = {
            "drop": lambda: share(words["share"]),
            "delay": lambda: microseconds(words["delay"]) / 1e6,
            "trickle": lambda: float(words["bytes-per-s"]),
        }
        size = sizes.get(words["fault"], lambda: 0.0)()
        jitter = microseconds(words.get("jitter", "0s")) / 1e6
        fault = LinkFault(words["fault"], size, jitter)
        for source in self._matching(words["from"]) if words["from"] != "*" else ["*"]:
            for target in self._matching(words["to"]) if words["to"] != "*" else ["*"]:
                self._cut(source, target, fault, entry)

    def _cut(self, source: str, target: str, fault: LinkFault, entry: ScenarioEvent) -> None:
        told = f"{source}>{target}"
        self.run.history.tell("lab", f"link {fault.kind}", told, number=entry.lasts / 1e6)
        for direction in self.run.links.directions(source, target):
            direction.begin(fault)
            if entry.lasts:
                self._ends(entry.at + entry.lasts, direction.lift, fault.kind)

    def _partition(self, entry: ScenarioEvent) -> None:
        """Among the keepers, with the members on either side."""
        keepers = sorted(name for name in self.run.processes if name.startswith("keeper"))
        leader = self.run.leader() or keepers[0]
        others = [name for name in keepers if name != leader]
        kind, cut = entry.words["kind"], LinkFault("cut")
        few = others[: (len(keepers) - 1) // 2]
        if kind == "minority":  # fewer than half, the leader not among them
            pairs = [(a, b) for a in few for b in keepers if b not in few]
            pairs += [(b, a) for a, b in pairs]
        elif kind == "majority":  # the leader with too few
            few = [leader, *few[1:]]
            pairs = [(a, b) for a in few for b in keepers if b not in few]
            pairs += [(b, a) for a, b in pairs]
        elif kind == "one-way":  # the leader hears nobody, and all hear it
            pairs = [(other, leader) for other in others]
        elif kind == "bridge":  # two sides that reach each other through one keeper only
            left, right = others[0], others[1:] or [leader]
            pairs = [(left, one) for one in (right if len(others) > 1 else [leader])]
            pairs += [(b, a) for a, b in pairs]
        else:  # ring: each hears its neighbours only
            count = len(keepers)
            pairs = [(keepers[a], keepers[b]) for a in range(count) for b in range(count)
                     if a != b and (a - b) % count not in (1, count - 1)]  # fmt: skip
        for source, target in pairs:
            self._cut(source, target, cut, entry)

    # Disks, executors, operators.

    def _disk(self, entry: ScenarioEvent) -> None:
        for name in self._matching(entry.words["name"]):
            self.run.history.tell("lab", f"disk {entry.words['fault']}", name)
            self.run.disk_fault(name, entry.words["fault"], entry.lasts)

    def _executor(self, entry: ScenarioEvent) -> None:
        for name in self._matching(entry.words["name"]):
            box, fault = self.run.executors[name], entry.words["fault"]
            if fault == "kill":
                box.down(planned=False)
                if entry.lasts:
                    self._ends(entry.at + entry.lasts, lambda box=box: self._soon(box.up()))
                continue
            self.run.history.tell(name, "lost" if fault == "hang" else fault, name, note="fault")
            box.fault(fault, share(entry.words.get("size", "100%")))
            if entry.lasts:
                self._ends(entry.at + entry.lasts, self._well, box, fault)

    def _well(self, box, fault: str) -> None:
        box.lift(fault)
        self.run.history.tell(box.name, "found", box.name, note="fault")

    def _operator(self, entry: ScenarioEvent) -> None:
        self.run.operators.act(entry)

    def heal(self) -> None:
        """No more faults: those that have begun end now."""
        for timer in self._timers:
            timer.cancel()
        for _, end in self._endings:
            end()

    def end(self) -> None:
        """Nothing more happens."""
        self.heal()
        for process in self.run.processes.values():
            process.full_speed()
        for pid in list(self.stopped):
            self._go_on(pid)
        for task in self._tasks:
            task.cancel()
