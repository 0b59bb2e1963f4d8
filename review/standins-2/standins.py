"""Stand-ins for the users' platform: its store, its promotion service, databases, clients and VMs.

Everything runs in one asyncio process on loopback addresses; only the nodes are processes of their own.
The stand-ins do what PROTOCOL.md says and nothing more. A case injects its disruption through the hooks
that are named `fault` and through the attributes of an instance.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

MAX_LINE = 1 << 20
ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
NO_ANSWER = object()


class Record:
    """What was sent, answered and run, in order, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, who, text):
        self.file.write(f"{self.now():9.3f} {who:12} {text}\n")

    def close(self):
        self.file.close()


class Item:
    def __init__(self, value, rev, created, lease):
        self.value, self.rev, self.created, self.lease = value, rev, created, lease


class Store:
    """The platform's key-value store."""

    def __init__(self, record, answer_s=0.004):
        self.record = record
        self.answer_s = answer_s
        self.items = {}
        self.rev = 100
        self.history = []
        self.leases = {}
        self.next_lease = 70000
        self.changed = asyncio.Event()
        # Called with (door, method, path, body). Returns None, ("status", code), "silent", ("late", s),
        # ("slow", s) or "lost".
        self.fault = lambda door, method, path, body: None
        self.address = None
        self.tasks = set()

    async def start(self):
        self.address = await self.door("any")
        self.spawn(self.expire())

    async def door(self, name):
        """Returns a further address of the store. Calls that arrive there are told apart by `name`."""

        async def serve(reader, writer):
            await self.serve(name, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0, limit=MAX_LINE * 8)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def wake(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def write(self, puts, deletes=()):
        self.rev += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            created = old.created if old else self.rev
            self.items[key] = Item(value, self.rev, created, lease)
            self.history.append((self.rev, self.row(key, self.items[key])))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append((self.rev, {"Key": key, "Rev": self.rev, "Deleted": True}))
        self.wake()
        return self.rev

    def put_json(self, key, value):
        text = json.dumps(value).encode()
        return self.write([(key, base64.b64encode(text).decode(), 0)])

    def delete(self, key):
        return self.write([], [key])

    @staticmethod
    def row(key, item):
        return {"Key": key, "Value": item.value, "Rev": item.rev, "Created": item.created, "Lease": item.lease}

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_ttl, ends) in list(self.leases.items()):
                if ends <= now:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item.lease == lease]
        self.record.add("store", f"lease {lease} ends, removes {keys}")
        if keys:
            self.write([], keys)

    async def serve(self, door, reader, writer):
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    break
                method, path, _headers, body = request
                fault = self.fault(door, method, path, body)
                if fault == "silent":
                    await asyncio.sleep(3600)
                if isinstance(fault, tuple) and fault[0] == "status":
                    await write_http(writer, fault[1], {})
                    continue
                if isinstance(fault, tuple) and fault[0] == "late":
                    self.spawn(self.run_late(fault[1], method, path, body))
                    # The connection returns nothing further.
                    await asyncio.sleep(3600)
                await asyncio.sleep(self.answer_s)
                status, answer = await self.answer(method, path, body)
                if isinstance(fault, tuple) and fault[0] == "slow":
                    await asyncio.sleep(fault[1])
                if fault == "lost":
                    self.record.add("store", f"the answer {status} to {method} {path.split('?')[0]} is lost")
                    await asyncio.sleep(3600)
                await write_http(writer, status, answer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run_late(self, delay, method, path, body):
        self.record.add("store", f"{method} {path} {body[:160]!r}: no answer, done in {delay:.1f} s")
        await asyncio.sleep(delay)
        status, answer = await self.answer(method, path, body)
        self.record.add("store", f"{method} {path} done late: {status} {answer}")

    async def answer(self, method, path, body):
        path, _, query = path.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        body = json.loads(body) if body else {}
        if path == "/v1/kv-range":
            prefix = fields.get("Prefix", "")
            after = fields.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            rows = [self.row(key, self.items[key]) for key in keys[:500]]
            return 200, {"items": rows, "HasMore": len(keys) > 500, "StoreRevision": self.rev}
        if path == "/v1/kv-key":
            item = self.items.get(fields.get("Key", ""))
            if item is None:
                return 404, {}
            return 200, dict(self.row(fields["Key"], item), StoreRevision=self.rev)
        if path == "/v1/kv-watch":
            return await self.watch(fields)
        if path == "/v1/kv-lease":
            self.next_lease += 1
            ttl = max(1000, min(int(body["TtlMs"]), 600000))
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            self.record.add("store", f"lease {self.next_lease} granted for {ttl} ms")
            return 200, {"Lease": self.next_lease, "TtlMs": ttl}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"TtlMs": ttl}
        if path.startswith("/v1/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/v1/kv-txn":
            return self.txn(body)
        return 404, {}

    async def watch(self, fields):
        after = int(fields.get("after", 0))
        ends = time.monotonic() + int(fields.get("WaitMaxMs", 0)) / 1000
        prefix = fields.get("Prefix", "")
        while True:
            changed = self.changed
            events = [row for rev, row in self.history if rev > after and row["Key"].startswith(prefix)]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.rev}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def txn(self, body):
        for row in body.get("Expect", []):
            item = self.items.get(row["Key"])
            if (item.rev if item else 0) != row["Rev"]:
                known = [self.row(row["Key"], item)] if item else []
                return 412, {"items": known}
        puts = []
        for row in body.get("Puts", []):
            lease = row.get("Lease") or 0
            if lease and lease not in self.leases:
                return 404, {}
            if row["Key"].startswith(("op/", "servers/")):
                return 403, {}
            puts.append((row["Key"], row["Value"], lease))
        for key, value, lease in puts:
            text = base64.b64decode(value).decode(errors="replace")
            self.record.add("store", f"put {key} = {text!r} lease={lease}")
        rev = self.write(puts, body.get("Deletes", []))
        return 200, {"Rev": rev}


async def read_http(reader):
    line = await reader.readline()
    if not line:
        return None
    method, path, _version = line.decode().split(" ", 2)
    headers = {}
    while True:
        line = (await reader.readline()).decode().strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return method, path, headers, body


async def write_http(writer, status, answer):
    body = json.dumps(answer).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    await writer.drain()


class Cloud:
    """The service that carries out promotions, with a check of fences."""

    def __init__(self, record):
        self.record = record
        self.services = {}
        self.seen = {}
        # Called with (service, id, fence). Returns None, ("status", code) or ("late", s).
        self.fault = lambda service, upstream, fence: None
        self.address = None
        self.tasks = set()

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    break
                _method, _path, headers, body = request
                body = json.loads(body)
                fence = int(headers["x-persimmontack-fence-token"])
                holder = headers["x-persimmontack-holder"]
                fault = self.fault(body["Service"], body["Id"], fence)
                call = f"promote {body['Id']} of {body['Service']} by {holder} fence {fence}"
                if isinstance(fault, tuple) and fault[0] == "status":
                    self.record.add("cloud", f"{call}: {fault[1]}")
                    await write_http(writer, fault[1], {})
                    continue
                if isinstance(fault, tuple) and fault[0] == "late":
                    self.record.add("cloud", f"{call}: no answer, carried out in {fault[1]} s")
                    task = asyncio.ensure_future(self.run_late(fault[1], call, body, fence))
                    self.tasks.add(task)
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                status = self.promote(body, fence)
                self.record.add("cloud", f"{call}: {status}")
                await write_http(writer, status, {})
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run_late(self, delay, call, body, fence):
        await asyncio.sleep(delay)
        self.record.add("cloud", f"{call}: carried out late: {self.promote(body, fence)}")

    def promote(self, body, fence):
        service = self.services.get(body["Service"])
        if service is None or fence < self.seen.get(body["Service"], 0):
            return 409
        self.seen[body["Service"]] = fence
        target = service.instances.get(body["Id"])
        if target is None or not target.alive:
            return 409
        if not target.is_primary():
            task = asyncio.ensure_future(service.promote(target))
            self.tasks.add(task)
        return 200


class Service:
    """A group of databases: one primary, and replicas that receive its log."""

    def __init__(self, world, name, lag_s=0.008, promote_s=0.3):
        self.world, self.name, self.lag_s, self.promote_s = world, name, lag_s, promote_s
        self.instances = {}
        self.term = 1
        self.acknowledged = []

    def primary(self):
        return next((one for one in self.instances.values() if one.is_primary()), None)

    async def promote(self, target):
        await asyncio.sleep(self.promote_s)
        if not target.alive or target.is_primary():
            return
        self.term += 1
        for other in self.instances.values():
            # A promote lifts the pause of every replica.
            other.role, other.fenced = "replica", 0
            common = 0
            while (
                common < min(len(other.log), len(target.log)) and other.log[common] == target.log[common]
            ):
                common += 1
            if other is not target and len(other.log) > common:
                del other.log[common:]
                other.applied = min(other.applied, common)
        target.role, target.term = "primary", self.term
        target.applied = len(target.log)
        self.world.record.add("database", f"{target.id} leads term {self.term} of {self.name}")
        target.heartbeat(changed=True)
        for other in self.instances.values():
            other.heartbeat(changed=True)


class Instance:
    """One database: speaks the wire protocol, keeps a log, and writes its entry to the store."""

    def __init__(self, service, name, role, zone, capacity=3, max_conns=22):
        self.service, self.id, self.role, self.zone = service, name, role, zone
        self.world = service.world
        self.capacity, self.max_conns = capacity, max_conns
        self.term = 1
        self.log = [(1, 1, ("seed", "0"))]
        self.applied = 1
        self.fenced = 0
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.alive = True
        self.deaf = False
        # Callers that this instance is partitioned from.
        self.cut = set()
        self.connections = set()
        self.work_s = 0.003
        service.instances[name] = self

    def is_primary(self):
        return self.alive and self.role == "primary"

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, limit=MAX_LINE * 2)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.world.spawn(self.beat())
        self.world.spawn(self.replicate())

    def heartbeat(self, changed=False):
        if not self.alive:
            return
        self.sequence += 1
        self.world.store.put_json(
            f"servers/{self.id}",
            {
                "Service": self.service.name,
                "Addr": self.address,
                "Zone": self.zone,
                "Version": "v1",
                "Capacity": self.capacity,
                "State": self.state,
                "ColdLeftMs": 0,
                "DbRole": self.role,
                "Sequence": self.sequence,
                "born": self.born,
            },
        )
        self.last_beat = time.monotonic()

    async def beat(self):
        self.heartbeat()
        while True:
            await asyncio.sleep(0.05)
            if self.alive and time.monotonic() - self.last_beat >= self.world.beat_s:
                self.heartbeat()
            if not self.alive and time.monotonic() - self.last_beat >= 3 * self.world.beat_s:
                if f"servers/{self.id}" in self.world.store.items:
                    self.world.store.delete(f"servers/{self.id}")
                    self.world.record.add("store", f"the entry of {self.id} expires")

    async def replicate(self):
        """Receives the log of the primary, and applies it a little later."""
        while True:
            await asyncio.sleep(0.002)
            primary = self.service.primary()
            if not self.alive or self.deaf or self.fenced or primary is None or primary is self:
                continue
            if primary.log[: len(self.log)] == self.log and len(primary.log) > len(self.log):
                self.log.extend(primary.log[len(self.log) :])
                self.term = max(self.term, primary.term)
                self.world.spawn(self.apply(len(self.log)))
            else:
                self.term = max(self.term, primary.term)

    async def apply(self, count):
        await asyncio.sleep(self.service.lag_s)
        self.applied = max(self.applied, min(count, len(self.log)))

    def position(self, count):
        return f"{self.log[count - 1][0]}.{count}" if count else "0.0"

    def holds(self, text):
        term, number = (int(part) for part in text.split("."))
        count = len(self.log) if self.is_primary() else self.applied
        if number == 0:
            return True
        return number <= count and self.log[number - 1][0] == term

    def crash(self, dark=True):
        """Stops to answer, and to write to the store. Dark: peers are not told."""
        self.alive = False
        self.world.record.add("database", f"{self.id} crashes, dark={dark}")
        if not dark:
            for writer in list(self.connections):
                writer.transport.abort()

    def restart(self):
        """Starts again under the same id, with its log and without its connections."""
        for writer in list(self.connections):
            writer.transport.abort()
        self.born = int(time.time() * 1000)
        self.sequence, self.fenced, self.alive = 0, 0, True
        if self.service.primary() is not self:
            self.role = "replica"
        self.world.record.add("database", f"{self.id} is back")
        self.heartbeat(changed=True)

    async def accept(self, reader, writer):
        self.connections.add(writer)
        try:
            await Connection(self, reader, writer).serve()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def drain(self):
        self.state = "draining"
        self.heartbeat(changed=True)
        self.world.record.add("store", f"acknowledges that {self.id} is draining")
        return time.monotonic()


class Connection:
    def __init__(self, instance, reader, writer):
        self.instance, self.reader, self.writer = instance, reader, writer
        self.tenant = None
        self.values, self.prepared = {}, {}
        self.state, self.plain, self.writes = "I", False, []
        self.queue = asyncio.Queue()

    async def line(self):
        data = await self.reader.readuntil(b"\r\n")
        born = self.instance.born
        while not self.instance.alive or self.tenant in self.instance.cut:
            await asyncio.sleep(0.02)
        if born != self.instance.born:
            raise ConnectionError("restarted")
        return data[:-2].decode(errors="replace")

    def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    def ready(self):
        one = self.instance
        count = len(one.log) if one.is_primary() else one.applied
        return f"READY {self.state} {one.position(count)}"

    async def serve(self):
        words = (await self.line()).split(" ")
        one = self.instance
        if words[0] != "CONNECT":
            return
        if words[1] != one.service.name or (len(words) > 3 and words[3] != one.id):
            self.send("ERROR MISROUTED not here")
            await self.writer.drain()
            return
        if len(one.connections) > one.max_conns:
            self.send("ERROR TOOMANY connections")
            await self.writer.drain()
            return
        self.tenant = words[2]
        while self.tenant in one.cut:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.005)
        self.send(self.ready())
        while True:
            line = await self.line()
            if line == "BYE":
                return
            _word, number, text = line.split(" ", 2)
            born = one.born
            answer = await self.run(number, text)
            while not one.alive or self.tenant in one.cut:
                await asyncio.sleep(0.02)
            if answer is None or born != one.born:
                self.writer.transport.abort()
                return
            self.send(*answer, self.ready())
            await self.writer.drain()

    async def run(self, number, text):
        one = self.instance
        words = text.split(" ")
        if words[0] == "AFTER":
            if not one.holds(words[1]):
                return ["ERROR LAGGING behind"]
            words = words[2:]
        word = words[0]
        if word in ("STATUS", "PAUSE", "RESUME", "STEPDOWN"):
            return self.control(word, words)
        if word == "SET":
            self.values[words[1]] = " ".join(words[2:])
            return ["DONE -"]
        if word == "RESET":
            self.values, self.prepared = {}, {}
            return ["DONE -"]
        if word == "PREPARE":
            self.prepared[words[1]] = (words[2], " ".join(words[3:]))
            return ["DONE -"]
        if word == "DEALLOC":
            self.prepared.pop(words[1], None)
            return ["DONE -"]
        if word == "ROLLBACK":
            self.state, self.writes = "I", []
            return ["DONE -"]
        if self.state == "E" and word != "COMMIT":
            return ["ERROR MALFORMED the transaction failed"]
        if word == "BEGIN":
            if len(words) == 1 and not one.is_primary():
                return [f"ERROR READONLY {one.id}"]
            self.state, self.plain, self.writes = "T", len(words) == 1, []
            self.began_term = one.term
            return ["DONE -"]
        lost_lead = self.plain and self.state == "T" and not one.is_primary()
        if lost_lead and not (word == "COMMIT" and not self.writes):
            self.state = "E" if word != "COMMIT" else "I"
            return [f"ERROR READONLY {one.id}"]
        access, data = word, words[1:]
        if word == "EXECUTE":
            if words[1] not in self.prepared:
                return ["ERROR NOSTMT unknown"]
            access, data = self.prepared[words[1]][0], words[2:]
        if access == "WRITE" and not one.is_primary():
            return [f"ERROR READONLY {one.id}"]
        await asyncio.sleep(one.work_s)
        self.world_run(number, text)
        signature = f"{random.getrandbits(64):016x}"
        if access == "READ":
            return [f"ROW {one.id}", f"DONE {signature}"]
        if word == "COMMIT":
            writes, self.writes, self.state = self.writes, [], "I"
            if not writes:
                return [f"DONE {signature}"]
            return await self.commit(number, writes, signature)
        if self.state == "T":
            self.writes.append(tuple(data))
            return [f"DONE {signature}"]
        return await self.commit(number, [tuple(data)], signature)

    def world_run(self, number, text):
        one = self.instance
        world = one.world
        world.runs.append((time.monotonic(), one, number, self.tenant, text))
        world.record.add(one.id, f"runs {number} {text} for {self.tenant}")

    async def commit(self, number, writes, signature):
        one = self.instance
        if not one.is_primary():
            return [f"ERROR READONLY {one.id}"]
        entry = (one.term, number, tuple(writes))
        one.log.append(entry)
        count = len(one.log)
        one.applied = count
        while True:
            replicas = [other for other in one.service.instances.values() if other is not one]
            if any(len(other.log) >= count and other.log[count - 1] == entry for other in replicas):
                break
            if len(one.log) < count or one.log[count - 1] != entry:
                return None
            await asyncio.sleep(0.002)
        one.service.acknowledged.append((time.monotonic(), entry, count))
        return [f"DONE {signature}"]

    def control(self, word, words):
        one = self.instance
        if word == "PAUSE" and not one.is_primary() and int(words[1]) > one.term:
            one.fenced = max(one.fenced, int(words[1]))
        if word == "RESUME":
            one.fenced = 0
        if word == "STEPDOWN" and one.is_primary() and one.term < int(words[1]):
            one.role = "replica"
        role = "primary" if one.is_primary() else "replica"
        position = one.position(len(one.log))
        row = f"ROW {role} {one.term} {position} {one.fenced} 0 0 {len(one.connections)}"
        return [row, "DONE -"]


class Node:
    """A process of the deploy file on a loopback address of its own."""

    started = 0

    def __init__(self, world, name, zone, **changes):
        self.world, self.name, self.zone = world, name, zone
        Node.started += 1
        pid = os.getpid()
        self.ip = f"127.{90 + Node.started}.{pid >> 8 & 255}.{max(1, pid & 255)}"
        self.settings = {
            "Node": name,
            "Role": "node",
            "Class": "edge",
            "Serves": ["edge"],
            "Ip": self.ip,
            "Zone": zone,
            "Region": "r",
            "Zones": {one: "r" for one in ("za", "zb", "zc")},
            "Listen": {"Front": f"{self.ip}:8784", "Ready": f"{self.ip}:8785"},
            "InternalPorts": [7440, 7455],
            "SeedAddrs": [],
            "FirstStart": True,
            "LossCounts": False,
            "Limits": {"CpuShare": 0.25, "CpuCores": 1, "MemoryMb": 260, "MaxFds": 4300, "LinkMbps": 1000.0},
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "BeatMs": int(world.beat_s * 1000),
            "Contracts": [],
            "Tolerate": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": world.bounds,
            "platform": {
                "Addr": changes.get("store", world.store.address),
                "form": "kv",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "RetentionS": 20,
                "ValueBytes": 1048576,
                "TtlMinMs": 1000,
            },
            "Cloud": {"Addr": world.cloud.address, "RatePerS": 50.0, "Duties": ["failover"], "DutyPerS": 50.0},
        }
        self.process = None

    @property
    def front(self):
        return self.ip, 8784

    def start(self):
        path = os.path.join(self.world.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.world.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ["PATH"], "HOME": self.world.folder, "LANG": "C.UTF-8"}
        environment["PERSIMMONTACK_CONFIG"] = path
        program = os.path.join(ROOT, "target", "release", "persimmon-node")
        self.process = subprocess.Popen([program], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.world.record.add(self.name, f"starts, pid {self.process.pid}")

    def signal(self, number):
        self.world.record.add(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.02)
        self.world.record.add(self.name, f"ended with {self.process.returncode}")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8785)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200" in line
        except (OSError, asyncio.TimeoutError):
            return False


class Client:
    """A caller's session."""

    def __init__(self, world, name, node, database, key):
        self.world, self.name, self.node, self.database, self.key = world, name, node, database, key
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(*self.node.front, limit=MAX_LINE * 2)
        self.writer.write(f"CONNECT {self.database} {self.key}\r\n".encode())
        line = await asyncio.wait_for(self.reader.readuntil(b"\r\n"), 2)
        return line.decode().strip()

    async def query(self, text, limit=5.0):
        """Returns (id, rows, result, state): the result is DONE or the code of the error."""
        number = f"{random.getrandbits(64):016x}"
        sent = self.world.record.now()
        self.writer.write(f"QUERY {number} {text}\r\n".encode())
        rows, result, state = [], None, None
        try:
            while state is None:
                line = (await asyncio.wait_for(self.reader.readuntil(b"\r\n"), limit)).decode().strip()
                word, _, rest = line.partition(" ")
                if word == "ROW":
                    rows.append(rest)
                elif word == "DONE":
                    result = "DONE"
                elif word == "ERROR":
                    result = rest
                elif word == "READY":
                    state = rest.split(" ")[0]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            result = f"no answer: {type(error).__name__}"
        self.world.record.add(self.name, f"sent {number} {text} at {sent:.3f}, answer {result} {state}")
        return number, rows, result, state

    def close(self):
        if self.writer is not None:
            self.writer.close()


class World:
    """The stand-ins and processes of one case."""

    def __init__(self, record_path, bounds, beat_s=1.2):
        self.record = Record(record_path)
        self.bounds, self.beat_s = bounds, beat_s
        self.runs = []
        self.nodes = []
        self.tasks = set()
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.store = Store(self.record)
        self.cloud = Cloud(self.record)

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start(self):
        await self.store.start()
        await self.cloud.start()

    async def service(self, name, zones, **changes):
        service = Service(self, name, **changes.pop("service", {}))
        self.cloud.services[name] = service
        for number, zone in enumerate(zones):
            role = "primary" if number == 0 else "replica"
            one = Instance(service, f"i-{name}-{number}", role, zone, **changes)
            await one.start()
        return service

    def node(self, name, zone, **changes):
        node = Node(self, name, zone, **changes)
        self.nodes.append(node)
        return node

    async def await_ready(self, nodes, limit=20):
        ends = time.monotonic() + limit
        for node in nodes:
            while not await node.is_ready():
                if time.monotonic() > ends:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print(self.folder)
            return
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)


class CannotRun(Exception):
    """The case could not be run as it is meant."""


def closed_port():
    """Returns a port of 127.0.0.1 at which nobody listens."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def most_in_window(times, window):
    """Returns the largest number of `times` in any span of `window` seconds, and when it began."""
    times = sorted(times)
    best, begin, low = 0, 0.0, 0
    for high, moment in enumerate(times):
        while moment - times[low] >= window:
            low += 1
        if high - low + 1 > best:
            best, begin = high - low + 1, times[low]
    return best, begin


def main(case, folder, bounds, limit=115):
    """Runs `case(world, trouble)`, which returns the list of breaches."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    program = os.path.join(ROOT, "target", "release", "persimmon-node")
    if not os.access(program, os.X_OK):
        print("cannot run: the program of the deploy file is not built")
        sys.exit(2)

    async def run():
        world = World(os.path.join(folder, "record.txt"), bounds)
        try:
            await world.start()
            breaches = await asyncio.wait_for(case(world, trouble), limit)
            for breach in breaches:
                world.record.add("breach", breach)
                print(breach)
            return 1 if breaches else 0
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            world.record.add("case", f"cannot run: {error!r}")
            print(f"cannot run: {error!r}")
            return 2
        finally:
            world.stop()

    status = asyncio.run(run())
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[status])
    sys.exit(status)
