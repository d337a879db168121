"""Groups of engines for prompts that are larger than one engine's memory."""

from collections.abc import Callable

from copperloom.decisions import load

__all__ = ["GROUP_MOST", "choose", "split"]

# Each part is a reservation and a KV transfer that must all succeed; eight
# engines hold the longest prompt of today three times over.
GROUP_MOST = 8
# Smaller parts cost a transfer and save little.
LEAST_PART_TOKENS = 16_000


def choose(
    targets: list[load.TargetLoad],
    need: int,
    free: Callable[[load.TargetLoad], int],
) -> list[tuple[load.TargetLoad, int]]:
    """Chooses engines and the tokens of each part.

    The engines with the most free memory are taken, so that the parts are
    few. They come back in the order that all entries share: two entries that
    reserve the same engines then meet at the first one, and one of them gets
    all; in different orders each would take a part and both fail.

    Args:
        targets: Engines that may take part.
        need: KV tokens of prompt and answer.
        free: Gives the free KV tokens of an engine.

    Returns:
        Engines with their tokens, or nothing if the memory is not free now.
    """
    usable = [(free(t), t.rank, t) for t in targets]
    usable = [u for u in usable if u[0] >= LEAST_PART_TOKENS]
    usable.sort(key=lambda u: (-u[0], u[1]))
    taken = []
    total = 0
    for room, order, tgt in usable[:GROUP_MOST]:
        taken.append((order, room, tgt))
        total += room
        if total >= need:
            break
    if total < need:
        return []
    taken.sort(key=lambda t: t[0])
    parts = split([room for _, room, _ in taken], need)
    return [(t[2], part) for t, part in zip(taken, parts, strict=True)]


def split(rooms: list[int], need: int) -> list[int]:
    """Splits a need over rooms as evenly as they allow.

    Even parts are prefilled in the shortest time, since the parts run side by
    side.

    Raises:
        ValueError: The rooms are too small together.
    """
    if sum(rooms) < need:
        raise ValueError(f"{need} tokens do not fit")
    parts = [0] * len(rooms)
    left = need
    by_size = sorted(range(len(rooms)), key=lambda i: rooms[i])
    for done, index in enumerate(by_size):
        others = len(rooms) - done
        parts[index] = min(rooms[index], -(-left // others))
        left -= parts[index]
    return parts
