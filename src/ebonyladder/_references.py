"""Checks of a configuration beyond types: names, references, ranges, addresses."""

import math
import re
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

from ebonyladder._schema import Finding, address_problem, is_digest, nearest
from ebonyladder._text import Path

if TYPE_CHECKING:
    from ebonyladder.configuration import Configuration

# One request in 17 minutes; a lower value is more likely given in a wrong unit.
MIN_RATE_PER_S = 0.001
MAX_RATE_PER_S = 10_000_000.0
MAX_BURST = 10_000_000.0
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
# An owner opens (connections / 2) - 2 connections for statements.
MIN_CONNECTIONS = 6
MAX_TIME_MS = 3_600_000

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_NAMED_TABLES = ("services", "groups", "endpoints", "zones", "vms", "organisations")


def configuration_findings(configuration: "Configuration") -> Iterator[Finding]:
    """Yield every problem of names, references, ranges and addresses."""
    yield from _name_findings(configuration)
    yield from _service_findings(configuration)
    yield from _cycle_findings(configuration)
    yield from _group_findings(configuration)
    yield from _endpoint_findings(configuration)
    yield from _organisation_findings(configuration)
    yield from _policy_findings(configuration)


def _name_findings(configuration: "Configuration") -> Iterator[Finding]:
    for table in _NAMED_TABLES:
        for name in getattr(configuration, table):
            if _NAME.fullmatch(name) is None:
                yield Finding(
                    path=(table, name),
                    problem=f"name {name!r} is not usable",
                    fix="use 1 to 63 letters, digits, '.', '_' and '-'",
                )
    for path in configuration.routes:
        if not path.startswith("/"):
            yield Finding(
                path=("routes", path),
                problem=f"route {path!r} is not a path",
                fix="begin it with '/'",
            )


def _list_findings(
    names: Iterable[str], known: Iterable[str], kind: str, path: Path
) -> Iterator[Finding]:
    known = list(known)
    known_set = set(known)
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name not in known_set:
            yield Finding(
                path=(*path, index),
                problem=f"unknown {kind} {name!r}",
                fix=nearest(name, known),
            )
        if name in seen:
            yield Finding(
                path=(*path, index),
                problem=f"{kind} {name!r} is listed twice",
                fix="remove one of the two",
            )
        seen.add(name)


def _service_findings(configuration: "Configuration") -> Iterator[Finding]:
    services, groups = configuration.services, configuration.groups
    for name, spec in services.items():
        path = ("services", name)
        yield from _list_findings(
            spec.depends_on, services, "service", (*path, "depends_on")
        )
        yield from _list_findings(spec.groups, groups, "group", (*path, "groups"))


def _cycle_findings(configuration: "Configuration") -> Iterator[Finding]:
    services = configuration.services
    finished: set[str] = set()
    for root in services:
        stack = [root]
        pending = [iter(services[root].depends_on)]
        while pending:
            name = next(pending[-1], None)
            if name is None:
                pending.pop()
                finished.add(stack.pop())
            elif name in stack:
                cycle = [*stack[stack.index(name) :], name]
                yield Finding(
                    path=("services", stack[-1], "depends_on"),
                    problem="circular dependency " + " -> ".join(cycle),
                    fix=f"remove {name!r} from the services that {stack[-1]!r} needs",
                )
            elif name in services and name not in finished:
                stack.append(name)
                pending.append(iter(services[name].depends_on))


def _group_findings(configuration: "Configuration") -> Iterator[Finding]:
    group_of: dict[str, str] = {}
    endpoints = configuration.endpoints
    for name, spec in configuration.groups.items():
        path = ("groups", name, "endpoints")
        if not spec.endpoints:
            yield Finding(
                path=path, problem="group has no endpoints", fix="list at least one"
            )
        yield from _list_findings(spec.endpoints, endpoints, "endpoint", path)
        for index, endpoint in enumerate(spec.endpoints):
            other = group_of.setdefault(endpoint, name)
            if other != name:
                yield Finding(
                    path=(*path, index),
                    problem=f"endpoint {endpoint!r} is also in group {other!r}",
                    fix="remove it from one of the two groups",
                )


def _endpoint_findings(configuration: "Configuration") -> Iterator[Finding]:
    endpoint_of: dict[str, str] = {}
    for name, spec in configuration.endpoints.items():
        path = ("endpoints", name)
        address_error = address_problem(spec.address)
        if address_error:
            yield Finding(
                path=(*path, "address"), problem=address_error, fix="write 'ip:port'"
            )
        other = endpoint_of.setdefault(spec.address, name)
        if other != name:
            yield Finding(
                path=(*path, "address"),
                problem=f"endpoint {other!r} has the same address",
                fix="correct one of the two addresses",
            )
        if spec.zone not in configuration.zones:
            yield Finding(
                path=(*path, "zone"),
                problem=f"unknown zone {spec.zone!r}",
                fix=nearest(spec.zone, configuration.zones),
            )
        yield from _range_findings(spec.slots, 1, MAX_SLOTS, "slots", (*path, "slots"))
        yield from _range_findings(
            spec.connections,
            MIN_CONNECTIONS,
            MAX_CONNECTIONS,
            "connections",
            (*path, "connections"),
        )


def _range_findings(
    value: float, minimum: float, maximum: float, quantity: str, path: Path
) -> Iterator[Finding]:
    if not math.isfinite(value) or not minimum <= value <= maximum:
        yield Finding(
            path=path,
            problem=f"impossible {quantity} {value!r}",
            fix=f"write a number from {minimum} to {maximum}",
        )


def _organisation_findings(configuration: "Configuration") -> Iterator[Finding]:
    organisation_of: dict[str, str] = {}
    for name, spec in configuration.organisations.items():
        path = ("organisations", name)
        yield from _range_findings(
            spec.rate_per_s,
            MIN_RATE_PER_S,
            MAX_RATE_PER_S,
            "rate",
            (*path, "rate_per_s"),
        )
        yield from _range_findings(spec.burst, 1, MAX_BURST, "burst", (*path, "burst"))
        for index, digest in enumerate(spec.key_digests):
            digest_path = (*path, "key_digests", index)
            if not is_digest(digest):
                yield Finding(
                    path=digest_path,
                    problem="bad digest",
                    fix="write the SHA-256 of the key as 64 lower-case hex digits",
                )
            elif digest in organisation_of:
                yield Finding(
                    path=digest_path,
                    problem=f"key is already granted to {organisation_of[digest]!r}",
                    fix="remove one of the two",
                )
            organisation_of.setdefault(digest, name)


def _policy_findings(configuration: "Configuration") -> Iterator[Finding]:
    policy = configuration.policy
    for name in policy.__struct_fields__:
        minimum = 0 if name == "replica_wait_ms" else 1
        value = getattr(policy, name)
        yield from _range_findings(value, minimum, MAX_TIME_MS, name, ("policy", name))
    if policy.default_deadline_ms > policy.max_deadline_ms:
        yield Finding(
            path=("policy", "default_deadline_ms"),
            problem="default_deadline_ms is above max_deadline_ms",
            fix=f"write at most {policy.max_deadline_ms}",
        )
