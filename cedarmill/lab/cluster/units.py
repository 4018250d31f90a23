"""What a supervisor stores of its unit, as the laboratory reads it from outside."""

import json
from pathlib import Path
from typing import Any

from cedarmill.lab.processes import ADMIN_SERVES


class UnitFiles:
    """The files of one supervisor with one node as its unit."""

    def __init__(self, folder: Path, node: str) -> None:
        self.data, self.node = folder / "data", node

    def _stored(self) -> dict[str, Any]:
        """What it has stored of the unit; empty where nothing can be read."""
        try:
            unit: dict[str, Any] = json.loads((self.data / "units.json").read_text()).get(self.node, {})
        except (OSError, ValueError):
            return {}
        return unit

    def pids(self) -> list[int]:
        """Of the processes that it has started."""
        return [process["pid"] for process in self._stored().get("lives", {}).values() if process["pid"]]

    def admin_port(self) -> int:
        """Of the admin API of the node's current process; 0 where it is not known."""
        incarnation = self._stored().get("current", "")
        try:
            log = (self.data / f"{self.node}-{incarnation}.log").read_text()
        except OSError:
            return 0
        _, found, rest = log.partition(f"{ADMIN_SERVES} ")
        return int(rest.split()[2]) if found else 0
