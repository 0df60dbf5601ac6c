"""Data types that the daemon's packages share, and cowslipvalve_base."""

from cowslipvalve_model._calls import MAX_KEY_LENGTH
from cowslipvalve_model._calls import SearchRequest
from cowslipvalve_model._calls import OrderRequest
from cowslipvalve_model._calls import Hit
from cowslipvalve_model._calls import Coverage
from cowslipvalve_model._calls import SearchAnswer
from cowslipvalve_model._calls import Ticket
from cowslipvalve_model._calls import OrderAnswer
from cowslipvalve_model._calls import ErrorAnswer
from cowslipvalve_base import AnswerLimits
from cowslipvalve_base import AnswerMemory
from cowslipvalve_base import create_answer_memory
from cowslipvalve_base import create_listeners
from cowslipvalve_base import load_settings
from cowslipvalve_base import split_address
from cowslipvalve_base import Clock
from cowslipvalve_base import create_clock
from cowslipvalve_base import to_seconds
from cowslipvalve_base import to_camel_case
from cowslipvalve_base import to_plain
from cowslipvalve_base import from_plain
from cowslipvalve_base import from_plain_strict
from cowslipvalve_base import encode
from cowslipvalve_base import encode_plain
from cowslipvalve_base import decode
from cowslipvalve_base import decode_plain
from cowslipvalve_base import check_depth
from cowslipvalve_model._configuration import ConfigurationChange
from cowslipvalve_model._configuration import Configuration
from cowslipvalve_model._configuration import ConfigurationDelta
from cowslipvalve_model._configuration import apply_delta
from cowslipvalve_model._configuration import compute_delta
from cowslipvalve_model._configuration import compute_full_delta
from cowslipvalve_base import CowslipvalveError
from cowslipvalve_base import SettingsError
from cowslipvalve_base import InputError
from cowslipvalve_base import RequestError
from cowslipvalve_base import NotRunError
from cowslipvalve_base import UnknownOutcomeError
from cowslipvalve_base import CrashedError
from cowslipvalve_base import Cutoff
from cowslipvalve_base import CutOffError
from cowslipvalve_base import create_cutoff
from cowslipvalve_base import PlatformError
from cowslipvalve_base import PlatformUnavailableError
from cowslipvalve_base import ConflictError
from cowslipvalve_base import AlreadyExistsError
from cowslipvalve_base import NotFoundError
from cowslipvalve_base import log_event
from cowslipvalve_model._hostcalls import QueryTarget
from cowslipvalve_model._hostcalls import HomeQuery
from cowslipvalve_model._hostcalls import ShardResult
from cowslipvalve_model._hostcalls import PartialAnswer
from cowslipvalve_model._hostcalls import QueryBatch
from cowslipvalve_model._hostcalls import PartialBatch
from cowslipvalve_model._hostcalls import HomeOrder
from cowslipvalve_model._hostcalls import HomeOrderReply
from cowslipvalve_model._hostcalls import ForwardedOrder
from cowslipvalve_model._membership import HostState
from cowslipvalve_model._membership import HeartbeatRecord
from cowslipvalve_model._membership import HostRecord
from cowslipvalve_model._membership import ServerCondition
from cowslipvalve_model._membership import ServerRecord
from cowslipvalve_model._membership import PlacementRecord
from cowslipvalve_model._membership import QuarantineRecord
from cowslipvalve_model._membership import Record
from cowslipvalve_model._membership import VersionedRecord
from cowslipvalve_model._membership import Heartbeat
from cowslipvalve_base import Outcome
from cowslipvalve_base import Reason
from cowslipvalve_base import RETRYABLE_REASONS
from cowslipvalve_model._resources import OPERATOR_ANNOTATION
from cowslipvalve_model._resources import SearchKind
from cowslipvalve_model._resources import OrderGuard
from cowslipvalve_model._resources import Placement
from cowslipvalve_model._resources import ConditionStatus
from cowslipvalve_model._resources import Metadata
from cowslipvalve_model._resources import Condition
from cowslipvalve_model._resources import Status
from cowslipvalve_model._resources import SearchSpec
from cowslipvalve_model._resources import SearchStatus
from cowslipvalve_model._resources import Search
from cowslipvalve_model._resources import WarmUp
from cowslipvalve_model._resources import BackendServerSpec
from cowslipvalve_model._resources import BackendServerStatus
from cowslipvalve_model._resources import BackendServer
from cowslipvalve_model._resources import FailureDomainSpec
from cowslipvalve_model._resources import FailureDomainStatus
from cowslipvalve_model._resources import FailureDomain
from cowslipvalve_model._resources import Resource
from cowslipvalve_model._resources import KINDS
from cowslipvalve_model._servercalls import ShardQuery
from cowslipvalve_model._servercalls import ShardAnswer
from cowslipvalve_model._servercalls import ServerBatch
from cowslipvalve_model._servercalls import ServerReply
from cowslipvalve_model._servercalls import ServerState
from cowslipvalve_model._servercalls import ServerOrder
from cowslipvalve_model._servercalls import ServerOrderReply
from cowslipvalve_model._servercalls import CancelRequest
from cowslipvalve_model._shards import Snapshot
from cowslipvalve_model._shards import Holding
from cowslipvalve_base import TextEnum

__all__ = [
    "AlreadyExistsError",
    "AnswerLimits",
    "AnswerMemory",
    "BackendServer",
    "BackendServerSpec",
    "BackendServerStatus",
    "HeartbeatRecord",
    "CancelRequest",
    "Clock",
    "Condition",
    "ConditionStatus",
    "Configuration",
    "ConfigurationChange",
    "ConfigurationDelta",
    "ConflictError",
    "Coverage",
    "CowslipvalveError",
    "CrashedError",
    "CutOffError",
    "Cutoff",
    "VersionedRecord",
    "ErrorAnswer",
    "FailureDomain",
    "FailureDomainSpec",
    "FailureDomainStatus",
    "ForwardedOrder",
    "Heartbeat",
    "Hit",
    "Holding",
    "HomeOrder",
    "HomeOrderReply",
    "HomeQuery",
    "HostRecord",
    "HostState",
    "InputError",
    "KINDS",
    "MAX_KEY_LENGTH",
    "Metadata",
    "NotFoundError",
    "NotRunError",
    "OPERATOR_ANNOTATION",
    "OrderAnswer",
    "OrderGuard",
    "OrderRequest",
    "Outcome",
    "PartialAnswer",
    "PartialBatch",
    "Placement",
    "PlacementRecord",
    "PlatformError",
    "PlatformUnavailableError",
    "QuarantineRecord",
    "QueryBatch",
    "RETRYABLE_REASONS",
    "Reason",
    "Record",
    "RequestError",
    "Resource",
    "Search",
    "SearchAnswer",
    "SearchKind",
    "SearchRequest",
    "SearchSpec",
    "SearchStatus",
    "ServerBatch",
    "ServerCondition",
    "ServerOrder",
    "ServerOrderReply",
    "ServerRecord",
    "ServerReply",
    "ServerState",
    "SettingsError",
    "ShardAnswer",
    "ShardQuery",
    "ShardResult",
    "Snapshot",
    "Status",
    "QueryTarget",
    "TextEnum",
    "Ticket",
    "UnknownOutcomeError",
    "WarmUp",
    "apply_delta",
    "check_depth",
    "from_plain_strict",
    "compute_full_delta",
    "compute_delta",
    "create_answer_memory",
    "create_clock",
    "create_cutoff",
    "create_listeners",
    "decode",
    "decode_plain",
    "encode",
    "encode_plain",
    "from_plain",
    "load_settings",
    "log_event",
    "split_address",
    "to_camel_case",
    "to_plain",
    "to_seconds",
]
