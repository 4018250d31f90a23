"""A steward's process: what it cannot run is said in a line, and it goes on; bad files are refused in one."""

import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from cedarmill.lab.cluster.ports import free_port
from tests.support.node_case import ROOT
from tests.support.replica_case import LONG, cli

FILE = """<steward version="1" name="s0" data="{data}">
<fleet cluster="main"><keeper name="k0" address="127.0.0.1:{keeper}"/></fleet>
<unit name="n0" version="v1" listen="127.0.0.1:{listen}"><run version="v1" command="{command}"/></unit>
</steward>"""


class Stewards(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "steward.xml"
        self.words = {"data": f"{folder.name}/data", "keeper": free_port(), "listen": free_port(),
                      "command": "/no/such/command"}  # fmt: skip

    def test_a_command_that_is_not_there_is_said_and_tried_again(self):
        self.path.write_text(FILE.format(**self.words))
        command = [sys.executable, "-m", "cedarmill.cli", "steward", "-c", str(self.path)]
        process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE, text=True)
        self.addCleanup(process.kill)
        lines = []
        while not any("s0 runs n0" in line for line in lines):
            lines.append(process.stderr.readline())
        process.terminate()
        rest = process.communicate(timeout=LONG)[1]
        said = "".join(lines) + rest
        self.assertIn("unit n0: cannot start yet: version v1: No such file or directory", said)
        self.assertNotIn("Traceback", said)
        self.assertEqual(process.returncode, 0)

    def test_bad_files_are_refused_in_one_line(self):
        good = FILE.format(**self.words)
        cases = (
            (('version="v1" listen', 'version="v2" listen'), "no <run> of the version 'v2'"),
            (('command="/no', 'command="&apos;/no'), "<run> command"),
            (("<fleet cluster", "<flet cluster"), "flet"),
            (('listen="127.0.0.1', 'listen="here'), "ADDRESS:PORT"),
        )
        for change, words in cases:
            self.path.write_text(good.replace(*change))
            done = cli("steward", "-c", str(self.path))
            self.assertEqual((done.returncode, len(done.stderr.splitlines())), (2, 1), done.stderr)
            self.assertIn(words, done.stderr)


if __name__ == "__main__":
    unittest.main()
