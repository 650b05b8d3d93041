"""A zone is evacuated again after a drill in which the store came back from a copy."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import BOUNDS, Deployment, config, rule, run, send

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONE = "rec-a"
PER_S = 40
FIRST_EVACUATION_S = 4.0
COPY_AGE_S = 6.0
AWAY_S = 0.5
CALM_S = 15.0
SECOND_EVACUATION_S = 20.0


async def main(record):
    """Evacuate a zone twice, with a drill in between; count what reaches it the second time."""
    async with Deployment(record) as dep:
        rules = [rule("look", "safe", "/look/", "lookup", 2.0)]
        await dep.store.put("config", "main", config(rules, ["lookup"]))
        for n in range(6):
            await dep.add_instance(f"i-{n}", "lookup", ["rec-a", "for-a"][n % 2], work_s=0.05)
        await dep.start_vms()
        await asyncio.sleep(4.0)
        replies, sending = {}, True

        async def one(number):
            request = f"{number:016x}"
            vm = dep.vms[number % len(dep.vms)]
            record.write(f"sent {request} to {vm.name}")
            reply = await send(*vm.front, "GET", f"/look/{number}/", request, 4.0, deadline_ms=3000)
            replies[request] = reply
            record.write(f"answered {request}: {reply.status} {reply.error or 'whole'}")

        async def traffic():
            tasks = []
            while sending:
                tasks.append(asyncio.create_task(one(len(tasks) + 1)))
                await asyncio.sleep(1 / PER_S)
            await asyncio.gather(*tasks)

        async def evacuate(revision_of):
            await dep.store.put("evacuations", ZONE, {})
            revision = dep.store.objects["evacuations", ZONE]["metadata"]["revision"]
            record.write(f"{revision_of} evacuation of {ZONE} acknowledged at revision {revision}")
            return time.monotonic()

        async def take_back():
            await dep.store.remove("evacuations", ZONE)
            record.write(f"evacuation of {ZONE} taken back")

        def in_zone(since, until):
            """Return the requests that reached the zone's instances in an interval."""
            return [
                request
                for inst in dep.instances
                if inst.zone == ZONE
                for request, at in inst.arrivals
                if since <= at < until
            ]

        sender = asyncio.create_task(traffic())
        await asyncio.sleep(2.0)
        copy = dep.store.copy()
        copied_at = time.monotonic()
        first = await evacuate("first")
        await asyncio.sleep(FIRST_EVACUATION_S)
        await take_back()
        taken_back = time.monotonic()
        await asyncio.sleep(COPY_AGE_S - (time.monotonic() - copied_at))
        if TROUBLE:
            record.write(f"drill: the store is away for {AWAY_S} s and returns from a copy")
            await dep.store.restore(copy, AWAY_S)
            record.write("drill: the store is back; no object of the operator's was missing")
        await asyncio.sleep(CALM_S)
        calm = len(in_zone(time.monotonic() - 5.0, time.monotonic()))
        second = await evacuate("second")
        await asyncio.sleep(SECOND_EVACUATION_S)
        await take_back()
        end = time.monotonic()
        sending = False
        await sender
        bound = BOUNDS["evacuateS"]
        early = in_zone(first + bound, taken_back)
        late = in_zone(second + bound, end)
        served = sum(reply.status == 200 for reply in replies.values())
    text = (
        f"{len(replies)} requests, {served} served; {calm} at {ZONE} in the 5 s before the second "
        f"evacuation; {len(late)} reached {ZONE} later than {bound} s after its acknowledgement "
        f"and before it was taken back (first evacuation: {len(early)}); "
        f"{'BROKEN' if late else 'held'}"
    )
    record.write(text)
    print(text)
    if not calm or served < len(replies) / 2:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    run(main, Path(__file__).parent)
