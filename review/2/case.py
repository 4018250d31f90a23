"""While a process of the node is replaced, a bad client sends the id of another client's open request."""

import asyncio
import signal
import socket
import subprocess
import sys
from pathlib import Path

from standins import (
    Answer,
    CannotRunError,
    Executor,
    Job,
    Stage,
    call_admin,
    free_port,
    main,
    read_answer,
    request_text,
    settings,
    wait_ready,
)

ROUNDS = 3
RUN_S = 3.0  # of the job
BUDGET_MS = 10_000
YES_POLL_S = 0.02
NEW_PROCESS_LIMIT_S = 6.0  # "SIGTERM reaches the old process when the new process says yes, within 6 s"


async def serve_job(executor: Executor, job: Job) -> None:
    await asyncio.sleep(RUN_S)
    await job.done(load=executor.load())


async def ask(stage: Stage, port: int, who: str, call_id: str) -> Answer | None:
    """Send a code-issue on a new connection and return its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request_text(call_id, "code-issue", BUDGET_MS))
    stage.record.add(who, f"sends code-issue {call_id}")
    answer = await asyncio.wait_for(read_answer(reader), BUDGET_MS / 1000 + 1)
    text = f"{answer.status} {answer.body.decode().strip()}" if answer else "a close"
    stage.record.add(who, f"{call_id} gets {text}")
    writer.close()
    return answer


async def replace_process(
    stage: Stage, config: Path, held: socket.socket, old: subprocess.Popen[bytes]
) -> subprocess.Popen[bytes]:
    """Start `run` a second time, and end the old process once the new one says yes."""
    door = f"127.0.0.1:{free_port()}"
    new = stage.platform.start(config, held, door)
    try:
        async with asyncio.timeout(NEW_PROCESS_LIMIT_S):
            while await call_admin(door, "GET", "/api/ready") != 200:
                await asyncio.sleep(YES_POLL_S)
    except TimeoutError:
        raise CannotRunError("the new process did not say yes within 6 s") from None
    stage.record.add("platform", "the new process says yes")
    stage.platform.signal(old, signal.SIGTERM)
    return new


async def play(stage: Stage) -> bool:
    executors = [await stage.executor(f"s-{number}", serve_job) for number in (1, 2)]
    discovery = await stage.discovery(*executors)
    held = socket.create_server(("127.0.0.1", 0))
    stage.closers.append(held.close)
    port = held.getsockname()[1]
    config = stage.config(discovery, port, settings())
    process = stage.platform.start(config, held, f"127.0.0.1:{free_port()}")
    await wait_ready(port)
    broken = 0
    for number in range(1, ROUNDS + 1):
        call_id = f"{number:016x}"
        usual = asyncio.create_task(ask(stage, port, "client", call_id))
        await asyncio.sleep(0.3)  # the job has begun
        if stage.trouble:
            process = await replace_process(stage, config, held, process)
        await asyncio.sleep(0.1)
        if usual.done():
            raise CannotRunError("the client's request is not open any more")
        bad_answer = await ask(stage, port, "bad client", call_id)
        await usual
        runs = [job for executor in executors for job in executor.jobs if job.call_id == call_id]
        stage.record.add("test", f"{call_id}: executors got it {len(runs)} times, of 1 that is allowed")
        served = bad_answer is not None and bad_answer.status == 200
        stage.record.add("test", f"{call_id}: the bad client was {'served' if served else 'not served'}")
        broken += len(runs) > 1 or served
        await asyncio.sleep(0.5)
    return not broken


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
