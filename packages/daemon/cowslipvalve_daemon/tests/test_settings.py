"""Tests of the daemon's settings."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest
from typing import Any

import cowslipvalve_model as model
from cowslipvalve_daemon import _main
from cowslipvalve_daemon import _settings

_VALID: dict[str, Any] = {
    "host": "kuopio-1",
    "failureDomain": "kuopio",
    "callerAddress": "127.0.0.1:8081",
    "peerAddress": "127.0.0.1:8082",
    "operationsAddress": "127.0.0.1:8083",
    "platformUrl": "http://127.0.0.1:8080",
}


class SettingsTest(unittest.TestCase):
    # Changes that make the settings invalid, and the text that the error
    # message must contain.
    invalid: tuple[tuple[Any, str], ...] = (
        ({"host": "Kuopio 1"}, "host"),
        ({"callerAddress": "127.0.0.1"}, "callerAddress"),
        ({"platformUrl": "platform"}, "platformUrl"),
        ({"peers": "127.0.0.1:1"}, "peers"),
        ({"limits": {"maxBodyBytes": 0}}, "maxBodyBytes"),
        ({"limits": {"drainMs": "1"}}, "limits.drainMs"),
        ({"heartbeat": {"leaseMs": 100}}, "leaseMs"),
        ({"logLevel": "LOUD"}, "logLevel"),
        ({"colour": "blue"}, "colour"),
        ({"tls": {"certificate": "a"}}, "tls.key"),
    )

    def write(self, text: str) -> str:
        with tempfile.NamedTemporaryFile("w", delete=False) as file:
            file.write(text)
        self.addCleanup(pathlib.Path(file.name).unlink)
        return file.name

    def test_invalid_fields_are_named(self) -> None:
        for change, text in self.invalid:
            with self.subTest(change=change):
                path = self.write(json.dumps({**_VALID, **change}))
                with self.assertRaises(model.SettingsError) as caught:
                    _settings.load_settings(path)
                self.assertIn(text, str(caught.exception))

    def test_missing_and_malformed_files_are_named(self) -> None:
        for path in ("/nonexistent/settings.json", self.write("{")):
            with self.assertRaises(model.SettingsError) as caught:
                _settings.load_settings(path)
            self.assertIn(path, str(caught.exception))

    def test_command_exits_with_its_status(self) -> None:
        paths = (
            (self.write(json.dumps(_VALID)), _main.EXIT_OK),
            (self.write("{}"), _main.EXIT_BAD_SETTINGS),
        )
        for path, status in paths:
            done = subprocess.run(
                [sys.executable, "-m", "cowslipvalve_daemon", path, "--check"],
                capture_output=True,
                check=False,
            )
            self.assertEqual(done.returncode, status, done.stderr)
