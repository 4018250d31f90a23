"""The platform's configuration of the node that is measured."""

from cedarmill.lab.scale.clients import CLASSES
from cedarmill.lab.scale.executors import ExecutorProfile
from cedarmill.lab.scale.node_process import NodeLimits

US = 1_000_000
REPEATS = {"pin-confirm": "guarded", "code-issue": "single_shot"}


def node_configuration(
    known: dict[str, object],
    discovery: str,
    zones: list[str],
    profile: ExecutorProfile,
    limits: NodeLimits,
    seed: int,
) -> dict[str, object]:
    """The file's content, for a node that starts with the list `known`; `discovery` is HOST:PORT."""
    classes = [
        {
            "name": name,
            "value": 3.0,
            "aim": 400_000,
            "hard_limit": 6 * US,
            "repeat": REPEATS[name],
            "group": "zone",
            "repeat_window": 5 * US,
        }
        for name, _ in CLASSES
    ]
    settings = {
        "instances": 200,
        "zone": 0,
        "localities": zones,
        "kinds": ["standard"],
        "quantum": 2000,
        "registry_mode": "on_request",
        "value_by": "request",
        "over_share_worth": 1.0,
        "tenants": [{"name": "lab", "quota_per_s": 1e6, "share": 1.0}],
        "report": {"names": ["x0", "x1"], "via": "pull"},
        "rules": {
            "ask_within": 4 * US,
            "cold": int(profile.cold_s * US),
            "cold_share": profile.cold_speed,
            "fall_multiple": 2.5,
            "overload_for": 1_500_000,
        },
        "caps": {
            "cancelling": True,
            "conn_idle": int(profile.idle_close_s * US),
            "connect_timeout": 250_000,
            "may_duplicate": True,
            "probes": True,
            "retry_after": True,
            "max_retry_after": 2 * US,
            "try_limit": 4,
        },
        "family_info": {"report_x0": "free slots", "report_x1": "free memory"},
        "request_classes": classes,
    }
    return {
        "name": "node-0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": known,
        "settings": settings,
    }
