"""What agreement costs and how fast it is: in virtual time, and over real replicas on this machine's disk.

    python benchmarks/agree.py               # all, some minutes
    python benchmarks/agree.py --only rest grants

- `rest`: messages a second with nothing going on, for 12, 100 and 1,000 members (virtual time).
- `leader`: the time without a leader after one is killed (virtual time, by the replicas' own time-outs).
- `grants`: agreed requests a second over 1, 3 and 5 real replicas, against one sync after the other on this
  disk.
- `halt`: from a bad version's first request to the last node started with it; the nodes that it reached; and
  how many good releases were halted for nothing (virtual time).
- `keepers-gone`: what is served with all replicas killed, against the same without, in one run of real
  processes.
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
GRANTS_S = 4.0  # of asking
ASKERS = 32  # operators at once
KILL_AT = 8 * SECOND  # us, of the leader; up to 0.1 s later by the seed


def percentiles(values: list[float]) -> str:
    """Median, 99th and worst."""
    ordered = sorted(values)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    middle, count = statistics.median(ordered), len(ordered)
    return f"p50 {middle:.2f} s, p99 {p99:.2f} s, worst {ordered[-1]:.2f} s, of {count}"


def rest() -> None:
    """Messages a second."""
    for members in (12, 100, 1000):
        nodes = members // 2
        setup = ClusterSetup(
            nodes=nodes, executors=24, faults=0, drains=0, length=8 * SECOND, sends_work=False
        )
        run = ClusterSimulation(setup, 1)
        run.run()
        seconds = (setup.length - START_PHASE) / SECOND
        every, between = run.network.messages_at_rest, run.network.replica_messages_at_rest
        print(
            f"at rest, {members} members: {every / seconds:.0f} messages a second in all, "
            f"{between / seconds:.0f} of them between the replicas"
        )


def _time_without_leader(seed: int) -> float | None:
    """Kill the leader once; how long till another leads (s)."""
    run = ClusterSimulation(ClusterSetup(faults=0, drains=0, length=16 * SECOND, nodes=2), seed)
    killed_at = KILL_AT + seed * 7919 % 100_000
    run.scheduler.after(killed_at, lambda: run.faults.leader().kill())
    run.run()
    leads = [event.at for event in run.history.events if event.what == "leads" and event.at > KILL_AT]
    return (leads[0] - killed_at) / SECOND if leads else None


def leader() -> None:
    """Without a leader."""
    with multiprocessing.get_context("spawn").Pool() as pool:
        found = pool.map(_time_without_leader, range(SEEDS))
    values = [value for value in found if value is not None]
    print(f"without a leader after a kill: {percentiles(values)}; never again in {found.count(None)} runs")


def _release(job: tuple[str, int]) -> tuple[str, float, int, int]:
    """A release: its end, from its first request to the last start (s), nodes reached, requests it got."""
    version, seed = job
    setup = ClusterSetup(release=version, faults=0, drains=0, nodes=12, length=60 * SECOND)
    run = ClusterSimulation(setup, seed)
    run.run()
    starts = [e.at for e in run.history.events if e.what == "starts" and e.note == version]
    ends = [e.what.removeprefix("release ") for e in run.history.events if e.who == "driver"]
    halted = "halted" in ends
    touched = len({e.target for e in run.history.events if e.what == "starts" and e.note == version})
    last = (max(starts) - min(starts)) / SECOND if starts else 0.0
    return ("halted" if halted else ends[-1] if ends else "nothing"), last, touched, run.requests_of(version)


def halt() -> None:
    """Bad versions, and good ones."""
    with multiprocessing.get_context("spawn").Pool() as pool:
        for version in ("failing", "exiting", "late"):
            found = pool.map(_release, [(version, seed) for seed in range(SEEDS)])
            halted = [one for one in found if one[0] == "halted"]
            reached = statistics.mean(one[2] for one in found)
            share = statistics.mean(one[3] for one in found)
            print(
                f"{version}: halted in {len(halted)} of {len(found)}; first to last start "
                f"{percentiles([one[1] for one in found])}; nodes reached {reached:.2f} of 12 in the mean, "
                f"at the most {max(one[2] for one in found)}; requests got {100 * share / 1e4:.2f} %"
            )
        good = pool.map(_release, [("good", seed) for seed in range(SEEDS)])
        print(
            f"good: halted for nothing in {sum(one[0] == 'halted' for one in good)} of {len(good)} releases"
        )


def floor(folder: str, seconds: float = 1.0) -> float:
    """Syncs a second on this disk, one after the other, each of some hundred bytes."""
    with open(Path(folder) / "floor", "ab", buffering=0) as file:
        count, until = 0, time.monotonic() + seconds
        while time.monotonic() < until:
            file.write(b"x" * 200)
            os.fdatasync(file.fileno())
            count += 1
    return count / seconds


def _asker(replicas: list[str], until: float, done: list[int]) -> None:
    from cedarmill.cluster.messages import SubmitRequest
    from cedarmill.cluster.state_machine import commands
    from cedarmill.net.cluster.operator import OperatorClient, new_id

    operator = OperatorClient("bench", replicas, "bench")
    while time.monotonic() < until:
        operator.ask(SubmitRequest(commands.ReturnPermit(0, "bench", new_id(), "executor", "nobody")))
        done.append(1)


def grants() -> None:
    """Agreed requests a second; what each asks is decided and refused, which costs the same sync."""
    from cedarmill.lab.cluster.process_group import free_port

    for count in (1, 3, 5):
        with tempfile.TemporaryDirectory() as folder:
            ports = {f"k{n}": free_port() for n in range(count)}
            running = []
            for name, port in ports.items():
                peers = "".join(f'<peer name="{n}" address="127.0.0.1:{p}"/>' for n, p in ports.items())
                path = Path(folder) / f"{name}.xml"
                path.write_text(
                    f'<keeper version="1" cluster="bench" name="{name}" '
                    f'listen="127.0.0.1:{port}" data="{folder}/{name}">{peers}</keeper>'
                )
                command = [sys.executable, "-m", "cedarmill.cli", "keeper", "-c", str(path)]
                subprocess.run([*command, "--init"], cwd=ROOT, check=True, stdout=subprocess.DEVNULL)
                running.append(subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL))
            replicas = [f"127.0.0.1:{port}" for port in ports.values()]
            _asker(replicas, time.monotonic() + 0.1, [])  # till there is a leader
            for askers in (1, ASKERS):
                done: list[int] = []
                until = time.monotonic() + GRANTS_S
                threads = [
                    threading.Thread(target=_asker, args=(replicas, until, done)) for _ in range(askers)
                ]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                syncs = floor(folder)
                rate = len(done) / GRANTS_S
                print(
                    f"{count} keepers, {askers} askers: {rate:.0f} agreed a second; syncs alone: "
                    f"{syncs:.0f} a second ({rate / syncs:.2f}x)"
                )
            for process in running:
                process.kill()
                process.wait()


def replicas_gone() -> None:
    """Two runs of the same load, one with all replicas killed in the middle."""
    from cedarmill.lab.cluster.report import verdict_of
    from cedarmill.lab.cluster.run import play
    from cedarmill.lab.cluster.scenario import ScenarioEvent, read

    plain = dataclasses.replace(read("drains"), timeline=())
    gone = ScenarioEvent("process", 3 * SECOND, 0, {"name": "keeper-*", "fault": "kill"})
    none = dataclasses.replace(plain, fleet=dataclasses.replace(plain.fleet, keepers=0))
    killed = dataclasses.replace(plain, timeline=(gone,))
    for name, scenario in (
        ("no fleet", none),
        ("keepers well", plain),
        ("all keepers killed at 3 s", killed),
    ):
        found = verdict_of(play(scenario, 1))
        print(
            f"{name}: {found.served} of {found.calls} served ({found.served / found.calls:.2%}), "
            f"{found.refused} refused, {found.failed} failed, {found.broken} broken"
        )


ALL = {"rest": rest, "leader": leader, "grants": grants, "halt": halt, "keepers-gone": replicas_gone}


def main() -> None:
    """Measure what is asked for."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--only", nargs="+", choices=ALL, default=list(ALL))
    for name in parser.parse_args().only:
        began = time.monotonic()
        ALL[name]()
        print(f"{name} took {time.monotonic() - began:.0f} s", flush=True)


if __name__ == "__main__":
    main()
