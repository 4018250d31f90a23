"""What was written and answered before the renames is read and answered in the same way now.

The data in `tests/golden/` were made by the code of 24d73c0 with `tests/golden/make.py`. Types are found by
what they are on the wire (`tests/golden/reach.py`): a rename that keeps tags, keys and shapes passes.
"""

import base64
import functools
import json
import tempfile
import unittest
import zlib
from pathlib import Path

import lmdb
import msgspec

from tests.golden import reach

QUICK = {"fleet": (0, 3), "log": range(5), "zones": (0,), "storm": (0,)}  # the generator holds all seeds


def rows(name: str) -> list[dict]:
    """The lines of one file of the golden data."""
    return [json.loads(line) for line in (reach.DATA / f"{name}.jsonl").read_text().splitlines()]


class CurrentForms:
    """What the code as it stands decodes."""

    def __init__(self) -> None:
        self.shapes = reach.Shapes()
        self.roots = reach.roots(self.shapes)
        self.marks = {key: reach.marks(key, self.shapes.shapes) for key in self.roots}

    def root(self, key: str, shapes: dict[str, dict]) -> reach.Root:
        """What now reads what the root `key` read: the same, or the one that knows most of its tags and
        keys.
        """
        if key in self.roots:
            return self.roots[key]
        wanted = reach.marks(key, shapes)
        return self.roots[max(sorted(self.marks), key=lambda one: (
            self.marks[one] & {key.split()[0]} == {key.split()[0]},
            len(wanted & self.marks[one]) - len(wanted ^ self.marks[one])))]  # fmt: skip


current_forms = functools.cache(CurrentForms)
play = functools.cache(reach.play_fleet)


@functools.cache
def golden_shapes() -> dict[str, dict]:
    """The shapes that the golden data name, by number."""
    return {row["number"]: row for row in rows("wire_shapes") if "number" in row}


def round_trip(root: reach.Root, text: bytes) -> bytes:
    """Decode the text and encode it again."""
    codec = reach.CODECS[root.codec]
    return codec.encode(codec.decode(text, type=root.type))


def innermost(shapes: dict[str, dict]) -> list[dict]:
    """The shapes that hold none of the others: where a change began."""
    return [row for row in shapes.values() if not any(other in str(row["fields"]) for other in shapes)]


class WireForms(unittest.TestCase):
    maxDiff = None

    def test_no_shape_has_changed_and_none_is_new(self):
        """Tags, keys, order, types and defaults of all that is decoded."""
        before, here = golden_shapes(), current_forms().shapes
        gone = {number: row for number, row in before.items() if number not in here.shapes}
        new = {number: row for number, row in here.shapes.items() if number not in before}
        was = [f"{row['was']} {row['tag']} {row['fields']}" for row in innermost(gone)]
        instead = [f"{row['tag']} {row['fields']}" for row in innermost(new)]
        self.assertEqual(was, instead, "what was read before, and what is read now")
        self.assertEqual((gone, new), ({}, {}))
        roots = {row["root"] for row in rows("wire_shapes") if "root" in row}
        self.assertEqual(roots - current_forms().roots.keys(), set())

    def test_each_sample_comes_back_to_the_same_bytes(self):
        shapes = golden_shapes()
        for row in rows("wire_samples"):
            root = current_forms().root(row["root"], shapes)
            text = row["text"].encode() if root.codec == "json" else bytes.fromhex(row["text"])
            with self.subTest(row["text"][:80]):
                self.assertEqual(round_trip(root, text), text)

    def test_each_struct_that_is_decoded_has_a_sample(self):
        """A message that was forgotten, or is new, has to enter the data."""
        found: set[type] = set()
        for row in rows("wire_samples"):
            root = current_forms().root(row["root"], golden_shapes())
            text = row["text"].encode() if root.codec == "json" else bytes.fromhex(row["text"])
            reach.met(reach.CODECS[root.codec].decode(text, type=root.type), found)
        known = set().union(*current_forms().shapes.structs.values())
        self.assertGreater(len(known), 80)
        self.assertEqual(sorted(str(one) for one in known - found), [])

    def test_frames_between_processes(self):
        write, read = reach.frame_codec()
        frames = [bytes.fromhex(row["frame"]) for row in rows("frames")]
        self.assertGreater(len(frames), 30)
        for one in frames:
            with self.subTest(one[:40]):
                [(number, message)] = read(one)
                self.assertEqual(write(number, message), one)


class StoredData(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.log, self.data, self.held, self.written, self.read = rows("replica")

    def bytes_of(self, row: dict, key: str) -> bytes | list[bytes]:
        value = row[key]
        return list(map(base64.b64decode, value)) if isinstance(value, list) else base64.b64decode(value)

    def test_a_replica_starts_from_the_folder_of_before(self):
        Path(self.folder, "snapshots").mkdir()
        Path(self.folder, "log").write_bytes(self.bytes_of(self.log, "base64"))
        Path(self.folder, "snapshots/data.mdb").write_bytes(
            zlib.decompress(self.bytes_of(self.data, "base64_of_zlib"))
        )
        found, read = reach.read_replica(self.folder), self.read["read"]
        self.assertEqual(found.identity.hex(), read["identity"])
        self.assertEqual((found.term, found.vote, found.met), (read["term"], read["vote"], read["met"]))
        self.assertEqual(found.snapshot, self.bytes_of(read, "snapshot"))
        self.assertEqual(found.entries, self.bytes_of(read, "entries"))

    def test_a_replica_writes_the_same_files(self):
        written = self.written["written"]
        entries = self.bytes_of(written, "entries")
        reach.write_replica(self.folder, self.bytes_of(written, "snapshot"), entries[:5], entries[5:])
        self.assertEqual(Path(self.folder, "log").read_bytes(), self.bytes_of(self.log, "base64"))
        with lmdb.open(f"{self.folder}/snapshots") as env, env.begin() as look:
            held = {bytes(key).decode(): value for key, value in look.cursor()}
        self.assertEqual(held, {key: base64.b64decode(text) for key, text in self.held["snapshots"].items()})

    def test_the_commands_in_the_log_come_back_to_the_same_bytes(self):
        """Each kind, as an entry holds it."""
        shapes, kinds = golden_shapes(), set()
        key = next(row["root"] for row in rows("wire_samples") if row["root"].startswith("msgpack @")
                   and "tag setup" in reach.marks(row["root"], shapes))  # fmt: skip
        for text in self.bytes_of(self.written["written"], "entries"):
            _, _, kind, data = msgspec.msgpack.decode(text)
            if kind == 1:
                self.assertEqual(round_trip(current_forms().root(key, shapes), data), data)
                kinds.add(msgspec.msgpack.decode(data)[0])
        tags = {shapes[number]["tag"] for number in key.split()[1].split("|")}
        self.assertEqual(kinds, tags)

    def test_documents_that_outlive_a_process(self):
        seal, unseal, path, in_place = reach.documents()
        for number, row in enumerate(rows("documents")):
            if "kind" not in row:
                continue
            with self.subTest(row["kind"]):
                text = row["text"].encode()
                at_us, body = unseal(text, row["kind"], row["node"])
                self.assertEqual(at_us, row["at_us"])
                body = round_trip(current_forms().root(row["root"], golden_shapes()), body)
                self.assertEqual(seal(row["kind"], row["node"], at_us, body), text)
                self.assertEqual(Path(path(row["node"], row["kind"])).name, row["name"])
                file = in_place(f"{self.folder}/{number}")
                file.write(text)
                file.close()
                self.assertEqual(Path(file.path).read_bytes(), b"%07d\n" % len(text) + text)

    def test_exclusions_and_their_older_forms(self):
        found = [row for row in rows("documents") if "exclusions" in row]
        self.assertEqual(len(found), 3)
        for row in found:
            marks = reach.exclusions("n0")
            marks.adopt(row["exclusions"].encode(), 99)
            self.assertEqual((marks.since, marks.encode(20).decode()), (row["since"], row["again"]))


class AgreedState(unittest.TestCase):
    def test_the_same_commands_lead_to_the_same_state(self):
        for row in rows("agreed_log"):
            entries = msgspec.msgpack.decode(zlib.decompress(base64.b64decode(row["entries"])))
            self.assertGreater(len(entries), 50)
            found = reach.replay(base64.b64decode(row["before"]), entries)
            self.assertEqual(found, base64.b64decode(row["after"]), row["seed"])

    def answers(self, seed: int) -> None:
        mine = [row for row in rows("fleet_answers") if row["seed"] == seed]
        self.assertGreater(len(mine), 20)
        for row in mine:
            with self.subTest(row.get("look") or " ".join(row["command"])):
                if "look" in row:
                    self.assertEqual(reach.answer(play(seed), row["look"]).decode(), row["text"])
                else:
                    self.assertEqual(
                        reach.fleet_command(play(seed), row["command"]), (row["exit"], row["text"])
                    )

    def test_operators_see_the_same_of_a_fleet_that_plans_zones(self):
        self.answers(5)

    def test_operators_see_the_same_of_a_release(self):
        self.answers(1)

    def test_operators_see_the_same_of_budgets(self):
        self.answers(3)


class Interfaces(unittest.TestCase):
    maxDiff = None

    def test_the_admin_listener_answers_the_same_bytes(self):
        expected = [[row["request"], row["answer"]] for row in rows("admin_api")]
        self.assertGreater(len(expected), 20)
        self.assertEqual(reach.admin_answers(), expected)

    def test_each_xml_file_means_the_same(self):
        found = json.loads(json.dumps(reach.xml_files()))
        expected = {row["file"]: row["values"] for row in rows("xml_values")}
        self.assertEqual(found.keys(), expected.keys())
        for name, values in expected.items():
            self.assertEqual(found[name], values, name)

    def test_each_xml_file_that_is_shipped_can_be_read(self):
        self.assertEqual(reach.refused_xml(), {})

    def test_each_node_configuration_means_the_same(self):
        found = rows("node_configurations")
        self.assertEqual(len(found), 2)
        for row in found:
            values = json.loads(json.dumps(reach.node_configuration(row["text"].encode())))
            self.assertEqual(values, row["values"])

    def test_sub_commands_and_options_keep_their_names_and_defaults(self):
        """New names may come, the old ones stay."""
        found = json.loads(json.dumps(reach.command_line()))
        for row in rows("command_line"):
            with self.subTest(row["command"]):
                for label, option in row["options"].items():
                    same = [other for name, other in found[row["command"]].items()
                            if set(label.split()) <= set(name.split())]  # fmt: skip
                    self.assertEqual(len(same), 1, label)
                    self.assertLessEqual(set(option.pop("choices")), set(same[0].pop("choices")), label)
                    self.assertEqual(same[0], option, label)


class Timelines(unittest.TestCase):
    def same(self, kind: str) -> None:
        expected = {row["seed"]: row["hash"] for row in rows("timelines") if row["timeline"] == kind}
        self.assertEqual(len(expected), 20)
        for seed in QUICK[kind]:
            self.assertEqual(reach.timeline(kind, seed), expected[seed], seed)

    def test_of_the_fleet(self):
        self.same("fleet")

    def test_of_the_log_alone(self):
        self.same("log")

    def test_of_zones(self):
        self.same("zones")

    def test_of_overload(self):
        self.same("storm")
