"""Tests of the decoding of documents and messages."""

import unittest
from typing import Any

import cowslipvalve_model as model

_SERVER_SPEC = {
    "failureDomain": "kuopio",
    "address": "10.0.0.1:9000",
    "searches": ["price-lists"],
}


def _create_search(**spec: Any) -> dict[str, Any]:
    return {"metadata": {"name": "price-lists"}, "spec": spec}


def _create_server(**spec: Any) -> dict[str, Any]:
    return {"metadata": {"name": "s-1"}, "spec": {**_SERVER_SPEC, **spec}}


class CheckPlainTest(unittest.TestCase):
    # A document, its type, and the words that the error message must contain.
    invalid_documents: tuple[tuple[Any, type[Any], tuple[str, ...]], ...] = (
        (
            _create_search(deadlineMs="5"),
            model.Search,
            ("int", "spec.deadlineMs"),
        ),
        (_create_search(deadlineMs=0), model.Search, ("deadlineMs", ">= 1")),
        (_create_search(minCoverage=7), model.Search, ("minCoverage", "<= 1")),
        (
            _create_search(kind="cook"),
            model.Search,
            ("read, order", "spec.kind"),
        ),
        (_create_search(hedge=1), model.Search, ("bool", "spec.hedge")),
        (_create_search(patience=1), model.Search, ("unknown field patience",)),
        ({"metadata": {"name": "A b"}}, model.Search, ("name", "metadata")),
        ({"spec": {}}, model.Search, ("metadata is missing",)),
        ([], model.Search, ("JSON object",)),
        (_create_server(address="nowhere"), model.BackendServer, ("address",)),
        (_create_server(searches=[]), model.BackendServer, ("searches",)),
        (
            _create_server(searches="x"),
            model.BackendServer,
            ("list", "searches"),
        ),
        (_create_server(slots=0), model.BackendServer, ("slots",)),
        (
            _create_server(warmUp={"initialRate": -1}),
            model.BackendServer,
            ("initialRate", "spec.warmUp"),
        ),
        ({"query": "elk"}, model.SearchRequest, ("query",)),
        ({"query": {}, "items": [1]}, model.SearchRequest, ("items[0]",)),
        ({"order": {}, "key": "k" * 201}, model.OrderRequest, ("key",)),
    )

    def test_errors_name_the_field_and_the_reason(self) -> None:
        for plain, kind, words in self.invalid_documents:
            with self.subTest(plain=plain):
                with self.assertRaises(model.InputError) as caught:
                    model.from_plain_strict(kind, plain)
                for word in words:
                    self.assertIn(word, str(caught.exception))

    def test_valid_documents_survive_a_round_trip(self) -> None:
        for plain, kind in (
            (_create_search(), model.Search),
            (_create_server(), model.BackendServer),
        ):
            value = model.from_plain_strict(kind, plain)
            self.assertEqual(model.decode(kind, model.encode(value)), value)


class DecodeTest(unittest.TestCase):

    def test_invalid_messages_of_peers_raise_input_errors(self) -> None:
        texts = (b"", b"{", b"null", b"[]", b"{}", b'{"sender": {}}', b"\xff")
        for text in texts:
            for kind in (model.Heartbeat, model.QueryBatch, model.ServerReply):
                with (
                    self.subTest(text=text, kind=kind.__name__),
                    self.assertRaises(model.InputError),
                ):
                    model.decode(kind, text)

    def test_unknown_fields_of_newer_peers_are_ignored(self) -> None:
        text = b'{"attemptIds": ["a"], "news": 1}'
        message = model.decode(model.CancelRequest, text)
        self.assertEqual(message.attempt_ids, ("a",))
