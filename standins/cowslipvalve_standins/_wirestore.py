"""Stand-in of the users' store that implements its published protocol."""

import asyncio
import copy
from typing import Any

import attrs
from aiohttp import web

import cowslipvalve_model as model

_PREFIX = "/cowslipvalve/objects"
_PAGE_SIZE = 50  # Small, so that lists in tests span several pages.
_STALE_READ_COST = 0.1
_MS_PER_S = 1_000.0
# What the operator and the servers write.
_FOREIGN_KINDS = ("config", "servers", "evacuations")


@attrs.define(kw_only=True)
class StoreFaults:
    """The faults of the store, in force until they are replaced."""

    # The ports that the faults affect; all ports if empty.
    ports: frozenset[int] = frozenset()
    # Answers each call with this status, if set.
    status: int | None = None
    # Holds up each call for 60 s.
    is_silent: bool = False
    # Carries out writes and resets the connection instead of answering.
    loses_answers: bool = False
    # The kind whose calls take slow_ms longer, none if empty.
    slow_kind: str = ""
    # In ms.
    slow_ms: float = 0.0


@attrs.frozen
class StoreCopy:
    """What a store held at some time."""

    revision: int
    objects: dict[str, dict[str, Any]]


class WireStore:
    """An in-memory object store with revisions, paged lists and watches.

    Attributes:
      faults: The current faults.
      raw_values: JSON values by the strings in whose place they are sent.
      total_cost: The cost of all calls so far: 0.1 for a stale read, else 1.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.raw_values: dict[str, bytes] = {}
        self.total_cost = 0.0
        self._revision = 1
        self._era = 1
        self._oldest_revision = 1
        self._objects: dict[str, dict[str, Any]] = {}
        # The kinds and names of the objects that were written since a restore.
        self._written: set[tuple[str, str]] = set()
        self._history: list[tuple[int, str, bool, Any]] = []
        self._history_changed = asyncio.Event()
        # The watches in progress by kind and port, and when they began.
        self._watches: dict[tuple[str, int], tuple[object, float]] = {}
        self._silenced: set[object] = set()

    def silence_watch(self, kind: str, port: int, max_age_s: float) -> bool:
        """Lets the connection of a watch go silent, which then gets no answer.

        Args:
          kind: The kind that is watched.
          port: The port by which the host reaches the store.
          max_age_s: The watch must have begun less than this many s ago.

        Returns:
          Whether there is such a watch.
        """
        key, began_s = self._watches.get((kind, port), (None, 0.0))
        now_s = asyncio.get_running_loop().time()
        if key is None or now_s - began_s > max_age_s:
            return False
        self._silenced.add(key)
        return True

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Creates or replaces an object, as an operator or a server does."""
        self._revision += 1
        old = self._objects.setdefault(kind, {}).get(name)
        created = old["meta"]["created"] if old else self._revision
        item = {
            "meta": {
                "name": name,
                "revision": self._revision,
                "created": created,
                "finalizers": [],
                "deletion-pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects[kind][name] = item
        self._record_change(kind, False, item)

    def delete(self, kind: str, name: str) -> None:
        """Removes an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            self._record_change(kind, True, item)

    def copy(self) -> StoreCopy:
        """Returns a copy, to restore the store from."""
        return StoreCopy(self._revision, copy.deepcopy(self._objects))

    def restore(self, kept: StoreCopy) -> None:
        """Forgets all changes since a copy; their revisions come again."""
        self._revision = kept.revision
        self._objects = copy.deepcopy(kept.objects)
        self._era += 1
        self._written.clear()
        self.drop_history()
        self._history_changed.set()
        self._history_changed = asyncio.Event()

    def write_again(self, truth: StoreCopy) -> None:
        """Writes what a restore has taken back, as its authors do.

        Objects that were written or deleted since the restore stay as they are,
        and those of the hosts are theirs to write.
        """
        for kind in _FOREIGN_KINDS:
            objects = self._objects.get(kind, {})
            wanted = truth.objects.get(kind, {})
            for name in objects.keys() | wanted.keys():
                if (kind, name) in self._written:
                    continue
                old = objects.get(name)
                if name not in wanted:
                    self.delete(kind, name)
                elif old is None or old["spec"] != wanted[name]["spec"]:
                    self.put(kind, name, wanted[name]["spec"])

    def find_names(self, kind: str) -> set[str]:
        """Returns the names of the objects of a kind."""
        return set(self._objects.get(kind, {}))

    def drop_history(self) -> None:
        """Drops the change history; watches from an older revision get 410."""
        self._history.clear()
        self._oldest_revision = self._revision

    def create_app(self) -> web.Application:
        """Returns the web application that serves the store's protocol."""
        app = web.Application(middlewares=[self._inject_faults])
        app.add_routes(
            [
                web.get(_PREFIX + "/{kind}", self._list),
                web.post(_PREFIX + "/{kind}", self._create),
                web.get(_PREFIX + "/{kind}/{name}", self._get),
                web.put(_PREFIX + "/{kind}/{name}", self._replace),
                web.delete(_PREFIX + "/{kind}/{name}", self._delete),
            ]
        )
        return app

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> Any:
        is_stale_read = request.query.get("stale-ok") == "1"
        self.total_cost += _STALE_READ_COST if is_stale_read else 1.0
        assert request.transport is not None
        port = request.transport.get_extra_info("sockname")[1]
        faults = self.faults
        if faults.ports and port not in faults.ports:
            faults = StoreFaults()
        if faults.is_silent:
            await asyncio.sleep(60)
        if faults.status is not None:
            return web.Response(status=faults.status)
        if request.match_info.get("kind") == faults.slow_kind:
            await asyncio.sleep(faults.slow_ms / _MS_PER_S)
        response = await handler(request)
        response.headers["Store-Era"] = str(self._era)
        for mark, value in self.raw_values.items() if response.body else ():
            response.body = response.body.replace(f'"{mark}"'.encode(), value)
        if self.faults.is_silent and port in self.faults.ports:
            # A fault of given ports also holds up calls that began before it.
            await asyncio.sleep(60)
        if faults.loses_answers and request.method != "GET":
            request.transport.abort()
        return response

    async def _list(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(kind, request)
        after_name = request.query.get("after", "")
        names = sorted(n for n in self._objects.get(kind, {}) if n > after_name)
        items = [self._objects[kind][name] for name in names[:_PAGE_SIZE]]
        has_more = len(names) > _PAGE_SIZE
        return _respond(
            {"items": items, "has-more": has_more, "at": self._revision}
        )

    async def _watch(self, kind: str, request: web.Request) -> web.Response:
        key = object()
        assert request.transport is not None
        port = request.transport.get_extra_info("sockname")[1]
        began_s = asyncio.get_running_loop().time()
        self._watches[kind, port] = key, began_s
        response = await self._wait_for_events(kind, request)
        if self._watches.get((kind, port), (None,))[0] is key:
            del self._watches[kind, port]
        if key in self._silenced:
            await asyncio.sleep(60)
        return response

    async def _wait_for_events(
        self, kind: str, request: web.Request
    ) -> web.Response:
        revision = int(request.query["watch"])
        wait_s = int(request.query["wait-ms"]) / _MS_PER_S
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if not self._oldest_revision <= revision <= self._revision:
                return web.Response(status=410)
            events = [
                {"deleted": deleted, "object": item}
                for changed_at, changed_kind, deleted, item in self._history
                if changed_at > revision and changed_kind == kind
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if events or remaining_s <= 0:
                return _respond({"events": events, "at": self._revision})
            try:
                async with asyncio.timeout(remaining_s):
                    await self._history_changed.wait()
            except TimeoutError:
                continue

    async def _create(self, request: web.Request) -> web.Response:
        kind = request.match_info["kind"]
        body = model.decode_plain(await request.read())
        name = body["meta"]["name"]
        if name in self._objects.get(kind, {}):
            return _respond(self._objects[kind][name], 409)
        self.put(kind, name, body["spec"])
        return _respond(self._objects[kind][name])

    async def _get(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return web.Response(status=404)
        return _respond(self._objects[kind][name])

    async def _replace(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return web.Response(status=404)
        body = model.decode_plain(await request.read())
        self.put(kind, name, body["spec"])
        return _respond(self._objects[kind][name])

    async def _delete(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return web.Response(status=404)
        item = self._objects[kind][name]
        self.delete(kind, name)
        return _respond(item)

    def _record_change(self, kind: str, deleted: bool, item: Any) -> None:
        self._history.append((self._revision, kind, deleted, item))
        self._written.add((kind, item["meta"]["name"]))
        self._history_changed.set()
        self._history_changed = asyncio.Event()


def _respond(document: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=model.encode_plain(document),
        content_type="application/json",
    )


def create_wire_store() -> WireStore:
    """Returns an empty store."""
    return WireStore()
