"""Tests of session tokens and of the comparison of log positions."""

import pytest

from ebonyladder.endpoint import EndpointReport
from ebonyladder.kernel.error import ErrorCode, RequestError
from ebonyladder.routing import is_position_lost, satisfies
from ebonyladder.token import SessionToken, TokenSigner
from ebonyladder.types import Position, Role


class TestTokenSigner:
    """Guards against forged session tokens and those of other organisations."""

    def test_signed_token_is_verified_for_its_organisation(self):
        signer = TokenSigner(secrets=[b"new", b"old"])
        token = SessionToken(organisation="acme").advanced(
            "g1", Position(term=2, position=7)
        )
        assert signer.verify(signer.sign(token), organisation="acme") == token
        old = TokenSigner(secrets=[b"old"]).sign(token)
        assert signer.verify(old, organisation="acme") == token

    @pytest.mark.parametrize("change", ["flip", "truncate", "garbage", "organisation"])
    def test_changed_token_is_refused(self, change):
        signer = TokenSigner(secrets=[b"secret"])
        signed = signer.sign(SessionToken(organisation="acme"))
        organisation = "acme"
        if change == "flip":
            signed = ("A" if signed[0] != "A" else "B") + signed[1:]
        elif change == "truncate":
            signed = signed[:-4]
        elif change == "garbage":
            signed = "%%%\u00e9"
        else:
            organisation = "other"
        with pytest.raises(RequestError) as caught:
            signer.verify(signed, organisation=organisation)
        assert caught.value.code is ErrorCode.TOKEN_REFUSED


class TestPositionRules:
    """Guards against reads that miss the session's own writes after failover."""

    @staticmethod
    def report(log_term, term_start, applied):
        return EndpointReport(
            endpoint="e1",
            role=Role.REPLICA,
            fence_term=log_term,
            log_term=log_term,
            term_start=term_start,
            received=applied,
            applied=applied,
            primary_contact_age_s=0.0,
        )

    @pytest.mark.parametrize(
        ("log_term", "term_start", "applied", "expected"),
        [
            (2, 0, 10, True),
            (2, 0, 9, False),
            (1, 0, 50, False),
            (3, 10, 12, True),
            (3, 9, 12, False),
        ],
    )
    def test_required_position_of_term_2(self, log_term, term_start, applied, expected):
        required = Position(term=2, position=10)
        assert (
            satisfies(self.report(log_term, term_start, applied), required) is expected
        )

    def test_position_above_the_start_of_a_newer_term_is_lost(self):
        required = Position(term=2, position=10)
        assert is_position_lost(self.report(3, 9, 12), required)
        assert not is_position_lost(self.report(3, 10, 12), required)
