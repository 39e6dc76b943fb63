"""Tests of the configuration text and the settings file."""

import json

import pytest

from ebonyladder._text import MAX_JSON5_BYTES, MAX_TEXT_BYTES
from ebonyladder.configuration import parse_configuration
from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.settings import load_settings

DIGEST = "ab" * 32

TEXT = """{
  // Services and what they need.
  "services": {
    "square-ledger": {"depends_on": ["audit"], "groups": ["g1"]},
    "audit": {"listed": false},
  },
  "groups": {"g1": {"endpoints": ["db-1", "db-2", "db-3"]}},
  "endpoints": {
    "db-1": {"address": "127.0.0.1:7001", "zone": "a", "slots": 5, "connections": 30},
    "db-2": {"address": "127.0.0.1:7002", "zone": "b", "slots": 5, "connections": 30},
    "db-3": {"address": "[::1]:7003", "zone": "c", "slots": 5, "connections": 30},
  },
  "zones": {"a": {"region": "r1"}, "b": {"region": "r2"}, "c": {"region": "r3"}},
  "organisations": {
    /* one of the large ones */
    "tenant-1": {"rate_per_s": 100, "burst": 200, "key_digests": ["DIGEST"]},
  },
  "policy": {"replica_wait_ms": 50},
}
""".replace("DIGEST", DIGEST)


def problems_of(text: str) -> tuple:
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(text)
    assert caught.value.code is ErrorCode.CONFIGURATION_INVALID
    return caught.value.problems


def only_problem(text: str):
    (problem,) = problems_of(text)
    return problem


class TestParsing:
    """Guards against valid texts that are refused or decoded wrongly."""

    def test_comments_and_trailing_commas_are_read(self):
        configuration = parse_configuration(TEXT)
        assert configuration.policy.replica_wait_ms == 50
        assert configuration.groups["g1"].endpoints == ("db-1", "db-2", "db-3")

    def test_comment_markers_inside_strings_are_kept(self):
        configuration = parse_configuration('{"routes": {"/a//b/*c*/": {}}}')
        assert list(configuration.routes) == ["/a//b/*c*/"]

    def test_short_text_may_use_all_json5_syntax(self):
        assert parse_configuration("{zones: {a: {region: 'r1'}}}").zones["a"]

    def test_long_text_with_json5_syntax_is_refused_quickly_with_its_line(self):
        text = "\n" + " " * MAX_JSON5_BYTES + "{zones: {}}"
        assert only_problem(text).line == 2

    def test_text_over_the_limit_is_refused_by_its_size_in_bytes(self):
        text = json.dumps({"routes": {"/" + "é" * (MAX_TEXT_BYTES // 2): {}}})
        assert "bytes" in only_problem(text.encode().decode("unicode_escape")).problem

    @pytest.mark.parametrize("text", ["", "[" * 100_000, '"\ud800"', "[]", "null"])
    def test_malformed_text_is_a_problem_and_not_a_crash(self, text):
        assert problems_of(text)


class TestProblems:
    """Guards against invalid texts that pass, and errors without a location."""

    @pytest.mark.parametrize(
        ("old", "new", "path", "problem_text", "fix"),
        [
            ('["audit"]', '["audti"]', "services.square-ledger.depends_on.0",
             "unknown service", "'audit'"),
            ('"groups": ["g1"]', '"groups": ["g2"]',
             "services.square-ledger.groups.0", "unknown group", "'g1'"),
            ('["db-1", "db-2"', '["db-1", "db-9"', "groups.g1.endpoints.1",
             "unknown endpoint", "db-"),
            ('["db-1", "db-2"', '["db-1", "db-1"', "groups.g1.endpoints.1",
             "listed twice", "remove"),
            ('"zone": "b"', '"zone": "bb"', "endpoints.db-2.zone", "unknown zone",
             "'b'"),
            ('"rate_per_s": 100', '"rate_per_s": 0',
             "organisations.tenant-1.rate_per_s", "impossible rate", "number from"),
            ('"rate_per_s": 100', '"rate_per_s": -1',
             "organisations.tenant-1.rate_per_s", "impossible rate", "number from"),
            ('"rate_per_s": 100', '"rate_per_s": Infinity',
             "organisations.tenant-1.rate_per_s", "impossible rate", "number from"),
            ('"rate_per_s": 100', '"rate_per_s": NaN',
             "organisations.tenant-1.rate_per_s", "impossible rate", "number from"),
            ('"burst": 200', '"burst": 1e300', "organisations.tenant-1.burst",
             "impossible burst", "number from"),
            ('"burst": 200', '"burst": 0.5', "organisations.tenant-1.burst",
             "impossible burst", "number from"),
            ('_ms": 50', '_ms": "5s"', "policy.replica_wait_ms", "wrong unit",
             "milliseconds"),
            ("replica_wait_ms", "replica_wait_s", "policy.replica_wait_s", "wrong unit",
             "'replica_wait_ms'"),
            ("rate_per_s", "rate_per_min", "organisations.tenant-1.rate_per_min",
             "wrong unit", "'rate_per_s'"),
            ('"listed"', '"listde"', "services.audit.listde", "unknown field",
             "'listed'"),
            ("127.0.0.1:7002", "localhost:7002", "endpoints.db-2.address",
             "bad address", "ip:port"),
            ("127.0.0.1:7002", "127.0.0.1:0", "endpoints.db-2.address", "bad address",
             "ip:port"),
            ("127.0.0.1:7002", "127.0.0.1:7001", "endpoints.db-2.address",
             "same address", "correct"),
            (DIGEST, DIGEST.upper(), "organisations.tenant-1.key_digests.0",
             "bad digest", "lower-case"),
            ('"slots": 5, "connections": 30}', '"slots": 5, "connections": true}',
             "endpoints.db-1.connections", "whole number", "whole number"),
            ('{"region": "r1"}', '{"region": "r1", "state": "off"}', "zones.a.state",
             "unknown value", "'out'"),
        ],
    )  # fmt: skip
    def test_problem_names_path_line_and_fix(self, old, new, path, problem_text, fix):
        text = TEXT.replace(old, new, 1)
        found = [p for p in problems_of(text) if p.path == path]
        assert problem_text in found[0].problem
        assert fix in found[0].fix
        last_name = [part for part in path.split(".") if not part.isdigit()][-1]
        assert f'"{last_name}"' in text.splitlines()[found[0].line - 1]

    def test_circular_dependency_is_shown_as_a_path(self):
        text = TEXT.replace('"listed": false', '"depends_on": ["square-ledger"]')
        assert "square-ledger -> audit -> square-ledger" in only_problem(text).problem

    def test_endpoint_in_two_groups_is_a_problem(self):
        text = TEXT.replace('["db-1', '["db-1"]}, "g0": {"endpoints": ["db-1', 1)
        assert "also in group 'g1'" in only_problem(text).problem

    def test_duplicate_name_has_the_line_of_the_second(self):
        text = TEXT.replace('"db-2": {', '"db-1": {', 1)
        problem = only_problem(text)
        assert (problem.line, problem.path) == (10, "endpoints.db-1")

    def test_duplicate_name_in_json5_syntax_is_a_problem(self):
        assert "Duplicate" in only_problem("{zones: {}, zones: {}}").problem

    def test_key_of_two_organisations_is_a_problem_without_its_digest(self):
        text = TEXT.replace(
            '"tenant-1":',
            f'"t-2": {{"rate_per_s": 1, "burst": 1, "key_digests": ["{DIGEST}"]}},'
            '"tenant-1":',
        )
        problem = only_problem(text)
        assert "already granted to 't-2'" in problem.problem
        assert DIGEST not in str(problem)

    def test_syntax_error_has_its_line(self):
        assert only_problem(TEXT.replace('"audit": {', '"audit" {', 1)).line == 5

    def test_all_problems_are_reported_together(self):
        text = TEXT.replace('"zone": "b"', '"zone": "x"').replace(": 200", ": 0")
        assert len(problems_of(text)) == 2


class TestSettingsFile:
    """Guards against a daemon that starts with invalid or misread settings."""

    GOOD = {
        "vm": "vm-1", "zone": "a", "caller": "127.0.0.1:0", "peer": "127.0.0.1:0",
        "operator": "127.0.0.1:0", "store": "127.0.0.1:9", "fleet_secret_file": "f",
    }  # fmt: skip

    def problem(self, tmp_path, **changes):
        path = tmp_path / "settings.json"
        path.write_text("// settings\n" + json.dumps({**self.GOOD, **changes}))
        with pytest.raises(ConfigurationError) as caught:
            load_settings(str(path))
        return caught.value.problems[0]

    def test_good_file_is_read(self, tmp_path):
        path = tmp_path / "settings.json"
        path.write_text("// settings\n" + json.dumps(self.GOOD))
        assert load_settings(str(path)).vm == "vm-1"

    def test_bad_values_are_named(self, tmp_path):
        assert self.problem(tmp_path, peer="vm:1").path == "peer"
        assert self.problem(tmp_path, seeds=["127.0.0.1"]).path == "seeds.0"
        assert "wrong unit" in self.problem(tmp_path, store_timeout_s=1).problem
        assert (
            "bad digest" in self.problem(tmp_path, operator_key_digests=["key"]).problem
        )

    def test_missing_file_is_a_configuration_error(self, tmp_path):
        with pytest.raises(ConfigurationError):
            load_settings(str(tmp_path / "none"))
