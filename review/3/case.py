"""Instances leave without reporting `draining` while the store cuts off waiting watches."""

import asyncio
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import BOUNDS, Deployment, config, rule, run, send

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PER_S = 90
ROUNDS = 13
ROUND_S = 6.0
AFTER_CUT_S = float(os.environ.get("AFTER_CUT_S", "0.02"))
LONGER_S = 1.5
"""How much longer than drainS a leaving instance goes on serving: a little."""
RTT_S = {"rec-a": 0.008, "for-a": 0.110}
"""Round trip to the store: within its region, and from another region (55 ms one way)."""


async def main(record):
    """Let instances leave one by one, just after watches were cut; count late arrivals."""
    async with Deployment(record, ("rec-a", "for-a", "for-a")) as dep:
        for vm in dep.vms:
            dep.store.rtt_s[vm.ip] = RTT_S[vm.zone]
        rules = [rule("look", "safe", "/look/", "lookup", 2.0)]
        await dep.store.put("config", "main", config(rules, ["lookup"]))
        zones = ["rec-a", "for-a"]
        for n in range(6):
            await dep.add_instance(f"i-{n}", "lookup", zones[n % 2], work_s=0.05)
        await dep.start_vms()
        await asyncio.sleep(4.0)
        replies, sending, leaving = {}, True, []

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

        async def leave(inst):
            await dep.store.remove("servers", inst.name)
            left_at = time.monotonic()
            record.write(f"removal of {inst.name} acknowledged")
            leaving.append((inst, left_at))
            await asyncio.sleep(BOUNDS["drainS"] + LONGER_S)
            inst.stop()
            record.write(f"{inst.name} ended")

        sender = asyncio.create_task(traffic())
        leavers = []
        for n in range(ROUNDS):
            await asyncio.sleep(ROUND_S)
            inst = dep.instances[n]
            name, zone = f"i-{len(dep.instances)}", inst.zone
            await dep.add_instance(name, "lookup", zone, work_s=0.05)
            await asyncio.sleep(1.0)
            if TROUBLE:
                record.write(f"{dep.store.cut_watches()} waiting watches cut off")
                await asyncio.sleep(AFTER_CUT_S)
            leavers.append(asyncio.create_task(leave(inst)))
        await asyncio.gather(*leavers)
        sending = False
        await sender
        bound = BOUNDS["drainS"]
        late = [
            (inst.name, request, round(at - left_at, 3))
            for inst, left_at in leaving
            for request, at in inst.arrivals
            if at > left_at + bound
        ]
        served = sum(reply.status == 200 for reply in replies.values())
    for name, request, after in late:
        record.write(f"{request} reached {name} {after} s after the acknowledgement")
    latest = max([after for *_, after in late], default=0)
    text = (
        f"{len(replies)} requests, {served} served; {len(late)} requests reached "
        f"{len({name for name, *_ in late})} of {len(leaving)} instances later than {bound} s "
        f"after the store acknowledged their removal, at most {latest} s after it; "
        f"{'BROKEN' if late else 'held'}"
    )
    record.write(text)
    print(text)
    if served < len(replies) / 2:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    run(main, Path(__file__).parent)
