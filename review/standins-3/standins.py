"""Stand-ins of the users' platform for the scripts of the third review: the store, the promotion
service, database instances and clients, as PROTOCOL.md describes them. Everything runs on loopback
addresses and the real clock, in one asyncio process; the project's own program runs as separate
processes with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
START = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run; written to record.txt of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def add(self, *words):
        line = f"{now():9.3f} " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")

    def say(self, *words):
        self.add(*words)
        print(" ".join(str(word) for word in words), flush=True)

    def close(self):
        self.file.close()


class Item:
    def __init__(self, value, rev, created, lease):
        self.value, self.rev, self.created, self.lease = value, rev, created, lease


class Store:
    """The platform's metadata store. `fault(call)` may return None (serve), "silent" (nothing is
    done and nothing answered), "lost" (done, not answered) or a number of seconds after which the
    call is done without an answer."""

    def __init__(self, record):
        self.record = record
        self.items, self.leases, self.events = {}, {}, []
        self.revision = 100
        self.next_lease = 5000
        self.changed = asyncio.Event()
        self.fault = lambda call: None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            for lease, (_ttl, end) in list(self.leases.items()):
                if now() >= end:
                    self.end_lease(lease)
            await asyncio.sleep(0.02)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key in [key for key, item in self.items.items() if item.lease == lease]:
            self.record.add("store lease", lease, "has ended, removes", key)
            self.delete(key)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        created = old.created if old else self.revision
        self.items[key] = Item(value, self.revision, created, lease)
        self.events.append((self.revision, key))
        self.wake()

    def put_json(self, key, body):
        self.put(key, base64.b64encode(json.dumps(body).encode()).decode())

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.events.append((self.revision, key))
            self.wake()

    def row(self, key):
        item = self.items[key]
        return {"Key": key, "Value": item.value, "Rev": item.rev, "Created": item.created,
                "Lease": item.lease}

    async def serve(self, reader, writer):
        try:
            while True:
                call = await read_http(reader)
                if call is None:
                    return
                fault = self.fault(call)
                if fault is None:
                    await asyncio.sleep(0.004)
                    status, body = await self.answer(call)
                    write_http(writer, status, body)
                    await writer.drain()
                    continue
                if fault == "lost":
                    await self.answer(call)
                elif fault != "silent":
                    task = asyncio.create_task(self.late(call, fault))
                    self.tasks.add(task)
                # A connection on which a response is lost returns nothing further.
                while await reader.read(65536):
                    pass
                return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def late(self, call, seconds):
        await asyncio.sleep(seconds)
        status, body = await self.answer(call)
        self.record.add("store carries out late:", call["method"], call["path"], status, call["json"])

    async def answer(self, call):
        path, query, body = call["path"], call["query"], call["json"]
        if path == "/v1/kv-key":
            key = query["Key"]
            if key not in self.items:
                return 404, {"StoreRevision": self.revision}
            return 200, {**self.row(key), "StoreRevision": self.revision}
        if path == "/v1/kv-range":
            after, prefix = query.get("after", ""), query.get("Prefix", "")
            keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
            return 200, {"items": [self.row(key) for key in keys[:500]], "HasMore": len(keys) > 500,
                         "StoreRevision": self.revision}
        if path == "/v1/kv-watch":
            return await self.watch(query)
        if path == "/v1/kv-txn":
            return self.change(body)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (body["TtlMs"] / 1000, now() + body["TtlMs"] / 1000)
            return 200, {"Lease": self.next_lease, "TtlMs": body["TtlMs"]}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {"TtlMs": int(ttl * 1000)}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        after, prefix = int(query["after"]), query.get("Prefix", "")
        end = now() + int(query["WaitMaxMs"]) / 1000
        while True:
            found = {key: rev for rev, key in self.events if rev > after and key.startswith(prefix)}
            if found or now() >= end:
                events = [self.row(key) if key in self.items else
                          {"Key": key, "Rev": rev, "Deleted": True} for key, rev in found.items()]
                return 200, {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass

    def change(self, body):
        expect = body.get("Expect") or []
        wrong = [row for row in expect
                 if (self.items[row["Key"]].rev if row["Key"] in self.items else 0) != row["Rev"]]
        if wrong:
            rows = [self.row(row["Key"]) for row in expect if row["Key"] in self.items]
            return 412, {"items": rows}
        puts = body.get("Puts") or []
        for row in puts:
            lease = row.get("Lease") or 0
            if lease and lease not in self.leases:
                return 404, {}
        for row in puts:
            self.put(row["Key"], row["Value"], row.get("Lease") or 0)
            self.record.add("store", row["Key"], "=", base64.b64decode(row["Value"]).decode(),
                            "lease", row.get("Lease") or 0)
        for key in body.get("Deletes") or []:
            self.delete(key)
        return 200, {"Rev": self.revision}


async def read_http(reader):
    head = await reader.readline()
    if not head:
        return None
    method, target, _version = head.decode().split()
    headers = {}
    while (line := (await reader.readline()).decode().strip()):
        name, value = line.split(":", 1)
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    return {"method": method, "path": path, "query": dict(urllib.parse.parse_qsl(query, True)),
            "headers": headers, "json": json.loads(body) if body else None}


def write_http(writer, status, body):
    body = json.dumps(body).encode()
    writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                 % (status, len(body), body))


class Instance:
    """A database instance. Replication inside a service takes `delay` seconds."""

    def __init__(self, service, name, zone, role):
        self.service, self.name, self.zone = service, name, zone
        self.role, self.term, self.held = role, 1, 0
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.log = []  # (term, number, request id, item, data)
        self.busy, self.connections, self.deaf = 0, 0, False
        self.work = lambda kind: 0.002
        self.alive = True
        self.lose = lambda text: False
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=2 ** 21)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def crash(self):
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self):
        self.sequence += 1
        return {"Service": self.service.name, "Addr": self.address, "Zone": self.zone, "Version": "v1",
                "Capacity": self.service.slots, "State": self.state, "ColdLeftMs": 0,
                "DbRole": self.role, "Sequence": self.sequence, "born": self.born}

    def position(self):
        return "%d.%d" % (self.log[-1][0], self.log[-1][1]) if self.log else "%d.0" % self.term

    def end(self):
        return (self.log[-1][0], self.log[-1][1]) if self.log else (1, 0)

    def status(self):
        return "ROW %s %d %s %d 0 %d %d" % (self.role, self.term, self.position(), self.held,
                                           self.busy, self.connections)

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.add(writer)
        session = {"values": {}, "prepared": {}, "tx": None, "state": "I", "who": None}
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            fields = line.split(" ")
            if fields[0] != "CONNECT" or fields[1] != self.service.name or (
                    len(fields) > 3 and fields[3] != self.name):
                writer.write(b"ERROR MISROUTED %s\r\n" % self.name.encode())
                return
            if self.connections > self.service.max_conns:
                writer.write(b"ERROR TOOMANY -\r\n")
                return
            session["who"] = fields[2]
            await asyncio.sleep(0.002)
            writer.write(b"READY I %s\r\n" % self.position().encode())
            while True:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                if line == "BYE":
                    return
                _word, ident, text = line.split(" ", 2)
                answer = await self.run(session, ident, text)
                if answer is None or self.lose(text):
                    await asyncio.sleep(3600)
                answer.append("READY %s %s" % (session["state"], self.position()))
                writer.write(("\r\n".join(answer) + "\r\n").encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            self.writers.discard(writer)
            writer.close()

    async def run(self, session, ident, text):
        word, _, rest = text.partition(" ")
        after = None
        if word == "AFTER":
            position, _, text = rest.partition(" ")
            after = tuple(int(part) for part in position.split("."))
            word, _, rest = text.partition(" ")
        if session["state"] == "E" and word not in ("ROLLBACK", "COMMIT"):
            return ["ERROR MALFORMED -"]
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            if word == "PAUSE" and self.role == "replica" and int(rest) > self.term:
                self.held = max(self.held, int(rest))
            elif word == "RESUME":
                self.held = 0
                self.service.catch_up(self)
            elif word == "STEPDOWN" and self.role == "primary" and int(rest) > self.term:
                self.role = "replica"
                self.service.beat(self)
            return [self.status(), "DONE -"]
        if word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return ["DONE -"]
        if word == "PREPARE":
            name, _, shape = rest.partition(" ")
            session["prepared"][name] = shape
            return ["DONE -"]
        if word == "DEALLOC":
            session["prepared"].pop(rest, None)
            return ["DONE -"]
        if word == "RESET":
            session["values"], session["prepared"] = {}, {}
            return ["DONE -"]
        if after is not None and after > self.end() and after[1] > 0:
            return ["ERROR LAGGING -"]
        plain = session["tx"] is not None and not session["tx"]["read"]
        if word == "BEGIN":
            if rest != "READ" and self.role != "primary":
                return ["ERROR READONLY %s" % self.name]
            session["tx"] = {"read": rest == "READ", "writes": [], "term": self.term}
            session["state"] = "T"
            return ["DONE -"]
        if word == "ROLLBACK":
            session["tx"], session["state"] = None, "I"
            return ["DONE -"]
        writes = word == "WRITE"
        if word == "EXECUTE":
            name, _, arguments = rest.partition(" ")
            if name not in session["prepared"]:
                return ["ERROR NOSTMT %s" % name]
            writes = session["prepared"][name].startswith("WRITE")
            rest = arguments
        if self.busy >= self.service.slots:
            return ["ERROR BUSY -"]
        self.busy += 1
        try:
            if ident != "-":
                self.service.ran(self, session, ident, text, writes, word)
            await asyncio.sleep(self.work(word))
            signature = "%s.%s" % (self.name, ident)
            if word == "COMMIT":
                tx, session["tx"], session["state"] = session["tx"], None, "I"
                if tx is None:
                    return ["ERROR MALFORMED -"]
                if not tx["writes"]:
                    return ["DONE " + signature]
                return await self.commit(tx["writes"], signature, tx["term"])
            if writes:
                item, _, data = rest.partition(" ")
                if self.role != "primary" or (plain and session["tx"]["term"] != self.term):
                    if session["tx"] is not None:
                        session["state"] = "E"
                    return ["ERROR READONLY %s" % self.name]
                if session["tx"] is not None:
                    session["tx"]["writes"].append((ident, item, data))
                    return ["DONE " + signature]
                return await self.commit([(ident, item, data)], signature, self.term)
            item = rest.partition(" ")[0]
            found = [data for (_t, _n, _id, one, data) in self.log if one == item]
            return ["ROW %s" % (found[-1] if found else "none"), "DONE " + signature]
        finally:
            self.busy -= 1

    async def commit(self, writes, signature, term):
        if self.role != "primary" or self.term != term:
            return ["ERROR READONLY %s" % self.name]
        for ident, item, data in writes:
            number = self.end()[1] + 1
            self.log.append((self.term, number, ident, item, data))
        end = self.end()
        if not await self.service.replicated(self, end):
            return None
        self.service.committed(self, writes, end)
        return ["DONE " + signature]


class Service:
    """A primary and its replicas, with SyncReplicas 1."""

    def __init__(self, name, store, record, slots=6, max_conns=60):
        self.name, self.store, self.record = name, store, record
        self.slots, self.max_conns = slots, max_conns
        self.instances, self.runs, self.commits = {}, [], []
        self.delay = 0.003
        self.beats = True
        self.promote_s = 0.6
        # Instances whose reports do not reach the store, and seconds by which those of others are late.
        self.cut, self.late_reports = set(), {}

    async def add(self, name, zone, role, listed=True):
        instance = Instance(self, name, zone, role)
        await instance.start()
        self.instances[name] = instance
        if listed:
            self.beat(instance)
            instance.beater = asyncio.create_task(self.keep(instance))
        return instance

    async def keep(self, instance):
        while True:
            await asyncio.sleep(1.2)
            if instance.alive and instance.name not in self.cut:
                self.beat(instance)

    def beat(self, instance):
        if instance.name not in self.cut:
            self.store.put_json("servers/" + instance.name, instance.entry())

    def report(self, instance):
        """Reports a change of the instance's role at once."""
        late = self.late_reports.pop(instance.name, None)
        if late is None or instance.name in self.cut:
            self.beat(instance)
            return
        self.record.add("report of", instance.name, "gets no answer, carried out", late, "s later")
        asyncio.get_running_loop().call_later(late, self.beat, instance)

    def ran(self, instance, session, ident, text, writes, word):
        self.runs.append((now(), ident, instance.name, session["who"], word))
        self.record.add("run", ident, "at", instance.name, instance.role, "for", session["who"], ":", text)

    def committed(self, instance, writes, end):
        for ident, item, data in writes:
            self.commits.append((now(), ident, instance.name, end))
            self.record.add("commit", ident, "at", instance.name, "position %d.%d" % end)

    def catch_up(self, replica):
        primary = self.primary()
        if primary and replica is not primary and replica.alive and not replica.held and not replica.deaf:
            replica.log, replica.term = list(primary.log), primary.term

    async def replicated(self, primary, end):
        """Waits until a replica has received the log up to `end`."""
        while primary.alive:
            await asyncio.sleep(self.delay)
            if primary.role != "primary":
                return False
            for replica in self.instances.values():
                if replica is not primary and replica.role == "replica" and replica.alive \
                        and not replica.held and not replica.deaf and replica.term <= primary.term:
                    replica.log, replica.term = list(primary.log), primary.term
            if any(replica is not primary and replica.log[:len(primary.log)] and replica.end() >= end
                   and replica.term == primary.term and not replica.held
                   for replica in self.instances.values() if replica.role == "replica"):
                return True
        return False

    def primary(self):
        leaders = [one for one in self.instances.values() if one.role == "primary" and one.alive]
        return max(leaders, key=lambda one: one.term, default=None)

    async def promote(self, name):
        await asyncio.sleep(self.promote_s)
        chosen = self.instances[name]
        term = max(one.term for one in self.instances.values()) + 1
        for one in self.instances.values():
            if one is not chosen and one.role == "primary":
                one.role = "replica"
                self.report(one)
        chosen.role, chosen.term, chosen.held = "primary", term, 0
        self.record.add("promoted", name, "term", term, "log", "%d.%d" % chosen.end())
        self.report(chosen)
        for one in self.instances.values():
            if one is not chosen and one.alive:
                one.held, one.log, one.term = 0, list(chosen.log), term


class Cloud:
    """The platform's promotion service."""

    def __init__(self, record):
        self.record, self.services, self.fences, self.calls = record, {}, {}, []
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (call := await read_http(reader)) is not None:
                await asyncio.sleep(0.004)
                write_http(writer, *self.answer(call))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def answer(self, call):
        body, holder = call["json"], call["headers"].get("x-persimmontack-holder")
        fence = int(call["headers"].get("x-persimmontack-fence-token", 0))
        service = self.services.get(body["Service"])
        self.calls.append((now(), holder, fence, body))
        self.record.add("promotion", body, "holder", holder, "fence", fence)
        if service is None or fence < self.fences.get(service.name, 0):
            return 409, {}
        self.fences[service.name] = fence
        chosen = service.instances.get(body["Id"])
        if chosen is None or not chosen.alive:
            return 409, {}
        if chosen is not service.primary():
            task = asyncio.create_task(service.promote(body["Id"]))
            self.tasks.add(task)
        return 200, {}


class Client:
    """A client's session."""

    def __init__(self, record, vm, database, who):
        self.record, self.vm, self.database, self.who = record, vm, database, who
        self.reader = self.writer = None

    async def open(self):
        host, port = self.vm.front.rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=2 ** 21), 2)
        self.writer.write(f"CONNECT {self.database} {self.who}\r\n".encode())
        line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)).decode().strip()
        if not line.startswith("READY"):
            self.close()
            raise ConnectionError(line)

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def query(self, ident, text, timeout=5):
        """Returns the result line (DONE or ERROR), the rows and the READY line."""
        self.record.add("sent", ident, "to", self.vm.name, ":", text)
        self.writer.write(f"QUERY {ident} {text}\r\n".encode())
        rows, result = [], None
        while True:
            line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), timeout)).decode()[:-2]
            if line.startswith("ROW"):
                rows.append(line[4:])
            elif line.startswith("READY"):
                self.record.add("answered", ident, ":", result, rows[:2], line)
                return result, rows, line
            else:
                result = line


class Vm:
    """A process of the project on a loopback address of its own."""

    count = 0

    def __init__(self, site, name, zone):
        self.site, self.name, self.zone, self.process = site, name, zone, None
        Vm.count += 1
        pid = os.getpid()
        self.ip = "127.%d.%d.%d" % (64 + Vm.count, pid >> 8 & 255, max(1, pid & 255))
        self.front, self.ready = self.ip + ":8784", self.ip + ":8785"
        self.path = site.folder / (name + ".json")
        self.log = open(site.folder / (name + ".log"), "ab")

    def settings(self):
        site = self.site
        zones = {zone: "region" for zone in site.zones}
        return {"Node": self.name, "Role": "node", "Class": "edge", "Serves": ["edge"], "Ip": self.ip,
                "Zone": self.zone, "Region": "region", "Zones": zones,
                "Listen": {"Front": self.front, "Ready": self.ready}, "InternalPorts": [7440, 7455],
                "SeedAddrs": [], "FirstStart": False, "LossCounts": False,
                "Limits": {"CpuShare": 0.25, "CpuCores": 1, "MemoryMb": 260, "MaxFds": 4300,
                           "LinkMbps": 1000.0, "DiskMb": 0},
                "DataDir": None, "Discovery": "platform", "Entry": "vip", "BeatMs": 1200,
                "Contracts": site.contracts, "Tolerate": {"Machines": 1, "Zones": 1, "Regions": 0},
                "Bounds": site.bounds,
                "platform": {"Addr": site.store.address, "form": "kv", "WritesPerS": 400,
                             "ReadsPerS": 2000, "RetentionS": 20, "ValueBytes": 1048576,
                             "TtlMinMs": 1000},
                "Cloud": {"Addr": site.cloud.address, "RatePerS": 50.0, "Duties": ["failover"],
                          "DutyPerS": 50.0}}

    def start(self):
        self.path.write_text(json.dumps(self.settings()))
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]["run"]
        env = {"PERSIMMONTACK_CONFIG": str(self.path), "PATH": os.environ.get("PATH", ""),
               "HOME": str(self.site.folder), "LANG": "C"}
        self.process = subprocess.Popen(command.split(" "), cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        self.site.record.add("started", self.name, "on", self.ip)

    def signal(self, number):
        self.process.send_signal(number)
        self.site.record.add("signal", signal.Signals(number).name, "to", self.name)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.site.record.add("killed", self.name)

    async def is_ready(self):
        try:
            host, port = self.ready.rsplit(":", 1)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 0.5)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def await_ready(self, limit=10):
        end = now() + limit
        while not await self.is_ready():
            if now() > end:
                raise CannotRun(self.name + " is not ready")
            await asyncio.sleep(0.05)


class CannotRun(Exception):
    """The case could not run."""


# A pause of this process after which the stand-ins were late and a run shows nothing.
MOST_LATE_S = 0.6


async def watch_lateness(late):
    """Records the longest time for which this process did not get the processor."""
    while True:
        before = now()
        await asyncio.sleep(0.05)
        late[0] = max(late[0], now() - before - 0.05)


class Site:
    """Everything of one small deployment."""

    def __init__(self, folder, bounds, contracts, zones):
        self.case = pathlib.Path(folder)
        self.record = Record(self.case / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        self.bounds, self.contracts, self.zones = bounds, contracts, zones
        self.vms, self.services = [], []

    async def start(self):
        self.store, self.cloud = Store(self.record), Cloud(self.record)
        await self.store.start()
        await self.cloud.start()

    async def service(self, name, members, **options):
        service = Service(name, self.store, self.record, **options)
        self.cloud.services[name] = service
        self.services.append(service)
        for member, zone, role in members:
            await service.add(member, zone, role)
        return service

    def vm(self, name, zone):
        vm = Vm(self, name, zone)
        self.vms.append(vm)
        return vm

    def close(self):
        for vm in self.vms:
            vm.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for vm in self.vms:
                shutil.copy(self.folder / (vm.name + ".log"), keep)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


SMALL_BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 4,
                "DrainMs": 7000, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000,
                "DowngradeSlackMs": 250, "SkewMaxMs": 12000, "RecoverS": 12, "Fencing": True,
                "ThawSlackMs": 300}
CONTRACTS = ["base", "drain", "config", "cost", "recover", "sql", "platform"]


def trouble():
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case, folder, bounds=None, contracts=None, zones=("zone-a", "zone-b", "zone-c"), limit=110):
    """Runs a case: `case(site)` returns whether the rule held. Exits with 0, 1 or 2."""

    async def run():
        site = Site(folder, bounds or SMALL_BOUNDS, contracts or CONTRACTS, zones)
        try:
            if not (ROOT / "target/release/persimmon-node").exists():
                raise CannotRun("target/release/persimmon-node is missing; build first")
            await site.start()
            late = [0.0]
            watch = asyncio.create_task(watch_lateness(late))
            held = await asyncio.wait_for(case(site), limit)
            watch.cancel()
            site.record.say("longest pause of the stand-ins: %.3f s" % late[0])
            if late[0] > MOST_LATE_S:
                raise CannotRun("this machine was too busy for the stand-ins")
            site.record.say("result:", "the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            site.record.say("result: the case could not run:", repr(error))
            return 2
        finally:
            site.close()

    async def end():
        code = await run()
        sys.stdout.flush()
        # Without waiting for the tasks of the stand-ins.
        os._exit(code)

    def ended(_number, _frame):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, ended)
    asyncio.run(end())
