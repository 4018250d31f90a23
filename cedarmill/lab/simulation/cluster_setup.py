"""What one run of the cluster's simulation is made of: who is there, what they do, and which faults come."""

from dataclasses import dataclass

from cedarmill.cluster.budget_grants import Budget
from cedarmill.cluster.state import Limit
from cedarmill.lab.simulation.clock import SECOND

PROBE_BUDGET = Budget("probes", 120_000, 10)  # 120 a second, floors for ten nodes
SLOW_START = 2 * SECOND  # us that an executor is cold: shorter than in service, so that a run sees its end
SLOTS_PER_EXECUTOR = 2

ALL_FAULTS = (
    "kill",
    "pause",
    "cut",
    "one-way",
    "isolate",
    "all-keepers",
    "node-kill",
    "node-pause",
    "steward-kill",
    "executor",
    "old-lease",
    "snap",
    "crash",
    "mid-change",
    "trap",
    "flicker",
    "cut-node",
    "sleeper",
    "zone",
    "cut-spender",
)
DEFAULT_LIMITS = (
    Limit("executor", "fleet", share=300),
    Limit("executor", "zone", max_targets=1),
    Limit("node", "fleet", max_targets=1),
)


@dataclass(frozen=True, slots=True)
class ClusterSetup:
    """Who is there, and what happens to them; times in microseconds."""

    replicas: int = 3
    nodes: int = 4
    executors: int = 8
    zones: int = 2
    length: int = 30 * SECOND
    faults: int = 12  # drawn over the length
    drains: int = 8
    sends_work: bool = True  # whether nodes send requests
    release: str = ""  # the new version's kind: good, late, failing or exiting; none where empty
    stops_at_lease_expiry: bool = False  # whether nodes stop sending then
    spends_budget: bool = False  # whether nodes spend of a budget of the cluster, as much as they may
    plans_traffic: bool = False  # traffic between zones is planned; some requests may not leave their region
    limits: tuple[Limit, ...] = DEFAULT_LIMITS
    fault_kinds: tuple[str, ...] = ALL_FAULTS

    def zone_of(self, name: str) -> str:
        """The zone of an executor or a node: they are dealt out in turn by the number in their name."""
        return f"z{int(name.rpartition('-')[2]) % self.zones}"

    def region_of(self, zone: str) -> str:
        """One of two regions: the last zone is one by itself."""
        return "r1" if zone == f"z{self.zones - 1}" else "r0"

    def zones_by_region(self) -> dict[str, list[str]]:
        """All zones; regions without one are left out."""
        regions: dict[str, list[str]] = {}
        for zone in (f"z{number}" for number in range(self.zones)):
            regions.setdefault(self.region_of(zone), []).append(zone)
        return dict(sorted(regions.items()))
