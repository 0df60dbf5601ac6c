"""Tests of what comes back in a store that was restored from a copy."""

import unittest

from cowslipvalve_standins import _wirestore


class RestoreTest(unittest.TestCase):

    def setUp(self) -> None:
        self.store = _wirestore.create_wire_store()
        for name in ("stays", "leaves", "left"):
            self.store.put("servers", name, {"sequence": 1})
        self.kept = self.store.copy()
        self.store.delete("servers", "left")
        self.store.put("servers", "new", {"sequence": 1})
        self.store.put("servers", "stays", {"sequence": 2})
        self.truth = self.store.copy()
        self.store.restore(self.kept)

    def test_copy_holds_what_was_deleted_and_lacks_what_is_new(self) -> None:
        self.assertEqual(
            self.store.find_names("servers"), {"stays", "leaves", "left"}
        )

    def test_authors_write_again_what_the_copy_lacks(self) -> None:
        self.store.write_again(self.truth)
        self.assertEqual(
            self.store.find_names("servers"), {"stays", "leaves", "new"}
        )
        again = self.store.copy().objects["servers"]["stays"]
        self.assertEqual(again["spec"], {"sequence": 2})

    def test_what_was_deleted_since_the_restore_stays_away(self) -> None:
        self.store.delete("servers", "leaves")
        self.store.put("servers", "stays", {"sequence": 3})
        self.store.write_again(self.truth)
        self.assertEqual(self.store.find_names("servers"), {"stays", "new"})
        again = self.store.copy().objects["servers"]["stays"]
        self.assertEqual(again["spec"], {"sequence": 3})


if __name__ == "__main__":
    unittest.main()
