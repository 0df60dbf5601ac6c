"""Finds the decisions about one request in the logs of all hosts."""

import pathlib
import re
import sys
from collections.abc import Iterable, Iterator

import attrs

_FIELD = re.compile(r'([A-Za-z_][\w.]*)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME_KEY = "at"
_EVENT_KEY = "msg"
_REQUEST_KEY = "request"


@attrs.frozen
class Decision:
    """One log line about a request."""

    # The time at which the line was written, by the host's clock.
    time: str
    # The host whose log holds the line, as the file or log collector names it.
    source: str
    # The name of the event, which says what was decided.
    event: str
    # The names and values of the other fields, in the order of the line.
    fields: tuple[tuple[str, str], ...]

    def format(self) -> str:
        """Returns the decision as a line of text for people."""
        fields = " ".join(f"{key}={value}" for key, value in self.fields)
        return f"{self.time}  {self.source}  {self.event}  {fields}"


def parse_line(line: str) -> dict[str, str]:
    """Returns the fields of a line of key=value pairs.

    Text before the first pair, such as a host name that a log collector has
    put there, is ignored.
    """
    return {key: _unquote(value) for key, value in _FIELD.findall(line)}


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    return text[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def find_decisions(
    request_id: str, lines: Iterable[tuple[str, str]]
) -> list[Decision]:
    """Returns the decisions about a request, sorted by time.

    Args:
      request_id: The id that the caller gave the request.
      lines: Pairs of the name of a source and a line of its log.
    """
    found = []
    for source, line in lines:
        if request_id not in line:
            continue
        fields = parse_line(line)
        if fields.pop(_REQUEST_KEY, "") != request_id:
            continue
        time = fields.pop(_TIME_KEY, "")
        event = fields.pop(_EVENT_KEY, "")
        found.append(Decision(time, source, event, tuple(fields.items())))
    return sorted(found, key=lambda decision: decision.time)


def read_logs(paths: Iterable[pathlib.Path]) -> Iterator[tuple[str, str]]:
    """Yields the name of the host and the text of each log line.

    Args:
      paths: The log files, each named after its host. If there are none, lines
        are read from standard input, where a log collector has put the host's
        name before each line.
    """
    names = tuple(paths)
    if not names:
        for line in sys.stdin:
            yield line.partition(" at=")[0].strip(), line
    for path in names:
        with path.open(encoding="utf-8") as file:
            for line in file:
                yield path.stem, line
