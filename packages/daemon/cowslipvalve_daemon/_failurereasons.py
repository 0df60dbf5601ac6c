"""What the reasons of failed attempts say of a request."""

import cowslipvalve_model as model

# Failures in which the query did not reach the server, or was refused without
# any work.
NO_COST_REASONS = frozenset(
    {
        model.Reason.NOT_HOME,
        model.Reason.OUT,
        model.Reason.DRAINING,
        model.Reason.UNREACHABLE,
        model.Reason.QUEUE_FULL,
        model.Reason.WARMING,
        model.Reason.SNAPSHOT_UNAVAILABLE,
    }
)
# Failures that count as evidence that the body crashes servers.
CRASH_REASONS = frozenset(
    {model.Reason.CONNECTION_LOST, model.Reason.QUARANTINED}
)
# Losses that are no such evidence, although the server may have run the body.
LOSS_REASONS = frozenset({model.Reason.ANSWER_LOST, model.Reason.HOME_LOST})
