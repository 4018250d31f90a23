"""The configuration document with which a real node is started (protocol page, `Settings`)."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

import msgspec

from cedarmill.lab.discovery import DiscoveryServer
from cedarmill.lab.executor_options import EXECUTOR_KIND
from cedarmill.lab.history import ClassRules
from cedarmill.lab.load import Habits

NODE_KIND = "node"  # as discovery lists a node behind a front
REPEATS = {"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}  # by the effect of a class
LISTEN = "127.0.0.1:0"
MEMORY_MB = 192
SOCKETS = 1024  # descriptors that a node may hold

Document = dict[str, Any]  # a JSON object


class ClassSource(Protocol):
    """What both kinds of scenarios say of the classes of requests."""

    @property
    def habits(self) -> tuple[Habits, ...]:
        """What the clients of each class do."""

    @property
    def rules(self) -> dict[str, ClassRules]:
        """What may be repeated, by class."""

    @property
    def priority_weights(self) -> dict[str, float]:
        """The priority weight of each class."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """One node of a run."""

    name: str
    discovery: DiscoveryServer
    seed: int
    platform: Document  # see `platform_settings`
    sockets: int = SOCKETS
    admin: bool = False  # whether it has an admin API

    def write(self, path: Path) -> None:
        """Write its file; raises OSError."""
        document = {
            "name": self.name,
            "listen": LISTEN,
            "discovery": self.discovery.address,
            "seed": f"{self.seed:x}",
            "limits": {"sockets": self.sockets, "memory_mb": MEMORY_MB},
            "known": self.discovery.listing(),
            "settings": self.platform,
        }
        if self.admin:
            document["mgmt"] = LISTEN
        path.write_bytes(msgspec.json.encode(document))


def platform_settings(source: ClassSource, zones: int, zone: int = 0, is_front: bool = False) -> Document:
    """The operator's settings for a node in one of the zones; the upstreams of a front send no reports."""
    silent: Document = {"names": [], "via": "silent"}
    return {
        "instances": 1,
        "zone": zone,
        "localities": [f"zone-{number}" for number in range(zones)],
        "kinds": [EXECUTOR_KIND, NODE_KIND],
        "quantum": 2000,
        "registry_mode": "on_request",
        "value_by": "request",
        "over_share_worth": 1.0,
        "tenants": [{"name": "lab", "quota_per_s": 1e6, "share": 1.0}],
        "report": silent if is_front else {"names": ["x0", "x1"], "via": "pull"},
        "rules": {
            "ask_within": 4_000_000,
            "cold": 0,
            "cold_share": 1.0,
            "fall_multiple": 2.5,
            "overload_for": 1_500_000,
        },
        "caps": _capabilities(is_front),
        "family_info": {"report_x0": "free slots", "report_x1": "free memory"},
        "request_classes": [_request_class(source, habits) for habits in source.habits],
    }


def _capabilities(is_front: bool) -> Document:
    return {
        "cancelling": True,
        "conn_idle": 10_000_000,
        "connect_timeout": 250_000,
        "try_limit": 5,
        "may_duplicate": True,
        "probes": not is_front,
        "retry_after": True,
        "max_retry_after": 2_000_000,
    }


def _request_class(source: ClassSource, habits: Habits) -> Document:
    rules = source.rules[habits.job_class]
    return {
        "name": habits.job_class,
        "value": source.priority_weights[habits.job_class],
        "aim": habits.budget // 4,
        "hard_limit": habits.budget,
        "repeat_window": rules.window,
        "group": "zone",
        "repeat": REPEATS[rules.effect],
    }
