"""`cedarmill replica --init`: output, and refusal to overwrite a formatted data folder."""

from pathlib import Path

from click.testing import CliRunner, Result

from cedarmill.cli import main

SETTINGS = """<keeper version="1" cluster="main" name="r0" listen="127.0.0.1:7100" data="{data}">
<peer name="r0" address="127.0.0.1:7100"/></keeper>"""


def run_replica(path: Path, *options: str) -> Result:
    return CliRunner().invoke(main, ["replica", "-c", str(path), *options])


def test_init_formats_an_empty_data_folder_and_refuses_a_formatted_one(tmp_path):
    settings_path, data = tmp_path / "r0.xml", tmp_path / "data"
    settings_path.write_text(SETTINGS.format(data=data))
    formatted = run_replica(settings_path, "--init")
    assert formatted.output == f"{data}: formatted for keeper r0 of cluster main\n"
    assert formatted.exit_code == 0
    repeated = run_replica(settings_path, "--init")
    assert repeated.exit_code == 2
    assert str(data) in repeated.output and repeated.output.count("\n") == 1


def test_restore_without_init_and_restore_of_a_torn_backup_are_errors(tmp_path):
    settings_path = tmp_path / "r0.xml"
    settings_path.write_text(SETTINGS.format(data=tmp_path / "data"))
    result = run_replica(settings_path, "--restore", str(tmp_path / "cluster.backup"))
    assert result.exit_code == 2
    assert "--restore requires --init" in result.output
    torn_backup = tmp_path / "torn.backup"
    torn_backup.write_bytes(b"torn")
    result = run_replica(settings_path, "--init", "--restore", str(torn_backup))
    assert result.exit_code == 2
    assert str(torn_backup) in result.output and result.output.count("\n") == 1
