"""A VM that the store turns away goes on to grant rate limits beside the VM that has taken its place."""

import asyncio
import os
import sys
import time

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))

import standins  # noqa: E402

BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 5000, "AckMs": 8000, "CatchUpS": 6, "DrainMs": 10000,
    "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 5000, "DowngradeSlackMs": 250, "SkewMaxMs": 15000,
    "StrictRevoke": False, "RevokeMs": 5000, "QuotaWindowS": 5, "QuotaExcess": 0.1, "QuotaSlack": 20,
    "RecoverS": 15, "Fencing": True, "ThawSlackMs": 300,
}
RATE, BURST = 120.0, 10.0
TENANTS = ["tenant1", "tenant5"]


async def flood(world, node, tenant, until):
    """Sends reads as fast as they are answered, which is beyond the tenant's limit."""
    client = standins.Client(world, f"c-{node.name}", node, "boards", f"key-{tenant}")
    while time.monotonic() < until:
        if client.writer is None:
            try:
                if await client.connect() != "READY I -":
                    raise OSError("refused")
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                client.writer = None
                await asyncio.sleep(0.2)
                continue
        _number, _rows, result, _state = await client.query("READ a")
        if result is None or result.startswith("no answer"):
            client.close()
            client.writer = None
        elif result != "DONE":
            await asyncio.sleep(0.1)
    client.close()


# The store turns this VM away from shortly before a renewal of its entry on.
TURNED_AWAY, AT_S, FOR_S = "vm-a", 12.0, 9.0
FLOOD_S = 13.5


async def case(world, trouble):
    state = {"until": 0.0, "renewed": 0.0}

    def fault(door, _method, path, _body):
        if door == TURNED_AWAY and "/kv-keep/" in path and not state["until"]:
            state["renewed"] = time.monotonic()
        if trouble and door == TURNED_AWAY and time.monotonic() < state["until"]:
            return ("status", 503)
        return None

    world.store.fault = fault
    await world.service("boards-db-1", ["za", "zb", "zc"], capacity=6, max_conns=60)
    world.store.put_json("op/config", {
        "Version": 7,
        "Routes": [{"Name": "r-1", "Host": "boards", "Prefix": "/", "Kind": "bounded", "TimeoutMs": 1000,
                    "GoalMs": 400, "Priority": 1, "Service": "boards-db-1", "Attempts": 2,
                    "MaxStalenessMs": 2500, "Public": False}],
        "Services": [{"Name": "boards-db-1", "HealthPath": "/healthz", "MaxConns": 60, "Protocol": "h1",
                      "TlsMode": False, "SyncReplicas": 1}],
        "Limits": {"TxIdleMs": 3000},
        "Tenants": [{"Name": name, "ApiKeys": [f"key-{name}"], "Priority": 1, "RatePerS": RATE,
                     "Burst": BURST} for name in TENANTS],
    })
    begun = time.monotonic()
    nodes = [world.node(name, zone, store=await world.store.door(name))
             for name, zone in (("vm-a", "za"), ("vm-b", "zb"), ("vm-c", "zc"))]
    for node in nodes:
        node.start()
    await world.await_ready(nodes)
    await asyncio.sleep(max(0.0, AT_S - (time.monotonic() - begun)))
    while time.monotonic() - state["renewed"] < 1.8:
        await asyncio.sleep(0.02)
    until = time.monotonic() + FLOOD_S
    floods = [world.spawn(flood(world, node, tenant, until)) for node in nodes for tenant in TENANTS
              for _one in range(3)]
    while time.monotonic() - state["renewed"] < 1.8:
        await asyncio.sleep(0.02)
    state["until"] = time.monotonic() + FOR_S
    world.record.add("store", f"turns {TURNED_AWAY} away for {FOR_S} s: {trouble}")
    await asyncio.gather(*floods)
    bound = (RATE * BOUNDS["QuotaWindowS"] + BURST) * (1 + BOUNDS["QuotaExcess"]) + BOUNDS["QuotaSlack"]
    breaches = []
    for tenant in TENANTS:
        times = [run[0] for run in world.runs if run[3] == tenant]
        count, begin = standins.most_in_window(times, BOUNDS["QuotaWindowS"])
        text = f"{tenant}: {count} reads ran in 5 s from {begin - world.record.start:.1f} s; bound {bound:.0f}"
        world.record.add("quota", text)
        print(text)
        if count > bound:
            breaches.append(f"QUOTA {text}")
    return breaches


standins.main(case, HERE, BOUNDS)
