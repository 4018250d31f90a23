"""The simulator's binary protocol: documented examples, malformed input, and the adapter process."""

import io
import json
import os
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from cedarmill.decisions import interface as api
from cedarmill.sim import simhost, wire
from tests.support.builders import settings

ROOT = Path(__file__).parents[2]
ACCEPT = "041a000300048d4b5d3a91c43fc0000000002ee04000000091f03b7c55d20a64010000000000000003a980"
SETTLED = "0456000300048d4b5d3a91c40003124a070a000048440100043ecccccd3fa00000430c00003f000000"
ROWS = (
    "04060000000002020000000000000000000000003f80000003124a070002000100000000005d142000003fc000002c9011f200"
)

SETTINGS = {
    "instances": 3,
    "zone": 1,
    "quantum": 5000,
    "registry_mode": "on_request",
    "value_by": "request",
    "over_share_worth": 0.1,
    "tenants": [],
    "report": {"names": ["x0", "x1", "served_ps", "failed_ps"], "via": "piggyback"},
    "rules": {"answer_slack": 20000, "ask_within": 10000000, "cold": 24000000, "cold_share": 0.12,
              "fall_multiple": 3.0, "overload_for": 1500000, "stop_sending_within": 2000000},
    "caps": {"cancelling": True, "connect_timeout": 250000, "max_retry_after": 2000000,
             "may_duplicate": False, "probes": True, "retry_after": True, "try_limit": 3},
    "family_info": {"class_kind": [-1], "class_stretch": [2.0], "progress": 1000000, "tells_start": True,
                    "report_x0": "free slots", "report_x1": "free memory"},
    "tariffs": {"cross_zone": 0.03, "probe": 0.002},
    "request_classes": [{"aim": 200000, "group": "cell", "hard_limit": 5000000, "name": "a",
                         "repeat": "guarded", "repeat_window": 7500000, "value": 3.0, "new_key": 1}],
}  # fmt: skip


def decode(hex_text: str, count: int = 1, decoder: wire.Decoder | None = None):
    return list((decoder or wire.Decoder()).decode_records(bytes.fromhex(hex_text), count))


def provision(instance: int, seed: int = 5, settings: dict | bytes = SETTINGS) -> bytes:
    raw = settings if isinstance(settings, bytes) else json.dumps(settings).encode()
    return struct.pack(">HHQI", 1080, instance, seed, len(raw)) + raw


def batch(now: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return wire.HEADER.pack(len(body), len(records), now) + body


def test_documented_records_decode_to_events():
    ((instance, event),) = decode(ACCEPT)
    assert instance == 3
    key = 0x91F03B7C55D20A64
    assert event == api.RequestArrived(0x48D4B5D3A91C4, 0, 240_000, 2.0, 1.5, 12_000, 0, key, False)
    ((_, event),) = decode(SETTLED)
    report = struct.unpack(">4f", struct.pack(">4f", 0.4, 1.25, 140.0, 0.5))
    assert event == api.AttemptEnded(0x48D4B5D3A91C4, 0, 0x3124A07, api.Outcome.OK, True, report)
    assert decode("044200030000004d") == [(3, api.TimerFired(77))]
    assert decode("03e800030001270d0e6f2b19") == [(3, api.RequestWithdrawn(0x1270D0E6F2B19))]
    assert decode("03f2000300048d4b5d3a91c40103124a073f00000000") == [
        (3, api.AttemptStarted(0x48D4B5D3A91C4, 0, 0x3124A07))
    ]
    assert decode("03f2000300048d4b5d3a91c40203124a073f00000001") == [
        (3, api.AttemptProgress(0x48D4B5D3A91C4, 1, 0x3124A07, 0.5))
    ]
    assert decode("03fc000300048d4b5d3a91c4000000242203124a07") == [
        (3, api.StreamStarted(0x48D4B5D3A91C4, 0, 0x3124A07))
    ]
    ((_, event),) = decode("044c00032c9011f20a00000578043ecccccd3fa00000430c00003f000000")
    assert event == api.ProbeEnded(0x2C9011F2, api.Outcome.OK, report)
    assert decode("042e00030002000468692037") == [(3, api.PeerMessage(2, b"hi 7"))]
    ((instance, event),) = decode("04100003")
    assert instance == 3 and isinstance(event, wire.Down)


def test_endpoint_list_numbers_resolve_in_record_order_within_a_batch():
    changed = "04240003040000002900"
    empty = "04060000000000"
    events = decode(ROWS + changed + empty + changed, 4)
    assert [len(event.entries) for _, event in events] == [2, 0]
    first, second = events[0][1].entries
    assert first == api.EndpointEntry(0x3124A07, api.ExecutorState.READY, 0, 0, 0, 1.0, 0)
    assert second == api.EndpointEntry(0x2C9011F2, api.ExecutorState.READY, 1, 0, 0x5D1420, 1.5, 0)
    ((_, failed),) = decode("04240003000000000007")
    assert failed == api.EndpointList(api.EndpointListKind.FAILED, [])


def test_absent_report_is_none_and_absent_hint_is_zero():
    ((_, event),) = decode(SETTLED[:48] + "00")
    assert event.report is None
    ((_, event),) = decode(ACCEPT[:64] + "02" + ACCEPT[66:])
    assert event.hint_us == 0 and event.repeated


def test_actions_encode_to_the_documented_records():
    request = 0x48D4B5D3A91C4
    expected = {
        "0424000300048d4b5d3a91c40000000003124a07": api.Send(request, 0x3124A07),
        "044c000300048d4b5d3a91c400": api.Cancel(request, 0),
        "041000030001270d0e6f2b190003d090": api.Refuse(0x1270D0E6F2B19, 250_000),
        "03e800030001270d0e6f2b19": api.Fail(0x1270D0E6F2B19),
        "040600030000004d0007a120": api.SetTimer(77, 500_000),
        "044200032c9011f2": api.Probe(0x2C9011F2),
        "03fc000301": api.Subscribe(),
    }
    for hex_text, action in expected.items():
        assert wire.encode(3, action).hex() == hex_text
    bug = "03f200030012696e646578206f7574206f662072616e6765"
    assert wire.encode_bug(3, "index out of range").hex() == bug
    assert wire.encode_reply([]).hex() == "0" * 16


def test_settings_are_parsed_from_json():
    parsed = wire.parse_settings(json.dumps(SETTINGS).encode())
    assert parsed.report_fields == ("free_slots", "free_memory", "served_per_s", "errors_per_s")
    keyed = (api.Effect.KEYED, api.DeduplicationScope.CELL, 7_500_000)
    assert parsed.classes[0] == api.RequestClass("a", 3.0, 200_000, 5_000_000, *keyed, 2.0)
    assert (parsed.on_request_discovery, parsed.report_by_probe, parsed.tells_start) == (True, False, True)


@pytest.mark.parametrize("path", [("rules", "cold"), ("caps", "try_limit"), ("instances",)])
def test_missing_setting_raises_an_error_naming_its_path(path):
    incomplete = json.loads(json.dumps(SETTINGS))
    table = incomplete
    for key in path[:-1]:
        table = table[key]
    del table[path[-1]]
    with pytest.raises(wire.WireError, match=".".join(path)):
        wire.parse_settings(json.dumps(incomplete).encode())


@pytest.mark.parametrize(
    "field,value", [("instances", 0), ("cold_share", 2.0), ("max_attempts", 0), ("tick_us", -1)]
)
def test_invalid_settings_raise_value_error_naming_the_field(field, value):
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})


def run_adapter_in_process(data: bytes) -> tuple[bytes, str | None]:
    sink = io.BytesIO()
    try:
        simhost.serve(io.BytesIO(data), sink)
    except wire.WireError as error:
        return sink.getvalue(), str(error)
    return sink.getvalue(), None


@pytest.mark.parametrize("data,expected_text", [
    (b"\0\0\0", "header"),
    (wire.HEADER.pack(8, 1, 0) + b"\0\0", "ends after 2 of 8"),
    (batch(0, bytes.fromhex("ffff0003")), "unknown record code 65535"),
    (batch(0, bytes.fromhex("041a0003")), "truncated"),
    (batch(0, provision(1, settings=b"{no")), "not JSON"),
    (batch(0, provision(1, settings=b"[]")), "not an object"),
    (batch(0, bytes.fromhex("04420003" "0000004d")), "instance 3"),
    (batch(0, bytes.fromhex(SETTLED[:34] + "63" + SETTLED[36:])), "status 99"),
    (wire.HEADER.pack(4, 0, 0) + b"abcd", "left over"),
])  # fmt: skip
def test_malformed_batch_raises_an_error_and_writes_no_partial_reply(data, expected_text):
    output, error = run_adapter_in_process(batch(0) + data)
    assert expected_text in error
    assert output == wire.encode_reply([])


def test_exception_of_the_balancer_is_reported_as_bug():
    bad_class = bytes.fromhex(ACCEPT[:66] + "0009" + ACCEPT[70:])
    output, error = run_adapter_in_process(batch(5, provision(3)) + batch(6, bad_class))
    assert error is None and struct.pack(">H", 1010) in output[16:]


def _batches_of_requests(order: list[int]) -> bytes:
    rows = bytes.fromhex(ROWS)
    start = [provision(i, seed=i + 1) for i in order]
    changed = [struct.pack(">HHBIB", 1060, i, 4, 1, 0) for i in order]
    frames = [batch(1_000_000, *start, rows, *changed)]
    for n in range(60):
        fields = (0.5, 0, 1.0, 0, 0, 0, 0, 5_000_000)
        accepts = [struct.pack(">HHQfIfQBHII", 1050, i, n * 8 + i, *fields) for i in order]
        frames.append(batch(1_000_000 + n * 5000, *accepts))
    return b"".join(frames)


def _replies_by_instance(output: bytes) -> dict[int, bytes]:
    sizes = {1060: 20, 1100: 13, 1040: 16, 1000: 12, 1030: 12, 1090: 8, 1020: 5}
    replies: dict[int, bytes] = {}
    offset = 0
    while offset < len(output):
        count, _ = wire.REPLY.unpack_from(output, offset)
        offset += wire.REPLY.size
        for _ in range(count):
            code, instance = struct.unpack_from(">HH", output, offset)
            replies[instance] = replies.get(instance, b"") + output[offset : offset + sizes[code]]
            offset += sizes[code]
    return replies


def _run_adapter(data: bytes, seed: str) -> subprocess.CompletedProcess:
    env = {**os.environ, "PYTHONHASHSEED": seed, "PYTHONDONTWRITEBYTECODE": "1"}
    command = [sys.executable, "-m", "cedarmill.sim.simhost"]
    return subprocess.run(command, input=data, cwd=ROOT, env=env, capture_output=True, timeout=60)


def test_replies_do_not_depend_on_other_instances_or_the_hash_seed():
    together = _run_adapter(_batches_of_requests([0, 1, 2]), "1")
    assert together.returncode == 0 and together.stderr == b""
    assert together.stdout == _run_adapter(_batches_of_requests([0, 1, 2]), "2").stdout
    together_by_instance = _replies_by_instance(together.stdout)
    for instance in (0, 1, 2):
        assert (
            _replies_by_instance(_run_adapter(_batches_of_requests([instance]), "3").stdout)[instance]
            == together_by_instance[instance]
        )


def test_malformed_input_ends_the_adapter_with_a_one_line_error():
    result = _run_adapter(b"\0\0\0", "1")
    assert result.returncode != 0 and result.stdout == b""
    assert result.stderr.decode().count("\n") == 1 and "Traceback" not in result.stderr.decode()
