"""Apportionment of slots to zones and instances by the largest remainder method."""

from collections.abc import Sequence

from gypsumwind.core.table import Instance


def largest_remainder(total: int, weights: Sequence[int]) -> list[int]:
    """Split `total` into integers in proportion to `weights`; they sum to `total` exactly.

    Ties go to the earlier position. Without a positive weight every part is 0.
    Formula: Hamilton's method of apportionment.
    """
    weight_sum = sum(weights)
    if weight_sum <= 0 or total <= 0:
        return [0] * len(weights)
    parts = [total * weight // weight_sum for weight in weights]
    remainders = [total * weight % weight_sum for weight in weights]
    order = sorted(range(len(weights)), key=lambda i: (-remainders[i], i))
    for i in order[: total - sum(parts)]:
        parts[i] += 1
    return parts


def instance_shares(total: int, instances: Sequence[Instance]) -> dict[str, int]:
    """Split `total` slots over the zones and then over the instances of one region.

    The split depends only on the declared instances, so every VM at one version of the
    table computes the same shares. A share never exceeds the slots of its instance.
    """
    ordered = sorted(instances, key=lambda inst: (inst.zone, inst.name))
    total = min(total, sum(inst.slots for inst in ordered))
    zones = sorted({inst.zone for inst in ordered})
    zone_slots = [sum(i.slots for i in ordered if i.zone == zone) for zone in zones]
    shares: dict[str, int] = {}
    for zone, part in zip(zones, largest_remainder(total, zone_slots), strict=True):
        members = [inst for inst in ordered if inst.zone == zone]
        parts = largest_remainder(part, [inst.slots for inst in members])
        shares.update(zip((inst.name for inst in members), parts, strict=True))
    return shares
