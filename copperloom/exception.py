"""Errors with numbered result codes; docs/ERRORS.md holds the table.

A code is stable once released: callers and operators match on the number.
The thousands tell the area: 1 settings, 2 the caller's input, 3 refusals
under load, 4 targets, 5 the platform and the configuration, 6 peers and
orders, 7 the command line.
"""

import enum

__all__ = [
    "BodyTooLargeError",
    "CapacityExceededError",
    "ChangeLostError",
    "ChangeUnknownError",
    "CopperloomError",
    "DrainingError",
    "HeaderOutOfRangeError",
    "HistoryGoneError",
    "KeyConflictError",
    "KeyInUseError",
    "LimitExceededError",
    "MalformedRequestError",
    "NoTargetError",
    "NotAuthorisedError",
    "OrderRefusedError",
    "OverloadedError",
    "PeerUnavailableError",
    "PlatformDownError",
    "PlatformUnknownError",
    "PromptTooLargeError",
    "RateLimitedError",
    "Run",
    "SettingsError",
    "StaleConfigurationError",
    "StreamBrokenError",
    "StreamUnknownError",
    "TargetFailedError",
    "TargetRefusedError",
    "TargetUnreachableError",
    "TimeLimitPassedError",
    "UnknownDeploymentError",
    "UnknownOrganisationError",
]


class Run(enum.StrEnum):
    """What the caller may believe about a request that got no answer."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN_AND_FAILED = "ran_and_failed"


class CopperloomError(Exception):
    """Base of all errors of this package.

    Attributes:
        code: The numbered result code.
        status: The HTTP status that callers get.
        run: Whether the request ran, as far as can be known.
        retry_after_s: Seconds after which to try again; None if trying
            again does not help.
    """

    code = 1000
    status = 500
    run = Run.NOT_RUN
    retry_after_s: float | None = None

    def __init__(
        self,
        message: str = "",
        *,
        run: Run | None = None,
        retry_after_s: float | None = None,
    ):
        super().__init__(message or self.__doc__.splitlines()[0])
        if run is not None:
            self.run = run
        if retry_after_s is not None:
            self.retry_after_s = retry_after_s


class SettingsError(CopperloomError):
    """A settings file is wrong."""

    code = 1001


class MalformedRequestError(CopperloomError):
    """The request could not be read."""

    code = 2001
    status = 400


class UnknownOrganisationError(CopperloomError):
    """The credential belongs to no organisation."""

    code = 2002
    status = 401


class UnknownDeploymentError(CopperloomError):
    """The request names a deployment that is not configured."""

    code = 2003
    status = 404


class NotAuthorisedError(CopperloomError):
    """The organisation may not use this deployment or stream."""

    code = 2004
    status = 403


class BodyTooLargeError(CopperloomError):
    """The request's body is over the limit."""

    code = 2005
    status = 413


class HeaderOutOfRangeError(CopperloomError):
    """A header's value is out of its range."""

    code = 2006
    status = 400


class PromptTooLargeError(CopperloomError):
    """No group of engines could hold the prompt."""

    code = 2007
    status = 413


class KeyConflictError(CopperloomError):
    """The idempotency key was used before with another request."""

    code = 2008
    status = 422


class KeyInUseError(CopperloomError):
    """A request under this idempotency key runs or has run."""

    code = 2009
    status = 409
    run = Run.MAY_HAVE_RUN


class StreamUnknownError(CopperloomError):
    """The stream to resume is not known at its target any more."""

    code = 2010
    status = 404
    run = Run.MAY_HAVE_RUN


class OverloadedError(CopperloomError):
    """The predicted wait is longer than the request's time limit."""

    code = 3001
    status = 503
    retry_after_s = 1.0


class LimitExceededError(CopperloomError):
    """The organisation is over its limit."""

    code = 3002
    status = 429
    retry_after_s = 1.0


class DrainingError(CopperloomError):
    """This instance is leaving and takes no new work."""

    code = 3003
    status = 503
    retry_after_s = 0.1


class NoTargetError(CopperloomError):
    """No target of the deployment is admitted and reachable."""

    code = 3004
    status = 503
    retry_after_s = 1.0


class CapacityExceededError(CopperloomError):
    """No memory was left for long work in its time limit."""

    code = 3005
    status = 503
    retry_after_s = 5.0


class TimeLimitPassedError(CopperloomError):
    """The time limit passed."""

    code = 3006
    status = 504
    run = Run.MAY_HAVE_RUN


class TargetUnreachableError(CopperloomError):
    """The target took no connection, so nothing was sent."""

    code = 4001
    status = 502
    retry_after_s = 0.5


class TargetRefusedError(CopperloomError):
    """The target refused the work and says that it did not run."""

    code = 4002
    status = 503
    retry_after_s = 0.5


class TargetFailedError(CopperloomError):
    """The target ran the work and failed."""

    code = 4003
    status = 502
    run = Run.RAN_AND_FAILED


class StreamBrokenError(CopperloomError):
    """The answer broke off and could not be resumed."""

    code = 4004
    status = 502
    run = Run.MAY_HAVE_RUN


class PlatformDownError(CopperloomError):
    """The platform's service gave no answer; nothing took effect."""

    code = 5001
    status = 503
    retry_after_s = 2.0


class PlatformUnknownError(CopperloomError):
    """A write was sent and its confirmation was lost."""

    code = 5002
    status = 503
    run = Run.MAY_HAVE_RUN


class RateLimitedError(CopperloomError):
    """The platform's service is over its rate."""

    code = 5003
    status = 503
    retry_after_s = 1.0


class ChangeLostError(CopperloomError):
    """Another change came first, so this one was not made."""

    code = 5004
    status = 409


class ChangeUnknownError(CopperloomError):
    """It could not be learnt whether the change was made."""

    code = 5005
    status = 503
    run = Run.MAY_HAVE_RUN


class StaleConfigurationError(CopperloomError):
    """This instance cannot tell whether its configuration is in force."""

    code = 5006
    status = 503
    retry_after_s = 1.0


class HistoryGoneError(PlatformDownError):
    """The changes asked for are no longer kept; everything is read again."""

    code = 5007


class PeerUnavailableError(CopperloomError):
    """A peer gave no answer."""

    code = 6001
    status = 503
    retry_after_s = 0.5


class OrderRefusedError(CopperloomError):
    """A target refused an order, for example for an old fencing number."""

    code = 6002
    status = 409
