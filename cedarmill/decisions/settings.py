"""Converts the operators' settings object, from the wire or the node's configuration, to `Settings`.

The keys of the object are a public format and must not change.
"""

from typing import Any

import msgspec

from cedarmill.decisions.settings_types import Settings

# Effects of a repetition, by the operators' names.
_EFFECTS = {"free": "safe", "guarded": "keyed", "single_shot": "unsafe"}
# Fields of a load report, by the operators' names.
_FIELDS = {
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
    "busy_reqs": "inflight",
    "pending": "queue",
}


class _JsonObject:
    """A JSON object of the settings; errors name the path of a missing key."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise ValueError(f"{path or 'top'} is not an object")
        self._value, self._path = value, path

    def __getitem__(self, key: str) -> Any:
        if key not in self._value:
            raise ValueError(f"{self._path}{key} is missing")
        return self._value[key]

    def get(self, key: str, default: Any = None) -> Any:
        return self._value.get(key, default)

    def child(self, key: str) -> "_JsonObject":
        return _JsonObject(self[key], f"{self._path}{key}.")

    def children(self, key: str) -> list["_JsonObject"]:
        if not isinstance(items := self[key], list):
            raise ValueError(f"{self._path}{key} is not a list")
        return [_JsonObject(item, f"{self._path}{key}[{n}].") for n, item in enumerate(items)]


def _request_class(raw: _JsonObject, default_stretch: float, kind: int) -> dict[str, Any]:
    effect = raw["repeat"]
    if effect not in _EFFECTS:
        raise ValueError(f"repeat {effect!r} is not known")
    return dict(
        name=raw["name"],
        worth=raw["value"],
        aim_us=raw["aim"],
        deadline_us=raw["hard_limit"],
        effect=_EFFECTS[effect],
        group=raw.get("group") or "all",
        repeat_window_us=raw.get("repeat_window", 0),
        aim_stretch=raw.get("aim_stretch", default_stretch),
        late_worth=raw.get("late_value", 0.0),
        worker_kind=kind,
    )


def settings_from_json(value: Any) -> Settings:
    """Convert a settings object to `Settings`; unknown keys are ignored.

    Raise ValueError naming a missing or invalid key.
    """
    top = _JsonObject(value, "")
    capabilities, rules, report = top.child("caps"), top.child("rules"), top.child("report")
    family = _JsonObject(top.get("family_info") or {}, "family_info.")
    prices = _JsonObject(top.get("tariffs") or {}, "tariffs.")
    fields = _deployment(top, capabilities, rules, family)
    fields |= _executors(capabilities, report, family)
    fields |= _adapters(top, capabilities, report, prices)
    try:
        return msgspec.convert(fields, Settings)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None


def _deployment(
    top: _JsonObject, capabilities: _JsonObject, rules: _JsonObject, family: _JsonObject
) -> dict[str, Any]:
    """Return the fields for the deployment, its classes and tenants, and the rules of the protocol."""
    classes = top.children("request_classes")
    default_stretches = family.get("class_stretch") or [0.0] * len(classes)
    kinds = family.get("class_kind") or [-1] * len(classes)
    return dict(
        instances=top["instances"],
        zone=top["zone"],
        classes=list(map(_request_class, classes, default_stretches, kinds)),
        cold_us=rules["cold"],
        cold_share=rules["cold_share"],
        fall_multiple=rules["fall_multiple"],
        overload_window_us=rules["overload_for"],
        max_attempts=capabilities["try_limit"],
        tenants=[dict(name=raw["name"], quota_per_s=raw["quota_per_s"]) for raw in top.children("tenants")],
        over_share_worth=top["over_share_worth"],
        worth_by_work=top["value_by"] == "work",
        on_request_discovery=top["registry_mode"] == "on_request",
        ask_within_us=rules["ask_within"],
    )


def _executors(capabilities: _JsonObject, report: _JsonObject, family: _JsonObject) -> dict[str, Any]:
    """Return the fields for the executors' load reports and capabilities."""
    meanings = {name: str(family.get(f"report_{name}", name)).replace(" ", "_") for name in ("x0", "x1")}
    return dict(
        report_fields=[meanings.get(name) or _FIELDS.get(name, name) for name in report["names"]],
        report_by_probe=report["via"] == "pull",
        may_duplicate=capabilities["may_duplicate"],
        can_cancel=capabilities["cancelling"],
        can_probe=capabilities["probes"],
        max_retry_after_us=capabilities["max_retry_after"] if capabilities["retry_after"] else 0,
        connect_timeout_us=capabilities["connect_timeout"],
        tells_start=family.get("tells_start", False),
        progress_us=family.get("progress", 0),
    )


def _adapters(
    top: _JsonObject, capabilities: _JsonObject, report: _JsonObject, prices: _JsonObject
) -> dict[str, Any]:
    """Return the fields for the clock tick, prices and adapters."""
    return dict(
        tick_us=top["quantum"],
        cross_zone_price=prices.get("cross_zone", 0.0),
        probe_price=prices.get("probe", 0.0),
        zones=top.get("localities", []),
        kinds=top.get("kinds", []),
        report_names=report["names"],
        conn_idle_us=capabilities.get("conn_idle", 10_000_000),
    )
