"""Client of the platform's object API."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

import cowslipvalve_model as model
from cowslipvalve_store import _objects

_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409
_HTTP_GONE = 410
_HTTP_FIRST_ERROR = 400
_HTTP_FIRST_SERVER_ERROR = 500
# The platform sends a line on each watch at least this often.
_WATCH_READ_TIMEOUT_MS = 60_000
_MAX_WATCH_LINE_BYTES = 4 << 20


class PlatformClient:
    """Reads, writes and watches objects.

    Every method raises PlatformUnavailableError if the platform does not
    answer. A write may have taken effect even so, and its caller has to read
    the object to find out.
    """

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_ms: float
    ) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout_s = model.to_seconds(timeout_ms)

    async def list(self, kind: str) -> _objects.ObjectList:
        """Returns all objects of a kind."""
        plain = await self._request("GET", f"/objects/{kind}")
        return model.from_plain(_objects.ObjectList, plain)

    async def get(self, kind: str, name: str) -> _objects.StoredObject:
        """Returns one object.

        Raises:
          NotFoundError: There is no such object.
        """
        plain = await self._request("GET", f"/objects/{kind}/{name}")
        return model.from_plain(_objects.StoredObject, plain)

    async def create(
        self, item: _objects.StoredObject
    ) -> _objects.StoredObject:
        """Stores a new object.

        Raises:
          AlreadyExistsError: There is an object of that kind and name.
        """
        try:
            plain = await self._request("POST", f"/objects/{item.kind}", item)
        except model.ConflictError as error:
            raise model.AlreadyExistsError(
                str(error), step="create", peer=self._url
            ) from error
        return model.from_plain(_objects.StoredObject, plain)

    async def update(
        self, item: _objects.StoredObject
    ) -> _objects.StoredObject:
        """Replaces spec and annotations if the item has the stored version.

        Raises:
          ConflictError: Another writer has changed the object.
          NotFoundError: There is no such object.
        """
        return await self._put(item, "")

    async def update_status(
        self, item: _objects.StoredObject
    ) -> _objects.StoredObject:
        """Replaces the status if the item has the stored version.

        Raises:
          ConflictError: Another writer has changed the object.
          NotFoundError: There is no such object.
        """
        return await self._put(item, "/status")

    async def delete(
        self, kind: str, name: str, resource_version: int = 0
    ) -> None:
        """Deletes an object.

        Args:
          kind: The kind of the object.
          name: The name of the object.
          resource_version: The version that the stored object must have; zero
            deletes the object at any version.

        Raises:
          ConflictError: The stored object has another version.
          NotFoundError: There is no such object.
        """
        await self._request(
            "DELETE",
            f"/objects/{kind}/{name}?resourceVersion={resource_version}",
        )

    async def list_hosts(self) -> tuple[_objects.ListedHost, ...]:
        """Returns the platform's list of hosts, which may be out of date."""
        plain = await self._request("GET", "/hosts")
        return model.from_plain(_objects.HostList, plain).items

    async def watch(
        self, kind: str, resource_version: int
    ) -> AsyncIterator[_objects.WatchEvent]:
        """Yields the changes to objects of a kind after a version.

        The iterator ends only with an error.

        Raises:
          NotFoundError: The platform no longer has the changes since that
            version; list the kind again.
          PlatformUnavailableError: The platform did not answer or ended the
            watch.
        """
        path = f"/objects/{kind}?watch=1&resourceVersion={resource_version}"
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=self._timeout_s,
            sock_read=model.to_seconds(_WATCH_READ_TIMEOUT_MS),
        )
        try:
            async with self._session.get(
                self._url + path,
                timeout=timeout,
                read_bufsize=_MAX_WATCH_LINE_BYTES,
            ) as response:
                await self._raise_for_status(response, "watch")
                async for line in response.content:
                    if line.strip():
                        yield model.decode(_objects.WatchEvent, line)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise self._create_unavailable_error("watch", error) from error
        raise self._create_unavailable_error(
            "watch", "the platform ended the watch"
        )

    async def _put(
        self, item: _objects.StoredObject, suffix: str
    ) -> _objects.StoredObject:
        path = f"/objects/{item.kind}/{item.metadata.name}{suffix}"
        plain = await self._request("PUT", path, item)
        return model.from_plain(_objects.StoredObject, plain)

    async def _request(
        self, method: str, path: str, item: _objects.StoredObject | None = None
    ) -> Any:
        body = None if item is None else model.encode(item)
        step = f"{method} {path.split('?', maxsplit=1)[0]}"
        try:
            async with (
                asyncio.timeout(self._timeout_s),
                self._session.request(
                    method, self._url + path, data=body
                ) as response,
            ):
                await self._raise_for_status(response, step)
                return model.decode_plain(await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise self._create_unavailable_error(step, error) from error
        except model.InputError as error:
            raise self._create_unavailable_error(step, error) from error

    async def _raise_for_status(
        self, response: aiohttp.ClientResponse, step: str
    ) -> None:
        if response.status < _HTTP_FIRST_ERROR:
            return
        text = (await response.text())[:200]
        if response.status in (_HTTP_NOT_FOUND, _HTTP_GONE):
            raise model.NotFoundError(text, step=step, peer=self._url)
        if response.status == _HTTP_CONFLICT:
            raise model.ConflictError(text, step=step, peer=self._url)
        if response.status >= _HTTP_FIRST_SERVER_ERROR:
            raise self._create_unavailable_error(step, text)
        raise model.PlatformError(
            f"the platform rejected the request: {text}",
            step=step,
            peer=self._url,
        )

    def _create_unavailable_error(
        self, step: str, cause: object
    ) -> model.PlatformUnavailableError:
        return model.PlatformUnavailableError(
            f"the platform did not answer: {cause!r}",
            step=step,
            peer=self._url,
        )


def create_platform_client(
    session: aiohttp.ClientSession, url: str, timeout_ms: float = 2_000
) -> PlatformClient:
    """Returns a client of the platform's object API.

    Args:
      session: The HTTP session, which the caller closes.
      url: The base URL of the API.
      timeout_ms: The time limit of each call except watches, in ms; it also
        limits the time that a watch takes to connect.
    """
    return PlatformClient(session, url, timeout_ms)
