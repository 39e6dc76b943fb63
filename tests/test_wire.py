"""Encoding of the statement protocol."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonyladder.platform.wire import (
    AnswerReader,
    Malformed,
    Startup,
    Terminate,
    WireError,
    decode_message,
    decode_position,
    encode_answer,
    encode_position,
)
from ebonyladder.sessions.command import (
    Answer,
    AnswerCode,
    Command,
    CommandKind,
    TransactionState,
)
from ebonyladder.types import RequestKind
from tests.session_fakes import position

FIELDS = st.text(
    st.characters(blacklist_categories=("Cc", "Cs", "Zs", "Zl", "Zp")), min_size=1
)


class TestCallerMessages:
    def test_known_messages(self):
        # Guards against fields that are mixed up when a line is split.
        startup = decode_message(b"STARTUP lepu270 key\r\n")
        assert startup == Startup(database="lepu270", caller="key")
        assert decode_message(b"TERMINATE\r\n") == Terminate()
        command = decode_message(b"QUERY 5c PREPARE s1 WRITE q2c\r\n")
        assert isinstance(command, Command)
        assert command.kind is CommandKind.PREPARE
        assert (command.name, command.argument) == ("s1", "q2c")
        assert command.access is RequestKind.WRITE
        assert command.text == "PREPARE s1 WRITE q2c"

    def test_last_field_keeps_its_spaces(self):
        # Guards against a statement that the endpoint gets in a changed form.
        command = decode_message(b"QUERY 1 WRITE a b  c \r\n")
        assert command.text == "WRITE a b  c "

    @pytest.mark.parametrize(
        "text", ["DROP a", "BEGIN WRITE", "READ", "PREPARE s READ"]
    )
    def test_invalid_command_keeps_its_id(self, text):
        # Guards against a session that ends because of one malformed query.
        found = decode_message(f"QUERY 7 {text}\r\n".encode())
        assert isinstance(found, Malformed)
        assert found.id == "7"

    @given(st.binary(max_size=200))
    def test_any_bytes_are_a_message_or_an_error(self, data):
        # Guards against a task that ends with an unexpected exception.
        try:
            decode_message(data)
        except WireError:
            pass


class TestAnswers:
    @given(
        rows=st.lists(FIELDS, max_size=4),
        code=st.none() | st.sampled_from(AnswerCode),
        detail=FIELDS,
        state=st.sampled_from(TransactionState),
        number=st.none() | st.integers(0, 10**9),
    )
    def test_encoded_answer_is_decoded_unchanged(
        self, rows, code, detail, state, number
    ):
        # Guards against lines that a caller would take for part of another answer.
        answer = Answer(
            rows=tuple(rows),
            signature="-" if code else "7.1f",
            code=code,
            detail=detail if code else "",
            state=state,
            position=None if number is None else position(3, number),
        )
        reader = AnswerReader()
        lines = encode_answer(answer).splitlines(keepends=True)
        found = [reader.feed(line) for line in lines]
        assert found[:-1] == [None] * (len(lines) - 1)
        assert found[-1] == answer

    def test_ready_without_result_is_refused(self):
        # Guards against a truncated answer that counts as complete.
        with pytest.raises(WireError):
            AnswerReader().feed(b"READY I 3.1\r\n")

    def test_truncated_line_is_refused(self):
        # Guards against half of a line, from a closed connection, in an answer.
        with pytest.raises(WireError):
            AnswerReader().feed(b"COMPLETE 7.1")


class TestAnswerReader:
    @given(st.lists(st.binary(max_size=40), max_size=4))
    def test_any_lines_are_an_answer_or_an_error(self, lines):
        # Guards against an endpoint whose answer ends more than its connection.
        reader = AnswerReader()
        try:
            for line in lines:
                reader.feed(line + b"\r\n")
        except WireError:
            return


class TestPositions:
    """Guards against positions that change on the wire."""

    @given(st.integers(0, 10**6), st.integers(0, 10**9))
    def test_round_trip(self, term, number):
        found = position(term, number)
        assert decode_position(encode_position(found)) == found

    @pytest.mark.parametrize("text", ["", "3", "a.b", "3.x"])
    def test_invalid_positions(self, text):
        with pytest.raises(WireError):
            decode_position(text)
