"""A simulated process supervisor with its machine: it outlives its processes, and they outlive it."""

from cedarmill.cluster.messages import Orders
from cedarmill.cluster.session import MemberIdentity, MemberReport
from cedarmill.cluster.supervision import (
    Actions,
    OrderApplied,
    Process,
    ProcessSupervisor,
    StartProcess,
    StopProcess,
    StoreUnits,
)
from cedarmill.lab.simulation.clock import MILLISECOND, SECOND
from cedarmill.lab.simulation.environment import ClusterEnvironment
from cedarmill.lab.simulation.executor import ExecutorPool
from cedarmill.lab.simulation.member import LONG_PAUSE, SimulatedMember
from cedarmill.lab.simulation.node import SimulatedNode
from cedarmill.lab.simulation.seeds import stable_number

LOOK_PERIOD = 100 * MILLISECOND  # us between two looks at the machine's processes
READY_DELAY = 300 * MILLISECOND  # us from a start till a good version is ready
STOP_SIGNAL_DELAY = 300 * MILLISECOND  # us from the order till a process begins to stop
EXIT_DELAY = 500 * MILLISECOND  # us after which the version `exiting` ends by itself
FIRST_VERSION = "v1"


class SimulatedSupervisor(SimulatedMember):
    """The supervisor of one machine with one unit."""

    def __init__(
        self, environment: ClusterEnvironment, executors: ExecutorPool, number: int, incarnation: int
    ) -> None:
        self.unit = f"node-{number}"
        self.number = number
        self.executors = executors
        self.machine = environment.machines[number]
        self._applied_epoch = 0  # of the order that is being acted on
        self.core = ProcessSupervisor(
            {self.unit: FIRST_VERSION}, self._new_incarnation, self.machine.stored_units
        )
        name = f"steward-{number}"
        super().__init__(environment, name, MemberIdentity("steward", name, str(incarnation)))
        self._act(self.core.start(self.clock.now(), self._is_alive))
        self._look_often()

    def _new_incarnation(self) -> str:
        self.machine.incarnations += 1
        return f"{self.number}.{self.machine.incarnations}"

    def _is_alive(self, process: Process) -> bool:
        node = self.machine.nodes.get(process.incarnation)
        return node is not None and node.alive

    def report(self) -> MemberReport:
        """The state of its units."""
        return MemberReport(units=self.core.reports(), ended_members=self.core.ended_members)

    def follow(self, orders: Orders) -> None:
        """Act on what is ordered for the units, as long as the lease holds."""
        self._act(self.core.apply_orders(self.clock.now(), orders.units, self.session.lease_until))

    def _look_often(self) -> None:
        if not self.alive:
            return
        self.run(self._look)
        self.environment.scheduler.after(LOOK_PERIOD, self._look_often)

    def _look(self) -> None:
        now = self.clock.now()
        self._act(self.core.on_time(now))
        if self.session.orders is not None:
            self._act(self.core.apply_orders(now, self.session.orders.units, self.session.lease_until))
        for incarnation, node in list(self.machine.nodes.items()):
            if not node.alive:
                del self.machine.nodes[incarnation]
                self._act(self.core.on_exited(now, self.unit, incarnation))
        for process in self.core.processes_to_kill(now):
            doomed = self.machine.nodes.get(process.incarnation)
            if doomed is not None:
                doomed.kill()

    def _act(self, actions: Actions) -> None:
        """Carry out what the core says; a fault may come right after a start."""
        self._carry_out(actions)
        waiting, generator = (
            self.environment.pending_faults.supervisors_after_start,
            self.environment.generator,
        )
        if self.number in waiting and any(isinstance(action, StartProcess) for action in actions):
            waiting.discard(self.number)
            if generator.random() < 0.5:
                self.environment.supervisors[self.number].die(generator.randrange(4 * SECOND))
            else:
                self.pause(LONG_PAUSE)

    def _carry_out(self, actions: Actions) -> None:
        self._applied_epoch = 0
        for action in actions:
            if isinstance(action, StoreUnits):
                self.machine.stored_units = action.document
            elif isinstance(action, StartProcess):
                self._start(action)
            elif isinstance(action, StopProcess):
                node = self.machine.nodes.get(action.incarnation)
                if node is not None:
                    self.environment.scheduler.after(STOP_SIGNAL_DELAY, node.stop)
            elif isinstance(action, OrderApplied):
                lease_left = (self.session.lease_until - self.clock.now()) / SECOND
                self.environment.history.tell(
                    self.name, "acts", action.unit, epoch=action.epoch, number=lease_left
                )
                self._applied_epoch = action.epoch

    def _start(self, action: StartProcess) -> None:
        history, scheduler = self.environment.history, self.environment.scheduler
        if self._applied_epoch:
            history.tell(self.name, "taken", action.unit, epoch=self._applied_epoch)
            self._applied_epoch = 0
        node = SimulatedNode(
            self.environment, self.executors, action.unit, action.incarnation, action.version
        )
        self.machine.nodes[action.incarnation] = node
        self.environment.members[f"node:{action.unit}:{action.incarnation}"] = node
        history.tell(self.name, "starts", action.unit, note=action.version)
        self.core.on_started(action.unit, action.incarnation, 1)
        if action.version == "exiting":
            scheduler.after(EXIT_DELAY, node.kill)
        elif action.version != "late":
            scheduler.after(READY_DELAY, self._on_ready, action.unit, action.incarnation, node)

    def _on_ready(self, unit: str, incarnation: str, node: SimulatedNode) -> None:
        if node.alive and self.alive:
            self.run(self._note_ready, unit, incarnation)
        elif node.alive:  # this supervisor died meanwhile: the next one asks again
            self.environment.scheduler.after(READY_DELAY, self._ask_successor, unit, incarnation, node)

    def _ask_successor(self, unit: str, incarnation: str, node: SimulatedNode) -> None:
        self.environment.supervisors[self.number]._on_ready(unit, incarnation, node)

    def _note_ready(self, unit: str, incarnation: str) -> None:
        found = self.core.units[unit]
        if found.current == incarnation and not found.ready:
            self.environment.history.tell(self.name, "back", unit)
        self._act(self.core.on_ready(self.clock.now(), unit, incarnation))

    def die(self, down_time: int) -> None:
        """It dies and comes back after a time (us); what it runs outlives it."""
        if self.alive:
            self.kill()
            self.environment.scheduler.after(down_time, self._start_successor)

    def _start_successor(self) -> None:
        environment = self.environment
        incarnation = stable_number(environment.scheduler.now, self.starts) % 10**6
        environment.supervisors[self.number] = SimulatedSupervisor(
            environment, self.executors, self.number, incarnation
        )
