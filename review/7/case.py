"""Executors spoil some answers: the last line says `done` and has no `result`."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import bench2
from bench2 import BROKEN, HELD, TROUBLE, CannotRun, Client, Discovery, Executor, Job, Node, Record

REQUESTS = 60
SPOILT_EVERY = 6  # jobs; one in six answers is spoilt
given: dict[str, str] = {}  # the results that executors gave, by id
spoilt: set[str] = set()
taken = 0
lock = threading.Lock()


def run_job(job: Job) -> None:
    global taken
    time.sleep(0.1)
    with lock:
        taken += 1
        is_spoilt = TROUBLE and taken % SPOILT_EVERY == 0
        if is_spoilt:
            spoilt.add(job.id)
        else:
            given[job.id] = f"code-{job.id}"
    if is_spoilt:
        job.finish(id=job.id, **{"from": job.executor.name}, state="done")
    else:
        job.done(given[job.id])


def case(record: Record) -> int:
    executors = [Executor(record, f"s-{number}", run_job) for number in range(4)]
    node = Node(record, Discovery(record, executors))
    try:
        node.wait_ready()
        client, broken, served = Client(node, "client"), 0, 0
        for number in range(REQUESTS):
            call_id = f"c{number:015x}"
            client.send(bench2.request_bytes(call_id))
            record.add("client", f"sends {call_id}")
            answer = client.read_answer(12.5)
            record.add("client", f"answer to {call_id}: {answer}")
            if answer is None:
                raise CannotRun(f"no answer to {call_id}")
            if answer.status != 200:
                continue
            served += 1
            if call_id not in given or answer.body != given[call_id].encode():
                broken += 1
                record.add("check", f"{call_id} was served with {answer.body!r}, which no executor gave")
    finally:
        node.stop()
    record.add(
        "check", f"{served} of {REQUESTS} served, {len(spoilt)} answers spoilt, {broken} served wrongly"
    )
    if served < REQUESTS // 2:
        raise CannotRun("too few requests were served")
    return BROKEN if broken else HELD


bench2.play(__file__, case)
