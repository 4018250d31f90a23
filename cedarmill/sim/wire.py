"""The simulator's binary wire: frames to events, actions to replies, settings to `Settings`."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from cedarmill.decisions import interface as api
from cedarmill.decisions.settings import from_operator

HEADER = struct.Struct(">IIQ")
REPLY = struct.Struct(">II")
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
_FLOATS = [struct.Struct(f">{n}f") for n in range(256)]
_OUTCOMES = {int(outcome): outcome for outcome in api.Outcome}
_STATES = {int(state): state for state in api.WorkerState}
_LISTS = {int(kind): kind for kind in api.ListKind}

_RELAY = struct.Struct(">HHQII")
_RECALL = struct.Struct(">HHQB")
_DECLINE = struct.Struct(">HHQI")
_FAIL = struct.Struct(">HHQ")
_ARM = struct.Struct(">HHII")
_CHECK = struct.Struct(">HHI")
_OBSERVE = struct.Struct(">HHB")
_TEXT = struct.Struct(">HHH")


class WireError(ValueError):
    """Input that the wire does not allow, with what is wrong and where."""


@dataclass(slots=True)
class Provision:
    """An instance starts."""

    seed: int
    settings: api.Settings


class Down:
    """An instance was killed."""


# Records of the host itself, beside the brain's events.
Record = api.Event | Provision | Down


class Decoder:
    """Decodes batches; keeps the numbered worker lists, which belong to the whole process."""

    def __init__(self) -> None:
        self._lists: dict[int, list[api.WorkerEntry]] = {}

    def records(self, body: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """Yield (instance, record) in order; raise WireError where the body is malformed."""
        at = 0
        for index in range(count):
            start = at
            try:
                (code,) = _CODE.unpack_from(body, at)
                decode = _DECODERS.get(code)
                if decode is None:
                    raise WireError(f"unknown record code {code}")
                instance, record, at = decode(self, body, at + 2)
            except struct.error:
                raise WireError(f"record {index} at byte {start}: truncated") from None
            except WireError as error:
                raise WireError(f"record {index} at byte {start}: {error}") from None
            if record is not None:
                yield instance, record
        if at != len(body):
            raise WireError(f"{len(body) - at} bytes left over after record {count - 1} at byte {at}")

    def _provision(self, body: bytes, at: int):
        instance, seed, size = _PROVISION.unpack_from(body, at)
        at += _PROVISION.size
        return instance, Provision(seed, settings(_slice(body, at, size))), at + size

    def _down(self, body: bytes, at: int):
        return _DOWN.unpack_from(body, at)[0], Down(), at + 2

    def _rows(self, body: bytes, at: int):
        number, count = _ROWS.unpack_from(body, at)
        at += _ROWS.size
        if number > 15:
            raise WireError(f"list number {number} is above 15")
        entries = []
        for raw in _ENTRY.iter_unpack(_slice(body, at, count * _ENTRY.size)):
            phase, zone, since, cell, size, worker, kind = raw
            state = _known(_STATES, phase, "phase")
            entries.append(api.WorkerEntry(worker, state, zone, cell, since, size, kind))
        self._lists[number] = entries
        return 0, None, at + count * _ENTRY.size

    def _changed(self, body: bytes, at: int):
        instance, form, _, number = _CHANGED.unpack_from(body, at)
        kind = _known(_LISTS, form, "form")
        entries: list[api.WorkerEntry] = []
        if kind != api.ListKind.FAILED:
            entries = _known(self._lists, number, "list number")
        return instance, api.WorkerList(kind, entries), at + _CHANGED.size

    def _accept(self, body: bytes, at: int):
        fields = _ACCEPT.unpack_from(body, at)
        instance, job, memory, hint, slots, key, bits, job_class, tenant, left = fields
        event = api.RequestArrived(
            job, job_class, left, slots, memory, hint if bits & 1 else 0, tenant, key, bool(bits & 2)
        )
        return instance, event, at + _ACCEPT.size

    def _first_byte(self, body: bytes, at: int):
        instance, job, attempt, _, worker = _FIRST_BYTE.unpack_from(body, at)
        return instance, api.StreamStarted(job, attempt, worker), at + _FIRST_BYTE.size

    def _heartbeat(self, body: bytes, at: int):
        instance, job, kind, worker, amount, attempt = _HEARTBEAT.unpack_from(body, at)
        event: api.AttemptStarted | api.AttemptProgress | None = None
        if kind == 1:
            event = api.AttemptStarted(job, attempt, worker)
        elif kind == 2:
            event = api.AttemptProgress(job, attempt, worker, amount)
        return instance, event, at + _HEARTBEAT.size

    def _settled(self, body: bytes, at: int):
        instance, job, attempt, worker, status, _, last, _, count = _SETTLED.unpack_from(body, at)
        at += _SETTLED.size
        outcome = _known(_OUTCOMES, status, "status")
        report = _FLOATS[count].unpack_from(body, at) if count else None
        return instance, api.AttemptEnded(job, attempt, worker, outcome, last != 0, report), at + 4 * count

    def _sampled(self, body: bytes, at: int):
        instance, worker, status, _, count = _SAMPLED.unpack_from(body, at)
        at += _SAMPLED.size
        outcome = _known(_OUTCOMES, status, "status")
        report = _FLOATS[count].unpack_from(body, at) if count else None
        return instance, api.ProbeEnded(worker, outcome, report), at + 4 * count

    def _withdrawn(self, body: bytes, at: int):
        instance, job = _WITHDRAWN.unpack_from(body, at)
        return instance, api.RequestWithdrawn(job), at + _WITHDRAWN.size

    def _fired(self, body: bytes, at: int):
        instance, token = _FIRED.unpack_from(body, at)
        return instance, api.TimerFired(token), at + _FIRED.size

    def _from_peer(self, body: bytes, at: int):
        instance, sender, size = _FROM_PEER.unpack_from(body, at)
        at += _FROM_PEER.size
        return instance, api.PeerMessage(sender, _slice(body, at, size)), at + size


_DECODERS = {
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


def _slice(body: bytes, at: int, size: int) -> bytes:
    if at + size > len(body):
        raise WireError("truncated")
    return body[at : at + size]


def _known(table: dict, value: int, what: str) -> Any:
    if value not in table:
        raise WireError(f"unknown {what} {value}")
    return table[value]


def encode(instance: int, action: api.Action) -> bytes:
    """Encode one action of an instance."""
    return _ENCODERS[type(action)](instance, action)


_ENCODERS = {
    api.Send: lambda i, a: _RELAY.pack(1060, i, a.request, 0, a.worker),
    api.Cancel: lambda i, a: _RECALL.pack(1100, i, a.request, a.attempt),
    api.Refuse: lambda i, a: _DECLINE.pack(1040, i, a.request, a.retry_after_us),
    api.Fail: lambda i, a: _FAIL.pack(1000, i, a.request),
    api.SetTimer: lambda i, a: _ARM.pack(1030, i, a.token, a.delay_us),
    api.Probe: lambda i, a: _CHECK.pack(1090, i, a.worker),
    api.Subscribe: lambda i, a: _OBSERVE.pack(1020, i, 1),
}


def encode_bug(instance: int, text: str) -> bytes:
    """Encode the report that the decision code failed."""
    raw = text.encode()[:65535]
    return _TEXT.pack(1010, instance, len(raw)) + raw


def reply(records: list[bytes]) -> bytes:
    """Frame the reply to one batch."""
    body = b"".join(records)
    return REPLY.pack(len(records), len(body)) + body


def settings(text: bytes) -> api.Settings:
    """Translate the settings of `Provision`."""
    try:
        return from_operator(msgspec.json.decode(text))
    except msgspec.DecodeError as error:
        raise WireError(f"settings: not JSON: {error}") from None
    except ValueError as error:
        raise WireError(f"settings: {error}") from None
