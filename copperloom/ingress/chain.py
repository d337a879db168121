"""Lists the filters that every request passes through, in order."""

from copperloom import chains
from copperloom.ingress import admit, exchange, forward, outcome

__all__ = ["RELAYED_REQUESTS", "REQUESTS", "run"]

# The outcome filter is outermost, since it alone turns errors into responses:
# every request gets exactly one outcome.
REQUESTS: tuple[exchange.Filter, ...] = (
    outcome.outcome,
    admit.await_start,
    admit.find_route,
    admit.authorise,
    admit.read_body,
    forward.forward,
)
# The body of a peer's request has been read.
RELAYED_REQUESTS: tuple[exchange.Filter, ...] = (
    outcome.outcome,
    admit.await_start,
    admit.find_route,
    admit.authorise_relayed,
    forward.forward,
)

run = chains.run
