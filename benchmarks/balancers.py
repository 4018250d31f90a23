"""The CPU of one event of the module at 12 and at 60 workers, in one run: `python benchmarks/balancers.py`.

The figures that count are the ratios, pair by pair; the spread is that of the pairs.
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

PAIRS, JOBS = 9, 4_000
GAP_US = 20_000  # between jobs: 50 a second at one node
RUN_US = 400_000


def play(workers: int, seed: int) -> float:
    """Seconds of CPU for one job: its arrival, its probes, its end."""
    random, balancer = Random(seed), Balancer(balancer_settings(40, 0), seed)
    ready = api.ExecutorState.READY
    entries = [api.EndpointEntry(n, ready, n % 4, n // 4, 0, 2.0 + n % 2) for n in range(workers)]
    balancer.handle(BALANCER_CLOCK_START_US, api.EndpointList(api.EndpointListKind.CACHED, entries))
    out: list[tuple[int, int, int]] = []  # due, request, worker
    spent, now = 0.0, BALANCER_CLOCK_START_US

    def take(event: api.Event) -> None:
        nonlocal spent
        began = time.process_time()
        actions = balancer.handle(now, event)
        spent += time.process_time() - began
        for action in actions:
            if isinstance(action, api.Send):
                out.append((now + RUN_US, action.request, action.executor))
            elif isinstance(action, api.Probe):
                report = (random.choice((0.0, 1.0, 2.0)) + random.random() / 100, 0.0, 0.0, 10.0)
                take(api.ProbeEnded(action.executor, api.Outcome.OK, report))

    for number in range(1, JOBS + 1):
        now += GAP_US
        while out and out[0][0] <= now:
            _, request, worker = out.pop(0)
            take(api.AttemptEnded(request, 0, worker, api.Outcome.OK, True))
        take(api.RequestArrived(number, number % 2, 6_000_000, hint_us=RUN_US))
    return spent / JOBS


def main() -> None:
    pairs = [(play(12, seed), play(60, seed)) for seed in range(PAIRS)]
    for name, figures in (("12 workers", [a for a, _ in pairs]), ("60 workers", [b for _, b in pairs])):
        low, middle, high = (f(figures) * 1e6 for f in (min, statistics.median, max))
        print(f"{name}: {middle:.0f} us a job ({low:.0f} to {high:.0f})")
    ratios = [b / a for a, b in pairs]
    print(f"60 over 12: {statistics.median(ratios):.2f} ({min(ratios):.2f} to {max(ratios):.2f})")


if __name__ == "__main__":
    main()
