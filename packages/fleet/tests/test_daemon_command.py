"""`marjoramyard check` and `run` report invalid settings in one line."""

from pathlib import Path

from click.testing import CliRunner

from marjoramyard.fleet.cmd.daemon import EXIT_INVALID_SETTINGS, main

ROOT = Path(__file__).parents[3]


def test_valid_settings_are_reported_as_valid():
    path = str(ROOT / "examples/settings/entry.yaml")
    result = CliRunner().invoke(main, ["check", path])
    assert result.exit_code == 0
    assert "valid settings for role entry" in result.output


def test_invalid_settings_exit_with_code_2(tmp_path):
    path = tmp_path / "x.yaml"
    path.write_text("role: entry\nname: e\nzoone: z\n")
    for command in ("check", "run"):
        result = CliRunner().invoke(main, [command, str(path)])
        assert result.exit_code == EXIT_INVALID_SETTINGS
        assert "remove it or correct its name" in result.output
        assert len(result.output.splitlines()) == 1


def test_a_missing_secret_exits_with_code_2_and_names_the_remedy(tmp_path):
    good = (ROOT / "examples/settings/entry.yaml").read_text()
    path = tmp_path / "x.yaml"
    path.write_text(good)
    result = CliRunner().invoke(main, ["run", str(path)])
    assert result.exit_code == EXIT_INVALID_SETTINGS
    assert "marjoramctl key secret" in result.output
