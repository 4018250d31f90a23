"""Reloads the node's configuration on SIGHUP and moves discovery to the configured address."""

import functools
from collections.abc import Callable

from cedarmill.core.timers import SingleTimer
from cedarmill.log import log_event
from cedarmill.net.config import Config, ConfigError
from cedarmill.net.discovery.client import DiscoveryClient
from cedarmill.net.loop import EventLoopDriver

RETRY_INTERVAL_US = 100_000  # between attempts to read a configuration file that could not be read
RETRY_TIMEOUT_US = 30_000_000  # after this, the node waits for another SIGHUP


class ConfigurationReload:
    """Reads the configuration file on SIGHUP and applies it."""

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
        self._retry_timer = SingleTimer(driver.timers)

    def begin(self) -> None:
        """Read the configuration after a SIGHUP, in place of a retry that is still scheduled."""
        now = self.driver.now()
        self._retry_timer.cancel()
        self._read(now, retry_until=now + RETRY_TIMEOUT_US)
        self.driver.run_due_timers()

    def _read(self, now: int, retry_until: int) -> None:
        """Read and apply the configuration; an invalid one is logged and changes nothing.

        A file that cannot be read (no descriptor or memory free, or an I/O error) is retried, since the
        platform sends SIGHUP only once and expects the new discovery address to be used from then on.
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
            if now < retry_until:
                retry = functools.partial(self._read, retry_until=retry_until)
                self._retry_timer.start(now + RETRY_INTERVAL_US, retry)
            return
        if ignored := self.config.changes_needing_restart(config):
            log_event("reload-ignored", names=", ".join(ignored))
        log_event("reloaded", host=config.discovery.host, port=config.discovery.port)
        self.discovery.change_address(config.discovery)
