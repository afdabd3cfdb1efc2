"""A gateway that shuts down ends streams whose sound runner pauses."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))

import fleet3  # noqa: E402

STREAMS = 24
KEY = "key-1"
TIME_LIMIT_MS = 3000
# "A sound runner may fall silent for a second or so and go on."
SILENCE_S = 1.3


async def scenario(record, trouble):
    fleet = fleet3.make_fleet(record, keepers=3, gateways=3)
    # Two software versions serve side by side, the newer one at one runner.
    runners = [fleet3.Runner(fleet, n + 1, "llm", pieces=10, gap_s=0.08,
                             version="v2" if n == 3 else "v1")
               for n in range(4)]
    for each in runners:
        await each.start()
        fleet.entries.append(fleet.entry(each))
    newer = runners[3]
    await fleet.start_all()
    await fleet.order("PUT", "/manifest", fleet3.manifest(1))
    await fleet.ready()
    # All machines are in touch, and nothing was started for contact_ms.
    await asyncio.sleep(4)
    answers = [asyncio.create_task(fleet3.request(
        fleet, fleet.gateways[0], "POST", "/label/q", KEY, TIME_LIMIT_MS,
        fleet3.attempt_id(), body=b"draft",
        parts=f"{n:08x}:800,{n:08x}:410")) for n in range(STREAMS)]
    await asyncio.sleep(0.1)
    if os.environ.get("SIGTERM", "1") != "0":
        fleet.signal(fleet.gateways[0], signal.SIGTERM)
    stopped = time.monotonic()
    await asyncio.sleep(0.2)
    if trouble:
        newer.silent_until = time.monotonic() + SILENCE_S
        record.line(f"runner {newer.id} ({newer.version}) falls silent"
                    f" for {SILENCE_S} s")
    done = await asyncio.gather(*answers)
    whole = sum(1 for a in done if a.complete and a.status == 200)
    ended = time.monotonic() - stopped
    record.line(f"{len(newer.runs)} streams ran at {newer.id};"
                f" {whole} of {STREAMS} were whole; the last ended"
                f" {ended:.1f} s after SIGTERM")
    if any(not a.events for a in done) or not newer.runs:
        raise fleet3.CannotRun("a stream did not begin, or none at the runner")
    if whole < STREAMS:
        return (f"LOST: {STREAMS - whole} of {STREAMS} streams that the gateway had"
                " passed on ended without a complete answer after its SIGTERM")
    return None


fleet3.main(scenario, HERE)
