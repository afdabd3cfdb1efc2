"""Machines are frozen while a key is taken away, and wake after a further change."""
import asyncio
import random
import signal

from fleet2 import (Fleet, Runner, client_request, new_id, route_entry, run_case,
                    service_entry)

GATEWAYS, FROZEN = 7, 6
FROZEN_BEFORE_S = 3.4    # until the key is taken away
ROUTES_A_CHANGE = 350    # big_config
REVOCATION_S = 5.0       # revocation_ms
CLIENTS = 5              # with the key, at each of the frozen machines
ROUNDS = 3


def word(count):
    return "".join(random.choice("abcdefghijklmnopqrstuvwxyz0123456789") for _ in range(count))


def more_routes():
    return [route_entry("r-" + word(7), "/%s/" % word(7), "desk", "idempotent",
                        host=word(6) + ".example") for _ in range(ROUTES_A_CHANGE)]


async def main(trouble):
    fleet = Fleet("6", keepers=3, gateways=GATEWAYS, record="record.txt")
    tasks = []
    try:
        tasks.append(asyncio.ensure_future(fleet.watch()))
        await fleet.start_list()
        for number in range(1, 4):
            runner = Runner(fleet, "desk", number)
            fleet.runners.append(runner)
            await runner.start()
        for each in fleet.processes:
            each.start()
        routes = [route_entry("lookups", "/lookups/", "desk", "idempotent")]
        services = [service_entry("desk")]
        version = [0]

        async def change(keys):
            version[0] += 1
            status, _ = await fleet.order("PUT", "/manifest", fleet.manifest(
                version[0], routes, services, keys=keys))
            fleet.note("version %d with keys %s is acknowledged: %d"
                       % (version[0], ",".join(keys), status))
            return status == 200

        if not await change(["k1", "key-0"]):
            return 2
        for gateway in fleet.gateways:
            if not await fleet.wait_ready(gateway):
                return 2
        await asyncio.sleep(5)
        late, before = [], []

        async def client(gateway, key, until, sent):
            while fleet.now() < until:
                attempt, began = new_id(), fleet.now()
                sent.append((began, attempt))
                await client_request((gateway.fields["ip_address"], fleet.port),
                                     "/lookups/1", method="GET", key=key, limit_ms=3000,
                                     attempt=attempt)

        for number in range(ROUNDS):
            key = "key-%d" % number
            frozen = random.sample(fleet.gateways, FROZEN)
            sent = []
            await asyncio.gather(*[client(g, key, fleet.now() + 0.5, sent) for g in frozen])
            before += sent
            if trouble:
                for gateway in frozen:
                    gateway.signal(signal.SIGSTOP)
                fleet.note("%s are frozen" % ", ".join(g.name for g in frozen))
            await asyncio.sleep(FROZEN_BEFORE_S)
            routes.extend(more_routes())
            if not await change(["k1", "key-%d" % (number + 1)]):
                return 2
            acknowledged = fleet.now()
            fleet.note("%s is taken away" % key)
            await asyncio.sleep(REVOCATION_S + 0.2)
            routes.extend(more_routes())
            if not await change(["k1", "key-%d" % (number + 1)]):
                return 2
            if trouble:
                for gateway in frozen:
                    gateway.signal(signal.SIGCONT)
                fleet.note("they wake")
            sent = []
            until = fleet.now() + 2.0
            await asyncio.gather(*[client(g, key, until, sent)
                                   for g in frozen for _ in range(CLIENTS)])
            late += [row for row in sent if row[0] > acknowledged + REVOCATION_S]
            await asyncio.sleep(5)
        runs = {attempt: at for r in fleet.runners for at, attempt, _ in r.runs}
        ran = [row for row in late if row[1] in runs]
        for began, attempt in ran:
            fleet.note("request %s with a key taken away, sent at %.3f, ran at %.3f"
                       % (attempt, began, runs[attempt]))
        text = ("requests with the key before: %d, run: %d; sent over %.0f s after the ack "
                "that took it away: %d, run: %d"
                % (len(before), sum(1 for row in before if row[1] in runs), REVOCATION_S,
                   len(late), len(ran)))
        fleet.note(text)
        print(text)
        if not any(row[1] in runs for row in before) or not late:
            return 2
        return 1 if ran else 0
    finally:
        for task in tasks:
            task.cancel()
        for gateway in fleet.gateways:
            gateway.signal(signal.SIGCONT)
        fleet.stop()


run_case(main)
