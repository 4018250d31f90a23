"""Number of executors: the connections that one balancer uses grow little with the length of the list."""

import unittest
from random import Random

from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from tests.support.balancer_simulation import BALANCER_CLOCK_START_US, SECOND_US, balancer_settings

USUAL_COUNT, LARGE_COUNT = 200, 3_200  # executors
IDLE_TIMEOUT_US = 5 * SECOND_US  # after which an unused connection is closed
REQUESTS_PER_S, RUN_S, REQUEST_RUN_US = 30, 15, 50_000


def count_connections(executor_count: int, seed: int) -> int:
    """Return how often a balancer sends to an executor to which no connection is open."""
    random, balancer = Random(seed), Balancer(balancer_settings(200, 0), seed)
    entries = [
        api.EndpointEntry(number, api.ExecutorState.READY, number % 4, number // 4, 0, 1.0)
        for number in range(executor_count)
    ]
    balancer.handle(BALANCER_CLOCK_START_US, api.EndpointList(api.EndpointListKind.CACHED, entries))
    used_at: dict[int, int] = {}
    ends: list[tuple[int, int, int]] = []  # due time (us), request, executor
    connections, now = 0, BALANCER_CLOCK_START_US

    def execute(actions: list[api.Action]) -> None:
        nonlocal connections
        for action in actions:
            if not isinstance(action, api.Send | api.Probe):
                continue
            connections += now - used_at.get(action.executor, -IDLE_TIMEOUT_US) >= IDLE_TIMEOUT_US
            used_at[action.executor] = now
            if isinstance(action, api.Send):
                ends.append((now + REQUEST_RUN_US, action.request, action.executor))
            else:
                report = (random.choice((1.0, 2.0)) + random.random() / 100, 0.0, 0.0, 10.0)
                execute(balancer.handle(now, api.ProbeEnded(action.executor, api.Outcome.OK, report)))

    for number in range(1, REQUESTS_PER_S * RUN_S + 1):
        now += SECOND_US // REQUESTS_PER_S
        while ends and ends[0][0] <= now:
            _, request, executor = ends.pop(0)
            execute(balancer.handle(now, api.AttemptEnded(request, 0, executor, api.Outcome.OK, True)))
        execute(balancer.handle(now, api.RequestArrived(number, number % 2, 2 * SECOND_US)))
    return connections


class ConnectionCounts(unittest.TestCase):
    def test_sixteen_times_the_executors_need_few_more_connections(self):
        """Selection must reuse recent executors; otherwise nearly every request opens new connections."""
        for seed in range(5):
            with self.subTest(seed=seed):
                self.assertLessEqual(
                    count_connections(LARGE_COUNT, seed), 2.5 * count_connections(USUAL_COUNT, seed) + 40
                )


if __name__ == "__main__":
    unittest.main()
