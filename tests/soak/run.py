"""One soak run: stand-ins, the node's processes, the events of a schedule, and the verdict."""

import asyncio
import random
import signal
import socket
import tempfile
from collections.abc import Callable
from pathlib import Path

from tests.soak.checker import Violation, check
from tests.soak.clients import Clients
from tests.soak.discovery import Discovery
from tests.soak.executors import Executor
from tests.soak.history import ExecutorBroke, History, NodeHeldUp, RunStuck, StandInsLate, now
from tests.soak.node import READY_TIMEOUT_S, NodeProcess, Place, write_config
from tests.soak.schedule import PAGE_STALL_S, Event, EventKind, Schedule
from tests.support.system_call_faults import Fault, FaultPlan

LATENESS_PROBE_S = 0.01
END_GRACE_S = 8.0  # for the last answers, and for a node to become quiet
QUIET_CONNECTIONS = 120  # idle connections to executors may stay open: half of the node's descriptors

Command = Callable[[FaultPlan], list[str]]


def program_command(plan: FaultPlan) -> list[str]:
    """Return the command line of the program under a fault plan."""
    return plan.command("cedarmill")


class Run:
    """Plays one schedule against the program."""

    def __init__(self, schedule: Schedule, folder: Path, command: Command = program_command) -> None:
        self.schedule, self.folder, self.command = schedule, folder, command
        self.history = History()
        source = random.Random(schedule.seed)
        self.executors = [
            Executor(plan, number, self.history, random.Random(source.random()))
            for number, plan in enumerate(schedule.executors)
        ]
        self.discovery = Discovery(self.executors, self.history, random.Random(source.random()))
        self.client_source = random.Random(source.random())
        self.plan = FaultPlan(str(folder))
        self.processes: list[NodeProcess] = []
        self.actions = {
            EventKind.HANG: self._hang,
            EventKind.RECOVER: self._recover,
            EventKind.DRAIN: lambda event: self.discovery.set_status(event.target, "DRAINING"),
            EventKind.LEAVE: self._leave,
            EventKind.RETURN: lambda event: self.discovery.set_status(event.target, "SERVING"),
            EventKind.WATCH_RESET: lambda event: self.discovery.reset_watches(),
            EventKind.WATCH_SILENT: lambda event: self.discovery.silence_watches(),
            EventKind.DISCOVERY_DOWN: lambda event: self.discovery.set_down(True),
            EventKind.DISCOVERY_UP: lambda event: self.discovery.set_down(False),
            EventKind.RELOAD: lambda event: self.processes[-1].send(signal.SIGHUP),
            EventKind.TERMINATE: lambda event: self.processes[-1].send(signal.SIGTERM),
            EventKind.FAULT: self._arm_fault,
            EventKind.STEP_CLOCK: lambda event: self.plan.step_clock(float(event.argument)),
        }

    async def play(self) -> None:
        """Play the schedule; the history holds what was seen."""
        for stand_in in (*self.executors, self.discovery):
            await stand_in.start()
        lateness = asyncio.create_task(self._measure_lateness())
        try:
            async with asyncio.timeout(self._time_limit_s):
                await self._play_node()
        except TimeoutError:
            self.history.add(RunStuck(now()))
        finally:
            lateness.cancel()
            for process in self.processes:
                process.kill()
            for stand_in in (*self.executors, self.discovery):
                await stand_in.close()

    @property
    def _time_limit_s(self) -> float:
        """Return a time in which every run ends, its restart included."""
        return self.schedule.seconds + 2 * (READY_TIMEOUT_S + self.schedule.kill_delay_s + END_GRACE_S)

    async def _play_node(self) -> None:
        place = self._open_place()
        write_config(place, self.discovery.port, self.schedule.settings(), self.discovery.listing())
        process = self._start_process(place)
        await process.wait_until_ready()
        clients = Clients(self.schedule, place.port, self.history, self.client_source)
        sending = asyncio.create_task(clients.run())
        await self._play_events()
        await process.wait_for_end(self.schedule.kill_delay_s)
        if self.schedule.restarts:
            process = self._start_process(place)
            await process.wait_until_ready()
            await asyncio.sleep(1.0)
        clients.is_sending = False
        await sending
        clients.close()
        if self.schedule.restarts:
            await process.check_quiet(QUIET_CONNECTIONS)
            process.send(signal.SIGTERM)
            await process.wait_for_end(self.schedule.kill_delay_s)
        if place.held_socket is not None:
            place.held_socket.close()

    def _open_place(self) -> Place:
        """Bind the node's address; the platform holds the socket, or frees the address for the node."""
        sock = socket.create_server(("127.0.0.1", 0))
        port = sock.getsockname()[1]
        if not self.schedule.held_socket:
            sock.close()
        return Place(self.folder, port, sock if self.schedule.held_socket else None)

    def _start_process(self, place: Place) -> NodeProcess:
        process = NodeProcess(len(self.processes), place, self.plan, self.history)
        self.processes.append(process)
        process.start(self.command(self.plan))
        return process

    async def _play_events(self) -> None:
        began_at = now()
        for event in self.schedule.events:
            await asyncio.sleep(max(0.0, began_at + event.at - now()))
            self.actions[event.kind](event)

    async def _measure_lateness(self) -> None:
        """Record when the machine keeps the stand-ins or the node from running: the checker allows for it."""
        while True:
            due = now() + LATENESS_PROBE_S
            await asyncio.sleep(LATENESS_PROBE_S)
            late_s = now() - due
            if late_s > LATENESS_PROBE_S:
                self.history.add(StandInsLate(now(), late_s))
            waited_s = self.processes[-1].take_waiting_time() if self.processes else 0.0
            if waited_s > LATENESS_PROBE_S:
                self.history.add(NodeHeldUp(now(), waited_s))

    def _hang(self, event: Event) -> None:
        self.executors[event.target].is_hanging = True
        self.history.add(ExecutorBroke(now(), "", event.target, "hangs"))

    def _recover(self, event: Event) -> None:
        self.executors[event.target].is_hanging = False

    def _leave(self, event: Event) -> None:
        self.discovery.set_status(event.target, "DELETED")
        self.history.add(ExecutorBroke(now(), "", event.target, "has left"))
        self.executors[event.target].break_all()

    def _arm_fault(self, event: Event) -> None:
        call, _, error = event.argument.partition(":")
        is_stall = error == "stall"
        if is_stall:
            self.plan.arm(Fault(call, stall_s=PAGE_STALL_S))
        else:
            self.plan.arm(Fault(call, error, times=2))


def run_schedule(
    schedule: Schedule, keep: Path | None = None, command: Command = program_command
) -> tuple[History, list[Violation]]:
    """Play a schedule, and return what was seen with the violations; `keep` gets the log and the records."""
    with tempfile.TemporaryDirectory() as folder:
        run = Run(schedule, Path(folder), command)
        asyncio.run(run.play())
        violations = check(run.history, schedule)
        if keep is not None and violations:
            _keep(run, keep)
    return run.history, violations


def _keep(run: Run, folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    run.history.write(folder / "history.jsonl")
    (folder / "schedule.json").write_text(run.schedule.to_json())
    for process in run.processes:
        (folder / process.log_path.name).write_bytes(process.log_path.read_bytes())
