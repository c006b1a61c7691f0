"""Discovery falls silent for some seconds: watches stop and stay open, also those opened meanwhile. When it has long been
back, an invoker drains."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (TROUBLE, CannotRun, ClientConnection, Controller, IdSource, Invoker, NoticeBoard, main, now, request_class,
                      request_params, settings, target)

WARM_UP_S = 4.0
SILENCE_S = 17.0  # "longer outages of discovery" than the 8 s of the day herd+mass
DRAIN_AFTER_S = 2.0  # from the end of the silence to the drain
STOPPED_S = 4.0  # "4 s after a stop": what a stopped watch would have told counts as told by then
GRACE_S = 2.0  # rules.stop_sending_within
SLACK_S = 0.05  # "each time limit being 50 ms longer"
AFTERWARDS_S = 8.0
BUDGET_MS = 2000


async def case(record, folder, controllers):
    rng = random.Random(3)
    ids = IdSource(rng.getrandbits(30))
    runs = []  # (time, invoker)
    counts = {}

    async def handle(run):
        runs.append((run.arrived, run.invoker.uid))
        await asyncio.sleep(0.03)
        return "data", "n=reused", b"preview"

    invokers = [Invoker(record, f"s-0000000{i}", handle) for i in (1, 2, 3)]
    for invoker in invokers:
        await invoker.start()
    board = NoticeBoard(record)
    await board.start()
    board.add([target(invoker.uid, invoker.endpoint) for invoker in invokers], whole=True)
    controller = Controller(folder, board, settings([request_class("preview-render", "retryable", 1500.0, 4000.0)]))
    controllers.append(controller)
    await controller.start()
    over = False

    async def ask(client, function):
        request_id = ids()
        record.write("sent", id=request_id)
        _, future = await client.send(request_params("preview-render", request_id, function, BUDGET_MS), b"")
        answer = await asyncio.wait_for(future, BUDGET_MS / 1000 + 1)
        status = answer.status if answer else None
        record.write("answered", id=request_id, status=status)
        counts[status] = counts.get(status, 0) + 1

    async def client(number):
        connection = await ClientConnection().open(controller.port)
        while not over:
            await ask(connection, f"{0x7f3a9c21e0b4d600 + rng.randrange(12):016x}")
            await asyncio.sleep(rng.uniform(0.05, 0.15))
        connection.close()

    clients = [asyncio.ensure_future(client(number)) for number in range(6)]
    await asyncio.sleep(WARM_UP_S)
    silent = TROUBLE
    board.is_silent = lambda: silent
    if TROUBLE:
        record.write("BOARD_FALLS_SILENT")
        board.stop_open_connections()
    await asyncio.sleep(SILENCE_S)
    silent = False
    record.write("BOARD_SERVES_NEW_CONNECTIONS")
    await asyncio.sleep(DRAIN_AFTER_S)
    draining = invokers[0]
    board.add([target(draining.uid, draining.endpoint, "draining")])
    drained_at = now()
    latest = drained_at + (STOPPED_S if TROUBLE else 0) + GRACE_S + SLACK_S
    await asyncio.sleep(STOPPED_S + GRACE_S + AFTERWARDS_S)
    over = True
    await asyncio.gather(*clients)
    controller.check_alive()
    before = sum(uid == draining.uid and at < drained_at for at, uid in runs)
    late = [at for at, uid in runs if uid == draining.uid and at > latest]
    if not before:
        raise CannotRun("the invoker got no work before its drain")
    record.say(f"answers {counts}; runs at {draining.uid} before its drain {before}, later than allowed {len(late)}"
               + (f", the last {max(late) - drained_at:.2f} s after the drain (allowed {latest - drained_at:.2f} s)" if late
                  else "") + f"; trouble {int(TROUBLE)}")
    return not late


main(os.path.dirname(os.path.abspath(__file__)), case)
