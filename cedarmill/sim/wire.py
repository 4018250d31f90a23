"""The simulator's binary protocol: decodes records into events and settings, encodes actions as replies.

All numbers are big-endian. Constants of records and replies have their names in the protocol description.
"""

import struct
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeVar

import msgspec

from cedarmill.decisions import interface as api
from cedarmill.decisions.settings import settings_from_json

HEADER = struct.Struct(">IIQ")  # batch: bytes, number of records, time (us)
REPLY = struct.Struct(">II")  # reply to a batch: number of replies, bytes
_CODE = struct.Struct(">H")
_PROVISION = struct.Struct(">HQI")
_DOWN = struct.Struct(">H")
_ROWS = struct.Struct(">BI")
_ENTRY = struct.Struct(">BHQHfIB")
_CHANGED = struct.Struct(">HBIB")
_ACCEPT = struct.Struct(">HQfIfQBHII")
_FIRST_BYTE = struct.Struct(">HQBII")
_HEARTBEAT = struct.Struct(">HQBIfB")
_SETTLED = struct.Struct(">HQBIBIBBB")
_WITHDRAWN = struct.Struct(">HQ")
_FIRED = struct.Struct(">HI")
_SAMPLED = struct.Struct(">HIBIB")
_FROM_PEER = struct.Struct(">HHH")
_FLOATS = [struct.Struct(f">{count}f") for count in range(256)]
_MAX_LIST_NUMBER = 15
_HINTED, _REPEATED = 1, 2  # bits of the flags of a request
_STARTED, _PROGRESS = 1, 2  # kinds of heartbeat

_RELAY = struct.Struct(">HHQII")
_RECALL = struct.Struct(">HHQB")
_DECLINE = struct.Struct(">HHQI")
_FAIL = struct.Struct(">HHQ")
_ARM = struct.Struct(">HHII")
_CHECK = struct.Struct(">HHI")
_OBSERVE = struct.Struct(">HHB")
_TEXT = struct.Struct(">HHH")
_MAX_TEXT_BYTES = 65_535

_OUTCOMES = {int(outcome): outcome for outcome in api.Outcome}
_STATES = {int(state): state for state in api.ExecutorState}
_LISTS = {int(kind): kind for kind in api.EndpointListKind}

Value = TypeVar("Value")


class WireError(ValueError):
    """Malformed input; the message names the fault and its position."""


@dataclass(slots=True)
class Provision:
    """Record that starts an instance with its settings."""

    seed: int
    settings: api.Settings


class Down:
    """Record that an instance was killed."""


# Events for a balancer, and the records that the adapter itself handles.
Record = api.Event | Provision | Down


class Decoded(NamedTuple):
    """A decoded record, its instance (0 if it applies to all), and the offset of the next record."""

    instance: int
    record: Record | None
    next_offset: int


class Decoder:
    """Decodes batches; stores the numbered endpoint lists, which all instances share."""

    def __init__(self) -> None:
        self._lists: dict[int, list[api.EndpointEntry]] = {}

    def decode_records(self, body: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """Yield (instance, record) in order; raise WireError if the body is malformed."""
        offset = 0
        for index in range(count):
            start = offset
            try:
                (code,) = _CODE.unpack_from(body, offset)
                decode = _DECODERS.get(code)
                if decode is None:
                    raise WireError(f"unknown record code {code}")
                instance, record, offset = decode(self, body, offset + _CODE.size)
            except struct.error:
                raise WireError(f"record {index} at byte {start}: truncated") from None
            except WireError as error:
                raise WireError(f"record {index} at byte {start}: {error}") from None
            if record is not None:
                yield instance, record
        if offset != len(body):
            trailing_bytes = len(body) - offset
            raise WireError(f"{trailing_bytes} bytes left over after record {count - 1} at byte {offset}")

    def _provision(self, body: bytes, offset: int) -> Decoded:
        instance, seed, size = _PROVISION.unpack_from(body, offset)
        offset += _PROVISION.size
        return Decoded(instance, Provision(seed, parse_settings(_slice(body, offset, size))), offset + size)

    def _down(self, body: bytes, offset: int) -> Decoded:
        (instance,) = _DOWN.unpack_from(body, offset)
        return Decoded(instance, Down(), offset + _DOWN.size)

    def _rows(self, body: bytes, offset: int) -> Decoded:
        number, count = _ROWS.unpack_from(body, offset)
        offset += _ROWS.size
        if number > _MAX_LIST_NUMBER:
            raise WireError(f"list number {number} is above {_MAX_LIST_NUMBER}")
        entries = []
        for fields in _ENTRY.iter_unpack(_slice(body, offset, count * _ENTRY.size)):
            phase, zone, since, cell, size, executor, kind = fields
            state = _look_up(_STATES, phase, "phase")
            entries.append(api.EndpointEntry(executor, state, zone, cell, since, size, kind))
        self._lists[number] = entries
        return Decoded(0, None, offset + count * _ENTRY.size)

    def _changed(self, body: bytes, offset: int) -> Decoded:
        instance, form, _, number = _CHANGED.unpack_from(body, offset)
        kind = _look_up(_LISTS, form, "form")
        entries: list[api.EndpointEntry] = []
        if kind != api.EndpointListKind.FAILED:
            entries = _look_up(self._lists, number, "list number")
        return Decoded(instance, api.EndpointList(kind, entries), offset + _CHANGED.size)

    def _accept(self, body: bytes, offset: int) -> Decoded:
        fields = _ACCEPT.unpack_from(body, offset)
        instance, request, memory, hint, slots, key, flags, request_class, tenant, time_left_us = fields
        hint_us, repeated = hint if flags & _HINTED else 0, bool(flags & _REPEATED)
        event = api.RequestArrived(
            request, request_class, time_left_us, slots, memory, hint_us, tenant, key, repeated
        )
        return Decoded(instance, event, offset + _ACCEPT.size)

    def _first_byte(self, body: bytes, offset: int) -> Decoded:
        instance, request, attempt, _, executor = _FIRST_BYTE.unpack_from(body, offset)
        return Decoded(instance, api.StreamStarted(request, attempt, executor), offset + _FIRST_BYTE.size)

    def _heartbeat(self, body: bytes, offset: int) -> Decoded:
        instance, request, kind, executor, amount, attempt = _HEARTBEAT.unpack_from(body, offset)
        event: api.AttemptStarted | api.AttemptProgress | None = None
        if kind == _STARTED:
            event = api.AttemptStarted(request, attempt, executor)
        elif kind == _PROGRESS:
            event = api.AttemptProgress(request, attempt, executor, amount)
        return Decoded(instance, event, offset + _HEARTBEAT.size)

    def _settled(self, body: bytes, offset: int) -> Decoded:
        fields = _SETTLED.unpack_from(body, offset)
        instance, request, attempt, executor, status, _, last, _, count = fields
        offset += _SETTLED.size
        outcome = _look_up(_OUTCOMES, status, "status")
        report, end = _report(body, offset, count)
        event = api.AttemptEnded(request, attempt, executor, outcome, last != 0, report)
        return Decoded(instance, event, end)

    def _sampled(self, body: bytes, offset: int) -> Decoded:
        instance, executor, status, _, count = _SAMPLED.unpack_from(body, offset)
        offset += _SAMPLED.size
        outcome = _look_up(_OUTCOMES, status, "status")
        report, end = _report(body, offset, count)
        return Decoded(instance, api.ProbeEnded(executor, outcome, report), end)

    def _withdrawn(self, body: bytes, offset: int) -> Decoded:
        instance, request = _WITHDRAWN.unpack_from(body, offset)
        return Decoded(instance, api.RequestWithdrawn(request), offset + _WITHDRAWN.size)

    def _fired(self, body: bytes, offset: int) -> Decoded:
        instance, token = _FIRED.unpack_from(body, offset)
        return Decoded(instance, api.TimerFired(token), offset + _FIRED.size)

    def _from_peer(self, body: bytes, offset: int) -> Decoded:
        instance, sender, size = _FROM_PEER.unpack_from(body, offset)
        offset += _FROM_PEER.size
        return Decoded(instance, api.PeerMessage(sender, _slice(body, offset, size)), offset + size)


_DECODERS: dict[int, Callable[[Decoder, bytes, int], Decoded]] = {
    1000: Decoder._withdrawn,
    1010: Decoder._heartbeat,
    1020: Decoder._first_byte,
    1030: Decoder._rows,
    1040: Decoder._down,
    1050: Decoder._accept,
    1060: Decoder._changed,
    1070: Decoder._from_peer,
    1080: Decoder._provision,
    1090: Decoder._fired,
    1100: Decoder._sampled,
    1110: Decoder._settled,
}


def _report(body: bytes, offset: int, count: int) -> tuple[api.LoadReport | None, int]:
    """Return a load report of `count` fields (None if there are none) and the offset after the report."""
    values = _FLOATS[count]
    return (values.unpack_from(body, offset) if count else None), offset + values.size


def _slice(body: bytes, offset: int, size: int) -> bytes:
    if offset + size > len(body):
        raise WireError("truncated")
    return body[offset : offset + size]


def _look_up(table: Mapping[int, Value], key: int, description: str) -> Value:
    if key not in table:
        raise WireError(f"unknown {description} {key}")
    return table[key]


def encode(instance: int, action: api.Action) -> bytes:
    """Encode one action of an instance."""
    return _ENCODERS[type(action)](instance, action)


_ENCODERS: dict[type[Any], Callable[[int, Any], bytes]] = {
    api.Send: lambda instance, action: _RELAY.pack(1060, instance, action.request, 0, action.executor),
    api.Cancel: lambda instance, action: _RECALL.pack(1100, instance, action.request, action.attempt),
    api.Refuse: lambda instance, action: _DECLINE.pack(1040, instance, action.request, action.retry_after_us),
    api.Fail: lambda instance, action: _FAIL.pack(1000, instance, action.request),
    api.SetTimer: lambda instance, action: _ARM.pack(1030, instance, action.token, action.delay_us),
    api.Probe: lambda instance, action: _CHECK.pack(1090, instance, action.executor),
    api.Subscribe: lambda instance, action: _OBSERVE.pack(1020, instance, 1),
}


def encode_bug(instance: int, text: str) -> bytes:
    """Encode a failure of the balancer; a text beyond the maximum length is truncated."""
    encoded = text.encode()[:_MAX_TEXT_BYTES]
    return _TEXT.pack(1010, instance, len(encoded)) + encoded


def encode_reply(records: list[bytes]) -> bytes:
    """Frame the reply to one batch."""
    body = b"".join(records)
    return REPLY.pack(len(records), len(body)) + body


def parse_settings(text: bytes) -> api.Settings:
    """Parse the settings of a `Provision` record; raise WireError if they are not JSON or not valid."""
    try:
        return settings_from_json(msgspec.json.decode(text))
    except msgspec.DecodeError as error:
        raise WireError(f"settings: not JSON: {error}") from None
    except ValueError as error:
        raise WireError(f"settings: {error}") from None
