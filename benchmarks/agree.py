"""Measure the cost and speed of consensus, in virtual time and with real replicas on the local disk.

    python benchmarks/agree.py               # all measurements, takes some minutes
    python benchmarks/agree.py --only rest grants

- `rest`: messages per second of an idle cluster with 12, 100 and 1,000 members (virtual time).
- `leader`: time without a leader after the leader is killed, with default timeouts (virtual time).
- `grants`: committed requests per second with 1, 3 and 5 real replicas, compared with sequential syncs of
  the same disk.
- `halt`: time from the first to the last node start of a bad release, the number of nodes that it reached,
  and the number of good releases that were halted without cause (virtual time).
- `keepers-gone`: served requests with no replicas, with all replicas running and with all replicas killed,
  in real processes.
"""

import argparse
import dataclasses
import multiprocessing
import os
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from cedarmill.lab.simulation.clock import SECOND  # noqa: E402
from cedarmill.lab.simulation.cluster import ClusterSimulation  # noqa: E402
from cedarmill.lab.simulation.cluster_setup import ClusterSetup  # noqa: E402
from cedarmill.lab.simulation.network import START_PHASE  # noqa: E402

SEEDS = 200
REQUEST_PHASE_S = 4.0
CONCURRENT_CLIENTS = 32
# The seed delays the kill by up to 0.1 s.
LEADER_KILL_US = 8 * SECOND


def percentiles(values: list[float]) -> str:
    """Return the median, the 99th percentile and the maximum of durations in seconds, as text."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    median, count = statistics.median(ordered), len(ordered)
    return f"p50 {median:.2f} s, p99 {p99:.2f} s, max {ordered[-1]:.2f} s, {count} runs"


def measure_idle_messages() -> None:
    """Print the messages per second of an idle cluster, for three cluster sizes."""
    for members in (12, 100, 1000):
        nodes = members // 2
        setup = ClusterSetup(
            nodes=nodes, executors=24, faults=0, drains=0, length=8 * SECOND, sends_work=False
        )
        run = ClusterSimulation(setup, 1)
        run.run()
        seconds = (setup.length - START_PHASE) / SECOND
        total, between_replicas = run.network.messages_at_rest, run.network.replica_messages_at_rest
        print(
            f"idle, {members} members: {total / seconds:.0f} messages per second, "
            f"{between_replicas / seconds:.0f} of them between replicas"
        )


def _time_without_leader(seed: int) -> float | None:
    """Kill the leader once and return the seconds until the next leader, or None without a next leader."""
    run = ClusterSimulation(ClusterSetup(faults=0, drains=0, length=16 * SECOND, nodes=2), seed)
    killed_at = LEADER_KILL_US + seed * 7919 % 100_000
    run.scheduler.after(killed_at, lambda: run.faults.leader().kill())
    run.run()
    elections = [
        event.at for event in run.history.events if event.what == "leads" and event.at > LEADER_KILL_US
    ]
    return (elections[0] - killed_at) / SECOND if elections else None


def measure_leader_outage() -> None:
    """Print percentiles of the time without a leader after a kill, over all seeds."""
    with multiprocessing.get_context("spawn").Pool() as pool:
        outages = pool.map(_time_without_leader, range(SEEDS))
    values = [value for value in outages if value is not None]
    print(
        f"time without a leader after a kill: {percentiles(values)}; "
        f"no new leader in {outages.count(None)} runs"
    )


def _run_release(task: tuple[str, int]) -> tuple[str, float, int, int]:
    """Run a release of (version, seed).

    Returns its end, the seconds from its first to its last node start, the nodes reached and the requests
    that the version received.
    """
    version, seed = task
    setup = ClusterSetup(release=version, faults=0, drains=0, nodes=12, length=60 * SECOND)
    run = ClusterSimulation(setup, seed)
    run.run()
    starts = [event.at for event in run.history.events if event.what == "starts" and event.note == version]
    ends = [event.what.removeprefix("release ") for event in run.history.events if event.who == "driver"]
    halted = "halted" in ends
    reached = len(
        {event.target for event in run.history.events if event.what == "starts" and event.note == version}
    )
    rollout_s = (max(starts) - min(starts)) / SECOND if starts else 0.0
    return (
        ("halted" if halted else ends[-1] if ends else "nothing"),
        rollout_s,
        reached,
        run.requests_of(version),
    )


def measure_release_halts() -> None:
    """Print how far bad releases get before they are halted, and how many good releases are halted."""
    with multiprocessing.get_context("spawn").Pool() as pool:
        for version in ("failing", "exiting", "late"):
            releases = pool.map(_run_release, [(version, seed) for seed in range(SEEDS)])
            halted = [release for release in releases if release[0] == "halted"]
            mean_reached = statistics.mean(release[2] for release in releases)
            mean_requests = statistics.mean(release[3] for release in releases)
            print(
                f"{version}: halted in {len(halted)} of {len(releases)}; first to last node start "
                f"{percentiles([release[1] for release in releases])}; nodes reached: mean "
                f"{mean_reached:.2f} of 12, max {max(release[2] for release in releases)}; requests "
                f"received: {100 * mean_requests / 1e4:.2f} %"
            )
        good = pool.map(_run_release, [("good", seed) for seed in range(SEEDS)])
        print(
            f"good: halted without cause in {sum(release[0] == 'halted' for release in good)} "
            f"of {len(good)} releases"
        )


def measure_sync_rate(folder: str, seconds: float = 1.0) -> float:
    """Return the sequential syncs per second of the disk, with 200 bytes written before each sync."""
    with open(Path(folder) / "floor", "ab", buffering=0) as file:
        count, deadline = 0, time.monotonic() + seconds
        while time.monotonic() < deadline:
            file.write(b"x" * 200)
            os.fdatasync(file.fileno())
            count += 1
    return count / seconds


def _send_requests(replicas: list[str], deadline: float, completed: list[int]) -> None:
    """Send requests one after the other until the deadline; append an item to `completed` for each."""
    from cedarmill.cluster.messages import SubmitRequest
    from cedarmill.cluster.state_machine import commands
    from cedarmill.net.cluster.operator import OperatorClient, new_request_id

    operator = OperatorClient("bench", replicas, "bench")
    while time.monotonic() < deadline:
        operator.send(
            SubmitRequest(commands.ReturnPermit(0, "bench", new_request_id(), "executor", "nobody"))
        )
        completed.append(1)


def measure_request_rate() -> None:
    """Print the committed requests per second.

    Each request is committed and then refused, which costs the same sync as a granted request.
    """
    from cedarmill.lab.cluster.ports import free_port

    for count in (1, 3, 5):
        with tempfile.TemporaryDirectory() as folder:
            ports = {f"k{n}": free_port() for n in range(count)}
            processes = []
            for name, port in ports.items():
                peers = "".join(f'<peer name="{n}" address="127.0.0.1:{p}"/>' for n, p in ports.items())
                path = Path(folder) / f"{name}.xml"
                path.write_text(
                    f'<keeper version="1" cluster="bench" name="{name}" '
                    f'listen="127.0.0.1:{port}" data="{folder}/{name}">{peers}</keeper>'
                )
                command = [sys.executable, "-m", "cedarmill.cli", "keeper", "-c", str(path)]
                subprocess.run([*command, "--init"], cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
                processes.append(subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL))
            replicas = [f"127.0.0.1:{port}" for port in ports.values()]
            _send_requests(replicas, time.monotonic() + 0.1, [])  # waits for a leader
            for client_count in (1, CONCURRENT_CLIENTS):
                completed: list[int] = []
                deadline = time.monotonic() + REQUEST_PHASE_S
                threads = [
                    threading.Thread(target=_send_requests, args=(replicas, deadline, completed))
                    for _ in range(client_count)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                sync_rate = measure_sync_rate(folder)
                rate = len(completed) / REQUEST_PHASE_S
                print(
                    f"{count} replicas, {client_count} clients: {rate:.0f} committed requests per second; "
                    f"syncs only: {sync_rate:.0f} per second ({rate / sync_rate:.2f}x)"
                )
            for process in processes:
                process.kill()
                process.wait()


def measure_replica_loss() -> None:
    """Print how the same load is served without replicas, with replicas, and with all replicas killed."""
    from cedarmill.lab.cluster.report import make_verdict
    from cedarmill.lab.cluster.run import play
    from cedarmill.lab.cluster.scenario import ScenarioEvent, read_scenario

    undisturbed = dataclasses.replace(read_scenario("drains"), timeline=())
    kill = ScenarioEvent("process", 3 * SECOND, 0, {"name": "keeper-*", "fault": "kill"})
    without_replicas = dataclasses.replace(
        undisturbed, layout=dataclasses.replace(undisturbed.layout, replicas=0)
    )
    with_kill = dataclasses.replace(undisturbed, timeline=(kill,))
    for name, scenario in (
        ("no replicas", without_replicas),
        ("replicas running", undisturbed),
        ("all replicas killed at 3 s", with_kill),
    ):
        verdict = make_verdict(play(scenario, 1))
        print(
            f"{name}: {verdict.served} of {verdict.calls} served ({verdict.served / verdict.calls:.2%}), "
            f"{verdict.refused} refused, {verdict.failed} failed, {verdict.broken} broken"
        )


MEASUREMENTS = {
    "rest": measure_idle_messages,
    "leader": measure_leader_outage,
    "grants": measure_request_rate,
    "halt": measure_release_halts,
    "keepers-gone": measure_replica_loss,
}


def main() -> None:
    """Run the selected measurements."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--only", nargs="+", choices=MEASUREMENTS, default=list(MEASUREMENTS))
    for name in parser.parse_args().only:
        began = time.monotonic()
        MEASUREMENTS[name]()
        print(f"{name} took {time.monotonic() - began:.0f} s", flush=True)


if __name__ == "__main__":
    main()
