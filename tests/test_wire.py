"""Encoding of the statement protocol."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonyladder.platform.lines import LINE_END, LineError, LineReader
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

# Texts of all bytes; the end of a line can't be part of one.
FIELDS = st.text(st.characters(max_codepoint=0xFF), min_size=1).filter(
    lambda text: "\r\n" not in text
)


class TestCallerMessages:
    def test_known_messages(self):
        # Guards against fields that are mixed up when a line is split.
        startup = decode_message(b"STARTUP lepu270 key")
        assert startup == Startup(database="lepu270", caller="key")
        assert decode_message(b"TERMINATE") == Terminate()
        command = decode_message(b"QUERY 5c PREPARE s1 WRITE q2c")
        assert isinstance(command, Command)
        assert command.kind is CommandKind.PREPARE
        assert (command.name, command.argument) == ("s1", "q2c")
        assert command.access is RequestKind.WRITE
        assert command.text == "PREPARE s1 WRITE q2c"

    def test_last_field_keeps_its_spaces(self):
        # Guards against a statement that the endpoint gets in a changed form.
        command = decode_message(b"QUERY 1 WRITE a b  c ")
        assert command.text == "WRITE a b  c "

    @pytest.mark.parametrize(
        "text", ["DROP a", "BEGIN WRITE", "READ", "PREPARE s READ", ""]
    )
    def test_invalid_command_keeps_its_id(self, text):
        # Guards against a session that ends because of one malformed query.
        found = decode_message(f"QUERY 7 {text}".encode())
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
    @settings(derandomize=True)
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
        *lines, rest = encode_answer(answer).split(LINE_END)
        assert rest == b""
        found = [reader.feed(line) for line in lines]
        assert found[:-1] == [None] * (len(lines) - 1)
        assert found[-1] == answer

    def test_ready_without_result_is_refused(self):
        # Guards against a truncated answer that counts as complete.
        with pytest.raises(WireError):
            AnswerReader().feed(b"READY I 3.1")

    def test_truncated_line_is_refused(self):
        # Guards against half of a line, from a closed connection, in an answer.
        async def read() -> None:
            reader = LineReader()
            reader.feed_data(b"COMPLETE 7.1")
            reader.feed_eof()
            await reader.read_line()

        with pytest.raises(LineError):
            asyncio.run(read())


class TestAnswerReader:
    @given(st.lists(st.binary(max_size=40), max_size=4))
    def test_any_lines_are_an_answer_or_an_error(self, lines):
        # Guards against an endpoint whose answer ends more than its connection.
        reader = AnswerReader()
        try:
            for line in lines:
                reader.feed(line)
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
