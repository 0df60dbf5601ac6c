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

    # When it was written, as the host's clock showed it.
    time: str
    # The file that it stands in.
    source: str
    # What was decided.
    event: str
    # The other fields, in order.
    fields: tuple[tuple[str, str], ...]

    def format(self) -> str:
        """Returns the decision as a line for people."""
        fields = " ".join(f"{key}={value}" for key, value in self.fields)
        return f"{self.time}  {self.source}  {self.event}  {fields}"


def parse_line(line: str) -> dict[str, str]:
    """Returns the fields of a line of key=value pairs.

    What stands before the first pair, such as the name of a host that a log
    collector puts there, is passed over.
    """
    return {key: _unquote(value) for key, value in _FIELD.findall(line)}


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    return text[1:-1].replace('\\"', '"').replace("\\\\", "\\")


def find_decisions(
    request_id: str, lines: Iterable[tuple[str, str]]
) -> list[Decision]:
    """Returns the decisions about a request in the order of their times.

    Args:
      request_id: The id that the caller gave the request.
      lines: The name of a source and a line of its log.
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
    """Yields the lines of logs with the name of the host that wrote them.

    Args:
      paths: The files, named like their hosts; standard input if there are
        none, where a collector has put the host in front of each line.
    """
    names = tuple(paths)
    if not names:
        for line in sys.stdin:
            yield line.partition(" at=")[0].strip(), line
    for path in names:
        with path.open(encoding="utf-8") as file:
            for line in file:
                yield path.stem, line
