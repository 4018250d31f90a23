"""SIGHUP: the node reads its configuration anew and asks for the endpoint list where that says."""

import functools
from collections.abc import Callable

from cedarmill.core.timers import Timer
from cedarmill.log import log_event
from cedarmill.net.config import Config, ConfigError
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver

RELOAD_AGAIN_US = 100_000  # till a configuration file that could not be read is read again
RELOAD_FOR_US = 30_000_000  # then that takes another signal


class ConfigurationReload:
    """Reads the configuration file whenever a signal asks for it."""

    def __init__(
        self,
        driver: EventLoopDriver,
        path: str,
        config: Config,
        discovery: DiscoveryClient,
        is_draining: Callable[[], bool],
    ) -> None:
        self.driver, self.path, self.config, self.discovery = driver, path, config, discovery
        self.is_draining = is_draining
        self._again: Timer | None = None  # while the file waits to be read once more

    def begin(self) -> None:
        """A signal asks for the new configuration."""
        now = self.driver.now()
        self.driver.timers.cancel(self._again)
        self._read(now, until=now + RELOAD_FOR_US)
        self.driver.end()

    def _read(self, now: int, until: int) -> None:
        """Take up a new configuration; one that cannot be used changes nothing.

        A file that cannot be read (no descriptor, memory or disk just then) is read again soon: the signal
        comes once, and where discovery is counts from then on.
        """
        if self.is_draining():
            return
        try:
            config = Config.load(self.path)
        except ConfigError as error:
            log_event("reload-failed", reason=error)
            return
        except OSError as error:
            log_event("reload-failed", reason=error)
            if now < until:
                again = functools.partial(self._read, until=until)
                self._again = self.driver.timers.add(now + RELOAD_AGAIN_US, again)
            return
        if fixed := self.config.fixed_changes(config):
            log_event("reload-ignored", names=", ".join(fixed))
        log_event("reloaded", host=config.discovery.host, port=config.discovery.port)
        self.discovery.move(config.discovery)
