"""Codec of binary ORCA load reports: `xds.data.orca.v3.OrcaLoadReport` as base64 in a header; no I/O.

Sources: the xDS definition `xds/data/orca/v3/orca_load_report.proto` (fields and numbers below); gRPC over
HTTP2 (a header whose name ends in `-bin` is base64, padded or not). The protobuf runtime, a dependency of the
extra `health`, builds the message class from the tables below. A node without the extra reads TEXT and JSON.
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

from cedarmill.health.codecs.load import MAX_HEADER_BYTES, MAX_METRICS, HealthHeaderError, LoadReport

_DOUBLE_FIELDS = {
    "cpu_utilization": 1,
    "mem_utilization": 2,
    "rps_fractional": 6,
    "eps": 7,
    "application_utilization": 9,
}
_MAP_FIELDS = {"request_cost": 4, "utilization": 5, "named_metrics": 8}  # Maps from string to double.
_RPS_FIELD = 3  # Deprecated uint64: whole requests per second.
_PACKAGE = "cedarmill.orca"
_Field = descriptor_pb2.FieldDescriptorProto


def _build_message_class() -> Any:
    """Build the message class from the tables above."""
    file = descriptor_pb2.FileDescriptorProto(name="cedarmill/orca.proto", package=_PACKAGE, syntax="proto3")
    report = file.message_type.add(name="OrcaLoadReport")
    for name, number in _DOUBLE_FIELDS.items():
        report.field.add(name=name, number=number, type=_Field.TYPE_DOUBLE, label=_Field.LABEL_OPTIONAL)
    report.field.add(name="rps", number=_RPS_FIELD, type=_Field.TYPE_UINT64, label=_Field.LABEL_OPTIONAL)
    for name, number in _MAP_FIELDS.items():
        entry = report.nested_type.add(name="".join(map(str.capitalize, name.split("_"))) + "Entry")
        entry.options.map_entry = True
        entry.field.add(name="key", number=1, type=_Field.TYPE_STRING, label=_Field.LABEL_OPTIONAL)
        entry.field.add(name="value", number=2, type=_Field.TYPE_DOUBLE, label=_Field.LABEL_OPTIONAL)
        report.field.add(
            name=name,
            number=number,
            type=_Field.TYPE_MESSAGE,
            label=_Field.LABEL_REPEATED,
            type_name=f".{_PACKAGE}.OrcaLoadReport.{entry.name}",
        )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(file)
    return message_factory.GetMessageClass(pool.FindMessageTypeByName(f"{_PACKAGE}.OrcaLoadReport"))


OrcaLoadReport = _build_message_class()


def parse_binary(value: str) -> LoadReport:
    """Parse the value of `endpoint-load-metrics-bin`, or the text after `BIN `; raise HealthHeaderError.

    A 0 is read as not reported, since proto3 does not distinguish the two.
    """
    if len(value) > MAX_HEADER_BYTES:
        raise HealthHeaderError("the header is over 4 KiB")
    report = OrcaLoadReport()
    try:
        report.ParseFromString(base64.b64decode(value + "=" * (-len(value) % 4), validate=True))
    except (binascii.Error, ValueError):
        raise HealthHeaderError("the load report is not base64") from None
    except DecodeError:
        raise HealthHeaderError("the header is not an ORCA load report") from None
    numbers = {name: _checked_number(getattr(report, name), name) for name in _DOUBLE_FIELDS}
    if numbers["rps_fractional"] is None and report.rps:
        numbers["rps_fractional"] = float(report.rps)
    return LoadReport(
        **numbers, named_metrics=_metrics(report.named_metrics), utilization=_metrics(report.utilization)
    )


def _checked_number(number: float, name: str) -> float | None:
    if not 0 <= number < math.inf:
        raise HealthHeaderError(f"{name}: {number} is not a finite number of 0 or more")
    return number or None


def _metrics(table: Mapping[str, float]) -> dict[str, float]:
    limited = sorted(table.items())[:MAX_METRICS]
    for name, number in limited:
        if not 0 <= number < math.inf:
            raise HealthHeaderError(f"{name[:40]}: {number} is not a finite number of 0 or more")
    return dict(limited)


def render_binary(report: LoadReport) -> str:
    """Return the header value of a report, as sent by an executor."""
    message = OrcaLoadReport(**{name: getattr(report, name) or 0.0 for name in _DOUBLE_FIELDS})
    message.named_metrics.update(report.named_metrics)
    message.utilization.update(report.utilization)
    return base64.b64encode(message.SerializeToString(deterministic=True)).decode()
