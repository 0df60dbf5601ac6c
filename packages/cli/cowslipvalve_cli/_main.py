"""The cowslipvalve command."""

import getpass
import pathlib
import sys
from typing import Annotated, Any

import cyclopts

import cowslipvalve_model as model
import cowslipvalve_store as store
from cowslipvalve_cli import _explanations
from cowslipvalve_cli import _execution
from cowslipvalve_cli import _files
from cowslipvalve_cli import _operations
from cowslipvalve_cli import _output

_KINDS_BY_ALIAS = {
    alias: kind
    for kind in model.KINDS
    for alias in (kind.lower(), f"{kind.lower()}s")
} | {
    "searches": "Search",
    "server": "BackendServer",
    "servers": "BackendServer",
    "domain": "FailureDomain",
    "domains": "FailureDomain",
}

app = cyclopts.App(
    name="cowslipvalve",
    help="Writes cowslipvalve's resources and reads their status.",
)
domain_app = cyclopts.App(
    name="domain", help="Takes failure domains out or in."
)
server_app = cyclopts.App(
    name="server", help="Drains or undrains backend servers."
)
app.command(domain_app)
app.command(server_app)
app.register_install_completion_command()

PlatformUrl = Annotated[
    str,
    cyclopts.Parameter(
        name="--platform",
        env_var="COWSLIPVALVE_PLATFORM",
        help="The URL of the platform's object API.",
    ),
]
Operator = Annotated[
    str,
    cyclopts.Parameter(
        name="--operator",
        env_var="COWSLIPVALVE_OPERATOR",
        help="The name that the audit trail shows.",
    ),
]
OutputFormat = Annotated[
    _output.Format,
    cyclopts.Parameter(name="--output", help="The format of the output."),
]
_DEFAULT_PLATFORM = "http://127.0.0.1:8080"


@app.command
def apply(
    *,
    file: Annotated[str, cyclopts.Parameter(name=["--file", "-f"])],
    platform_url: PlatformUrl = _DEFAULT_PLATFORM,
    operator: Operator = "",
    output: OutputFormat = _output.Format.TABLE,
) -> None:
    """Creates and changes the resources of a JSON file.

    A resource whose metadata states a resourceVersion is changed only if it
    still has that version.

    Args:
      file: The path of the file, one resource or a list of them.
    """

    async def run(client: store.PlatformClient) -> None:
        written = [
            await _operations.apply_resource(
                client, resource, _resolve_operator(operator)
            )
            for resource in _files.read_resources(file)
        ]
        _output.print_rows(written, output)

    _execution.run_command(platform_url, run)


@app.command
def validate(
    *, file: Annotated[str, cyclopts.Parameter(name=["--file", "-f"])]
) -> None:
    """Checks the resources of a JSON file without calling the platform.

    Args:
      file: The path of the file, one resource or a list of them.
    """
    with _execution.ExitOnError():
        resources = _files.read_resources(file)
        print(f"{len(resources)} resources are valid")


@app.command
def get(
    kind: str,
    name: str = "",
    *,
    platform_url: PlatformUrl = _DEFAULT_PLATFORM,
    output: OutputFormat = _output.Format.TABLE,
) -> None:
    """Lists the resources of a kind, or one of them.

    Args:
      kind: One of search, server, domain, or the name of the kind.
      name: The name of the resource.
    """

    async def run(client: store.PlatformClient) -> None:
        items = await _operations.list_resources(
            client, _resolve_kind(kind), name
        )
        _output.print_resources(items, output)

    _execution.run_command(platform_url, run)


@app.command
def describe(
    kind: str, name: str, *, platform_url: PlatformUrl = _DEFAULT_PLATFORM
) -> None:
    """Prints all fields of one resource as JSON.

    Args:
      kind: One of search, server, domain, or the name of the kind.
      name: The name of the resource.
    """

    async def run(client: store.PlatformClient) -> None:
        _output.print_description(await client.get(_resolve_kind(kind), name))

    _execution.run_command(platform_url, run)


@app.command
def delete(
    kind: str,
    name: str,
    *,
    resource_version: int = 0,
    platform_url: PlatformUrl = _DEFAULT_PLATFORM,
) -> None:
    """Deletes a resource.

    Args:
      kind: One of search, server, domain, or the name of the kind.
      name: The name of the resource.
      resource_version: Delete the resource only if it has this version; zero
        stands for any version.
    """

    async def run(client: store.PlatformClient) -> None:
        await client.delete(_resolve_kind(kind), name, resource_version)
        print(f"{_resolve_kind(kind)} {name} is deleted")

    _execution.run_command(platform_url, run)


@app.command
def watch(kind: str, *, platform_url: PlatformUrl = _DEFAULT_PLATFORM) -> None:
    """Prints the resources of a kind and then each change, as JSON lines.

    Args:
      kind: One of search, server, domain, or the name of the kind.
    """

    async def run(client: store.PlatformClient) -> None:
        events = _operations.watch_resources(client, _resolve_kind(kind))
        async for event in events:
            print(model.encode(event).decode(), flush=True)

    _execution.run_command(platform_url, run)


@app.command
def audit(
    name: str = "",
    *,
    platform_url: PlatformUrl = _DEFAULT_PLATFORM,
    output: OutputFormat = _output.Format.TABLE,
) -> None:
    """Lists the audit trail of accepted changes.

    Each change has its number, time, operator and resource, and the old and new
    values.

    Args:
      name: The name of the resource; the default is all resources.
    """

    async def run(client: store.PlatformClient) -> None:
        _output.print_changes(
            await _operations.list_audit(client, name), output
        )

    _execution.run_command(platform_url, run)


@app.command
def status(
    *,
    platform_url: PlatformUrl = _DEFAULT_PLATFORM,
    output: OutputFormat = _output.Format.TABLE,
) -> None:
    """Prints the status of all failure domains, searches and servers."""

    async def run(client: store.PlatformClient) -> None:
        for kind in ("FailureDomain", "Search", "BackendServer"):
            if output is _output.Format.TABLE:
                print(f"{kind}:")
            items = await _operations.list_resources(client, kind, "")
            _output.print_resources(items, output)

    _execution.run_command(platform_url, run)


@domain_app.command(name="out")
def take_domain_out(
    name: str,
    *,
    platform_url: PlatformUrl = _DEFAULT_PLATFORM,
    operator: Operator = "",
) -> None:
    """Stops sending new work to a failure domain.

    Args:
      name: The name of the failure domain.
    """
    _set_placement(
        platform_url, operator, "FailureDomain", name, model.Placement.OUT
    )


@domain_app.command(name="in")
def take_domain_in(
    name: str,
    *,
    platform_url: PlatformUrl = _DEFAULT_PLATFORM,
    operator: Operator = "",
) -> None:
    """Sends work to a failure domain again.

    Args:
      name: The name of the failure domain.
    """
    _set_placement(
        platform_url, operator, "FailureDomain", name, model.Placement.IN
    )


@server_app.command(name="drain")
def drain_server(
    name: str,
    *,
    platform_url: PlatformUrl = _DEFAULT_PLATFORM,
    operator: Operator = "",
) -> None:
    """Stops sending new work to a backend server.

    Args:
      name: The name of the backend server.
    """
    _set_placement(
        platform_url, operator, "BackendServer", name, model.Placement.OUT
    )


@server_app.command(name="undrain")
def undrain_server(
    name: str,
    *,
    platform_url: PlatformUrl = _DEFAULT_PLATFORM,
    operator: Operator = "",
) -> None:
    """Sends work to a backend server again.

    Args:
      name: The name of the backend server.
    """
    _set_placement(
        platform_url, operator, "BackendServer", name, model.Placement.IN
    )


@app.command
def explain(request_id: str, *logs: pathlib.Path) -> None:
    """Prints the decisions about one request from the logs of all hosts.

    Args:
      request_id: The id that the caller gave the request.
      logs: The log files; standard input if there are none.
    """
    try:
        lines = tuple(_explanations.read_logs(logs))
    except OSError as error:
        print(f"cowslipvalve: {error}; name a readable file", file=sys.stderr)
        sys.exit(_execution.EXIT_BAD_INPUT)
    found = _explanations.find_decisions(request_id, lines)
    for decision in found:
        print(decision.format())
    if not found:
        print(
            f"cowslipvalve: no log line about request {request_id}",
            file=sys.stderr,
        )
        sys.exit(_execution.EXIT_NOT_FOUND)


def _set_placement(
    platform_url: str,
    operator: str,
    kind: str,
    name: str,
    placement: model.Placement,
) -> None:
    def change(spec: dict[str, Any]) -> dict[str, Any]:
        return {**spec, "placement": str(placement)}

    async def run(client: store.PlatformClient) -> None:
        written = await _operations.change_spec(
            client, kind, name, _resolve_operator(operator), change
        )
        print(f"{kind} {name}: placement {placement}, {written.action}")

    _execution.run_command(platform_url, run)


def _resolve_kind(text: str) -> str:
    kind = _KINDS_BY_ALIAS.get(text.lower())
    if kind is None:
        raise model.InputError(
            f"kind must be one of {', '.join(sorted(_KINDS_BY_ALIAS))}, not"
            f" {text!r}"
        )
    return kind


def _resolve_operator(operator: str) -> str:
    return operator or getpass.getuser()


def main() -> None:
    """Runs the command line."""
    app()
