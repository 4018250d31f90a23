"""What the logs of a run's processes tell, as events of its history."""

import json
from collections.abc import Callable
from typing import Any

from cedarmill.lab.cluster.history import EventHistory

LogEvent = dict[str, Any]  # one line of a JSON log
PLAN_TEXT = "cluster: plan of epoch "  # in a node's log, before an epoch and the words on the plan


class ProcessLogs:
    """Reads the logs of replicas and supervisors, line by line as they come."""

    def __init__(self, history: EventHistory) -> None:
        self.history = history
        self.leader = ""  # the replica that told last that it leads
        self._orders: dict[str, int] = {}  # by unit: the epoch of the order that is being acted on
        self._handlers: dict[str, Callable[[str, LogEvent], None]] = {
            "replica-role": self._on_role,
            "supervisor-acts": self._on_acts,
            "supervisor-starts": self._on_starts,
            "supervisor-ready": self._on_ready,
            "supervisor-process-ended": self._on_process_ended,
        }

    def on_line(self, name: str, line: str) -> None:
        """A line of a replica's or a supervisor's log."""
        if not line.startswith("{"):
            return
        try:
            event = json.loads(line)
        except ValueError:
            return
        handler = self._handlers.get(event.get("event"))
        if handler is not None:
            handler(name, event)

    def on_node_line(self, incarnation: str, zone: str, line: str) -> None:
        """A line of a node's log: which plan of traffic it follows now."""
        _, found, rest = line.partition(PLAN_TEXT)
        if found:
            epoch, _, note = rest.partition(": ")
            self.history.tell(incarnation, "follows", zone, epoch=int(epoch), note=note)

    def _on_role(self, name: str, event: LogEvent) -> None:
        if event["role"] == "leader":
            self.leader = name
            self.history.tell(name, "leads", epoch=event["term"])

    def _on_acts(self, name: str, event: LogEvent) -> None:
        self._orders[event["unit"]] = event["epoch"]
        self.history.tell(name, "acts", event["unit"], epoch=event["epoch"], number=event["lease_left_s"])

    def _on_starts(self, name: str, event: LogEvent) -> None:
        if epoch := self._orders.pop(event["unit"], 0):
            self.history.tell(name, "taken", event["unit"], epoch=epoch, note=event["version"])
        self.history.tell(name, "starts", event["unit"], note=event["version"])

    def _on_ready(self, name: str, event: LogEvent) -> None:
        self.history.tell(name, "back", event["unit"], note=event["version"])

    def _on_process_ended(self, name: str, event: LogEvent) -> None:
        self.history.tell(name, "unit-ended", event["unit"], note=str(event["code"]))
