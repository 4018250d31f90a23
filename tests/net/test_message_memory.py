"""What unfinished, slow and unread messages take of the node's memory, all peers together."""

import contextlib
import json
import queue
import time
import unittest
from collections.abc import Callable

from tests.support.node_case import NodeCase, ReceivedRequest

HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
BODY_BYTES = 64 * 1024  # the largest body of the protocol
REQUESTS = 80  # at once; a node of 32 MB holds 83 sessions
QUIET_S = 0.5  # no request has come for this long: the node holds the others back
Fault = Callable[[ReceivedRequest], str]


def chunk(text: str) -> str:
    return f"{len(text):x}\r\n{text}\r\n"


def begun_line(request: ReceivedRequest, result: str) -> str:
    """Return an answer that stops within the result of its last line."""
    call_id = request.headers["X-Call-Id"]
    return HEAD + "\r\n" + chunk(f'{{"id":"{call_id}","from":"s","state":"done","result":"{result}')


def endless_line(request: ReceivedRequest) -> str:
    return begun_line(request, "a" * 250_000)


def endless_escaped_line(request: ReceivedRequest) -> str:
    return begun_line(request, "\\u0001" * 41_000)


class MemoryCase(NodeCase):
    """The platform kills a node over its memory limit, with all requests that it holds."""

    executor_count = 12
    memory_mb = 32
    sockets = 512

    def ask_all(self, job_class: str, budget: int, body: bytes = b"a body", count: int = REQUESTS) -> list:
        return [self.client().ask(job_class, budget=budget, body=body) for _ in range(count)]

    def received(self, executor: int) -> ReceivedRequest | None:
        """Return a request that an executor has received, if any."""
        with contextlib.suppress(queue.Empty):
            return self.executors[executor].received.get_nowait()
        return None

    def answer_until_done(
        self,
        clients: list,
        answer: Callable[[int, ReceivedRequest], None],
        on_quiet: Callable[[], None] = lambda: None,
    ) -> list[int]:
        """Answer what executors receive until all clients have their answers; return the statuses."""
        waiting, received_at = list(clients), time.monotonic()
        while waiting:
            for number in range(self.executor_count):
                while (request := self.received(number)) is not None:
                    received_at = time.monotonic()
                    with contextlib.suppress(OSError):  # the node closes the connection
                        answer(number, request)
            if time.monotonic() - received_at > QUIET_S:
                on_quiet()
            waiting = [client for client in waiting if not client.answered(0)]
        return [client.answer()[0] for client in clients]

    def check_memory(self) -> None:
        self.assertLess(self.peak_private_kib(), self.memory_mb * 1024)


class SpoiltAnswers(MemoryCase):
    def check_fault(self, fault: Fault) -> None:
        """Let all executors spoil every answer to many requests at once; each gets its final answer."""

        def answer(executor: int, request: ReceivedRequest) -> None:
            request.connection.send(fault(request))

        statuses = self.answer_until_done(self.ask_all("pin", budget=2000), answer)
        self.assertLessEqual(set(statuses), {502, 503})
        self.check_memory()

    def test_lines_without_an_end_stay_within_the_memory_limit(self):
        """Guards against unfinished answers that no bound counts together: review/8."""
        self.check_fault(endless_line)

    def test_escaped_lines_without_an_end_stay_within_the_memory_limit(self):
        """Guards against a bound for each line alone, since an honest line may be as long as these."""
        self.check_fault(endless_escaped_line)

    def test_answers_that_stop_in_the_middle_stay_within_the_memory_limit(self):
        self.check_fault(lambda request: begun_line(request, "a" * 60_000))

    def test_heads_that_do_not_end_stay_within_the_memory_limit(self):
        self.check_fault(lambda request: HEAD + "X-Load-Report: " + "a" * 15_000)

    def test_trailers_that_do_not_end_stay_within_the_memory_limit(self):
        self.check_fault(lambda request: begun_line(request, "a") + "0\r\nX: " + "a" * 15_000)

    def test_load_reports_of_thousands_of_names_stay_within_the_memory_limit(self):
        """Guards against a line that takes many times its length once it is decoded."""

        def answer(request: ReceivedRequest) -> str:
            load = ",".join(f'"{number:x}":1' for number in range(8_000))
            line = f'{{"id":"{request.headers["X-Call-Id"]}","state":"failed","load":{{{load}}}}}\n'
            return HEAD + "\r\n" + chunk(line)

        self.check_fault(answer)


class EndlessLine(NodeCase):
    executor_count = 2

    def test_a_request_is_served_elsewhere_long_before_its_deadline(self):
        """Guards against waiting until the deadline for a line that is longer than the protocol allows."""
        client = self.client().ask("pin", budget=6000)
        spoilt = self.wait_received()
        request = self.executors[spoilt].next_request()
        request.connection.send(endless_line(request))
        while (number := self.wait_received()) == spoilt:
            self.executors[spoilt].next_request().connection.reset()
        self.executors[number].next_request().done()
        self.assertEqual(client.answer(), (200, b"fine"))
        self.wait_log("a line of the answer is too long")


class LargeAnswers(MemoryCase):
    def test_whole_answers_of_64_kib_are_served_however_they_are_escaped(self):
        """Guards against a limit on a line that honest answers pass by their escapes."""
        for text in ("\u00e9" * (BODY_BYTES // 2), "\x01" * BODY_BYTES, '"' * BODY_BYTES, "a" * BODY_BYTES):
            with self.subTest(text[:1]):
                client = self.client().ask("issue")
                self.next_request().done(text)
                self.assertEqual(client.answer(), (200, text.encode()))

    def play_slow_answers(
        self,
        spoilt_executors: int,
        result: str = "a" * BODY_BYTES,
        body: bytes = b"a body",
        count: int = REQUESTS,
    ) -> None:
        """Send the last part of the sound executors' answers only once all executors have begun theirs."""
        clients, begun, unended = self.ask_all("issue", 6000, body, count), [], []

        def answer(executor: int, request: ReceivedRequest) -> None:
            if executor < spoilt_executors:
                request.connection.send(endless_line(request))
            else:
                line = json.dumps({"id": request.headers["X-Call-Id"], "state": "done", "result": result})
                text = chunk(line + "\n") + "0\r\n\r\n"
                request.send_head()
                request.connection.send(text[:-1000])
                begun.append(request)
                unended.append((request, text[-1000:]))
            if len(begun) == count:
                end_answers()

        def end_answers() -> None:
            while unended:
                waiting, rest = unended.pop()
                waiting.connection.send(rest)

        statuses = self.answer_until_done(clients, answer, on_quiet=end_answers)
        self.assertEqual(statuses.count(200), len(begun))
        self.check_memory()

    def test_slow_whole_answers_of_64_kib_are_all_served(self):
        """Guards against a bound that honest answers pass, each of which is half there at the same time."""
        self.play_slow_answers(spoilt_executors=0)

    def test_slow_whole_answers_to_requests_of_64_kib_are_all_served(self):
        """Guards against a share that ends honest messages for which the process has room."""
        self.play_slow_answers(spoilt_executors=0, body=b"b" * BODY_BYTES, count=70)

    def test_slow_whole_answers_of_escapes_are_all_served(self):
        """Guards against answers that are kept with their escapes, three times as long as their results."""
        self.play_slow_answers(spoilt_executors=0, result="\u00e9" * (BODY_BYTES // 2))

    def test_slow_whole_answers_are_served_beside_lines_without_an_end(self):
        """Guards against ending sound executors' answers to make room for spoilt ones."""
        self.play_slow_answers(spoilt_executors=3)


class FinishedRequests(MemoryCase):
    """What belongs to a request that has its answer is not kept."""

    def test_results_are_not_kept_while_their_messages_do_not_end(self):
        """Guards against a result that is kept with its connection for 1 s after it was served."""
        result = "a" * 200_000  # more than the protocol allows, but served

        def answer(executor: int, request: ReceivedRequest) -> None:
            request.send_head()
            request.send_state("done", result=result)

        for _ in range(3):
            clients = self.ask_all("pin", budget=2000)
            self.assertLessEqual(set(self.answer_until_done(clients, answer)), {200, 503})
            for client in clients:
                client.close()
        self.check_memory()

    def test_answers_are_not_kept_once_their_attempts_are_cancelled(self):
        """Guards against answers that only the garbage collector frees."""

        def answer(executor: int, request: ReceivedRequest) -> None:
            request.connection.send(begun_line(request, "a" * 75_000))

        for _ in range(8):
            clients = self.ask_all("issue", budget=300)
            self.assertLessEqual(set(self.answer_until_done(clients, answer)), {502, 503})
            for client in clients:
                client.close()
        self.check_memory()


class LeftRequests(MemoryCase):
    """Requests whose clients have left, at executors that cannot cancel what they run."""

    sockets = 1024
    settings_changes = {"caps.cancelling": False}

    def test_bodies_of_requests_are_not_kept_once_their_clients_have_left(self):
        """Guards against a body that is kept for each attempt until its deadline."""
        for _ in range(5):
            for client in self.ask_all("pin", budget=6000, body=b"a" * BODY_BYTES):
                self.wait_for(lambda: any(self.received(n) for n in range(self.executor_count)))
                client.close()
        self.check_memory()


class LongEndpointLists(NodeCase):
    memory_mb = 32

    def send_list(self, entries: list[dict]) -> None:
        """Let discovery send a whole list, and wait until the node has read it."""
        request = self.discovery.next_request()
        request.send_head()
        with contextlib.suppress(OSError):  # the node closes the connection
            request.send_line({"index": 9, "snapshot": True, "endpoints": entries})

    def check_too_long(self, entries: list[dict]) -> None:
        """A list that is too long for the memory changes nothing."""
        client = self.client().ask()
        self.executors[0].next_request().done()
        self.assertEqual(client.answer()[0], 200)
        self.send_list(entries)
        self.wait_log("endpoint list is too long")
        self.assertLess(self.peak_private_kib(), self.memory_mb * 1024)
        self.assertEqual(self.served_by(), 0)

    def test_a_list_of_too_many_entries_stays_within_the_memory_limit(self):
        """Guards against a limit on lists that does not depend on the memory."""
        self.check_too_long([self.entry(0)] * 25_000)

    def test_a_list_with_a_long_name_stays_within_the_memory_limit(self):
        self.check_too_long([self.entry(0), self.entry(0, name="a" * 3_900_000)])

    def test_a_list_of_3200_executors_is_used(self):
        self.client().ask()
        self.executors[0].next_request().done()
        self.send_list([self.entry(0, name=f"s-{number}") for number in range(3_200)])
        self.wait_log("watching from index 9")
        self.assertLess(self.peak_private_kib(), self.memory_mb * 1024)


if __name__ == "__main__":
    unittest.main()
