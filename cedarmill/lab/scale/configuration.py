"""Configuration file of the measured node, as the platform provides it."""

from cedarmill.lab.scale.clients import REQUEST_CLASS_SHARES
from cedarmill.lab.scale.executors import ExecutorProfile
from cedarmill.lab.scale.node_process import NodeLimits

MICROSECONDS_PER_SECOND = 1_000_000
REPEAT_POLICIES = {"pin-confirm": "guarded", "code-issue": "single_shot"}


def node_configuration(
    initial_snapshot: dict[str, object],
    discovery_address: str,
    zones: list[str],
    profile: ExecutorProfile,
    limits: NodeLimits,
    seed: int,
) -> dict[str, object]:
    """Return the content of the configuration file; `discovery_address` is HOST:PORT."""
    classes = [
        {
            "name": name,
            "value": 3.0,
            "aim": 400_000,
            "hard_limit": 6 * MICROSECONDS_PER_SECOND,
            "repeat": REPEAT_POLICIES[name],
            "group": "zone",
            "repeat_window": 5 * MICROSECONDS_PER_SECOND,
        }
        for name, _ in REQUEST_CLASS_SHARES
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
            "ask_within": 4 * MICROSECONDS_PER_SECOND,
            "cold": int(profile.cold_duration_s * MICROSECONDS_PER_SECOND),
            "cold_share": profile.cold_speed_factor,
            "fall_multiple": 2.5,
            "overload_for": 1_500_000,
        },
        "caps": {
            "cancelling": True,
            "conn_idle": int(profile.idle_timeout_s * MICROSECONDS_PER_SECOND),
            "connect_timeout": 250_000,
            "may_duplicate": True,
            "probes": True,
            "retry_after": True,
            "max_retry_after": 2 * MICROSECONDS_PER_SECOND,
            "try_limit": 4,
        },
        "family_info": {"report_x0": "free slots", "report_x1": "free memory"},
        "request_classes": classes,
    }
    return {
        "name": "node-0",
        "listen": "127.0.0.1:0",
        "discovery": discovery_address,
        "seed": f"{seed:x}",
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": initial_snapshot,
        "settings": settings,
    }
