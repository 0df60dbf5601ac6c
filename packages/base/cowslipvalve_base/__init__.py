"""Shared clock, JSON codec, errors, log events and settings loading."""

from cowslipvalve_base._addresses import check_address
from cowslipvalve_base._addresses import split_address
from cowslipvalve_base._answerbounds import AnswerLimits
from cowslipvalve_base._answerbounds import AnswerMemory
from cowslipvalve_base._answerbounds import create_answer_memory
from cowslipvalve_base._clock import Clock
from cowslipvalve_base._clock import create_clock
from cowslipvalve_base._clock import to_seconds
from cowslipvalve_base._codec import to_camel_case
from cowslipvalve_base._codec import to_plain
from cowslipvalve_base._codec import from_plain
from cowslipvalve_base._codec import from_plain_strict
from cowslipvalve_base._codec import encode
from cowslipvalve_base._codec import encode_plain
from cowslipvalve_base._codec import decode
from cowslipvalve_base._codec import decode_plain
from cowslipvalve_base._codec import check_depth
from cowslipvalve_base._cutoffs import Cutoff
from cowslipvalve_base._cutoffs import create_cutoff
from cowslipvalve_base._damage import decode_damaged
from cowslipvalve_base._errors import CowslipvalveError
from cowslipvalve_base._errors import SettingsError
from cowslipvalve_base._errors import SettingsIncompleteError
from cowslipvalve_base._errors import InputError
from cowslipvalve_base._errors import RequestError
from cowslipvalve_base._errors import NotRunError
from cowslipvalve_base._errors import UnknownOutcomeError
from cowslipvalve_base._errors import CrashedError
from cowslipvalve_base._errors import CutOffError
from cowslipvalve_base._errors import PlatformError
from cowslipvalve_base._errors import PlatformUnavailableError
from cowslipvalve_base._errors import ConflictError
from cowslipvalve_base._errors import AlreadyExistsError
from cowslipvalve_base._errors import NotFoundError
from cowslipvalve_base._events import log_event
from cowslipvalve_base._files import decode_settings
from cowslipvalve_base._files import load_settings
from cowslipvalve_base._files import read_settings
from cowslipvalve_base._listeners import AddressError
from cowslipvalve_base._listeners import Listeners
from cowslipvalve_base._listeners import Server
from cowslipvalve_base._listeners import create_listeners
from cowslipvalve_base._outcomes import Outcome
from cowslipvalve_base._outcomes import Reason
from cowslipvalve_base._outcomes import RETRYABLE_REASONS
from cowslipvalve_base._rendezvous import rank_names
from cowslipvalve_base._rendezvous import choose_name
from cowslipvalve_base._rendezvous import compute_fraction
from cowslipvalve_base._texts import TextEnum

__all__ = [
    "AddressError",
    "AlreadyExistsError",
    "AnswerLimits",
    "AnswerMemory",
    "Clock",
    "ConflictError",
    "CowslipvalveError",
    "CrashedError",
    "CutOffError",
    "Cutoff",
    "InputError",
    "Listeners",
    "NotFoundError",
    "NotRunError",
    "Outcome",
    "PlatformError",
    "PlatformUnavailableError",
    "RETRYABLE_REASONS",
    "Reason",
    "RequestError",
    "Server",
    "SettingsError",
    "SettingsIncompleteError",
    "TextEnum",
    "UnknownOutcomeError",
    "check_address",
    "check_depth",
    "choose_name",
    "compute_fraction",
    "create_answer_memory",
    "create_clock",
    "create_cutoff",
    "create_listeners",
    "decode",
    "decode_damaged",
    "decode_plain",
    "decode_settings",
    "encode",
    "encode_plain",
    "from_plain",
    "from_plain_strict",
    "load_settings",
    "log_event",
    "rank_names",
    "read_settings",
    "split_address",
    "to_camel_case",
    "to_plain",
    "to_seconds",
]
