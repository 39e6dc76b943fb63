"""Command line of the session daemon on the users' platform, and its settings file."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from ebonyladder.kernel.error import ConfigurationError
from ebonyladder.platform.settings import load_settings
from standins.platform import configuration

SETTINGS = """
node_name = "frontend-a-1"
ip = "10.1.0.26"
zone = "a"
internal_ports = [7560, 7575]
[zones]
a = "north"
[bind_addresses]
frontend = "10.1.0.26:8465"
ready = "10.1.0.26:8460"
[limits]
cpu_share = 0.5
cores = 2
[bounds]
grace_s = 6
quota_window_s = 5
quota_overage = 0.1
quota_slack = 20
[platform]
address = "10.200.1.7:8466"
[cloud]
address = "10.200.0.2:8466"
"""


def call(*arguments: str) -> subprocess.CompletedProcess:
    """Run the command line."""
    return subprocess.run(
        [sys.executable, "-m", "ebonyladder.platform", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={"PYTHONPATH": str(Path(__file__).parent.parent / "src")},
    )


class TestSettings:
    def test_fields_are_mapped_to_session_settings(self, tmp_path):
        # Guards against a value in the wrong setting, and an unknown key as an error.
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS + "[unknown]\nfield = 1\n")
        found = load_settings(str(path))
        assert found.vm == "frontend-a-1"
        assert found.peer == "10.1.0.26:7560"
        assert found.cores == 1.0
        assert found.tolerance.operations == 20

    @pytest.mark.parametrize(
        ("change", "name"),
        [
            (("node_name", "name"), "node_name"),
            (("[7560, 7575]", "[7560]"), "internal_ports"),
            (('address = "10.200.1.7:8466"', "address = 1"), "platform.address"),
            (("10.200.1.7:8466", "10.200.1.7:99999"), "platform.address"),
            (("10.1.0.26:8460", "nonsense"), "bind_addresses.ready"),
            (("7575]", "7]"), "internal_ports"),
            (("grace_s = 6", "grace_s = 0"), "bounds.grace_s"),
            (("grace_s = 6", "grace_s = 6\ndrain_ms = -1"), "bounds.drain_ms"),
            (
                ("[zones]", "x = " + "[" * 9_000 + "]" * 9_000 + "\n[zones]"),
                "recursion",
            ),
        ],
    )
    def test_error_names_the_invalid_field(self, tmp_path, change, name):
        # Guards against a daemon that starts with invalid settings.
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS.replace(*change))
        with pytest.raises(ConfigurationError, match=name):
            load_settings(str(path))


class TestCommands:
    """Guards against checks that accept an invalid file."""

    def test_check_settings(self, tmp_path):
        path = tmp_path / "settings.toml"
        path.write_text(SETTINGS)
        assert "vm = frontend-a-1" in call("check-settings", str(path)).stdout
        assert call("check-settings", str(tmp_path / "none")).returncode == 1

    def test_check_configuration(self, tmp_path):
        path = tmp_path / "configuration.json"
        path.write_text(json.dumps(configuration()))
        assert "3 routes" in call("check-configuration", str(path)).stdout
        path.write_text(json.dumps({"version": "x"}))
        found = call("check-configuration", str(path))
        assert found.returncode == 1
        assert "version" in found.stderr
