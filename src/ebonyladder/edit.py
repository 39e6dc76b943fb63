"""Small edits of the configuration text that keep comments and layout."""

import json
from abc import ABC, ABCMeta, abstractmethod
from typing import TypeAlias

import msgspec

from ebonyladder._schema import nearest
from ebonyladder._text import (
    ParsedText,
    Path,
    insert_item,
    read_text,
    remove_item,
    replace_value,
)
from ebonyladder.configuration import Configuration, parse_configuration
from ebonyladder.kernel.error import ConfigurationError, ErrorCode
from ebonyladder.kernel.step import Step
from ebonyladder.types import (
    EndpointId,
    EndpointState,
    KeyDigest,
    OrganisationId,
    VmId,
    VmState,
    ZoneId,
    ZoneState,
)


class _EditMeta(msgspec.StructMeta, ABCMeta):
    """Metaclass of records that are also abstract base classes."""


class Edit(
    msgspec.Struct,
    ABC,
    metaclass=_EditMeta,
    frozen=True,
    kw_only=True,
    tag_field="edit",
):
    """Change of one value in the text, independent of the rest."""

    @abstractmethod
    def apply_to(
        self, text: str, parsed: ParsedText, configuration: Configuration
    ) -> str:
        """Return the changed text; the same text if nothing has to change."""

    def apply(self, text: str) -> str:
        """Return the changed text.

        A text that only json5 can decode is rewritten as plain JSON and loses
        its comments.

        Raises
        ------
        ConfigurationError
            NOT_FOUND for an unknown name, CONFIGURATION_INVALID for an invalid
            text.
        """
        configuration = parse_configuration(text)
        parsed = read_text(text)
        if parsed.source is None:
            text = json.dumps(parsed.value, indent=2) + "\n"
            parsed = read_text(text)
        return self.apply_to(text, parsed, configuration)


def _require_known(name: str, known: dict, kind: str) -> None:
    if name not in known:
        raise ConfigurationError(
            code=ErrorCode.NOT_FOUND,
            step=Step.CONFIG_CHECK,
            message=f"unknown {kind} {name!r}; {nearest(name, known)}",
        )


def _set_state(text: str, parsed: ParsedText, path: Path, value: str) -> str:
    return replace_value(text, parsed.source or text, path, value)


class GrantKey(Edit, tag="grant-key", frozen=True, kw_only=True):
    """Add a key digest to an organisation."""

    organisation: OrganisationId
    digest: KeyDigest

    def apply_to(
        self, text: str, parsed: ParsedText, configuration: Configuration
    ) -> str:
        """Insert the digest unless the organisation has it."""
        _require_known(self.organisation, configuration.organisations, "organisation")
        if self.digest in configuration.organisations[self.organisation].key_digests:
            return text
        path = ("organisations", self.organisation, "key_digests")
        return insert_item(text, parsed.source or text, path, self.digest)


class WithdrawKey(Edit, tag="withdraw-key", frozen=True, kw_only=True):
    """Remove a key digest from the organisation that has it."""

    digest: KeyDigest

    def apply_to(
        self, text: str, parsed: ParsedText, configuration: Configuration
    ) -> str:
        """Remove the digest; nothing changes if no organisation has it."""
        for name, spec in configuration.organisations.items():
            if self.digest in spec.key_digests:
                index = spec.key_digests.index(self.digest)
                path = ("organisations", name, "key_digests", index)
                return remove_item(text, parsed.source or text, path)
        return text


class SetZone(Edit, tag="zone", frozen=True, kw_only=True):
    """Take a zone out of service or put it back."""

    zone: ZoneId
    state: ZoneState

    def apply_to(
        self, text: str, parsed: ParsedText, configuration: Configuration
    ) -> str:
        """Set the state of the zone."""
        _require_known(self.zone, configuration.zones, "zone")
        if configuration.zones[self.zone].state is self.state:
            return text
        path = ("zones", self.zone, "state")
        return _set_state(text, parsed, path, self.state.value)


class SetVm(Edit, tag="vm", frozen=True, kw_only=True):
    """Drain a VM or make it active; the text need not name it yet."""

    vm: VmId
    state: VmState

    def apply_to(
        self, text: str, parsed: ParsedText, configuration: Configuration
    ) -> str:
        """Set the state of the VM."""
        known = configuration.vms.get(self.vm)
        if (known.state if known else VmState.ACTIVE) is self.state:
            return text
        return _set_state(text, parsed, ("vms", self.vm, "state"), self.state.value)


class SetEndpoint(Edit, tag="endpoint", frozen=True, kw_only=True):
    """Take an endpoint out of service or make it active."""

    endpoint: EndpointId
    state: EndpointState

    def apply_to(
        self, text: str, parsed: ParsedText, configuration: Configuration
    ) -> str:
        """Set the state of the endpoint."""
        _require_known(self.endpoint, configuration.endpoints, "endpoint")
        if configuration.endpoints[self.endpoint].state is self.state:
            return text
        path = ("endpoints", self.endpoint, "state")
        return _set_state(text, parsed, path, self.state.value)


AnyEdit: TypeAlias = GrantKey | WithdrawKey | SetZone | SetVm | SetEndpoint
