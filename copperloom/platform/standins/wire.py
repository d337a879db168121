"""What the platform's pages call things, for stand-ins and tests.

Written apart from `copperloom.platform.headers` and `settings`, so that a
mistake there is not made twice.
"""

__all__ = [
    "HELPERS",
    "INSTANCE_ENVIRONMENT",
    "KEY",
    "LEFT",
    "NOT_RUN",
    "ORGANISATION",
    "REQUEST",
    "SEAL",
    "TARGET",
    "TOKENS",
    "caller_headers",
    "instance_settings",
]

# Headers of requests: its id, the milliseconds that its caller waits, the API
# key, tokens of prompt and answer, and what the system adds for the target.
REQUEST = "Copperloom-Request-Id"
LEFT = "Copperloom-Request-Deadline"
KEY = "Copperloom-Key"
TOKENS = "Copperloom-Token-Counts"
ORGANISATION = "Copperloom-Tenant"
TARGET = "Copperloom-Expect-Instance"
HELPERS = "Copperloom-Helpers"
# Headers of answers: the target's seal, and its word that nothing was run.
SEAL = "Copperloom-Response-Seal"
NOT_RUN = "Copperloom-Not-Executed"
# The variable that names the file of an instance's settings.
INSTANCE_ENVIRONMENT = "COPPERLOOM_SETTINGS"

_MS = 1000.0
_ANSWER_TOKENS = 200


def caller_headers(
    host: str, request: str, key: str, wait_s: float, prompt_tokens: int = 0
) -> dict[str, str]:
    """Returns a caller's headers; no token counts for plain requests."""
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
    """Returns the document of an instance's settings.

    Args:
        name: The instance's name.
        ip: Its address.
        ports: For callers, readiness checks and peers.
        store: IP:port of the table service.
        **changes: Fields of the document set otherwise.
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
