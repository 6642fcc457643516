"""Validation of settings and the commands that use them."""

import json
from pathlib import Path

import pytest
from result import Err, Ok
from typer.testing import CliRunner

from bamboovale.cli.main import app
from bamboovale.cli.settings_table import render_table
from bamboovale.settings import Settings
from bamboovale.status import ExitStatus

GOOD = {
    "id": "entry-1",
    "failure_domain": "muc-a",
    "log": "http://127.0.0.1:9000",
    "vms": "http://127.0.0.1:9001",
}
SECRET = "0123456789abcdef"
OTHER_SECRET = "fedcba9876543210"


def messages_by_flag(**values: object) -> dict[str, str]:
    checked = Settings.from_values(GOOD | values)
    assert isinstance(checked, Err)
    return {item.place.split()[0]: item.message for item in checked.err_value}


class TestFromValues:
    """Settings converted from text and checked."""

    def test_good_values_are_converted(self) -> None:
        checked = Settings.from_values(GOOD | {"lease_term_s": "4", "admin_port": "9"})
        assert isinstance(checked, Ok)
        assert checked.ok_value.lease_term_s == 4.0
        assert checked.ok_value.admin_port == 9

    def test_none_means_the_default(self) -> None:
        checked = Settings.from_values(GOOD | {"lease_term_s": None})
        assert isinstance(checked, Ok)
        assert checked.ok_value.lease_term_s == 2.5

    def test_all_findings_are_reported_with_flag_and_variable(self) -> None:
        checked = Settings.from_values(
            {"lease_term_s": "soon", "policy": "best", "callers_port": "0"},
        )
        assert isinstance(checked, Err)
        places = {item.place for item in checked.err_value}
        assert "--lease-term-s (BAMBOOVALE_LEASE_TERM_S)" in places
        assert {place.split()[0] for place in places} == {
            "--id",
            "--failure-domain",
            "--log",
            "--vms",
            "--lease-term-s",
            "--policy",
            "--callers-port",
        }

    @pytest.mark.parametrize(
        ("values", "flag"),
        [
            ({"lease_renew_s": "1.25"}, "--lease-renew-s"),
            ({"lease_margin_s": "2.5"}, "--lease-margin-s"),
            ({"drain_timeout_s": "5"}, "--drain-timeout-s"),
            ({"claim_horizon_s": "3541"}, "--claim-horizon-s"),
            ({"admin_port": "8080"}, "--admin-port"),
            ({"admin_token": "short"}, "--admin-token"),
            ({"admin_token": SECRET, "peer_key": SECRET}, "--peer-key"),
            ({"address": "localhost"}, "--address"),
            ({"log": "ftp://x"}, "--log"),
            ({"log": "http://["}, "--log"),
            ({"lease_term_s": "nan"}, "--lease-term-s"),
            ({"stall_weight": "1.1"}, "--stall-weight"),
        ],
    )
    def test_each_rule_is_reported_alone(self, values: dict, flag: str) -> None:
        assert list(messages_by_flag(**values)) == [flag]

    def test_secrets_are_required_beyond_loopback(self) -> None:
        assert set(messages_by_flag(address="10.0.0.1")) == {
            "--admin-token",
            "--peer-key",
        }
        secrets = {"admin_token": SECRET, "peer_key": OTHER_SECRET}
        assert Settings.from_values(GOOD | secrets | {"address": "10.0.0.1"}).is_ok()

    def test_an_unknown_name_is_a_finding(self) -> None:
        assert messages_by_flag(lease_terms="1") == {"lease_terms": "is no setting"}

    def test_secrets_are_not_shown(self) -> None:
        settings = Settings.from_values(GOOD | {"peer_key": SECRET}).unwrap()
        assert SECRET not in repr(settings) + json.dumps(settings.to_json())
        assert settings.to_json()["peer_key"] == "(set)"


class TestCommands:
    """``bamboovale entry`` and ``check-settings`` share their options."""

    def test_findings_go_to_standard_error_with_an_exit_code(self) -> None:
        for command in ("entry", "check-settings"):
            done = CliRunner().invoke(app, [command, "--lease-term-s", "x"])
            assert done.exit_code == ExitStatus.SETTINGS_INVALID
            assert "--lease-term-s (BAMBOOVALE_LEASE_TERM_S): must be" in done.stderr
            assert "--id (BAMBOOVALE_ID): is required" in done.stderr

    def test_flags_override_the_environment(self) -> None:
        variables = {f"BAMBOOVALE_{name.upper()}": text for name, text in GOOD.items()}
        done = CliRunner().invoke(
            app,
            ["check-settings", "--id", "entry-2"],
            env=variables,
        )
        assert done.exit_code == 0, done.output
        assert json.loads(done.stdout)["id"] == "entry-2"
        assert json.loads(done.stdout)["failure_domain"] == "muc-a"


class TestPage:
    """``docs/SETTINGS.md`` matches the declarations."""

    def test_the_table_matches_the_declarations(self) -> None:
        page = Path("docs/SETTINGS.md").read_text("utf-8")
        assert page.endswith(f"\n\n{render_table()}\n"), "run bamboovale settings-table"

    def test_the_example_matches_the_command_output(self) -> None:
        page = Path("docs/SETTINGS.md").read_text("utf-8")
        command, *lines = page.split("```")[1].splitlines()[1:]
        done = CliRunner().invoke(app, command.split()[2:])
        assert done.stderr.splitlines() == lines[:3]
        assert done.exit_code == int(lines[-1])
