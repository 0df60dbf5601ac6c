"""Client of the platform's object API, with its claims and configuration."""

from cowslipvalve_store._claims import CLAIM_KIND
from cowslipvalve_store._claims import Claim
from cowslipvalve_store._claims import ClaimStore
from cowslipvalve_store._claims import create_claim_store
from cowslipvalve_store._client import PlatformClient
from cowslipvalve_store._client import create_platform_client
from cowslipvalve_store._configurations import HEAD_KIND
from cowslipvalve_store._configurations import PART_KIND
from cowslipvalve_store._configurations import AUDIT_KIND
from cowslipvalve_store._configurations import HEAD_NAME
from cowslipvalve_store._configurations import MAX_PART_CHARACTERS
from cowslipvalve_store._configurations import MAX_HEAD_CHANGES
from cowslipvalve_store._configurations import ConfigurationHead
from cowslipvalve_store._configurations import StoredConfiguration
from cowslipvalve_store._configurations import ConfigurationStore
from cowslipvalve_store._configurations import create_configuration_store
from cowslipvalve_store._objects import API_VERSION
from cowslipvalve_store._objects import StoredObject
from cowslipvalve_store._objects import ObjectList
from cowslipvalve_store._objects import WatchEvent
from cowslipvalve_store._objects import ListedHost
from cowslipvalve_store._objects import HostList
from cowslipvalve_store._objects import create_object

__all__ = [
    "API_VERSION",
    "AUDIT_KIND",
    "CLAIM_KIND",
    "Claim",
    "ClaimStore",
    "ConfigurationStore",
    "HEAD_KIND",
    "HEAD_NAME",
    "ConfigurationHead",
    "HostList",
    "MAX_HEAD_CHANGES",
    "ListedHost",
    "ObjectList",
    "MAX_PART_CHARACTERS",
    "PART_KIND",
    "PlatformClient",
    "StoredConfiguration",
    "StoredObject",
    "WatchEvent",
    "create_claim_store",
    "create_platform_client",
    "create_configuration_store",
    "create_object",
]
