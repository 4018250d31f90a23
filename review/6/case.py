"""A bad client sends the id of another client's open request behind requests of its own."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import bench2
from bench2 import BROKEN, HELD, TROUBLE, CannotRun, Client, Discovery, Executor, Job, Node, Record

OPEN_ID = "9b1f03aa5c7e2d41"  # the usual client's request, of the class that must never run twice
RUN_S = {OPEN_ID: 1.2, "b000000000000001": 1.8, "b000000000000002": 0.2, "b000000000000003": 0.2}


def run_job(job: Job) -> None:
    time.sleep(RUN_S[job.id])
    job.done(f"code for {job.body.decode()}")


def case(record: Record) -> int:
    executors = [Executor(record, f"s-{number}", run_job) for number in range(3)]
    node = Node(record, Discovery(record, executors))
    try:
        return play(record, node, executors)
    finally:
        node.stop()


def play(record: Record, node: Node, executors: list[Executor]) -> int:
    node.wait_ready()
    usual, bad = Client(node, "usual"), Client(node, "bad")
    usual.send(bench2.request_bytes(OPEN_ID, body=b"plot 7, Ngong Road"))
    record.add("usual", f"sends {OPEN_ID}")
    time.sleep(0.1)
    bad.send(
        bench2.request_bytes("b000000000000001", body=b"bad 1")
        + bench2.request_bytes("b000000000000002", body=b"bad 2")
    )
    record.add("bad", "sends two requests of its own at once")
    time.sleep(0.3)
    third = OPEN_ID if TROUBLE else "b000000000000003"
    bad.send(bench2.request_bytes(third, body=b"bad 3"))
    sent_at = record.add("bad", f"sends {third}, whole, on the same connection")
    answer = usual.read_answer(5)
    answered_at = record.add("usual", f"answer to {OPEN_ID}: {answer}")
    if answer is None or answer.status != 200 or answered_at < sent_at:
        raise CannotRun("the usual client's request was not open when the bad client sent its id")
    answers = [bad.read_answer(5) for _ in range(3)]
    for number, each in enumerate(answers):
        record.add("bad", f"answer {number + 1}: {each}")
    runs = [job.id for executor in executors for job in executor.jobs].count(OPEN_ID)
    record.add(
        "check", f"{OPEN_ID}, which must never run twice and was served, reached executors {runs} times"
    )
    if not TROUBLE and [each.status if each else 0 for each in answers] != [200, 200, 200]:
        raise CannotRun("the bad client's own requests were not served")
    return BROKEN if runs > 1 else HELD


bench2.play(__file__, case)
