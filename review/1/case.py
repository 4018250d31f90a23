"""Bad clients send header sections that pass the node's bounds; the platform kills a node over its memory.

They do so in two ways, each against a node of its own: a trailer without an end behind a chunked request, and
a head of thousands of short fields on a request that stops half way.
"""

import asyncio
import itertools
import signal
import string
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
BUDGET_S = 6.0
ANSWER_GRACE_S = 0.5
BAD_CLIENT_S = 6.0
TRAILER_CLIENTS = 24
TRAILER_BYTES = 15 * 1024 * 1024  # at most, a quarter of what a bad client may send
BLOCK = b"a" * 65536
SHORT_FIELD_CLIENTS = 470  # "others connect by hundreds"
SHORT_FIELDS = 6200
NAME_CHARACTERS = string.ascii_lowercase + string.digits + "!#$%&'*+-.^_`|~"


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


def short_fields() -> bytes:
    """Return header fields with names of two and three characters and empty values."""
    names = itertools.chain.from_iterable(
        itertools.product(NAME_CHARACTERS, repeat=length) for length in (2, 3)
    )
    return b"".join("".join(name).encode() + b":\r\n" for name in itertools.islice(names, SHORT_FIELDS))


class Play:
    """One node with its clients, and bad clients of one way."""

    def __init__(self, stage: Stage, port: int, way: str) -> None:
        self.stage, self.record, self.port, self.way = stage, stage.record, port, way
        self.fields = short_fields() if stage.trouble else b""
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
            self.record.add("platform", f"{self.way}: the most memory that the node held: {peak:.0f} MB")

    async def usual_client(self, number: int) -> None:
        """Send one job after another on a kept connection; count those that get no answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        while self.is_sending:
            call_id = f"{next(self.call_ids):016x}"
            name = "pin-confirm" if number % 2 else "code-issue"
            text = request_text(call_id, name, int(BUDGET_S * 1000), guarded=name == "pin-confirm")
            writer.write(text)
            self.record.add(f"client {number}", f"sends {name} {call_id}")
            try:
                answer = await asyncio.wait_for(read_answer(reader), BUDGET_S + ANSWER_GRACE_S)
            except TimeoutError:
                answer = None
            self.record.add(f"client {number}", f"{call_id} gets {answer.status if answer else 'no answer'}")
            if answer is None:
                self.unanswered += 1
                break
        writer.close()

    async def bad_client(self, number: int) -> None:
        """Send what the way says, at full speed, and read the error or the close."""
        began_at = now()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            send = self.send_trailer if self.way == "trailers" else self.send_short_fields
            sent = await send(number, writer)
            answer = await asyncio.wait_for(read_answer(reader), BAD_CLIENT_S)
            result = f"sent {sent} bytes, got {answer.status if answer else 'a close'}"
            writer.close()
        except (OSError, TimeoutError) as error:
            result = f"got {type(error).__name__}"
        self.record.add(f"bad {number}", f"{result} in {now() - began_at:.2f} s")

    async def send_trailer(self, number: int, writer: asyncio.StreamWriter) -> int:
        """Send a chunked request; its trailer has no end, or a proper one without the trouble."""
        head = request_text(f"bad{number:013x}", "pin-confirm", 5000, b"").split(b"Content-Length")[0]
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ")
        if not self.stage.trouble:
            writer.write(b"a\r\n\r\n")
            return 1
        sent, until = 0, now() + BAD_CLIENT_S
        while sent < TRAILER_BYTES and now() < until:
            writer.write(BLOCK)
            await writer.drain()
            sent += len(BLOCK)
        return sent

    async def send_short_fields(self, number: int, writer: asyncio.StreamWriter) -> int:
        """Send a request without its body; its head holds many short fields, or none without the trouble."""
        head = request_text(f"bad{number:013x}", "pin-confirm", 5000, b"").removesuffix(b"0\r\n\r\n")
        text = head + b"100\r\n" + self.fields + b"\r\n"
        writer.write(text)
        await writer.drain()
        return len(text)


async def play_way(stage: Stage, way: str, bad_clients: int) -> bool:
    executors = [await stage.executor(f"s-{number}", serve_job, slots=8) for number in (1, 2)]
    discovery = await stage.discovery(*executors)
    port = free_port()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    process = stage.platform.start(stage.config(discovery, port, settings(), limits))
    await wait_ready(port)
    case = Play(stage, port, way)
    watch = asyncio.create_task(case.watch_memory(process))
    usual = [asyncio.create_task(case.usual_client(number)) for number in range(USUAL_CLIENTS)]
    await asyncio.sleep(QUIET_S)
    bad = [asyncio.create_task(case.bad_client(number)) for number in range(bad_clients)]
    await asyncio.sleep(LOAD_S - QUIET_S)
    case.is_sending = False
    await asyncio.gather(*usual, *bad, return_exceptions=True)
    crashed = case.killed or process.poll() is not None
    watch.cancel()
    await asyncio.gather(watch, return_exceptions=True)
    if not crashed:
        stage.platform.signal(process, signal.SIGKILL)  # the end of this node's play
    stage.record.add(
        "test", f"{way}: crashed {crashed}, jobs of usual clients without an answer {case.unanswered}"
    )
    return not crashed and not case.unanswered


async def play(stage: Stage) -> bool:
    held = [
        await play_way(stage, "trailers", TRAILER_CLIENTS),
        await play_way(stage, "short fields", SHORT_FIELD_CLIENTS),
    ]
    return all(held)


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
