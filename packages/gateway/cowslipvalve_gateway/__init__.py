"""Request forwarding: routes, server selection, retries, merging and state."""

from cowslipvalve_base import AnswerLimits
from cowslipvalve_base import AnswerMemory
from cowslipvalve_base import create_answer_memory
from cowslipvalve_gateway._bodies import read_body
from cowslipvalve_gateway._budgets import BudgetBounds
from cowslipvalve_gateway._budgets import AttemptBudget
from cowslipvalve_gateway._budgets import Denial
from cowslipvalve_gateway._budgets import create_attempt_budget
from cowslipvalve_gateway._calls import CallerRequest
from cowslipvalve_gateway._calls import ServerAnswer
from cowslipvalve_gateway._calls import MergedAnswer
from cowslipvalve_gateway._calls import RefusalReason
from cowslipvalve_gateway._calls import Refusal
from cowslipvalve_gateway._calls import Outcome
from cowslipvalve_gateway._catalogs import Catalog
from cowslipvalve_gateway._catalogs import create_catalog
from cowslipvalve_gateway._connections import RawAnswer
from cowslipvalve_gateway._connections import ServerConnection
from cowslipvalve_gateway._crashhandlers import CrashReportHandler
from cowslipvalve_gateway._crashhandlers import create_crash_report_handler
from cowslipvalve_gateway._crashrecords import CrashRecord
from cowslipvalve_gateway._crashrecords import Exoneration
from cowslipvalve_gateway._crashrecords import ServerEnd
from cowslipvalve_gateway._crashrecords import create_crash_record
from cowslipvalve_gateway._crashreports import REPORT_PATH
from cowslipvalve_gateway._crashreports import CrashReport
from cowslipvalve_gateway._crashreports import CrashReportClient
from cowslipvalve_gateway._crashreports import QuarantineList
from cowslipvalve_gateway._crashreports import create_crash_report_client
from cowslipvalve_gateway._crashwatches import CrashWatch
from cowslipvalve_gateway._crashwatches import create_crash_watch
from cowslipvalve_gateway._detours import Detours
from cowslipvalve_gateway._detours import create_detours
from cowslipvalve_gateway._errorlogs import ErrorLog
from cowslipvalve_gateway._errorlogs import create_error_log
from cowslipvalve_gateway._errors import BrokenConnectionError
from cowslipvalve_gateway._errors import UnsentError
from cowslipvalve_gateway._errors import RejectedError
from cowslipvalve_gateway._errors import MisdirectedError
from cowslipvalve_gateway._errors import UnprovenMisdirectionError
from cowslipvalve_gateway._errors import LostAnswerError
from cowslipvalve_gateway._errors import HistoryGoneError
from cowslipvalve_gateway._errors import HostUnavailableError
from cowslipvalve_gateway._followers import StateFollower
from cowslipvalve_gateway._followers import create_state_follower
from cowslipvalve_gateway._gateways import Gateway
from cowslipvalve_gateway._gateways import create_gateway
from cowslipvalve_gateway._groupclients import GroupClient
from cowslipvalve_gateway._groupclients import create_group_client
from cowslipvalve_gateway._grouphandlers import GroupHandler
from cowslipvalve_gateway._grouphandlers import create_group_handler
from cowslipvalve_gateway._groupmessages import GROUP_PATH
from cowslipvalve_gateway._groupmessages import GroupReport
from cowslipvalve_gateway._groupmessages import GroupRequest
from cowslipvalve_gateway._groupplans import GroupPlanner
from cowslipvalve_gateway._groupplans import ShardGroup
from cowslipvalve_gateway._groupplans import create_group_planner
from cowslipvalve_gateway._hostpresences import HostPresence
from cowslipvalve_gateway._hostpresences import create_host_presence
from cowslipvalve_gateway._presenceprobes import PresenceProbing
from cowslipvalve_gateway._presenceprobes import create_presence_probing
from cowslipvalve_gateway._hosthealth import HostHealth
from cowslipvalve_gateway._hosthealth import create_host_health
from cowslipvalve_gateway._hostclients import HostClient
from cowslipvalve_gateway._hostclients import StateHandler
from cowslipvalve_gateway._hostclients import create_host_client
from cowslipvalve_gateway._hostclients import create_state_handler
from cowslipvalve_gateway._hostrefusals import HostRefusalReason
from cowslipvalve_gateway._linkprobes import LinkProbing
from cowslipvalve_gateway._linkprobes import create_link_probing
from cowslipvalve_gateway._logs import VolumeFilter
from cowslipvalve_gateway._logs import start_logs
from cowslipvalve_gateway._looplags import LoopLag
from cowslipvalve_gateway._looplags import create_loop_lag
from cowslipvalve_gateway._measurements import Measurements
from cowslipvalve_gateway._measurements import create_measurements
from cowslipvalve_gateway._merges import RECORD_BYTES
from cowslipvalve_gateway._merges import merge_records
from cowslipvalve_gateway._pools import ServerPool
from cowslipvalve_gateway._pools import create_server_pool
from cowslipvalve_gateway._errors import RateLimitedError
from cowslipvalve_gateway._limithandlers import LimitHandler
from cowslipvalve_gateway._limithandlers import create_limit_handler
from cowslipvalve_gateway._limitholders import HolderRanking
from cowslipvalve_gateway._limitholders import create_holder_ranking
from cowslipvalve_gateway._limiters import Admission
from cowslipvalve_gateway._limiters import Limiter
from cowslipvalve_gateway._limiters import create_limiter
from cowslipvalve_gateway._limitnews import LimitNews
from cowslipvalve_gateway._limitnews import create_limit_news
from cowslipvalve_gateway._limitnotices import NOTICE_PATH
from cowslipvalve_gateway._limitnotices import QUERY_PATH
from cowslipvalve_gateway._limitnotices import LimitList
from cowslipvalve_gateway._limitnotices import LimitNotice
from cowslipvalve_gateway._limitnotices import LimitQuery
from cowslipvalve_gateway._limitnotices import NoticeClient
from cowslipvalve_gateway._limitnotices import create_notice_client
from cowslipvalve_gateway._limitreaders import LimitReader
from cowslipvalve_gateway._limitreaders import create_limit_reader
from cowslipvalve_gateway._limitshares import LimitShare
from cowslipvalve_gateway._limitshares import compute_share
from cowslipvalve_gateway._limitshares import count_holders
from cowslipvalve_gateway._limitshares import rank_holders
from cowslipvalve_gateway._permits import PERMIT_PATH
from cowslipvalve_gateway._permits import PermitClient
from cowslipvalve_gateway._permits import PermitReply
from cowslipvalve_gateway._permits import PermitRequest
from cowslipvalve_gateway._permits import create_permit_client
from cowslipvalve_gateway._ratelimits import NO_LIMIT
from cowslipvalve_gateway._ratelimits import RateLimit
from cowslipvalve_gateway._ratelimits import create_rate_limit
from cowslipvalve_gateway._relayadmissions import RelayAdmission
from cowslipvalve_gateway._relayadmissions import create_relay_admission
from cowslipvalve_gateway._relayclients import RelayClient
from cowslipvalve_gateway._relayclients import create_relay_client
from cowslipvalve_gateway._relayhandlers import RelayHandler
from cowslipvalve_gateway._relayhandlers import create_relay_handler
from cowslipvalve_gateway._relaymessages import RELAY_PATH
from cowslipvalve_gateway._relaymessages import RelayReport
from cowslipvalve_gateway._relaymessages import RelayRequest
from cowslipvalve_gateway._replicas import StateMessage
from cowslipvalve_gateway._replicas import StateReplica
from cowslipvalve_gateway._replicas import create_state_replica
from cowslipvalve_gateway._resources import Share
from cowslipvalve_gateway._resources import Route
from cowslipvalve_gateway._resources import Service
from cowslipvalve_gateway._resources import CallerLimits
from cowslipvalve_gateway._resources import RoutingTable
from cowslipvalve_gateway._resources import ServerState
from cowslipvalve_gateway._resources import Server
from cowslipvalve_gateway._resources import HostRecord
from cowslipvalve_gateway._restarts import restart_on_error
from cowslipvalve_gateway._selectors import ServerSelector
from cowslipvalve_gateway._selectors import create_server_selector
from cowslipvalve_gateway._serverclients import ServerProtocol
from cowslipvalve_gateway._serverclients import ServerClient
from cowslipvalve_gateway._serverclients import create_server_client
from cowslipvalve_gateway._servercounts import count_cold
from cowslipvalve_gateway._servercounts import count_connections
from cowslipvalve_gateway._servercounts import count_ejected
from cowslipvalve_gateway._serverlinks import ServerLinks
from cowslipvalve_gateway._serverlinks import create_server_links
from cowslipvalve_gateway._callcontexts import CallContext
from cowslipvalve_gateway._shardwaits import ShardWaits
from cowslipvalve_gateway._shardwaits import create_shard_waits
from cowslipvalve_gateway._fingerprints import compute_fingerprint
from cowslipvalve_gateway._canarypermits import CanaryPermits
from cowslipvalve_gateway._canarypermits import create_canary_permits
from cowslipvalve_gateway._quarantines import Quarantine
from cowslipvalve_gateway._quarantines import QuarantineEntry
from cowslipvalve_gateway._quarantines import create_quarantine
from cowslipvalve_gateway._suspects import Permit
from cowslipvalve_gateway._suspects import SuspectEntry
from cowslipvalve_gateway._suspects import SuspectList
from cowslipvalve_gateway._suspects import create_suspect_list
from cowslipvalve_gateway._splits import Splitter
from cowslipvalve_gateway._splits import create_splitter
from cowslipvalve_gateway._statesources import StateSources
from cowslipvalve_gateway._stores import Position
from cowslipvalve_gateway._stores import StateKind
from cowslipvalve_gateway._stores import StateItem
from cowslipvalve_gateway._stores import StateListing
from cowslipvalve_gateway._stores import StateStore
from cowslipvalve_gateway._upkeeps import CatalogMaintenance
from cowslipvalve_gateway._upkeeps import create_catalog_maintenance
from cowslipvalve_gateway._watcherchoices import WatcherChoice
from cowslipvalve_gateway._watcherchoices import create_watcher_choice

__all__ = [
    "Admission",
    "AnswerLimits",
    "AnswerMemory",
    "AttemptBudget",
    "BrokenConnectionError",
    "BudgetBounds",
    "CallContext",
    "CallerLimits",
    "CallerRequest",
    "Catalog",
    "CatalogMaintenance",
    "CrashRecord",
    "CrashReport",
    "CrashReportClient",
    "CrashReportHandler",
    "CrashWatch",
    "Denial",
    "Detours",
    "Exoneration",
    "GROUP_PATH",
    "ErrorLog",
    "Gateway",
    "GroupClient",
    "GroupHandler",
    "GroupPlanner",
    "GroupReport",
    "GroupRequest",
    "HistoryGoneError",
    "HolderRanking",
    "HostClient",
    "HostHealth",
    "HostPresence",
    "PresenceProbing",
    "HostRecord",
    "HostRefusalReason",
    "HostUnavailableError",
    "LimitHandler",
    "LimitList",
    "LimitNews",
    "LimitNotice",
    "LimitQuery",
    "LimitReader",
    "LimitShare",
    "Limiter",
    "LinkProbing",
    "LoopLag",
    "LostAnswerError",
    "Measurements",
    "MergedAnswer",
    "MisdirectedError",
    "NOTICE_PATH",
    "NO_LIMIT",
    "NoticeClient",
    "Outcome",
    "PERMIT_PATH",
    "PermitClient",
    "PermitReply",
    "PermitRequest",
    "Position",
    "QUERY_PATH",
    "Quarantine",
    "QuarantineEntry",
    "QuarantineList",
    "RECORD_BYTES",
    "RELAY_PATH",
    "REPORT_PATH",
    "RateLimit",
    "RateLimitedError",
    "RawAnswer",
    "Refusal",
    "RefusalReason",
    "RejectedError",
    "RelayAdmission",
    "RelayClient",
    "RelayHandler",
    "RelayReport",
    "RelayRequest",
    "Route",
    "RoutingTable",
    "Server",
    "ServerAnswer",
    "ServerClient",
    "ServerLinks",
    "ServerConnection",
    "ServerEnd",
    "ServerPool",
    "ServerProtocol",
    "ServerSelector",
    "ServerState",
    "Service",
    "ShardGroup",
    "ShardWaits",
    "Share",
    "Splitter",
    "StateFollower",
    "StateHandler",
    "StateItem",
    "StateKind",
    "StateListing",
    "StateMessage",
    "StateReplica",
    "StateSources",
    "StateStore",
    "UnprovenMisdirectionError",
    "UnsentError",
    "VolumeFilter",
    "WatcherChoice",
    "compute_fingerprint",
    "compute_share",
    "count_holders",
    "create_answer_memory",
    "create_attempt_budget",
    "create_catalog",
    "create_catalog_maintenance",
    "create_crash_record",
    "create_crash_report_client",
    "create_crash_report_handler",
    "create_crash_watch",
    "create_error_log",
    "create_detours",
    "create_gateway",
    "create_group_client",
    "create_group_handler",
    "create_group_planner",
    "create_holder_ranking",
    "create_host_client",
    "create_host_health",
    "create_host_presence",
    "create_presence_probing",
    "create_limit_handler",
    "create_limit_news",
    "create_limit_reader",
    "create_limiter",
    "create_link_probing",
    "create_loop_lag",
    "create_measurements",
    "create_notice_client",
    "create_permit_client",
    "create_quarantine",
    "CanaryPermits",
    "count_cold",
    "count_connections",
    "count_ejected",
    "create_canary_permits",
    "Permit",
    "SuspectEntry",
    "SuspectList",
    "create_suspect_list",
    "create_rate_limit",
    "create_relay_admission",
    "create_relay_client",
    "create_relay_handler",
    "create_server_client",
    "create_server_links",
    "create_server_pool",
    "create_server_selector",
    "create_shard_waits",
    "create_splitter",
    "create_state_follower",
    "create_state_handler",
    "create_state_replica",
    "create_watcher_choice",
    "merge_records",
    "rank_holders",
    "read_body",
    "restart_on_error",
    "start_logs",
]
