"""cedarmill.xml and the command line: invalid files are rejected; help, completion and JSON logging work."""

import json
import os
import re
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from hypothesis import given
from hypothesis import strategies as st

from cedarmill.conf.document import ConfError, format_duration, parse_duration
from cedarmill.conf.settings import Settings
from cedarmill.values import Options
from tests.support.node_case import ROOT, NodeCase


def command(*arguments: str, **env: str) -> subprocess.CompletedProcess:
    return subprocess.run([sys.executable, "-m", "cedarmill.cli", *arguments], cwd=ROOT, capture_output=True,
                          text=True, env={**os.environ, **env}, timeout=60)  # fmt: skip


INVALID_CONTENTS = (  # contents of <cedarmill>, and texts that the error message must contain
    (
        '<deadlines>\n<skew bound="6000"/></deadlines>',
        (":2:", "<skew> bound", "'6000' has no unit", "6000ms"),
    ),
    ('<deadlines><skew bound="6 s"/></deadlines>', ("<skew> bound", "20ms, 6s or 1min")),
    ('<deadlines><worth quantile="0.9"/></deadlines>', ("<worth> quantile", "'0.9' has no unit", "0.9%")),
    ('<deadlines><worth quantile="900%"/></deadlines>', ("<worth> quantile", "form 50%")),
    ("<deadline/>", ("deadline", "not expected")),
    ('<deadlines on_leave="stop"/>', ("on_leave", "not allowed")),
    ('<deadlines half-close="maybe"/>', ("<deadlines> half-close", "maybe")),
    ('<deadlines><source header="x-timeout"/></deadlines>', ("<source> header", "x-timeout")),
    (
        '<deadlines><source header="x-budget-ms"/><source header="x-budget-ms"/></deadlines>',
        ("duplicate header",),
    ),
    ('<deadlines><margin most="2ms" least="20ms"/></deadlines>', ("<margin>", "least is greater")),
    ('<backends><kind cancel="close"/></backends>', ("<kind>", "name", "required")),
    ('<backends><kind name="a"/>\n<kind name="a"/></backends>', (":2:", "<kind> name", "'a'")),
    ('<ledger every="1ms"/>', ("<ledger> every", "at least 1s")),
    ('<health><agent listen="localhost:1"/></health>', ("<agent> listen", "ADDRESS:PORT")),
    ('<health><http listen="127.0.0.1:99999"/></health>', ("<http> listen", "ADDRESS:PORT")),
    ("<deadlines><skew", (":1:", "not well-formed XML")),
)


class ConfigurationFile(unittest.TestCase):
    def write(self, text: str) -> str:
        with tempfile.NamedTemporaryFile("w", suffix=".xml", delete=False) as file:
            file.write(text)
        self.addCleanup(os.unlink, file.name)
        return file.name

    def test_invalid_file_is_rejected_with_file_line_and_element(self):
        """Guards against accepting a missing unit or ignoring an unknown element or attribute."""
        for content, expected_texts in INVALID_CONTENTS:
            path = self.write(f'<cedarmill version="1">{content}</cedarmill>')
            with self.subTest(content), self.assertRaises(ConfError) as caught:
                Settings(path)
            for expected in (f"{path}:", *expected_texts):
                self.assertIn(expected, str(caught.exception))
            self.assertRegex(str(caught.exception), r":\d+: ")

    def test_truncated_file_is_rejected(self):
        """Guards against applying a file that is only partly written."""
        text = (ROOT / "deploy/cedarmill.xml").read_text().rstrip()
        for end in range(0, len(text), 7):
            with self.subTest(end), self.assertRaises(ConfError):
                Settings(self.write(text[:end]))

    def test_entities_document_types_and_oversized_files_are_rejected(self):
        """Guards against inclusion of other files and against entity expansion."""
        entity = '<!DOCTYPE c [<!ENTITY x SYSTEM "file:///etc/hostname">]>'
        bomb = '<!DOCTYPE c [<!ENTITY a "aaaa"><!ENTITY b "&a;&a;&a;">]>'
        for text in (f"{entity}<cedarmill version='1'>&x;</cedarmill>",
                     f"{bomb}<cedarmill version='1'>&b;</cedarmill>",
                     f"<cedarmill version='1'>{' ' * 2**20}</cedarmill>"):  # fmt: skip
            with self.subTest(text[:40]), self.assertRaises(ConfError):
                Settings(self.write(text))

    def test_shipped_file_sets_the_defaults(self):
        """Guards against a changed default that is not also changed in deploy/cedarmill.xml."""
        shipped = Settings(ROOT / "deploy/cedarmill.xml")
        self.assertEqual(shipped.options.deadlines, Options().deadlines)
        self.assertEqual(shipped.options.kind("any"), Options().kind("any"))
        self.assertEqual(shipped.options.waste_log_interval_us, Options().waste_log_interval_us)
        unset = [row.name for row in shipped.effective if row.origin == "default"]
        off = [f"health.{kind}.listen" for kind in ("agent", "http", "grpc")]
        self.assertEqual(unset, [*off, "fleet"])  # the shipped file sets none of these

    @given(st.integers(0, 10**12))
    def test_formatted_duration_parses_to_the_same_value(self, us: int):
        """Guards against output of `conf show` that a file could not contain."""
        self.assertEqual(parse_duration(format_duration(us)), us)


class CommandLine(unittest.TestCase):
    def test_every_command_has_help_with_an_example_and_its_exit_codes(self):
        """Guards against help texts without an example or exit codes."""
        for arguments in ((), ("node",), ("sim",), ("conf", "check"), ("conf", "show"), ("conf", "schema"),
                      ("lab", "run"), ("lab", "list"), ("lab", "report"), ("health", "probe")):  # fmt: skip
            with self.subTest(arguments):
                text = command(*arguments, "--help").stdout
                self.assertRegex(text, r"Examples?:")
                self.assertIn("Exit codes:", text)

    def test_invalid_input_prints_one_line_and_exits_with_code_2(self):
        """Guards against a traceback for a mistake of the user."""
        for arguments in (("conf", "check", "/nowhere.xml"), ("conf", "check", "README.md"),
                      ("lab", "run", "nowhere"), ("lab", "run", "rehearsal", "--side", "nowhere"),
                      ("lab", "report", "README.md"), ("node", "-c", "/nowhere.xml")):  # fmt: skip
            with self.subTest(arguments):
                result = command(*arguments, LB_CONFIG="example/config.json")
                self.assertEqual(result.returncode, 2, result.stderr)
                self.assertEqual(result.stderr.count("\n"), 1, result.stderr)

    def test_show_prints_the_origin_of_each_value(self):
        """The origin is `default` or a line of the file."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "own.xml"
            path.write_text('<cedarmill version="1">\n<deadlines><skew bound="2s"/></deadlines></cedarmill>')
            rows = [re.split(r"  +", line) for line in command("conf", "show", str(path)).stdout.splitlines()]
        origins = {row[0]: row[1:] for row in rows}
        self.assertEqual(origins["deadlines.skew.bound"], ["2s", f"{path}:2"])
        self.assertEqual(origins["deadlines.margin.most"], ["20ms", "default"])

    def test_shell_completion_offers_matching_commands(self):
        """Completion is that of click, for the command name that the package installs."""
        cases = (
            ("cedarmill conf s", ["schema", "show"]),
            ("cedarmill cluster re", ["release", "replicas", "return-zone"]),
            ("cedarmill fleet ke", ["keepers"]),
            ("cedarmill st", ["steward"]),
        )
        for typed, completions in cases:
            word_index = str(len(typed.split()) - 1)
            result = command(_CEDARMILL_COMPLETE="bash_complete", COMP_WORDS=typed, COMP_CWORD=word_index)
            self.assertEqual(result.stdout.split(), [f"plain,{completion}" for completion in completions])


class JsonLog(NodeCase):
    log_format = "json"

    def test_json_line_contains_the_fields_and_the_text_of_the_event(self):
        """Guards against fields and text that differ from the table of events."""
        event = json.loads(self.log[-1])
        self.assertEqual({key: event[key] for key in ("event", "level", "name", "host")},
                         {"event": "serves", "level": "info", "name": "n0", "host": "127.0.0.1"})  # fmt: skip
        self.assertEqual(event["words"], f"node n0 serves on 127.0.0.1 port {event['port']}")


if __name__ == "__main__":
    unittest.main()
