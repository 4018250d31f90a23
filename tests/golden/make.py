"""Makes the golden data, or says in which files they differ from what this code would make.

    python tests/golden/make.py           # writes the files beside this one
    python tests/golden/make.py --check   # writes nothing; exit code 1 where a file differs

The committed data were made by the code of 24d73c0, before the first rename of issue 36. The generator runs
against whatever code is there, and has to make the same, but for fields with defaults that the documents in
`$TMPDIR` got before the renames began, with the machine's clock: both forms are held. `--check` holds all 20
seeds of each timeline and took 95 s, `test_golden.py` does the rest and a few seeds in seconds. A
difference means that something written by the program before would now be read or answered otherwise: that is
mended in the program, not by making the data anew. Data are made anew only where a form or an answer is
changed on purpose.

What is not seen: two fields of one type that change places in a struct that is written as an array, where no
replayed command, replica or answer holds it.
"""

import argparse
import base64
import json
import re
import sys
import tempfile
import zlib
from pathlib import Path

if __name__ == "__main__":
    sys.path[:0] = [str(Path(__file__).parents[2])]

import lmdb
import msgspec

from tests.golden import reach
from tests.golden.reach import DATA
from tests.support.node_case import SETTINGS

SEEDS = {"fleet": range(20), "log": range(20), "zones": range(20), "storm": range(20)}
FLEET_SEED = 5  # whose fleet plans zones, drains and keeps its permits till the end
LOOKS = ("status", "members", "targets", "limits", "permits", "releases", "units", "peers", "log", "budgets",
         "admission", "zones", "what-if", "no-such-part")  # fmt: skip
COMMANDS = ("status", "members", "targets", "permits", "log", "limits", "zones", "what-if", "release status",
            "load", "drain --dry-run box-0 box-1 nobody", "what-if --lose z1",
            "what-if --lose nowhere")  # fmt: skip
RELEASE_SEED = 1  # whose fleet goes through a release
SPEND_SEED = 3  # whose fleet spends of a budget


def line(**row) -> str:
    return json.dumps(row) + "\n"


def text_of(data: bytes) -> str:
    return base64.b64encode(data).decode()


def wire_shapes() -> str:
    """All that the program decodes: roots, and the shape of each struct below them with its name of then."""
    shapes = reach.Shapes()
    found = sorted(reach.roots(shapes))
    rows = [{"number": number, "was": sorted(f"{cls.__module__}.{cls.__qualname__}" for cls in classes),
             **shapes.shapes[number]} for number, classes in shapes.structs.items()]  # fmt: skip
    rows.sort(key=lambda row: row["number"])
    return "".join(line(root=key) for key in found) + "".join(line(**row) for row in rows)


def wire_samples() -> str:
    """Of each root a value of each variant with every field set, and of each struct one with defaults."""
    shapes = reach.Shapes()
    lines = []
    for key, root in sorted(reach.roots(shapes).items()):
        info, samples = msgspec.inspect.type_info(root.type), reach.Samples(shapes)
        values = [*samples.whole(info), *_bare(info, samples)]
        for value in values:
            text = reach.CODECS[root.codec].encode(value)
            if root.codec == "json" and not _is_json(text):  # of what is only read: its default is no text
                continue
            shown = text.decode() if root.codec == "json" else text.hex()
            if (row := line(root=key, text=shown)) not in lines:
                lines.append(row)
    return "".join(lines)


def _is_json(text: bytes) -> bool:
    try:
        msgspec.json.decode(text)
    except msgspec.DecodeError:
        return False
    return True


def _bare(info: msgspec.inspect.Type, samples: reach.Samples) -> list:
    """The variants of a root with nothing but what has to be there."""
    match info:
        case msgspec.inspect.UnionType():
            return [value for one in samples.variants(info) for value in _bare(one, samples)]
        case msgspec.inspect.TupleType():
            return [(0, value) for value in _bare(info.item_types[-1], samples)]
        case msgspec.inspect.StructType() | msgspec.inspect.DataclassType():
            return [samples.bare(info)]
    return []


def samples_of(root_with: str) -> list[bytes]:
    """The encoded samples of the msgpack root that knows a mark."""
    shapes = reach.Shapes()
    for key, root in sorted(reach.roots(shapes).items()):
        if root.codec == "msgpack" and root_with in reach.marks(key, shapes.shapes):
            return [msgspec.msgpack.encode(one) for one in reach.Samples(shapes).whole(
                msgspec.inspect.type_info(root.type))]  # fmt: skip
    raise LookupError(root_with)


def frames() -> str:
    """The same frames as they stand on a connection, with their heads."""
    write, _ = reach.frame_codec()
    shapes = reach.Shapes()
    lines = []
    for key, root in sorted(reach.roots(shapes).items()):
        if "tag hello" in reach.marks(key, shapes.shapes):
            for number, message in reach.Samples(shapes).whole(msgspec.inspect.type_info(root.type)):
                lines.append(line(frame=write(number, message).hex()))
    return "".join(lines)


def replica() -> str:
    """A replica's folder: its log file and its LMDB file, and what was read out of them."""
    commands = samples_of("tag setup")
    entries = [msgspec.msgpack.encode([index, 3, 1, data]) for index, data in enumerate(commands, 2)]
    entries.append(msgspec.msgpack.encode([len(commands) + 2, 4, 0, b""]))
    config = msgspec.msgpack.encode({"k1": ["127.0.0.1:7101", True, "d15c0fed"],
                                     "k2": ["127.0.0.1:7102", False, ""]})  # fmt: skip
    entries.append(msgspec.msgpack.encode([len(commands) + 3, 4, 2, config]))
    state = next(one for one in samples_of("key peopled") if one[:1] in b"\xde\x80\x8f")
    snapshot = msgspec.msgpack.encode([6, 3, msgspec.msgpack.decode(config), state])
    with tempfile.TemporaryDirectory() as folder:
        reach.write_replica(folder, snapshot, entries[:5], entries[5:])
        log = Path(folder, "log").read_bytes()
        data = Path(folder, "snapshots", "data.mdb").read_bytes()
        with lmdb.open(f"{folder}/snapshots") as env, env.begin() as look:
            held = {bytes(key).decode(): text_of(value) for key, value in look.cursor()}
        read = reach.read_replica(folder)
    return (line(file="log", base64=text_of(log))
            + line(file="snapshots/data.mdb", base64_of_zlib=text_of(zlib.compress(data, 9)))
            + line(snapshots=held)
            + line(written={"snapshot": text_of(snapshot), "entries": [text_of(one) for one in entries]})
            + line(read={"identity": read.identity.hex(), "term": read.term, "vote": read.vote,
                         "snapshot": text_of(read.snapshot), "met": read.met,
                         "entries": [text_of(one) for one in read.entries]}))  # fmt: skip


def documents() -> str:
    """The documents in `$TMPDIR`, each kind as it is sealed, and the forms of older programs."""
    seal, _, path, _ = reach.documents()
    lines = []
    shapes = reach.Shapes()
    found = {key: root for key, root in reach.roots(shapes).items() if root.codec == "json"}
    for kind, mark in (("memory", "key means"), ("out", "key room"), ("exclusions", "key excluded")):
        key = next(one for one in sorted(found) if mark in reach.marks(one, shapes.shapes))
        info, samples = msgspec.inspect.type_info(found[key].type), reach.Samples(shapes)
        for value in (*samples.whole(info), samples.bare(info)):  # with nothing added later: the older form
            body = msgspec.json.encode(value)
            text = seal(kind, "n 0/é", 1_700_000_000_000_000, body)
            lines.append(line(kind=kind, node="n 0/é", at_us=1_700_000_000_000_000, root=key,
                              name=Path(path("n 0/é", kind)).name, text=text.decode()))  # fmt: skip
    marks = reach.exclusions("n0")
    marks.exclude("s-1", 5)
    marks.exclude("s-2", 7)
    for text in (marks.encode(10).decode(), '{"version":3,"excluded":["s-1","s-2"]}',
                 '{"version":3,"excluded":{"s-1":5}}'):  # fmt: skip
        other = reach.exclusions("n0")
        other.adopt(text.encode(), 99)
        lines.append(line(exclusions=text, since=other.since, again=other.encode(20).decode()))
    return "".join(lines)


def agreed_log() -> str:
    """A fleet's commands in virtual time, what was agreed before them, and after them."""
    lines = []
    for seed in (FLEET_SEED, RELEASE_SEED, SPEND_SEED):
        played = reach.play_fleet(seed)
        entries = text_of(zlib.compress(msgspec.msgpack.encode(played.entries), 9))
        before, after = text_of(played.before), text_of(played.after)
        lines.append(line(seed=seed, before=before, after=after, entries=entries))
    return "".join(lines)


def fleet_answers() -> str:
    """What a replica answers to each look, and what `cedarmill fleet` prints of it."""
    lines = []
    for seed in (FLEET_SEED, RELEASE_SEED, SPEND_SEED):
        played = reach.play_fleet(seed)
        for what in LOOKS:
            lines.append(line(seed=seed, look=what, text=reach.answer(played, what).decode()))
        for words in COMMANDS:
            for json_ in ([], ["--json"]):
                code, text = reach.fleet_command(played, [*json_, *words.split()])
                lines.append(line(seed=seed, command=[*json_, *words.split()], exit=code, text=text))
    return "".join(lines)


def xml_values() -> str:
    return "".join(line(file=name, values=value) for name, value in reach.xml_files().items())


def node_configurations() -> str:
    """The example's, and one with the settings of the tests: text, and what a node makes of it."""
    example = json.loads((reach.ROOT / "example" / "config.json").read_text())
    texts = [json.dumps(one) for one in (example, {**example, "settings": SETTINGS, "mgmt": "127.0.0.1:7"})]
    return "".join(line(text=text, values=reach.node_configuration(text.encode())) for text in texts)


def command_line() -> str:
    return "".join(line(command=name, options=rows) for name, rows in reach.command_line().items())


def admin_api() -> str:
    return "".join(line(request=request, answer=text) for request, text in reach.admin_answers())


def timelines() -> str:
    return "".join(line(timeline=kind, seed=seed, hash=reach.timeline(kind, seed))
                   for kind, seeds in SEEDS.items() for seed in seeds)  # fmt: skip


FILES = {
    "wire_shapes.jsonl": wire_shapes,
    "wire_samples.jsonl": wire_samples,
    "frames.jsonl": frames,
    "replica.jsonl": replica,
    "documents.jsonl": documents,
    "agreed_log.jsonl": agreed_log,
    "fleet_answers.jsonl": fleet_answers,
    "xml_values.jsonl": xml_values,
    "node_configurations.jsonl": node_configurations,
    "command_line.jsonl": command_line,
    "admin_api.jsonl": admin_api,
    "timelines.jsonl": timelines,
}


def compared(text: str) -> str:
    """Without the names that classes had: they are there for readers."""
    return re.sub(r'"was": \[[^]]*\], ', "", text)


def main() -> int:
    """Write the files, or compare them; 1 where one differs."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true", help="compare, and write nothing")
    parser.add_argument("files", nargs="*", help="only these; without a name all")
    words = parser.parse_args()
    different = 0
    for name in words.files or FILES:
        text, path = FILES[name](), DATA / name
        if not words.check:
            path.write_text(text)
        same = compared(path.read_text()) == compared(text)
        different += not same
        print(f"{name}: {len(text)} bytes{'' if same else ', DIFFERENT'}")
    return int(different > 0)


if __name__ == "__main__":
    sys.exit(main())
