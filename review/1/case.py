"""Bad clients send chunked requests whose trailer has no end; the platform kills a node over its memory."""

import asyncio
import itertools
import signal
import subprocess
import sys
from pathlib import Path

from standins import (
    Executor,
    Job,
    Stage,
    free_port,
    main,
    now,
    read_answer,
    request_text,
    settings,
    wait_ready,
)

MEMORY_MB = 192  # "On scored days the limits are at most 192 MB and 1,024 descriptors"
SOCKETS = 1024
PLATFORM_POLL_S = 0.01
USUAL_CLIENTS = 6
QUIET_S = 2.0  # before the bad clients come
LOAD_S = 8.0
RUN_S = 0.5  # of one job
BAD_CLIENTS = 24
TRAILER_BYTES = 15 * 1024 * 1024  # at most, a quarter of what a bad client may send
BLOCK = b"a" * 65536
ANSWER_GRACE_S = 0.5


async def serve_job(executor: Executor, job: Job) -> None:
    await asyncio.sleep(RUN_S)
    await job.done(load=executor.load())


def memory_mb(process: subprocess.Popen[bytes]) -> float:
    """Return the private memory of the node's processes, which is the least that a platform can count."""
    pids, total = [process.pid], 0
    while pids:
        pid = pids.pop()
        try:
            status = Path(f"/proc/{pid}/status").read_text()
            pids += map(int, Path(f"/proc/{pid}/task/{pid}/children").read_text().split())
        except OSError:
            continue
        total += sum(int(line.split()[1]) for line in status.splitlines() if line.startswith("RssAnon"))
    return total / 1024


class Play:
    def __init__(self, stage: Stage, port: int) -> None:
        self.stage, self.record, self.port = stage, stage.record, port
        self.call_ids = itertools.count(1)
        self.is_sending = True
        self.unanswered = 0
        self.killed = False

    async def watch_memory(self, process: subprocess.Popen[bytes]) -> None:
        """Kill the node once it holds more than its limit, as the platform does; record the peak."""
        peak = 0.0
        try:
            while process.poll() is None:
                peak = max(peak, used := memory_mb(process))
                if used > MEMORY_MB:
                    self.killed = True
                    self.record.add("platform", f"the node holds {used:.0f} MB of {MEMORY_MB}: killed")
                    self.stage.platform.signal(process, signal.SIGKILL)
                    return
                await asyncio.sleep(PLATFORM_POLL_S)
        finally:
            self.record.add("platform", f"the most memory that the node held: {peak:.0f} MB")

    async def usual_client(self, number: int) -> None:
        """Send one job after another on a kept connection; count those that get no answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        while self.is_sending:
            call_id = f"{next(self.call_ids):016x}"
            name = "pin-confirm" if number % 2 else "code-issue"
            writer.write(request_text(call_id, name, 6000, guarded=name == "pin-confirm"))
            self.record.add(f"client {number}", f"sends {name} {call_id}")
            try:
                answer = await asyncio.wait_for(read_answer(reader), 6.0 + ANSWER_GRACE_S)
            except TimeoutError:
                answer = None
            self.record.add(f"client {number}", f"{call_id} gets {answer.status if answer else 'no answer'}")
            if answer is None:
                self.unanswered += 1
                break
        writer.close()

    async def bad_client(self, number: int) -> None:
        """Send a chunked request; its trailer has no end, or a proper one without the trouble."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        head = request_text(f"bad{number:013x}", "pin-confirm", 5000, b"").split(b"Content-Length")[0]
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ")
        sent, began_at = 0, now()
        try:
            if self.stage.trouble:
                while sent < TRAILER_BYTES and now() < began_at + 6.0:
                    writer.write(BLOCK)
                    await writer.drain()
                    sent += len(BLOCK)
            else:
                writer.write(b"a\r\n\r\n")
            answer = await asyncio.wait_for(read_answer(reader), 6.0)
            result = str(answer.status) if answer else "a close"
        except (OSError, TimeoutError) as error:
            result = type(error).__name__
        at_s = now() - began_at
        self.record.add(f"bad client {number}", f"sent {sent} bytes of trailer, got {result} in {at_s:.2f} s")
        writer.close()


async def play(stage: Stage) -> bool:
    executors = [await stage.executor(f"s-{number}", serve_job, slots=8) for number in (1, 2)]
    discovery = await stage.discovery(*executors)
    port = free_port()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    process = stage.platform.start(stage.config(discovery, port, settings(), limits))
    await wait_ready(port)
    case = Play(stage, port)
    watch = asyncio.create_task(case.watch_memory(process))
    usual = [asyncio.create_task(case.usual_client(number)) for number in range(USUAL_CLIENTS)]
    await asyncio.sleep(QUIET_S)
    bad = [asyncio.create_task(case.bad_client(number)) for number in range(BAD_CLIENTS)]
    await asyncio.sleep(LOAD_S - QUIET_S)
    case.is_sending = False
    await asyncio.gather(*usual, *bad, return_exceptions=True)
    crashed = case.killed or process.poll() is not None
    watch.cancel()
    await asyncio.gather(watch, return_exceptions=True)
    stage.record.add(
        "test", f"crashed: {crashed}; jobs of usual clients without an answer: {case.unanswered}"
    )
    return not crashed and not case.unanswered


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
