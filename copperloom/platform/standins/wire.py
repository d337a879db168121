"""The platform's names of headers and settings, for fakes and tests.

Defined independently of `copperloom.platform.headers` and `settings`, so that
tests detect a wrong name there.
"""

__all__ = [
    "CHECK_PATHS",
    "COLD",
    "DRAINING",
    "HEALTH_PATH",
    "HELPERS",
    "INSTANCE_ENVIRONMENT",
    "KEY",
    "LEFT",
    "LIMIT",
    "NOT_RUN",
    "ORGANISATION",
    "PARTS",
    "PRIORITY",
    "READ_CALL",
    "REQUEST",
    "RETRY_AFTER",
    "SEAL",
    "TARGET",
    "TOKENS",
    "caller_headers",
    "instance_settings",
]

# Request headers: the request id, the time until the caller's deadline in
# milliseconds, the API key, the token counts of prompt and answer, the parts of
# the prompt, and the headers that the system adds for the target.
REQUEST = "Copperloom-Request-Id"
LEFT = "Copperloom-Request-Deadline"
KEY = "Copperloom-Key"
TOKENS = "Copperloom-Token-Counts"
PARTS = "Copperloom-Prompt-Prefix"
ORGANISATION = "Copperloom-Tenant"
TARGET = "Copperloom-Expect-Instance"
HELPERS = "Copperloom-Helpers"
PRIORITY = "Copperloom-Request-Priority"
# Response headers: the target's signature, and its statement that the request
# was not run.
SEAL = "Copperloom-Response-Seal"
NOT_RUN = "Copperloom-Not-Executed"
# Response header: the requests per second that a target takes from all
# instances together.
LIMIT = "Server-Limit"
# Response header of checks: for how many more milliseconds a target is cold.
COLD = "Copperloom-Cold-Start-Ms"
# Response header of a target that is about to end.
DRAINING = "Server-Leaving"
# Response header of a target that rejects requests: for how many seconds.
RETRY_AFTER = "Retry-After"
# The call that reads rows of a table.
READ_CALL = "rows-get"
# Paths of checks whether a target answers, by the kind of service.
HEALTH_PATH = "/h"
CHECK_PATHS = (HEALTH_PATH, "/copperloom/report")
# The environment variable that holds the path of the settings file.
INSTANCE_ENVIRONMENT = "COPPERLOOM_SETTINGS"

_MS = 1000.0
_ANSWER_TOKENS = 200


def caller_headers(
    host: str, request: str, key: str, wait_s: float, prompt_tokens: int = 0
) -> dict[str, str]:
    """Returns a caller's headers; plain requests carry no token counts."""
    headers = {
        "Host": host,
        REQUEST: request,
        LEFT: str(int(wait_s * _MS)),
        KEY: key,
    }
    if prompt_tokens:
        headers[TOKENS] = f"{prompt_tokens},{_ANSWER_TOKENS}"
    return headers


def instance_settings(
    name: str, ip: str, ports: tuple[int, int, int], store: str, **changes
) -> dict:
    """Returns the settings document of an instance.

    Args:
        name: Name of the instance.
        ip: IP address of the instance.
        ports: Ports for callers, readiness checks and peers.
        store: IP:port of the table service.
        **changes: Fields of the document that replace the defaults.
    """
    callers, readiness, peers = (f"{ip}:{port}" for port in ports)
    document = {
        "node_name": name,
        "ip": ip,
        "zone": "a",
        "listen": {"front": callers, "readiness": readiness, "control": peers},
        "internal_ports": [17_600, 17_610],
        "seeds": [],
        "bounds": {},
        "platform": {"address": store},
    }
    return document | changes
