"""The operators' settings object, as the wire and the node's configuration hold it, to `Settings`.

Its keys are the operators' own and stay as they are.
"""

from typing import Any

import msgspec

from cedarmill.decisions.settings_types import Settings

# What the operators call the effect of a second run.
_EFFECTS = {"free": "safe", "guarded": "keyed", "single_shot": "unsafe"}
# What they call the fields of a load report.
_FIELDS = {
    "served_ps": "served_per_s",
    "failed_ps": "errors_per_s",
    "busy_reqs": "inflight",
    "pending": "queue",
}


class _Table:
    """A JSON object of the settings that names what is missing."""

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

    def table(self, key: str) -> "_Table":
        return _Table(self[key], f"{self._path}{key}.")

    def tables(self, key: str) -> list["_Table"]:
        if not isinstance(items := self[key], list):
            raise ValueError(f"{self._path}{key} is not a list")
        return [_Table(item, f"{self._path}{key}[{n}].") for n, item in enumerate(items)]


def _request_class(raw: _Table, stretch: float, kind: int) -> dict[str, Any]:
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
        aim_stretch=raw.get("aim_stretch", stretch),
        late_worth=raw.get("late_value", 0.0),
        worker_kind=kind,
    )


def from_operator(value: Any) -> Settings:
    """Fill `Settings`; raise ValueError naming what is missing or wrong. Unknown keys are passed over."""
    top = _Table(value, "")
    caps, rules, report = top.table("caps"), top.table("rules"), top.table("report")
    family = _Table(top.get("family_info") or {}, "family_info.")
    prices = _Table(top.get("tariffs") or {}, "tariffs.")
    filled = _deployment(top, caps, rules, family)
    filled |= _executors(caps, report, family)
    filled |= _adapters(top, caps, report, prices)
    try:
        return msgspec.convert(filled, Settings)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None


def _deployment(top: _Table, caps: _Table, rules: _Table, family: _Table) -> dict[str, Any]:
    """What is deployed, for whom, and the protocol's rules."""
    classes = top.tables("request_classes")
    stretches = family.get("class_stretch") or [0.0] * len(classes)
    kinds = family.get("class_kind") or [-1] * len(classes)
    return dict(
        instances=top["instances"],
        zone=top["zone"],
        classes=list(map(_request_class, classes, stretches, kinds)),
        cold_us=rules["cold"],
        cold_share=rules["cold_share"],
        fall_multiple=rules["fall_multiple"],
        overload_window_us=rules["overload_for"],
        max_attempts=caps["try_limit"],
        tenants=[dict(name=raw["name"], quota_per_s=raw["quota_per_s"]) for raw in top.tables("tenants")],
        over_share_worth=top["over_share_worth"],
        worth_by_work=top["value_by"] == "work",
        on_request_discovery=top["registry_mode"] == "on_request",
        ask_within_us=rules["ask_within"],
    )


def _executors(caps: _Table, report: _Table, family: _Table) -> dict[str, Any]:
    """What executors tell, and what may be done with them."""
    meanings = {name: str(family.get(f"report_{name}", name)).replace(" ", "_") for name in ("x0", "x1")}
    return dict(
        report_fields=[meanings.get(name) or _FIELDS.get(name, name) for name in report["names"]],
        report_by_probe=report["via"] == "pull",
        may_duplicate=caps["may_duplicate"],
        can_cancel=caps["cancelling"],
        can_probe=caps["probes"],
        max_retry_after_us=caps["max_retry_after"] if caps["retry_after"] else 0,
        connect_timeout_us=caps["connect_timeout"],
        tells_start=family.get("tells_start", False),
        progress_us=family.get("progress", 0),
    )


def _adapters(top: _Table, caps: _Table, report: _Table, prices: _Table) -> dict[str, Any]:
    """The clock's tick, prices, and what only adapters need."""
    return dict(
        tick_us=top["quantum"],
        cross_zone_price=prices.get("cross_zone", 0.0),
        probe_price=prices.get("probe", 0.0),
        zones=top.get("localities", []),
        kinds=top.get("kinds", []),
        report_names=report["names"],
        conn_idle_us=caps.get("conn_idle", 10_000_000),
    )
