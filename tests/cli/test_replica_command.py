"""`cedarmill replica --init` under its name: what it prints, and that it refuses what would lose a disk."""

from pathlib import Path

from click.testing import CliRunner, Result

from cedarmill.cli import main

FILE = """<keeper version="1" cluster="main" name="r0" listen="127.0.0.1:7100" data="{data}">
<peer name="r0" address="127.0.0.1:7100"/></keeper>"""


def run(path: Path, *words: str) -> Result:
    return CliRunner().invoke(main, ["replica", "-c", str(path), *words])


def test_init_formats_an_empty_disk_and_refuses_one_that_holds_something(tmp_path):
    path, data = tmp_path / "r0.xml", tmp_path / "data"
    path.write_text(FILE.format(data=data))
    formatted = run(path, "--init")
    assert formatted.output == f"{data}: formatted for keeper r0 of cluster main\n"
    assert formatted.exit_code == 0
    again = run(path, "--init")
    assert again.exit_code == 2
    assert str(data) in again.output and again.output.count("\n") == 1


def test_a_backup_is_restored_on_an_empty_disk_alone(tmp_path):
    path = tmp_path / "r0.xml"
    path.write_text(FILE.format(data=tmp_path / "data"))
    found = run(path, "--restore", str(tmp_path / "cluster.backup"))
    assert found.exit_code == 2
    assert "--restore goes with --init" in found.output
    torn = tmp_path / "torn.backup"
    torn.write_bytes(b"torn")
    found = run(path, "--init", "--restore", str(torn))
    assert found.exit_code == 2
    assert str(torn) in found.output and found.output.count("\n") == 1
