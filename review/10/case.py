"""An entry of another writer, which names no instance, keeps a primary that leaves from being replaced."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import standins  # noqa: E402

BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 4, "DrainMs": 7000,
    "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 3000, "DowngradeSlackMs": 250, "SkewMaxMs": 12000,
    "RecoverS": 12, "Fencing": True, "ThawSlackMs": 300,
}
DRAIN_AT_S, WATCHED_S = 10.0, 22.0


async def load(world, node, until):
    client = standins.Client(world, f"c-{node.name}", node, "ledger", "key")
    count = 0
    while time.monotonic() < until:
        try:
            if client.writer is None and await client.connect() != "READY I -":
                raise OSError("refused")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            client.writer = None
            await asyncio.sleep(0.2)
            continue
        count += 1
        text = f"WRITE a {node.name}-{count}" if count % 3 == 0 else "READ a"
        _number, _rows, _result, state = await client.query(text)
        if state != "I":
            client.close()
            client.writer = None
        await asyncio.sleep(0.1)
    client.close()


def foreign_entry():
    """Returns an entry as another writer may leave it: Version, ColdLeftMs and born are missing."""
    return {
        "Service": "order-ledger",
        "Addr": f"127.0.0.1:{standins.closed_port()}",
        "Zone": "zb",
        "Capacity": 3,
        "State": "ready",
        "DbRole": "replica",
        "Sequence": 1,
    }


async def case(world, trouble):
    service = await world.service("order-ledger", ["za", "zb", "zc"], service={"promote_s": 0.6})
    world.store.put_json("op/config", {
        "Version": 7,
        "Routes": [{"Name": "r-1", "Host": "ledger", "Prefix": "/", "Kind": "primary", "TimeoutMs": 800,
                    "GoalMs": 150, "Priority": 1, "Service": "order-ledger", "Attempts": 2, "Public": False}],
        "Services": [{"Name": "order-ledger", "HealthPath": "/healthz", "MaxConns": 22, "Protocol": "h1",
                      "TlsMode": False, "SyncReplicas": 1}],
        "Limits": {"TxIdleMs": 3000},
    })
    begun = time.monotonic()
    nodes = [world.node("vm-a", "za"), world.node("vm-b", "zb"), world.node("vm-c", "zc")]
    for node in nodes:
        node.start()
    await world.await_ready(nodes)
    await asyncio.sleep(max(0.0, DRAIN_AT_S - (time.monotonic() - begun)))
    until = time.monotonic() + WATCHED_S
    loads = [world.spawn(load(world, node, until)) for node in nodes]
    await asyncio.sleep(1.0)
    # The release of the primary: the new instance starts first, then the old one drains.
    old = service.primary()
    new = standins.Instance(service, "i-order-ledger-new", "replica", "za")
    await new.start()
    await asyncio.sleep(1.0)
    if trouble:
        entry = foreign_entry()
        world.store.put_json("servers/i-of-another-writer", entry)
        world.record.add("store", f"another writer puts servers/i-of-another-writer = {entry}")
    await asyncio.sleep(1.0)
    acknowledged = old.drain()
    await asyncio.gather(*loads)
    bound = BOUNDS["DrainMs"] / 1000
    late = [run for run in world.runs if run[1] is old and run[0] > acknowledged + bound]
    leader = service.primary()
    text = f"{len(late)} statements reached {old.id} later than {bound} s after it was acknowledged as draining"
    world.record.add("drain", text)
    world.record.add("drain", f"the primary at the end is {leader.id if leader else '-'}")
    print(text)
    return [f"DRAIN {text}"] if late else []


standins.main(case, HERE, BOUNDS)
