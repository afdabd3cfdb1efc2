"""Streams whose gateway was killed are taken up again at the other gateways."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))

import fleet3  # noqa: E402

STREAMS = 16
KEY = "key-1"
TIME_LIMIT_MS = 15000
# Traffic of the small sites starts 10 s after the machines.
TRAFFIC_AFTER_S = 10.0


async def take_part(fleet, number, gateways, state):
    """One client: begins a stream; takes it up again where it was cut off."""
    began = time.monotonic()
    first = fleet3.attempt_id()
    parts = f"5c1e07a2:800,{number:08x}:410"
    answer = await fleet3.request(
        fleet, gateways[0], "POST", "/report/q", KEY, TIME_LIMIT_MS, first,
        body=b"draft", parts=parts,
        on_event=lambda a: state["begun"].add(first))
    if answer.complete or not answer.events:
        return
    state["cut"].add(first)
    last = answer.events[-1][0]
    # A client retries a few times within its time limit and waits as told, up
    # to a third of the time that it has left.
    for step in range(3):
        left = began + TIME_LIMIT_MS / 1000 - time.monotonic()
        if left < 0.5:
            return
        again = await fleet3.request(
            fleet, gateways[1 + (number + step) % (len(gateways) - 1)], "POST",
            "/report/q", KEY, int(left * 1000), fleet3.attempt_id(),
            extra=f"Last-Event-Id: {last}\r\nResumes: {first}\r\n",
            body=b"draft", parts=parts)
        if again.events:
            state["gone_on"].add(first)
            return
        wait = float(again.fields.get("retry-after", "0.1"))
        await asyncio.sleep(min(wait, left / 3))


async def new_streams(fleet, gateways, state):
    """Others begin new streams at the gateways that live on."""
    async def one(number):
        answer = await fleet3.request(
            fleet, gateways[1 + number % (len(gateways) - 1)], "POST",
            "/report/q", KEY, TIME_LIMIT_MS, fleet3.attempt_id(), body=b"draft",
            parts=f"5c1e07a2:800,{number + 500:08x}:410")
        state["new"] += 1
        state["new_begun"] += 1 if answer.events else 0
    await asyncio.gather(*(one(number) for number in range(STREAMS)))


async def scenario(record, trouble):
    fleet = fleet3.make_fleet(record, keepers=3, gateways=4)
    runners = [fleet3.Runner(fleet, n + 1, "llm", pieces=40, gap_s=0.1)
               for n in range(3)]
    for runner in runners:
        await runner.start()
        fleet.entries.append(fleet.entry(runner))
    began = time.monotonic()
    await fleet.start_all()
    await fleet.order("PUT", "/manifest", fleet3.manifest(1))
    await fleet.ready()
    await asyncio.sleep(max(0.0, began + TRAFFIC_AFTER_S - time.monotonic()))
    state = {"begun": set(), "cut": set(), "gone_on": set(),
             "new": 0, "new_begun": 0}
    clients = [asyncio.create_task(take_part(fleet, n, fleet.gateways, state))
               for n in range(STREAMS)]
    await asyncio.sleep(1.5)
    if len(state["begun"]) < STREAMS:
        raise fleet3.CannotRun(f"only {len(state['begun'])} streams began")
    if trouble:
        fleet.signal(fleet.gateways[0], signal.SIGKILL)
    await asyncio.sleep(0.2)
    await new_streams(fleet, fleet.gateways, state)
    await asyncio.gather(*clients)
    cut, gone_on = len(state["cut"]), len(state["gone_on"])
    record.line(f"{cut} streams were taken up again, {gone_on} went on;"
                f" {state['new']} new ones were sent, {state['new_begun']} began")
    if cut < 12:
        if trouble:
            raise fleet3.CannotRun("fewer than 12 streams were cut")
        return None
    if gone_on / cut < 0.5 * state["new_begun"] / state["new"]:
        return (f"LOST: {gone_on} of {cut} streams that were taken up again went"
                f" on, while {state['new_begun']} of {state['new']} new ones began")
    return None


fleet3.main(scenario, HERE)
