"""Commits that a VM holds during a decision are told when the decision has ended, though the successor
lacks them."""

import asyncio
import pathlib
import sys

sys.dont_write_bytecode = True

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))
import standins  # noqa: E402

ROUTE_TIMEOUT_MS = 2000


def config():
    return {"Version": 1, "Limits": {"TxIdleMs": 3000},
            "Services": [{"Name": "ledger", "HealthPath": "/healthz", "MaxConns": 60, "SyncReplicas": 1}],
            "Routes": [{"Name": "r-1", "Host": "orders", "Prefix": "/", "Kind": "primary",
                        "TimeoutMs": ROUTE_TIMEOUT_MS, "GoalMs": 500, "Priority": 1, "Service": "ledger"}]}


async def write(site, vm, number, told, begin):
    """A client that writes now and then, and once at `begin`."""
    client = standins.Client(site.record, vm, "orders", "client")
    await client.open()
    count = 0
    while standins.now() < begin + 6:
        ident = f"{vm.name}-{number}-{count}"
        count += 1
        try:
            result, _rows, _ready = await client.query(ident, f"WRITE item{number} {ident}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            client.close()
            await asyncio.sleep(0.2)
            client = standins.Client(site.record, vm, "orders", "client")
            await client.open()
            continue
        if result.startswith("DONE"):
            told.append((standins.now(), ident))
        pause = 0.2 if standins.now() < begin - 0.3 else 0.5
        await asyncio.sleep(pause)


async def case(site):
    service = await site.service("ledger", [("i-1", "zone-a", "primary"), ("i-2", "zone-b", "replica"),
                                            ("i-3", "zone-c", "replica")])
    site.store.put_json("op/config", config())
    vms = [site.vm("vm-a", "zone-a"), site.vm("vm-b", "zone-b"), site.vm("vm-c", "zone-c")]
    for vm in vms:
        vm.start()
    for vm in vms:
        await vm.await_ready()
    # VMs decide only after they have followed the list for a while.
    await asyncio.sleep(5)
    told = []
    begin = standins.now() + 2
    writers = [asyncio.create_task(write(site, vm, number, told, begin))
               for vm in vms for number in range(3)]
    await asyncio.sleep(2)
    if standins.trouble():
        site.record.say("disruption: the primary i-1 is partitioned from its replicas and from the core")
        service.instances["i-2"].deaf = service.instances["i-3"].deaf = True
        service.cut.add("i-1")
        # The store's answers are lost: one write of a replica, its next report of a change, comes late.
        service.late_reports = {"i-2": 2.0, "i-3": 2.0}
    end = standins.now() + 3
    while standins.trouble() and not site.cloud.calls and standins.now() < end:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.15)
    # Planned work: a replacement of i-3 starts before that one leaves.
    site.record.say("planned: the replacement i-4 joins")
    await service.add("i-4", "zone-a", "replica")
    service.instances["i-4"].log = list(service.instances["i-1"].log)
    await asyncio.sleep(1)
    leaver = service.instances["i-3"]
    leaver.state = "draining"
    service.beat(leaver)
    if standins.trouble():
        await asyncio.sleep(2.5)
        service.cut.clear()
        for name in ("i-2", "i-3"):
            service.instances[name].deaf = False
    await asyncio.gather(*writers)
    await asyncio.sleep(0.5)
    primary = service.primary()
    kept = {entry[2] for entry in primary.log}
    lost = [(moment, ident) for moment, ident in told if ident not in kept]
    for moment, ident in lost:
        site.record.say(f"the client of {ident} was told at {moment:.3f} s that it is committed; it is not in"
                        f" the log of {primary.name}")
    site.record.say("commits told:", len(told), "lost:", len(lost))
    return not lost


standins.main(case, HERE)
