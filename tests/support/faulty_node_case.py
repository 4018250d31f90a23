"""Base class of tests that run a node with failing system calls: see `system_call_faults`."""

import tempfile

from tests.support.node_case import NodeCase
from tests.support.system_call_faults import FaultPlan


class FaultyNodeCase(NodeCase):
    """Starts a node whose system calls and wall clock are controlled by `self.plan`."""

    def prepare(self) -> None:
        """Create the stand-ins and the fault plan."""
        super().prepare()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.plan = FaultPlan(folder.name)
        self.arm_first()

    def arm_first(self) -> None:
        """Arm faults before the node starts; does nothing unless overridden."""

    def command(self, module: str, *arguments: str) -> list[str]:
        """Return the command line that runs a module of the program under the plan."""
        return self.plan.command(module, *arguments)
