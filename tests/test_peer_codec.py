"""Codec of messages between entry VMs."""

import subprocess
import sys
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboovale.peers.codec import (
    MAX_FRAME_BYTES,
    BadMessageError,
    decode,
    encode,
    message,
    row,
)
from bamboovale.peers.frames import FrameKind, decode_frame, encode_frame
from bamboovale.peers.member_plans import MAX_PLANS, Coder, MemberPlans


class Colour(StrEnum):
    """The enum of the sample message."""

    RED = "red"
    BLUE = "blue"


@dataclass(frozen=True)
class Inner:
    """A nested data class that is not registered as a message."""

    name: str
    weight: float = 1.0


@message("test_other")
@dataclass(frozen=True)
class Other:
    """A second message, for a union."""

    number: int


@row
@dataclass(frozen=True)
class Row:
    """A data class that is encoded as an array."""

    name: str
    number: int
    weight: float = 1.0
    note: str = ""


@message("test_rows")
@dataclass(frozen=True)
class Rows:
    """A message with rows."""

    rows: tuple[Row, ...] = ()


@message("test_sample")
@dataclass(frozen=True)
class Sample:
    """A message with a field of each kind."""

    text: str
    colour: Colour
    inner: Inner
    names: tuple[str, ...] = ()
    pair: tuple[int, str] | None = None
    by_name: dict[str, Inner] | None = None
    members: frozenset[str] = frozenset()
    choice: "Other | Sample | None" = None
    plain: Any = None
    data: bytes = b""
    flag: bool = False


SAMPLES = st.builds(
    Sample,
    text=st.text(),
    colour=st.sampled_from(Colour),
    inner=st.builds(Inner, st.text(), st.floats(allow_nan=False)),
    names=st.lists(st.text()).map(tuple),
    pair=st.none() | st.tuples(st.integers(), st.text()),
    by_name=st.none() | st.dictionaries(st.text(), st.builds(Inner, st.text())),
    members=st.frozensets(st.text()),
    choice=st.none() | st.builds(Other, st.integers()),
    plain=st.recursive(
        st.none() | st.booleans() | st.text() | st.integers(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
        max_leaves=5,
    ),
    data=st.binary(),
    flag=st.booleans(),
)

GOOD = {"type": "test_sample", "text": "", "colour": "red", "inner": {"name": "x"}}


class TestRoundTrip:
    """Decoding returns what was encoded."""

    @given(SAMPLES)
    def test_every_message_round_trips(self, sample: Sample) -> None:
        assert decode(encode(sample)) == sample

    def test_defaults_are_omitted(self) -> None:
        sample = Sample("", Colour.RED, Inner("x"))
        assert cbor2.loads(encode(sample)) == GOOD

    def test_the_pure_python_implementation_writes_the_same_bytes(self) -> None:
        script = (
            "import sys; sys.modules['_cbor2'] = None\n"
            "import cbor2, bamboovale.peers.codec as codec\n"
            "assert cbor2.dumps.__module__ != '_cbor2'\n"
            "from bamboovale.peers.handshake import Hello\n"
            "hello = Hello('a', 'b', b'n')\n"
            "assert codec.decode(codec.encode(hello)) == hello\n"
            "print(codec.encode(hello).hex())"
        )
        from bamboovale.peers.handshake import Hello

        done = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            check=True,
        )
        assert done.stdout.strip() == encode(Hello("a", "b", b"n")).hex()


class TestBadMessages:
    """Any invalid input raises BadMessageError."""

    @pytest.mark.parametrize(
        "change",
        [
            {"type": "test_unknown"},
            {"type": 7},
            {"text": 1},
            {"colour": "green"},
            {"inner": {"name": "x", "more": 1}},
            {"inner": {}},
            {"inner": []},
            {"unknown": 1},
            {"names": "abc"},
            {"names": [1]},
            {"pair": [1]},
            {"choice": {"type": "hello"}},
            {"choice": {"type": "test_other", "number": True}},
            {"by_name": {"a": None}},
            {"plain": {1: 2}},
            {"flag": 1},
        ],
    )
    def test_a_wrong_value(self, change: dict[str, Any]) -> None:
        with pytest.raises(BadMessageError):
            decode(cbor2.dumps(GOOD | change))

    @pytest.mark.parametrize(
        "frame",
        [
            b"",
            b"\xff",
            cbor2.dumps([1]),
            cbor2.dumps(GOOD) + b"x",
            b"\x81" * 100_000,
            b"\x9b\x00\x00\x00\xff\xff\xff\xff\xff",
            b"x" * (MAX_FRAME_BYTES + 1),
        ],
    )
    def test_a_malformed_frame(self, frame: bytes) -> None:
        with pytest.raises(BadMessageError):
            decode(frame)

    @given(st.binary(max_size=200))
    def test_garbage_raises_no_other_error(self, frame: bytes) -> None:
        for read in (decode, decode_frame):
            with pytest.raises(BadMessageError):
                read(frame)

    def test_an_unregistered_class_cannot_be_encoded(self) -> None:
        with pytest.raises(BadMessageError):
            encode(Inner("x"))

    def test_a_message_that_is_too_large_cannot_be_encoded(self) -> None:
        sample = Sample("x" * MAX_FRAME_BYTES, Colour.RED, Inner("x"))
        with pytest.raises(BadMessageError):
            encode_frame(FrameKind.REQUEST, 1, sample)

    @pytest.mark.parametrize("head", [[9, 1], [True, 1], [0, -1], [0, "1"], [0]])
    def test_a_wrong_kind_or_number_of_a_frame(self, head: list[Any]) -> None:
        with pytest.raises(BadMessageError):
            decode_frame(cbor2.dumps([*head, GOOD]))


rows = st.builds(
    Row, st.text(max_size=5), st.integers(0, 9), st.floats(0, 1), st.text()
)


class TestRows:
    """Data classes that are encoded as arrays."""

    @given(st.lists(rows, max_size=5))
    def test_rows_round_trip(self, items: list[Row]) -> None:
        sent = Rows(tuple(items))
        assert decode(encode(sent)) == sent

    def test_trailing_defaults_are_omitted(self) -> None:
        value = cbor2.loads(encode(Rows((Row("a", 1), Row("b", 2, note="x")))))
        assert value["rows"] == [["a", 1], ["b", 2, 1.0, "x"]]

    @pytest.mark.parametrize(
        "value",
        [["a"], ["a", 1, 1.0, "", "more"], ["a", "1"], [1, 1], "ab", {"name": "a"}],
    )
    def test_an_invalid_row_is_rejected(self, value: Any) -> None:
        frame = cbor2.dumps({"type": "test_rows", "rows": [value]})
        with pytest.raises(BadMessageError):
            decode(frame)

    @pytest.mark.parametrize(
        "value", [["a", True], ["a", 1.0], ["a", None], [b"a", 1], ["a", 1, "1.0"]]
    )
    def test_a_wrong_type_is_rejected_twice_after_valid_rows(self, value: Any) -> None:
        """Guards against a remembered conversion that accepts similar types."""
        assert decode(encode(Rows((Row("a", 1, 2.0, "b"), Row("a", 1)))))
        for _ in range(2):
            with pytest.raises(BadMessageError):
                decode(cbor2.dumps({"type": "test_rows", "rows": [["b", 2], value]}))

    def test_an_integer_becomes_a_float_each_time(self) -> None:
        for _ in range(2):
            value = {"type": "test_rows", "rows": [["a", 1, 2]]}
            weight = decode(cbor2.dumps(value)).rows[0].weight
            assert isinstance(weight, float)


class TestMemberPlans:
    """Conversions that are remembered by the types of members."""

    def test_the_number_of_remembered_types_is_bounded(self) -> None:
        """Guards against memory that grows as a peer varies the types of members."""
        coder = Coder(str, str)
        plans = MemberPlans.of_reading([coder] * 10)
        for number in range(2**10):
            plans.convert([(1, "1")[number >> bit & 1] for bit in range(10)])
        assert len(plans) == MAX_PLANS

    def test_a_failed_conversion_is_not_remembered(self) -> None:
        plans = MemberPlans.of_reading([Coder(int, int)])
        with pytest.raises(ValueError, match="x"):
            plans.convert(["x"])
        assert len(plans) == 0
