"""Tests of decoding documents that hold unusable values."""

import contextlib
import json
import unittest

import hypothesis
from hypothesis import strategies

import cowslipvalve_base as base

_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**63 - 1)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=3),
    max_leaves=20,
)
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200
)


class DamageTest(unittest.TestCase):

    @_SETTINGS
    @hypothesis.given(_VALUES)
    def test_usable_documents_are_read_unchanged(self, value: object) -> None:
        for ascii_only in (True, False):
            text = json.dumps(value, ensure_ascii=ascii_only).encode()
            self.assertEqual(base.decode_damaged(text), value)

    @_SETTINGS
    @hypothesis.given(strategies.binary(max_size=40))
    def test_other_texts_are_refused(self, text: bytes) -> None:
        with contextlib.suppress(base.InputError):
            base.decode_damaged(text)

    def test_unusable_values_leave_the_rest(self) -> None:
        deep = b"[" * 70 + b'"]]"' + b"]" * 70
        for value in (b"1e999", b"9" * 5_000, b'"\\udfff"', b'"\xff"', b"NaN"):
            with self.subTest(value[:8]):
                text = b'{"a": [' + value + b', 1], "b": ' + deep + b', "c": 2}'
                plain = base.decode_damaged(text)
                self.assertEqual(plain["a"], [None, 1])
                self.assertEqual(plain["c"], 2)

    def test_unclosed_document_is_refused(self) -> None:
        for text in (b"[" * 100_000, b"]" * 100_000, b'{"a": "', b'"\\"' * 9):
            with self.subTest(text[:8]), self.assertRaises(base.InputError):
                base.decode_damaged(text)


if __name__ == "__main__":
    unittest.main()
