"""Faults of a large cluster: a simulation of many balancers, with results over all of them."""

import unittest

from cedarmill.decisions import interface as api
from cedarmill.decisions.interface import ExecutorState
from tests.support.balancer_simulation import SECOND_US, SLOTS, SimulatedCluster


def replace_executors(cluster: SimulatedCluster, count: int, at: float) -> list:
    """Drain some executors at time `at` (s), and start a new one for each in its zone 0.5 s later."""
    old, new = cluster.random.sample(cluster.fault_candidates, count), []
    cluster.fault_candidates = [executor for executor in cluster.fault_candidates if executor not in old]

    def start_new() -> None:
        new.extend(
            cluster.add_executor(executor.kind, executor.zone, started_at=cluster.now) for executor in old
        )
        cluster.schedule(cluster.now + SECOND_US, lambda: cluster.send_list_changes(*new))

    cluster.schedule(at * SECOND_US, lambda: cluster.send_list_changes(*old, state=ExecutorState.DRAINING))
    cluster.schedule((at + 0.5) * SECOND_US, start_new)
    return new


class WarmingExecutorTests:
    """Tests of the executors `new`, which warm up, under the load of all nodes together."""

    new: list

    def test_warming_executors_serve_requests(self) -> None:
        """With too small a share of the budget for each node, they stay idle until they are warm."""
        used = sum(
            work
            for executor in self.new
            for at, work in executor.received_work
            if 2 * SECOND_US < at - executor.started_at < 6 * SECOND_US
        )
        capacity = sum(
            SLOTS
            * executor.speed
            * executor.capacity_share(executor.started_at + 4 * SECOND_US)
            * 4
            * SECOND_US
            for executor in self.new
        )
        self.assertGreater(used / capacity, 0.2)

    def test_all_nodes_together_do_not_overload_warming_executors(self) -> None:
        """A single large request may exceed any budget, so the mean over the executors is checked."""
        for age in (1.5, 3, 4.5, 6):
            ratios = [
                executor.overload_ratio(executor.started_at + int(age * SECOND_US)) for executor in self.new
            ]
            self.assertLess(sum(ratios) / len(ratios), 0.6)


class MassReplacement(WarmingExecutorTests, unittest.TestCase):
    """Six in ten executors are replaced within a few seconds, as in a release."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = SimulatedCluster(load=0.62, seed=3)
        first, second = replace_executors(cls.cluster, 18, 6), replace_executors(cls.cluster, 18, 9)
        cls.cluster.run(24)
        cls.new = first + second

    def test_most_work_is_served_in_time_during_the_replacement(self) -> None:
        self.assertGreater(self.cluster.share_in_time(8, 14), 0.72)


class FastErrors(unittest.TestCase):
    """Some executors fail most requests at once, and so appear idle."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = SimulatedCluster(load=0.68, seed=3)
        cls.failing = cls.cluster.random.sample(cls.cluster.fault_candidates, 7)
        for executor in cls.failing:
            cls.cluster.schedule(
                4 * SECOND_US, lambda executor=executor: setattr(executor, "error_share", 0.6)
            )
        cls.cluster.run(16)

    def test_failing_executors_get_less_than_their_share_of_attempts(self) -> None:
        """Nodes learn from reported errors; own attempts alone would show the errors too late."""
        late = [executor for at, _, executor, _ in self.cluster.sent if at > 7 * SECOND_US]
        failing_share = sum(executor in self.failing for executor in late) / len(late)
        self.assertLess(failing_share, 0.7 * len(self.failing) / len(self.cluster.executors))


class SparseTraffic(unittest.TestCase):
    """Each node sends few requests to each executor, so its reports are seldom fresh."""

    def test_probes_per_attempt_stay_bounded_when_the_cluster_is_busy(self) -> None:
        """Probes for nearly every request would send all nodes to the executors last reported as idle."""
        cluster = SimulatedCluster(load=0.85, seed=3)
        cluster.run(20)
        self.assertLess(cluster.probe_count / len(cluster.sent), 1.5)
        self.assertGreater(cluster.share_in_time(4, 14), 0.8)


class BusyZone(unittest.TestCase):
    """The nodes of one zone get 70% of the traffic, and the zone has a quarter of the executors."""

    def test_busy_zone_sends_requests_to_idle_zones(self) -> None:
        """Otherwise its nodes take an idle local slot for most requests and overload their own zone."""
        relative_loads = []
        for seed in (1, 2, 3, 4):
            cluster = SimulatedCluster(load=0.6, seed=seed, traffic_by_zone=(0.7, 0.1, 0.1, 0.1))
            cluster.run(16)
            work = [
                (executor.zone, request.work_us)
                for at, _, executor, request in cluster.sent
                if at > 4 * SECOND_US
            ]
            speeds = [(executor.zone, executor.speed) for executor in cluster.executors.values()]
            relative_loads.append(share_of_zone_0(work) / share_of_zone_0(speeds))
        self.assertLess(sum(relative_loads) / len(relative_loads), 1.3)


def share_of_zone_0(pairs: list[tuple[int, float]]) -> float:
    """Return the share of zone 0 in the sum of values; each pair is a zone and a value."""
    return sum(value for zone, value in pairs if zone == 0) / sum(value for _, value in pairs)


class ZoneLoss(unittest.TestCase):
    """All executors of one zone are lost, and the endpoint list still contains them."""

    def test_failed_probes_and_attempts_at_a_lost_zone_stay_few(self) -> None:
        """A probe that cannot connect counts as a failed attempt; otherwise nodes keep probing the zone."""
        unanswered = 0
        for seed in (1, 2, 3):
            cluster = SimulatedCluster(load=0.6, seed=seed)
            lost = [executor for executor in cluster.executors.values() if executor.zone == 2]
            cluster.schedule(
                6 * SECOND_US,
                lambda lost=lost: [setattr(executor, "is_lost", True) for executor in lost],
            )
            cluster.run(14)
            unanswered += cluster.unanswered_count
        # Attempts and probes per node; the zone has 15 executors.
        self.assertLess(unanswered / 3 / len(cluster.balancers), 13)


class ZoneReturn(WarmingExecutorTests, unittest.TestCase):
    """The executors of a lost zone start again: idle by their reports, local to some nodes, warming up."""

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = cluster = SimulatedCluster(load=0.6, seed=4)
        lost, cls.new = [executor for executor in cluster.executors.values() if executor.zone == 0], []

        def start_new() -> None:
            cls.new.extend(
                cluster.add_executor(executor.kind, executor.zone, started_at=cluster.now)
                for executor in lost
            )
            cluster.schedule(cluster.now + SECOND_US, lambda: cluster.send_list_changes(*cls.new))

        cluster.schedule(4 * SECOND_US, lambda: [setattr(executor, "is_lost", True) for executor in lost])
        cluster.schedule(8 * SECOND_US, lambda: cluster.send_list_changes(*lost, state=ExecutorState.GONE))
        cluster.schedule(10 * SECOND_US, start_new)
        cluster.run(20)


class ClusterWithSlowDiscovery(SimulatedCluster):
    """Discovery serves one call at a time in 0.3 s; calls fail after 2 s, and at once if eight wait."""

    def __init__(self, **more) -> None:
        self.discovery_free_at = self.discovery_calls = 0
        self.first_listed_at: dict[int, int] = {}
        super().__init__(**more)

    def _subscribe(self, node: int, action: api.Subscribe) -> None:
        self.discovery_calls += 1
        wait_us = max(0, self.discovery_free_at - self.now)
        if wait_us > 8 * 0.3 * SECOND_US:
            self.schedule(
                self.now, lambda: self.deliver(node, api.EndpointList(api.EndpointListKind.FAILED, []))
            )
            return
        # Discovery serves a call even if its caller no longer waits.
        self.discovery_free_at = self.now + wait_us + 0.3 * SECOND_US
        if wait_us > 2 * SECOND_US:
            self.schedule(
                self.now + 2 * SECOND_US,
                lambda: self.deliver(node, api.EndpointList(api.EndpointListKind.FAILED, [])),
            )
        else:
            self.schedule(self.discovery_free_at, lambda: self._answer_subscribe(node))

    def _answer_subscribe(self, node: int) -> None:
        self.first_listed_at.setdefault(node, self.now)
        self.deliver(node, api.EndpointList(api.EndpointListKind.DELTA, []))


class SynchronisedRestart(unittest.TestCase):
    """All nodes start at once, and discovery serves only a few calls per second."""

    def test_every_node_gets_its_endpoint_list_within_bounded_time_and_calls(self) -> None:
        """Retries without long jittered delays keep discovery overloaded, and nodes keep old lists."""
        for seed in range(5):
            cluster = ClusterWithSlowDiscovery(load=0.01, seed=seed)
            cluster.run(40)
            self.assertEqual(len(cluster.first_listed_at), 40)
            self.assertLess(max(cluster.first_listed_at.values()), 4 * cluster.settings[0].ask_within_us)
            self.assertLess(sorted(cluster.first_listed_at.values())[30], 25 * SECOND_US)
            self.assertLess(cluster.discovery_calls, 4 * 40)


if __name__ == "__main__":
    unittest.main()
