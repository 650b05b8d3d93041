"""Instances whose answer has no length and whose body is bytes without end, a few at a time."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import Deployment, config, rule, run, send

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMEOUT_S = 2.0
SLACK_S = 0.5
DEADLINE_S = 8.0
PER_S = 60
CALM_S, TROUBLE_S, END_S = 5.0, 60.0, 10.0
SHARE_OF_ANSWERS = 0.02
"""As in the largest `garble` of the site file; two of six instances are within its share."""


async def main(record):
    """Send lookups while some answers of two instances never end; count those left unanswered."""
    rng = random.Random(7)
    spoiled = []

    async def endless(inst, request, writer):
        loop_time = asyncio.get_running_loop().time()
        if not (TROUBLE and begin <= loop_time < begin + TROUBLE_S):
            return False
        if rng.random() >= SHARE_OF_ANSWERS:
            return False
        spoiled.append(request)
        record.write(f"spoiled {request} at {inst.name}: bytes without end")
        signature = f"Gypsumwind-Response-Signature: signed.{request}\r\n"
        writer.write(inst.head(200, request, None, signature))
        try:
            while not writer.is_closing():
                writer.write(b"\x00\xff" * 8)
                await writer.drain()
                await asyncio.sleep(0.2)
        except ConnectionError:
            pass
        record.write(f"closed {request}: the caller closed the endless answer")
        return True

    async with Deployment(record) as dep:
        rules = [rule("look", "safe", "/look/", "lookup", TIMEOUT_S)]
        await dep.store.put("config", "main", config(rules, ["lookup"]))
        zones = ["rec-a", "for-a"]
        begin = float("inf")
        for n in range(6):
            behave = endless if n < 2 else None
            name, zone = f"i-{n}", zones[n % 2]
            await dep.add_instance(name, "lookup", zone, work_s=0.25, slots=4, behave=behave)
        await dep.start_vms()
        loop = asyncio.get_running_loop()
        begin = loop.time() + CALM_S
        end = begin + TROUBLE_S + END_S
        replies = {}

        async def one(number):
            request = f"{number:016x}"
            vm = dep.vms[number % len(dep.vms)]
            record.write(f"sent {request} to {vm.name}")
            reply = await send(
                *vm.front,
                "GET",
                f"/look/{number}/",
                request,
                DEADLINE_S,
                deadline_ms=int(DEADLINE_S * 1000),
            )
            replies[request] = reply
            took = reply.ended - reply.began
            record.write(
                f"answered {request}: {reply.status} {reply.error or 'whole'} {took:.3f} s"
            )

        tasks = []
        while loop.time() < end:
            tasks.append(asyncio.create_task(one(len(tasks) + 1)))
            await asyncio.sleep(1 / PER_S)
        await asyncio.gather(*tasks)
        ran = {request for inst in dep.instances for request, *_ in inst.ran}
        long = [r for r, reply in replies.items() if reply.ended - reply.began > TIMEOUT_S]
        late = [
            r
            for r in long
            if replies[r].ended - replies[r].began > TIMEOUT_S + SLACK_S or replies[r].error
        ]
        served = sum(reply.status == 200 and not reply.error for reply in replies.values())
        alive = all(vm.process.poll() is None for vm in dep.vms)
    broken = len(late) >= 8 and len(late) > len(long) / 4
    text = (
        f"{len(replies)} requests, {served} served, {len(ran)} run, {len(spoiled)} spoiled; "
        f"{len(long)} lasted longer than {TIMEOUT_S} s, {len(late)} of them had no final answer "
        f"{SLACK_S} s later; daemons alive: {alive}; {'BROKEN' if broken else 'held'}"
    )
    record.write(text)
    print(text)
    if served < len(replies) / 2:
        return 2 if not broken else 1
    return 1 if broken else 0


if __name__ == "__main__":
    run(main, Path(__file__).parent)
