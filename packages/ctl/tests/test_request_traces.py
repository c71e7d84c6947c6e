"""Traces of requests and causes of failures, against golden files."""

from pathlib import Path

import pytest
from click.testing import CliRunner

from marjoramyard.ctl.cmd.explain import EXIT_NOT_FOUND
from marjoramyard.ctl.cmd.main import main

GOLDEN = Path(__file__).parent / "golden"


def run(*arguments):
    return CliRunner().invoke(main, [*arguments, str(GOLDEN / "overload.log")])


@pytest.mark.parametrize("request_id", ["aa01", "aa02", "aa03"])
def test_the_trace_of_a_failed_request(request_id):
    result = run("explain", request_id)
    assert result.exit_code == 0
    assert result.output == (GOLDEN / f"{request_id}.txt").read_text()


def test_the_causes_of_all_failures():
    assert run("causes").output == (GOLDEN / "causes.txt").read_text()


def test_json_output_has_the_log_lines_unchanged():
    result = run("--output", "json", "explain", "aa03")
    assert result.output.count("\n") == 1
    assert '"total_ms": 401' in result.output


def test_the_error_on_an_unknown_request_has_a_remedy():
    result = run("explain", "nobody")
    assert result.exit_code == EXIT_NOT_FOUND
    assert "add the logs" in result.output
