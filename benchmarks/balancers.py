"""Measure the balancer's CPU time for one request with 12 and with 60 executors.

    python benchmarks/balancers.py

Both sizes run in pairs with the same seed. Compare the ratios of the pairs: absolute times depend on the
machine.
"""

import statistics
import sys
import time
from pathlib import Path
from random import Random

sys.path[:0] = [str(Path(__file__).parents[1])]

from cedarmill.decisions import interface as api  # noqa: E402
from cedarmill.decisions.balancer import Balancer  # noqa: E402
from tests.support.balancer_simulation import BALANCER_CLOCK_START_US, balancer_settings  # noqa: E402

PAIRS, REQUESTS = 9, 4_000
ARRIVAL_INTERVAL_US = 20_000  # 50 requests per second at one node
REQUEST_DURATION_US = 400_000


def measure_cpu_time(executors: int, seed: int) -> float:
    """Return the mean CPU seconds for one request: its arrival, its probes and its end."""
    random, balancer = Random(seed), Balancer(balancer_settings(40, 0), seed)
    ready = api.ExecutorState.READY
    entries = [api.EndpointEntry(n, ready, n % 4, n // 4, 0, 2.0 + n % 2) for n in range(executors)]
    balancer.handle(BALANCER_CLOCK_START_US, api.EndpointList(api.EndpointListKind.CACHED, entries))
    running: list[tuple[int, int, int]] = []  # end time (us), request, executor
    cpu_time, now = 0.0, BALANCER_CLOCK_START_US

    def handle(event: api.Event) -> None:
        """Pass an event to the balancer, and answer its probes at once."""
        nonlocal cpu_time
        began = time.process_time()
        actions = balancer.handle(now, event)
        cpu_time += time.process_time() - began
        for action in actions:
            if isinstance(action, api.Send):
                running.append((now + REQUEST_DURATION_US, action.request, action.executor))
            elif isinstance(action, api.Probe):
                report = (random.choice((0.0, 1.0, 2.0)) + random.random() / 100, 0.0, 0.0, 10.0)
                handle(api.ProbeEnded(action.executor, api.Outcome.OK, report))

    for number in range(1, REQUESTS + 1):
        now += ARRIVAL_INTERVAL_US
        while running and running[0][0] <= now:
            _, request, executor = running.pop(0)
            handle(api.AttemptEnded(request, 0, executor, api.Outcome.OK, True))
        handle(api.RequestArrived(number, number % 2, 6_000_000, hint_us=REQUEST_DURATION_US))
    return cpu_time / REQUESTS


def main() -> None:
    """Print the CPU time for one request with each number of executors, and their ratio."""
    pairs = [(measure_cpu_time(12, seed), measure_cpu_time(60, seed)) for seed in range(PAIRS)]
    for name, times in (
        ("12 executors", [small for small, _ in pairs]),
        ("60 executors", [large for _, large in pairs]),
    ):
        low, median, high = (function(times) * 1e6 for function in (min, statistics.median, max))
        print(f"{name}: {median:.0f} us per request ({low:.0f} to {high:.0f})")
    ratios = [large / small for small, large in pairs]
    print(f"60 executors to 12: {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})")


if __name__ == "__main__":
    main()
