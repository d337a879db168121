"""Groups of engines for prompts that exceed one engine's memory."""

from collections.abc import Callable

from copperloom.decisions import load

__all__ = ["MAX_GROUP_SIZE", "choose", "split"]

# Each part is a reservation and a KV transfer that must all succeed, so the
# probability of failure grows with the size of a group. Eight engines hold the
# longest prompts about three times over.
MAX_GROUP_SIZE = 8
# Smaller parts do not repay the cost of a KV transfer.
MIN_PART_TOKENS = 16_000


def choose(
    targets: list[load.TargetLoad],
    need: int,
    free: Callable[[load.TargetLoad], int],
) -> list[tuple[load.TargetLoad, int]]:
    """Chooses engines and the KV tokens to take at each.

    The engines with the most free memory are chosen, so that there are few
    parts. They are returned in rank order: two instances that reserve the same
    engines then conflict at the first one, and one of them gets all. In
    different orders each could get some and both would fail.

    Args:
        targets: Candidate engines.
        need: KV tokens of prompt and answer.
        free: Returns the free KV tokens of an engine.

    Returns:
        Engines with their tokens; empty if there is not enough free memory.
    """
    usable = [(free(t), t.rank, t) for t in targets]
    usable = [u for u in usable if u[0] >= MIN_PART_TOKENS]
    usable.sort(key=lambda u: (-u[0], u[1]))
    taken = []
    total = 0
    for free_tokens, rank, tgt in usable[:MAX_GROUP_SIZE]:
        taken.append((rank, free_tokens, tgt))
        total += free_tokens
        if total >= need:
            break
    if total < need:
        return []
    taken.sort(key=lambda t: t[0])
    parts = split([free_tokens for _, free_tokens, _ in taken], need)
    return [(t[2], part) for t, part in zip(taken, parts, strict=True)]


def split(capacities: list[int], need: int) -> list[int]:
    """Splits tokens over engines as evenly as their capacities allow.

    The parts are prefilled in parallel, so even parts take the shortest time.

    Args:
        capacities: Free KV tokens of each engine.
        need: Tokens to split.

    Raises:
        ValueError: The total capacity is too small.
    """
    if sum(capacities) < need:
        raise ValueError(f"{need} tokens exceed the total capacity")
    parts = [0] * len(capacities)
    remaining = need
    by_size = sorted(range(len(capacities)), key=lambda i: capacities[i])
    for filled, index in enumerate(by_size):
        unfilled = len(capacities) - filled
        parts[index] = min(capacities[index], -(-remaining // unfilled))
        remaining -= parts[index]
    return parts
