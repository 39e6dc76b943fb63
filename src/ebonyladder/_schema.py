"""Check of decoded texts against typed records that reports all errors together."""

import difflib
import re
from collections.abc import Iterable, Iterator
from functools import cache
from ipaddress import ip_address
from typing import Any, TypeVar

import msgspec
from msgspec import inspect

from ebonyladder._text import ParsedText, Path, read_text
from ebonyladder.kernel.error import ConfigurationError, ErrorCode, Problem
from ebonyladder.kernel.step import Step

T = TypeVar("T")

MAX_PROBLEMS = 100
UNIT_NAMES = {"ms": "milliseconds", "s": "seconds"}

_QUANTITY = re.compile(r"\s*([\d.]+)\s*([A-Za-z/]+)\s*")
_UNIT_SUFFIX = re.compile(r"_(?:ms|s|us|ns|min|minutes|h|hours|seconds|millis)$")
_RATE_SUFFIX = re.compile(r"_per_(?:s|ms|sec|second|min|minute|h|hour)$")


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """Problem at a path, before its line in the text is determined."""

    path: Path
    problem: str
    fix: str


def checked(parsed: ParsedText, record: type[T]) -> T:
    """Return the decoded text as ``record``.

    Raises
    ------
    ConfigurationError
        CONFIGURATION_INVALID with all problems of syntax, names and types.
    """
    if parsed.problems:
        raise invalid(parsed.problems)
    raise_findings(parsed, type_findings(parsed.value, _info(record), ()))
    return msgspec.convert(parsed.value, record)


def read_checked(text: str, record: type[T]) -> tuple[ParsedText, T]:
    """Parse a text and return it as parsed and as ``record``."""
    parsed = read_text(text)
    return parsed, checked(parsed, record)


def raise_findings(parsed: ParsedText, findings: Iterable[Finding]) -> None:
    """Raise ``ConfigurationError`` if there are findings."""
    problems = [
        parsed.problem(finding.path, finding.problem, finding.fix)
        for finding, _ in zip(findings, range(MAX_PROBLEMS), strict=False)
    ]
    if problems:
        raise invalid(problems)


def invalid(problems: list[Problem], *, peer: str = "") -> ConfigurationError:
    """Return a ``ConfigurationError`` with ``problems``."""
    return ConfigurationError(
        code=ErrorCode.CONFIGURATION_INVALID,
        step=Step.CONFIG_CHECK,
        peer=peer,
        problems=problems,
    )


@cache
def _info(record: type) -> inspect.Type:
    return inspect.type_info(record)


def type_findings(
    value: object, expected: inspect.Type, path: Path
) -> Iterator[Finding]:
    """Yield a finding for each difference of ``value`` from the expected type."""
    match expected:
        case inspect.UnionType():
            if value is not None:
                inner = [t for t in expected.types if type(t) is not inspect.NoneType]
                yield from type_findings(value, inner[0], path)
        case inspect.StructType():
            yield from _struct_findings(value, expected, path)
        case inspect.DictType():
            yield from _dict_findings(value, expected, path)
        case inspect.VarTupleType():
            yield from _list_findings(value, expected, path)
        case inspect.EnumType():
            yield from _enum_findings(value, expected, path)
        case _:
            yield from _scalar_findings(value, expected, path)


def _struct_findings(
    value: object, expected: inspect.StructType, path: Path
) -> Iterator[Finding]:
    if not isinstance(value, dict):
        yield _wrong_type(value, "an object in braces", path)
        return
    fields = {field.encode_name: field for field in expected.fields}
    for name, member in value.items():
        if name not in fields:
            yield _unknown_field(name, list(fields), path)
        else:
            yield from type_findings(member, fields[name].type, (*path, name))
    for name, field in fields.items():
        if field.required and name not in value:
            yield Finding(
                path=path, problem=f"field {name!r} is missing", fix=f"add {name!r}"
            )


def _unknown_field(name: str, known: list[str], path: Path) -> Finding:
    name_without_unit = _name_without_unit(name)
    other_unit = [
        field for field in known if _name_without_unit(field) == name_without_unit
    ]
    if other_unit:
        return Finding(
            path=(*path, name),
            problem=f"wrong unit: {name!r} is not a field",
            fix=f"use {other_unit[0]!r} and convert the value",
        )
    return Finding(
        path=(*path, name),
        problem=f"unknown field {name!r}",
        fix=nearest(name, known),
    )


def _name_without_unit(name: str) -> str:
    return _UNIT_SUFFIX.sub("", _RATE_SUFFIX.sub("_per", name))


def nearest(name: str, known: Iterable[str]) -> str:
    """Return a fix that suggests the known name most similar to ``name``."""
    known = list(known)
    matches = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    if matches:
        return f"did you mean {matches[0]!r}?"
    return "use one of " + ", ".join(known[:12]) if known else "define it first"


def _dict_findings(
    value: object, expected: inspect.DictType, path: Path
) -> Iterator[Finding]:
    if not isinstance(value, dict):
        yield _wrong_type(value, "an object in braces", path)
        return
    for name, member in value.items():
        yield from type_findings(member, expected.value_type, (*path, name))


def _list_findings(
    value: object, expected: inspect.VarTupleType, path: Path
) -> Iterator[Finding]:
    if not isinstance(value, list):
        yield _wrong_type(value, "a list in brackets", path)
        return
    for index, item in enumerate(value):
        yield from type_findings(item, expected.item_type, (*path, index))


def _enum_findings(
    value: object, expected: inspect.EnumType, path: Path
) -> Iterator[Finding]:
    known = [member.value for member in expected.cls]
    if value not in known:
        yield Finding(
            path=path,
            problem=f"unknown value {value!r}",
            fix="use one of " + ", ".join(map(repr, known)),
        )


def _scalar_findings(
    value: object, expected: inspect.Type, path: Path
) -> Iterator[Finding]:
    is_bool = isinstance(value, bool)
    match expected:
        case inspect.BoolType():
            if not is_bool:
                yield _wrong_type(value, "true or false", path)
        case inspect.StrType():
            if not isinstance(value, str):
                yield _wrong_type(value, "a string", path)
        case inspect.IntType():
            if is_bool or not isinstance(value, int):
                yield _wrong_number(value, "a whole number", path)
        case inspect.FloatType():
            if is_bool or not isinstance(value, int | float):
                yield _wrong_number(value, "a number", path)


def _wrong_type(value: object, expected_kind: str, path: Path) -> Finding:
    shown = repr(value) if len(repr(value)) < 40 else type(value).__name__
    return Finding(
        path=path,
        problem=f"{shown} is not {expected_kind}",
        fix=f"write {expected_kind}",
    )


def _wrong_number(value: object, expected_kind: str, path: Path) -> Finding:
    quantity = _QUANTITY.fullmatch(value) if isinstance(value, str) else None
    if quantity is None:
        return _wrong_type(value, expected_kind, path)
    suffix = str(path[-1]).rpartition("_")[2]
    unit = UNIT_NAMES.get(suffix, "the field's unit")
    return Finding(
        path=path,
        problem=f"wrong unit: {value!r} carries a unit",
        fix=f"write {expected_kind} without a unit, in {unit}",
    )


def address_problem(address: str, *, min_port: int = 1) -> str | None:
    """Return what is wrong with an ``ip:port`` address, None if it is valid."""
    host, _, port = address.rpartition(":")
    if not port.isascii() or not port.isdigit() or not min_port <= int(port) <= 65535:
        return f"bad address {address!r}: the port must be {min_port} to 65535"
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        parsed = ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return f"bad address {address!r}: {host!r} is not a numeric IP address"
    if (parsed.version == 6) != is_bracketed:
        return f"bad address {address!r}: write IPv6 addresses in brackets"
    return None


def is_digest(value: Any) -> bool:
    """Tell whether ``value`` is a SHA-256 digest in lower-case hex."""
    return re.fullmatch(r"[0-9a-f]{64}", value) is not None
