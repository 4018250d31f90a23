"""ORCA's binary form: `xds.data.orca.v3.OrcaLoadReport` in protobuf, base64 in a header; no I/O.

Sources: the xDS definition `xds/data/orca/v3/orca_load_report.proto` (fields and numbers below); gRPC over
HTTP2 (a header whose name ends in `-bin` is base64, padded or not). The message is described here by a table
and built by the protobuf runtime, which comes with the extra `health`; a node without it reads TEXT and JSON.
"""

import base64
import binascii
import math
from collections.abc import Mapping
from typing import Any

from google.protobuf import (  # type: ignore[import-untyped]
    descriptor_pb2,
    descriptor_pool,
    message_factory,
)
from google.protobuf.message import DecodeError  # type: ignore[import-untyped]

from cedarmill.health.codecs.load import MAX_HEADER, MAX_METRICS, LoadReport, StateError

_DOUBLES = {
    "cpu_utilization": 1,
    "mem_utilization": 2,
    "rps_fractional": 6,
    "eps": 7,
    "application_utilization": 9,
}
_MAPS = {"request_cost": 4, "utilization": 5, "named_metrics": 8}  # string to double
_RPS = 3  # uint64, deprecated: whole requests a second, of reporters that know no other
_PACKAGE = "cedarmill.orca"
_KIND = descriptor_pb2.FieldDescriptorProto


def _message() -> Any:
    """The message's class, out of the tables above."""
    file = descriptor_pb2.FileDescriptorProto(name="cedarmill/orca.proto", package=_PACKAGE, syntax="proto3")
    report = file.message_type.add(name="OrcaLoadReport")
    for name, number in _DOUBLES.items():
        report.field.add(name=name, number=number, type=_KIND.TYPE_DOUBLE, label=_KIND.LABEL_OPTIONAL)
    report.field.add(name="rps", number=_RPS, type=_KIND.TYPE_UINT64, label=_KIND.LABEL_OPTIONAL)
    for name, number in _MAPS.items():
        entry = report.nested_type.add(name="".join(map(str.capitalize, name.split("_"))) + "Entry")
        entry.options.map_entry = True
        entry.field.add(name="key", number=1, type=_KIND.TYPE_STRING, label=_KIND.LABEL_OPTIONAL)
        entry.field.add(name="value", number=2, type=_KIND.TYPE_DOUBLE, label=_KIND.LABEL_OPTIONAL)
        report.field.add(
            name=name,
            number=number,
            type=_KIND.TYPE_MESSAGE,
            label=_KIND.LABEL_REPEATED,
            type_name=f".{_PACKAGE}.OrcaLoadReport.{entry.name}",
        )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{_PACKAGE}.OrcaLoadReport"))


OrcaLoadReport = _message()


def parse_binary(value: str) -> LoadReport:
    """Read the value of `endpoint-load-metrics-bin`, or what follows `BIN `; raises StateError.

    A number of 0 is one that was not reported: the form has no other sign for that.
    """
    if len(value) > MAX_HEADER:
        raise StateError("the header is over 4 KiB")
    report = OrcaLoadReport()
    try:
        report.ParseFromString(base64.b64decode(value + "=" * (-len(value) % 4), validate=True))
    except (binascii.Error, ValueError):
        raise StateError("not base64") from None
    except DecodeError:
        raise StateError("not an ORCA load report") from None
    found = {name: _reported(getattr(report, name), name) for name in _DOUBLES}
    if found["rps_fractional"] is None and report.rps:
        found["rps_fractional"] = float(report.rps)
    return LoadReport(
        **found, named_metrics=_metrics(report.named_metrics), utilization=_metrics(report.utilization)
    )


def _reported(number: float, name: str) -> float | None:
    if not 0 <= number < math.inf:
        raise StateError(f"{name}: {number} is no number of 0 or more")
    return number or None


def _metrics(table: Mapping[str, float]) -> dict[str, float]:
    kept = sorted(table.items())[:MAX_METRICS]
    for name, number in kept:
        if not 0 <= number < math.inf:
            raise StateError(f"{name[:40]}: {number} is no number of 0 or more")
    return dict(kept)


def render_binary(report: LoadReport) -> str:
    """The header's value for a report, as an executor sends it."""
    message = OrcaLoadReport(**{name: getattr(report, name) or 0.0 for name in _DOUBLES})
    message.named_metrics.update(report.named_metrics)
    message.utilization.update(report.utilization)
    return base64.b64encode(message.SerializeToString(deterministic=True)).decode()
