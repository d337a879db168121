"""Errors with numbered result codes; docs/ERRORS.md lists them.

Codes are stable once released, since callers and operators match on them. The
thousands give the area: 1 settings, 2 the caller's input, 3 refusals under
load, 4 targets, 5 the platform and the configuration, 6 peers and orders, 7
the command line.
"""

import enum

__all__ = [
    "AnswerTooLongError",
    "BodyTooLargeError",
    "CapacityExceededError",
    "ChangeLostError",
    "ChangeUnknownError",
    "CopperloomError",
    "DataCentreEvacuatedError",
    "DrainingError",
    "HeadTooLargeError",
    "HeaderOutOfRangeError",
    "HistoryGoneError",
    "KeyConflictError",
    "KeyInUseError",
    "LimitExceededError",
    "MalformedRequestError",
    "MemoryFullError",
    "NoTargetError",
    "NoTargetInRegionError",
    "NotAuthorisedError",
    "OrderRefusedError",
    "OverloadedError",
    "PeerUnavailableError",
    "PartQuarantinedError",
    "PlatformDownError",
    "PlatformUnknownError",
    "PromptTooLargeError",
    "RateLimitedError",
    "RequestQuarantinedError",
    "RequestTimeoutError",
    "Run",
    "SettingsError",
    "ShareExceededError",
    "StaleConfigurationError",
    "StreamBrokenError",
    "StreamUnknownError",
    "TargetFailedError",
    "TargetRefusedError",
    "TargetsUnreachableError",
    "TargetUnreachableError",
    "TargetsLimitedError",
    "TimeLimitPassedError",
    "UnknownDeploymentError",
    "UnknownOrganisationError",
]


class Run(enum.StrEnum):
    """Whether a failed request ran at a target, as far as is known."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN_AND_FAILED = "ran_and_failed"


class CopperloomError(Exception):
    """Base of all errors of this package.

    Attributes:
        code: The numbered result code.
        status: The HTTP status that callers get.
        run: Whether the request ran, as far as is known.
        retry_after_s: Seconds after which to retry; None if a retry does not
            help.
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
    """A settings file is invalid."""

    code = 1001


class MalformedRequestError(CopperloomError):
    """The request is malformed."""

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
    """The request's body exceeds the size limit."""

    code = 2005
    status = 413


class HeaderOutOfRangeError(CopperloomError):
    """A header's value is out of range."""

    code = 2006
    status = 400


class PromptTooLargeError(CopperloomError):
    """The prompt does not fit into any group of engines."""

    code = 2007
    status = 413


class KeyConflictError(CopperloomError):
    """The idempotency key was already used with a different request."""

    code = 2008
    status = 422


class KeyInUseError(CopperloomError):
    """A request with this idempotency key is running or has run."""

    code = 2009
    status = 409
    run = Run.MAY_HAVE_RUN


class StreamUnknownError(CopperloomError):
    """The stream to resume is no longer known at its target."""

    code = 2010
    status = 404
    run = Run.MAY_HAVE_RUN


class HeadTooLargeError(CopperloomError):
    """The request's head, or its chunk lines and trailers, are too large."""

    code = 2011
    status = 431


class RequestTimeoutError(CopperloomError):
    """The request was not received in time."""

    code = 2012
    status = 408


class OverloadedError(CopperloomError):
    """The predicted wait is longer than the request's time limit."""

    code = 3001
    status = 503
    retry_after_s = 1.0


class LimitExceededError(CopperloomError):
    """The organisation exceeds its rate limit."""

    code = 3002
    status = 429
    retry_after_s = 1.0


class DrainingError(CopperloomError):
    """This instance is draining and accepts no new work."""

    code = 3003
    status = 503
    retry_after_s = 0.1


class NoTargetError(CopperloomError):
    """No target of the deployment is admitted and reachable."""

    code = 3004
    status = 503
    retry_after_s = 1.0


class CapacityExceededError(CopperloomError):
    """No engine memory became free for long work within its time limit."""

    code = 3005
    status = 503
    retry_after_s = 5.0


class TimeLimitPassedError(CopperloomError):
    """The request's time limit has passed."""

    code = 3006
    status = 504
    run = Run.MAY_HAVE_RUN


class RequestQuarantinedError(CopperloomError):
    """The request has crashed several targets and is not sent for a time."""

    code = 3007
    status = 503
    retry_after_s = 2.0


class PartQuarantinedError(CopperloomError):
    """A part of the prompt has crashed targets and is not sent for a time."""

    code = 3012
    status = 503
    retry_after_s = 2.0


class TargetsLimitedError(CopperloomError):
    """All targets are at the rate limits that they name, or are cold."""

    code = 3008
    status = 503
    retry_after_s = 1.0


class TargetsDrainingError(CopperloomError):
    """All targets of the service are about to end and take no new work."""

    code = 3009
    status = 503
    retry_after_s = 1.0


class TargetsBackingOffError(CopperloomError):
    """All targets have asked this instance for no requests for a time."""

    code = 3010
    status = 503
    retry_after_s = 1.0


class TargetsUnreachableError(CopperloomError):
    """No target is reached, and no other instance takes the request."""

    code = 3011
    status = 503
    retry_after_s = 1.0


class ShareExceededError(CopperloomError):
    """The organisation is over its share while others wait for capacity."""

    code = 3013
    status = 429
    retry_after_s = 1.0


class DataCentreEvacuatedError(CopperloomError):
    """All targets of the service are in evacuated data centres."""

    code = 3014
    status = 503
    retry_after_s = 1.0


class NoTargetInRegionError(CopperloomError):
    """The service has no target in the regions where the request may run."""

    code = 3015
    status = 503
    retry_after_s = 1.0


class MemoryFullError(CopperloomError):
    """The instance has no memory left for the request."""

    code = 3016
    status = 503


class TargetUnreachableError(CopperloomError):
    """The target accepted no connection, so nothing was sent.

    Attributes:
        is_silent: Whether there was no reply until a timeout.
    """

    code = 4001
    status = 502
    retry_after_s = 0.5
    is_silent = False

    def __init__(self, message: str = "", *, is_silent: bool = False, **facts):
        super().__init__(message, **facts)
        self.is_silent = is_silent


class TargetRefusedError(CopperloomError):
    """The target refused the request and reports that it did not run."""

    code = 4002
    status = 503
    retry_after_s = 0.5


class TargetFailedError(CopperloomError):
    """The target ran the request and failed."""

    code = 4003
    status = 502
    run = Run.RAN_AND_FAILED


class StreamBrokenError(CopperloomError):
    """The response stream broke off and could not be resumed.

    Attributes:
        connection_lost: Whether the target's side ended the connection before
            the answer was complete.
        is_silent: Whether it sent nothing until a timeout.
    """

    code = 4004
    status = 502
    run = Run.MAY_HAVE_RUN
    connection_lost = False
    is_silent = False

    def __init__(
        self,
        message: str = "",
        *,
        connection_lost: bool = False,
        is_silent: bool = False,
        **facts,
    ):
        super().__init__(message, **facts)
        self.connection_lost = connection_lost
        self.is_silent = is_silent


class AnswerTooLongError(StreamBrokenError):
    """The target's answer exceeds a size limit.

    Attributes:
        place: The part of the answer that is too long.
        size: Bytes of it that came or were announced; at the place "lines"
            the number of lines.
        bound: The same that is allowed.
    """

    code = 4005
    place = ""
    size = 0
    bound = 0

    def __init__(
        self,
        message: str = "",
        *,
        place: str = "",
        size: int = 0,
        bound: int = 0,
        **facts,
    ):
        super().__init__(message, **facts)
        self.place = place
        self.size = size
        self.bound = bound


class PlatformDownError(CopperloomError):
    """The platform's service did not respond; nothing took effect."""

    code = 5001
    status = 503
    retry_after_s = 2.0


class PlatformUnknownError(CopperloomError):
    """A write was sent but its confirmation was lost."""

    code = 5002
    status = 503
    run = Run.MAY_HAVE_RUN


class RateLimitedError(CopperloomError):
    """The rate limit of the platform's service is exceeded."""

    code = 5003
    status = 503
    retry_after_s = 1.0


class ChangeLostError(CopperloomError):
    """Another change came first, so this one was not applied."""

    code = 5004
    status = 409


class ChangeUnknownError(CopperloomError):
    """It is unknown whether the change was applied."""

    code = 5005
    status = 503
    run = Run.MAY_HAVE_RUN


class StaleConfigurationError(CopperloomError):
    """This instance cannot confirm that its configuration is in force."""

    code = 5006
    status = 503
    retry_after_s = 1.0


class HistoryGoneError(PlatformDownError):
    """The requested changes are no longer kept; a full read is needed."""

    code = 5007


class PeerUnavailableError(CopperloomError):
    """A peer did not respond."""

    code = 6001
    status = 503
    retry_after_s = 0.5


class OrderRefusedError(CopperloomError):
    """A target refused an order, for example for an old fencing token."""

    code = 6002
    status = 409
