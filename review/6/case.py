"""A replica that joins while a number is being claimed confirms a commit that the successor lacks."""

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
# Answers of the store take 90 times as long as the usual 4 ms, for 5 s.
SLOW_S, SLOW_FOR_S = 0.36, 5.0
# The cut of the primary lasts for so long.
CUT_FOR_S = 6.0
# One round is played on each group, one after the other: the new instance of the release starts so long after the
# cut began. Which VM decides, and so when, differs between the groups.
GROUPS = {"ledger-1": 0.68, "ledger-2": 0.82, "ledger-3": 0.82}


async def later(delay, act):
    await asyncio.sleep(delay)
    act()


def heal(primary, replicas):
    primary.cut = set()
    for one in replicas:
        one.deaf = False


async def play_round(world, service, database, nodes, state, trouble):
    """Plays one cut of a primary beside a release, and returns the breaches."""
    # The VM that stays in reach of the primary, and another one whose commit is the last before the cut.
    told, before = [standins.Client(world, f"c-{node.name}", node, database, "key") for node in nodes[:2]]
    for client in (told, before):
        if await client.connect() != "READY I -":
            raise standins.CannotRun("a caller is refused")
        await client.query("WRITE a first")
    old = service.primary()
    replicas = [one for one in service.instances.values() if one is not old]
    state["slow"] = trouble
    world.spawn(later(SLOW_FOR_S, lambda: state.update(slow=False)))
    await asyncio.sleep(1.0)
    await before.query("WRITE a before-the-cut")
    world.record.add("database", f"{old.id} is partitioned from its replicas, vm-b and vm-c: {trouble}")
    if trouble:
        for one in replicas:
            one.deaf = True
        old.cut = {"vm-b", "vm-c"}
        world.spawn(later(CUT_FOR_S, lambda: heal(old, replicas)))
    begun = time.monotonic()
    pending = world.spawn(told.query("WRITE a behind-the-cut"))
    await asyncio.sleep(max(0.0, GROUPS[service.name] - (time.monotonic() - begun)))
    new = standins.Instance(service, f"i-{service.name}-new", "replica", "za")
    await new.start()
    world.record.add("database", f"{new.id} starts")
    number, _rows, result, _state = await pending
    await asyncio.sleep(3.0)
    leader = service.primary()
    held = any(entry[1] == number for entry in leader.log)
    text = f"commit {number} was answered {result}; {leader.id} leads term {service.term}, holds it: {held}"
    world.record.add("lost", text)
    print(text)
    for client in (told, before):
        client.close()
    return [f"LOST {text}"] if result == "DONE" and not held else []


async def case(world, trouble):
    state = {"slow": False}
    world.store.fault = lambda _door, _method, _path, _body: ("slow", SLOW_S) if state["slow"] else None
    services = [await world.service(name, ["za", "zb", "zc"], service={"promote_s": 0.6}) for name in GROUPS]
    route = {"Prefix": "/", "Kind": "primary", "TimeoutMs": 2000, "GoalMs": 500, "Priority": 1, "Attempts": 2,
             "Public": False}
    limits = {"HealthPath": "/healthz", "MaxConns": 22, "Protocol": "h1", "TlsMode": False, "SyncReplicas": 1}
    world.store.put_json("op/config", {
        "Version": 7,
        "Routes": [dict(route, Name=f"r-{name}", Host=f"db-{name}", Service=name) for name in GROUPS],
        "Services": [dict(limits, Name=name) for name in GROUPS],
        "Limits": {"TxIdleMs": 3000},
    })
    nodes = [world.node("vm-a", "za"), world.node("vm-b", "zb"), world.node("vm-c", "zc")]
    for node in nodes:
        node.start()
    await world.await_ready(nodes)
    await asyncio.sleep(9)
    breaches = []
    for service in services:
        breaches += await play_round(world, service, f"db-{service.name}", nodes, state, trouble)
        await asyncio.sleep(8)
    return breaches


standins.main(case, HERE, BOUNDS)
