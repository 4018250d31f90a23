"""A test's node under faults below the program: see `system_call_faults`."""

import tempfile

from tests.support.node_case import NodeCase
from tests.support.system_call_faults import FaultPlan


class FaultyNodeCase(NodeCase):
    """A node whose system calls and wall clock the test can break, by `self.plan`, from its start on."""

    def prepare(self) -> None:
        """As for every node, and the plan of its faults."""
        super().prepare()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.plan = FaultPlan(folder.name)
        self.arm_first()

    def arm_first(self) -> None:
        """Faults that hold before the node starts."""

    def command(self, module: str, *arguments: str) -> list[str]:
        """The command line that runs a module of the program under the plan."""
        return self.plan.command(module, *arguments)
