"""The node: wires brain, dispatch and sockets, starts them, and ends them on a signal."""

import gc
import logging
import os
import resource
import signal
import sys

import uvloop

from cedarmill.core.deadlines import Deadlines
from cedarmill.core.dispatch import Dispatch
from cedarmill.decisions.brain import Brain
from cedarmill.net.backends import Backends
from cedarmill.net.clients import Clients
from cedarmill.net.config import Config, ConfigError
from cedarmill.net.director import Director
from cedarmill.net.turn import Sparing, Turn

log = logging.getLogger("cedarmill")
OWN_DESCRIPTORS = 24  # the loop's, the log, the listening socket, the director: 14 were counted
OWN_MEMORY_MB = 24  # measured: 16 to 20 before the first session
SESSION_MB = 0.096  # measured: 0.07 with a body of 64 KiB that waits for its end
ACCEPT_ON_US = 600_000  # after SIGTERM: new connections come for up to 0.4 s more
LAST_READ_US = 100_000  # then, for what the sessions taken last have sent to be read
KILL_US = 700_000  # after SIGTERM and the longest deadline, of which no more counts than:
KILL_DEADLINE_US = 3_000_000
KILL_MARGIN_US = 150_000
CHECK_END_US = 10_000
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Node:
    """One node on one loop."""

    def __init__(self, path: str) -> None:
        self.path, self.config = path, Config.load(path)
        config, settings = self.config, self.config.settings
        self.loop = uvloop.new_event_loop()
        self.loop.set_exception_handler(self._exception)
        self.deadlines = Deadlines()
        self.turn = Turn(self.loop, self.deadlines)
        sockets = min(config.limits.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        sessions = (sockets - OWN_DESCRIPTORS) // 2
        in_memory = int((config.limits.memory_mb - OWN_MEMORY_MB) / SESSION_MB)
        self.clients = Clients(self.turn, settings, bound=min(sessions, in_memory))
        self.backends = Backends(self.turn, settings, bound=sockets - OWN_DESCRIPTORS - sessions)
        self.director = Director(self.turn, settings, config.discovery, self.backends)
        brain = Brain(settings, config.seed)
        self.dispatch = Dispatch(brain, self.deadlines, self.backends, self.director)
        for adapter in (self.clients, self.backends, self.director):
            adapter.dispatch = self.dispatch
        self.draining = False

    def run(self) -> None:
        """Serve until a signal has been obeyed; raises OSError where the address cannot be had."""
        for number in SIGNALS:
            self.loop.add_signal_handler(number, self._reload if number == signal.SIGHUP else self._drain)
        self.clients.listen(self.config.listen)
        self.director.first(self.config.known)
        self.loop.call_soon(self._started)
        gc.collect()
        gc.freeze()
        self.turn.end()
        self.loop.run_forever()
        log.info("node %s has ended", self.config.name)

    def _started(self) -> None:
        """The loop runs: only now does it hear of signals, those that came before included."""
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        log.info("node %s serves on %s port %d", self.config.name, self.config.listen.host, self.clients.port)

    def _reload(self) -> None:
        """Take up a new configuration; one that cannot be used changes nothing."""
        if self.draining:
            return
        try:
            config = Config.load(self.path)
        except (ConfigError, OSError) as error:
            log.error("reload failed, the old configuration holds: %s", error)
            return
        if fixed := self.config.fixed_changes(config):
            log.warning("reload: a change of %s takes a restart", ", ".join(fixed))
        log.info("reloaded: the director is at %s port %d", config.discovery.host, config.discovery.port)
        self.director.move(config.discovery)
        self.turn.end()

    def _drain(self) -> None:
        if self.draining:
            return
        self.draining = True
        log.info("draining: %d reqs held", self.dispatch.owed)
        self.clients.drain()
        self.deadlines.add(self.turn.now() + ACCEPT_ON_US, self._stop)
        self.turn.end()

    def _stop(self, now: int) -> None:
        self.clients.stop_listening()
        log.info("draining: no new sessions from now on, %d reqs held", self.dispatch.owed)
        longest = max(spec.deadline_us for spec in self.config.settings.classes)
        kill = now - ACCEPT_ON_US + KILL_US + min(longest, KILL_DEADLINE_US)
        self.clients.answer_by = kill - KILL_MARGIN_US
        self.deadlines.add(now + LAST_READ_US, self._end_if_done)

    def _end_if_done(self, now: int) -> None:
        self.clients.close_idle()
        if self.dispatch.owed == 0 and self.clients.all_gone():
            self.loop.stop()
        else:
            self.deadlines.add(now + CHECK_END_US, self._end_if_done)

    @staticmethod
    def _exception(loop, context: dict) -> None:
        log.error("loop: %s", context.get("message"), exc_info=context.get("exception"))


def main() -> int:
    """Start the node that the environment describes."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # till the loop runs
    handler = logging.StreamHandler(sys.stderr)
    handler.addFilter(Sparing())
    form = "%(asctime)s %(levelname)s %(message)s"
    logging.basicConfig(handlers=[handler], level=logging.INFO, format=form)
    try:
        if not (path := os.environ.get("LB_CONFIG")):
            raise ConfigError("LB_CONFIG is not set")
        Node(path).run()
    except (ConfigError, OSError) as error:
        print(f"cedarmill: {error}", file=sys.stderr)
        return 2
    return 0
