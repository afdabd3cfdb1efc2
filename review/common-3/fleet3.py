"""A small fleet of the project's own programs on loopback addresses.

Gateways and keepers are started with the commands of deploy/system.toml and
with settings from its templates. The platform's list of runners, the runners
and the clients are stand-ins in this process; they follow PROTOCOL.md.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# The bounds of the small site bancas-quito.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000,
    "acknowledge_ms": 4000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
    "loss_slack_ms": 200, "configuration_ms": 2000,
    "downgrade_slack_ms": 250, "outer_bound_ms": 5000,
    "strict_revocation": True, "revocation_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10,
    "budget_extra_tries": 58, "cold_overshoot": 1.5, "cold_slack": 5,
    "evacuation_ms": 5000, "recovery_s": 12, "event_latency_ms": 120,
    "reuse_window_s": 10, "load_imbalance_factor": 2,
}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def value_at(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            value = None
    return value


def fill(template, fields):
    """Fills in the placeholders that the project's templates use."""
    def replace(match):
        name, as_json = match.group(1), match.group(2)
        value = value_at(fields, name)
        if as_json:
            return json.dumps(value)
        return "" if value is None else str(value)
    return re.sub(r"\{\{([a-z_.0-9]+)(\|json)?\}\}", replace, template)


def read_roles(path):
    """The texts of each role's table in the deploy file."""
    roles = {}
    role = None
    with open(path, encoding="utf-8") as file:
        for line in file:
            table = re.match(r"\[roles\.([a-z-]+)\]", line)
            text = re.match(r'([a-z]+) = "(.*)"$', line.rstrip())
            if table:
                role = roles.setdefault(table.group(1), {})
            elif text and role is not None:
                role[text.group(1)] = text.group(2)
    return roles


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Fleet:
    def __init__(self, record, keepers=3, gateways=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.net = None
        self.pick_network()
        self.roles = read_roles(os.path.join(ROOT, "deploy/system.toml"))
        self.keepers = [f"{self.net}.1.{i + 1}" for i in range(keepers)]
        self.gateways = [f"{self.net}.2.{i + 1}" for i in range(gateways)]
        self.list_ip = f"{self.net}.4.1"
        self.entries = []
        self.raw_entries = []
        self.processes = {}
        self.servers = []

    def pick_network(self):
        base = 10 + os.getpid() % 200
        for step in range(200):
            net = f"127.{10 + (base + step) % 200}"
            ports = []
            sockets = []
            try:
                for _ in range(6):
                    one = socket.socket()
                    one.bind((f"{net}.2.1", 0))
                    sockets.append(one)
                    ports.append(one.getsockname()[1])
            except OSError:
                continue
            finally:
                for one in sockets:
                    one.close()
            self.net = net
            (self.front_port, self.ready_port, self.control_port,
             self.list_port, peer, _) = ports
            self.peer_ports = [peer, peer + 1 if peer < 65000 else peer - 1]
            return
        raise CannotRun("no free loopback ports")

    def fields(self, ip, kind, zone, bootstrap):
        fields = {
            "node_name": f"{kind}-{ip.rsplit('.', 1)[1]}",
            "ip_address": ip, "zone": zone, "region": "r",
            "internal_ports": self.peer_ports,
            "seeds": [f"{k}:{self.control_port}" for k in self.keepers[:3]],
            "bootstrap": bootstrap, "bounds": BOUNDS,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "cloud": {"address": f"{self.list_ip}:{self.list_port}",
                      "rate_per_s": 47.0, "max_lag_ms": 800},
        }
        if kind == "gateway":
            fields["listen"] = {"front": f"{ip}:{self.front_port}",
                                "ready": f"{ip}:{self.ready_port}"}
        else:
            fields["listen"] = {"control": f"{ip}:{self.control_port}"}
            fields["data_directory"] = os.path.join(self.folder, "disk-" + ip)
        return fields

    def start(self, kind, ip, bootstrap=False):
        role = self.roles[kind]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill(file.read(), self.fields(ip, kind, "z1", bootstrap))
        settings = os.path.join(self.folder, f"{kind}-{ip}.json")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = role["run"].split()
        words = [settings if w.startswith("/etc/") else w for w in words]
        words[0] = os.path.join(ROOT, words[0])
        if not os.access(words[0], os.X_OK):
            raise CannotRun(f"{words[0]} is not built")
        if kind == "keeper":
            os.makedirs(os.path.join(self.folder, "disk-" + ip), exist_ok=True)
        log = open(os.path.join(self.folder, f"{kind}-{ip}.log"), "ab")
        self.processes[ip] = subprocess.Popen(
            words, cwd=ROOT, stdout=log, stderr=log, start_new_session=True)
        log.close()
        self.record.line(f"start {kind} {ip}")

    def signal(self, ip, which):
        self.record.line(f"{signal.Signals(which).name} to {ip}")
        self.processes[ip].send_signal(which)

    async def start_all(self):
        self.servers.append(await asyncio.start_server(
            self.serve_list, self.list_ip, self.list_port))
        for ip in self.keepers:
            self.start("keeper", ip, bootstrap=True)
        for ip in self.gateways:
            self.start("gateway", ip)

    async def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes.values():
            process.wait()
        for server in self.servers:
            server.close()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    # The platform's list.

    async def serve_list(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not head:
                    break
                parts = [json.dumps(e).encode() for e in self.entries]
                parts += self.raw_entries
                body = b'{"instances":[' + b",".join(parts) + b'],"next":null}'
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def entry(self, runner):
        return {"id": runner.id, "service": runner.service,
                "address": f"{runner.ip}:{runner.port}", "zone": runner.zone,
                "version": runner.version, "slots": runner.slots,
                "state": "ready", "cold_remaining_ms": 0, "stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}]}

    # The operator.

    async def order(self, method, path, body=None, limit=20):
        end = time.monotonic() + limit
        data = json.dumps(body).encode() if body is not None else b""
        while time.monotonic() < end:
            for ip in self.keepers:
                try:
                    status, answer = await asyncio.wait_for(
                        call(ip, self.control_port, method, path, data), 1.5)
                except (OSError, asyncio.TimeoutError, EOFError,
                        asyncio.IncompleteReadError):
                    continue
                if 200 <= status < 300:
                    self.record.line(f"operator {method} {path} -> {status}")
                    return answer
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"{method} {path} -> {status} {answer[:300]}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"no answer to {method} {path}")

    async def ready(self, limit=20):
        end = time.monotonic() + limit
        for ip in self.gateways:
            while True:
                try:
                    status, _ = await asyncio.wait_for(
                        call(ip, self.ready_port, "GET", "/readyz", b""), 1)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, EOFError,
                        asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > end:
                    raise CannotRun(f"{ip} is not ready")
                await asyncio.sleep(0.05)
        self.record.line("all gateways are ready")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        data = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if size == 0:
                return data
            data += part[:-2]
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return b""


async def call(ip, port, method, path, data):
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {ip}\r\n"
                     "Content-Type: application/json\r\nConnection: close\r\n"
                     f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        line, fields = await read_head(reader)
        body = await read_body(reader, fields)
        return int(line.split()[1]), body
    finally:
        writer.close()


class Runner:
    """A model runner or a plain service, as PROTOCOL.md describes it."""

    def __init__(self, fleet, number, service, version="v1", slots=64,
                 pieces=40, gap_s=0.1, work_s=0.02, zone="z1", id=None):
        self.fleet = fleet
        self.ip = f"{fleet.net}.3.{number}"
        self.port = 8080
        self.id = id or f"i-{number:04x}"
        self.service = service
        self.version = version
        self.slots = slots
        self.pieces = pieces
        self.gap_s = gap_s
        self.work_s = work_s
        self.zone = zone
        self.silent_until = 0.0
        # It says in all its answers that it leaves.
        self.leaving = False
        # Bytes that come in place of an answer's body, again and again.
        self.endless = None
        self.runs = []
        self.running = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.fleet.servers.append(self.server)

    def stop(self):
        """The process ends: its port closes and its channels are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def silence(self):
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(0.005)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                await read_body(reader, fields)
                await self.answer(reader, writer, line, fields)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, reader, writer, line, fields):
        method, path, _ = line.split(" ")
        attempt = fields.get("vanillaferry-attempt-id", "")
        if path == "/health":
            status = "503 Service Unavailable" if self.leaving else "200 OK"
            writer.write((f"HTTP/1.1 {status}\r\nVanillaferry-Instance-Id: "
                          f"{self.id}\r\nContent-Length: 0\r\n\r\n").encode())
            return
        head = f"Vanillaferry-Attempt-Id: {attempt}\r\n"
        if self.leaving:
            head += "Server-Leaving: 1\r\n"
        if fields.get("vanillaferry-expected-instance", self.id) != self.id:
            self.fleet.record.line(f"runner {self.id} refuses {attempt} 421")
            writer.write(("HTTP/1.1 421 Misdirected Request\r\n" + head +
                          "Vanillaferry-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            return
        if self.running >= self.slots:
            self.fleet.record.line(f"runner {self.id} refuses {attempt} 503")
            writer.write(("HTTP/1.1 503 Service Unavailable\r\n" + head +
                          "Vanillaferry-Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            return
        last = int(fields.get("last-event-id", "0") or 0)
        self.runs.append((attempt, last, time.monotonic(), dict(fields)))
        self.fleet.record.line(f"runner {self.id} ({self.version}) runs {attempt}"
                               f" {method} {path} after event {last}")
        self.running += 1
        load = f"Vanillaferry-Server-Load: {self.running},0,{self.slots}\r\n"
        head += load + "Vanillaferry-Response-Signature: 3e1b.07.5a2.600.0.c9f2\r\n"
        try:
            if path.startswith(("/report/", "/ask/", "/label/")):
                await self.stream(reader, writer, head, attempt, last)
            else:
                await asyncio.sleep(self.work_s)
                await self.silence()
                if self.endless:
                    await self.never_end(writer, head)
                body = json.dumps({"attempt": attempt}).encode()
                writer.write(("HTTP/1.1 200 OK\r\n" + head +
                              "Content-Type: application/json\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                await writer.drain()
        finally:
            self.running -= 1

    async def never_end(self, writer, head):
        """Bytes that are no answer, until the caller closes."""
        writer.write(("HTTP/1.1 200 OK\r\n" + head +
                      "Content-Type: application/json\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        while True:
            writer.write(self.endless)
            await writer.drain()

    async def stream(self, reader, writer, head, attempt, last):
        await asyncio.sleep(self.work_s)
        await self.silence()
        if self.endless:
            await self.never_end(writer, head.replace(
                "Vanillaferry-Resp", "Content-Type: text/event-stream\r\nVanillaferry-Resp"))
        writer.write(("HTTP/1.1 200 OK\r\n" + head +
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(last + 1, self.pieces + 1):
            await self.silence()
            if reader.at_eof() or writer.is_closing():
                self.fleet.record.line(f"runner {self.id} drops {attempt}:"
                                       f" its channel closed, {number - 1} events made")
                raise ConnectionError
            event = f"id: {number}\ndata: {self.version} {attempt}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.fleet.record.line(f"runner {self.id} completes {attempt}")


class Answer:
    def __init__(self):
        self.status = 0
        self.fields = {}
        self.events = []
        self.body = b""
        self.complete = False
        self.error = ""


_serial = [0]


def attempt_id():
    _serial[0] += 1
    return f"{os.getpid():08x}{_serial[0]:08x}"


async def request(fleet, gateway, method, path, key, deadline_ms, attempt,
                  extra="", body=b"", on_event=None, parts="", connection=None):
    """Sends one client attempt to a gateway and reads its answer."""
    answer = Answer()
    fleet.record.line(f"client sends {attempt} {method} {path} to {gateway}"
                      f" {extra.strip().replace(chr(13) + chr(10), ', ')}")
    try:
        if connection is None:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(gateway, fleet.front_port), 1)
        else:
            reader, writer = connection
    except (OSError, asyncio.TimeoutError) as fault:
        answer.error = f"connect: {fault!r}"
        fleet.record.line(f"client {attempt}: {answer.error}")
        return answer
    try:
        head = (f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n"
                f"Vanillaferry-Attempt-Id: {attempt}\r\n"
                f"Vanillaferry-Deadline-Milliseconds: {deadline_ms}\r\n"
                f"X-Api-Key: {key}\r\n")
        if parts:
            head += ("Vanillaferry-Model: m\r\nVanillaferry-Token-Counts: 600,80\r\n"
                     f"Vanillaferry-Prompt-Prefix: {parts}\r\n")
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write((head + extra + "\r\n").encode() + body)
        line, answer.fields = await asyncio.wait_for(
            read_head(reader), deadline_ms / 1000)
        answer.status = int(line.split()[1])
        if answer.fields.get("content-type", "").startswith("text/event-stream") \
                and answer.status == 200:
            await asyncio.wait_for(read_events(reader, answer, on_event),
                                   deadline_ms / 1000)
        else:
            answer.body = await read_body(reader, answer.fields)
            answer.complete = True
    except (OSError, EOFError, asyncio.IncompleteReadError,
            asyncio.TimeoutError, ValueError) as fault:
        answer.error = type(fault).__name__
    finally:
        if connection is None:
            writer.close()
    last = answer.events[-1][0] if answer.events else 0
    retry = answer.fields.get("retry-after", "")
    reason = answer.body[:120].decode("latin-1") if answer.status >= 300 else ""
    fleet.record.line(
        f"client {attempt}: status {answer.status}"
        f"{' Retry-After ' + retry if retry else ''}, {len(answer.events)} events,"
        f" last {last}, {'complete' if answer.complete else 'cut off ' + answer.error}"
        f" {reason}")
    return answer


async def read_events(reader, answer, on_event):
    rest = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if size == 0:
            answer.complete = not rest
            return
        rest += part[:-2]
        while b"\n\n" in rest:
            event, rest = rest.split(b"\n\n", 1)
            lines = dict(l.split(": ", 1) for l in event.decode().split("\n"))
            answer.events.append((int(lines["id"]), lines["data"]))
            if on_event:
                on_event(answer)


def route(name, prefix, kind, service, timeout, objective, attempts,
          resumable=False, gap=200):
    return {"name": name, "host": "desk.example", "path_prefix": prefix,
            "kind": kind, "timeout_ms": timeout,
            "target_latency_ms": objective, "priority": 1, "service": service,
            "attempts": attempts, "public": False,
            "session_affinity": kind == "streaming",
            "stream_resumption": resumable, "target_gap_ms": gap}


def manifest(version, keys=("key-1",)):
    """The routes of the small site bancas-quito: quote-draft (here /report/),
    dealer-ask, cutlist-check (here /label/), timber-order and order-status."""
    return {
        "version": version,
        "routes": [
            route("report", "/report/", "streaming", "llm", 15000, 1000, 2, True),
            route("ask", "/ask/", "streaming", "llm", 12000, 300, 1),
            route("label", "/label/", "streaming", "llm", 3000, 400, 2, True),
            route("order", "/order/", "non_idempotent", "desk", 4000, 300, 1),
            route("lookup", "/lookup/", "idempotent", "desk", 4000, 300, 2)],
        "services": [
            {"name": "llm", "health_check_path": "/health",
             "max_connections": 370, "protocol": "h1", "tls": False,
             "cold_start_s": 3.0, "cold_per_s": 13.0,
             "engine": {"slots": 64, "kv_capacity_tokens": 451097,
                        "kv_token_bytes": 163840, "link_mbps": 550000.0,
                        "moves": True, "backups": True, "stride": 5, "most": 2,
                        "pin_ms": 4000.0, "hold_ms": 2000.0,
                        "handle_ttl_s": 5.0, "models": [{"name": "m"}]}},
            {"name": "desk", "health_check_path": "/health",
             "max_connections": 110, "protocol": "h1", "tls": False,
             "cold_start_s": 0.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "shop", "api_keys": list(keys), "priority": 1}]}


def main(scenario, folder):
    """Runs a scenario; exits 1 if it returns a broken rule, 0 if None."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        fleet = None
        try:
            return await asyncio.wait_for(scenario(record, trouble), 110)
        finally:
            for each in list(_fleets):
                await each.stop()
            del fleet

    try:
        broken = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as fault:
        record.line(f"could not run: {fault!r}")
        print(f"could not run: {fault!r}")
        sys.exit(2)
    record.line(f"RESULT {'broken: ' + broken if broken else 'held'}")
    print("broken: " + broken if broken else "held")
    sys.exit(1 if broken else 0)


_fleets = []


def make_fleet(record, **options):
    fleet = Fleet(record, **options)
    _fleets.append(fleet)
    return fleet
