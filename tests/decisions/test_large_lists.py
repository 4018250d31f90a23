"""Sixteen times the executors under the same traffic: what one balancer uses of them stays bounded."""

import unittest
from random import Random

from cedarmill.decisions import interface as api
from cedarmill.decisions.balancer import Balancer
from tests.support.balancer_simulation import OFFSET, S, node_settings

USUAL, MANY = 200, 3_200  # executors
IDLE_US = 5 * S  # after which an unused connection is closed
RATE, SECONDS, RUN_US = 30, 15, 50_000  # requests a second


def connections_made(executors: int, seed: int) -> int:
    """How often a balancer turns to an executor to which no connection is left open."""
    random, balancer = Random(seed), Balancer(node_settings(200, 0), seed)
    entries = [
        api.EndpointEntry(number, api.ExecutorState.READY, number % 4, number // 4, 0, 1.0)
        for number in range(executors)
    ]
    balancer.handle(OFFSET, api.EndpointList(api.EndpointListKind.CACHED, entries))
    used_at: dict[int, int] = {}
    ends: list[tuple[int, int, int]] = []  # due (us), request, executor
    made, now = 0, OFFSET

    def carry_out(actions: list[api.Action]) -> None:
        nonlocal made
        for action in actions:
            if not isinstance(action, api.Send | api.Probe):
                continue
            made += now - used_at.get(action.executor, -IDLE_US) >= IDLE_US
            used_at[action.executor] = now
            if isinstance(action, api.Send):
                ends.append((now + RUN_US, action.request, action.executor))
            else:
                report = (random.choice((1.0, 2.0)) + random.random() / 100, 0.0, 0.0, 10.0)
                carry_out(balancer.handle(now, api.ProbeEnded(action.executor, api.Outcome.OK, report)))

    for number in range(1, RATE * SECONDS + 1):
        now += S // RATE
        while ends and ends[0][0] <= now:
            _, request, executor = ends.pop(0)
            carry_out(balancer.handle(now, api.AttemptEnded(request, 0, executor, api.Outcome.OK, True)))
        carry_out(balancer.handle(now, api.RequestArrived(number, number % 2, 2 * S)))
    return made


class Connections(unittest.TestCase):
    def test_sixteen_times_the_executors_take_few_more_connections(self):
        """Each request met executors that had not been used for long: nearly each opened connections."""
        for seed in range(5):
            with self.subTest(seed=seed):
                self.assertLessEqual(connections_made(MANY, seed), 2.5 * connections_made(USUAL, seed) + 40)


if __name__ == "__main__":
    unittest.main()
