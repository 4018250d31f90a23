"""Settings of a node under test, in the form of its configuration file; times in microseconds."""

from typing import Any

SETTINGS: dict[str, Any] = {
    "instances": 1,
    "zone": 0,
    "localities": ["here", "there"],
    "kinds": ["box"],
    "quantum": 2_000,
    "registry_mode": "on_request",
    "value_by": "work",
    "over_share_worth": 0.2,
    "tenants": [{"name": "acme", "quota_per_s": 100.0, "share": 1.0}],
    "report": {"names": ["x0", "x1"], "via": "pull"},
    "rules": {
        "answer_slack": 8_000,
        "ask_within": 400_000,
        "cold": 8_900_000,
        "cold_share": 0.3,
        "fall_multiple": 2.5,
        "overload_for": 1_500_000,
        "stop_sending_within": 1_500_000,
    },
    "caps": {
        "cancelling": True,
        "conn_idle": 10_000_000,
        "connect_timeout": 250_000,
        "probes": False,
        "max_retry_after": 2_000_000,
        "may_duplicate": True,
        "retry_after": True,
        "try_limit": 5,
    },
    "family_info": {"report_x0": "free slots", "report_x1": "free memory"},
    "request_classes": [
        {
            "aim": 250_000,
            "group": "zone",
            "hard_limit": 6_000_000,
            "name": "pin",
            "repeat": "guarded",
            "repeat_window": 10_000_000,
            "value": 5.0,
        },
        {
            "aim": 500_000,
            "group": "all",
            "hard_limit": 12_000_000,
            "name": "issue",
            "repeat": "single_shot",
            "value": 3.0,
        },
    ],
}
