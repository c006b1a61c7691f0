"""Discovery falls silent for 8 s: watches stop and stay open, also those opened meanwhile. When it is back, an invoker
drains, and ends when nothing may be in work there any more."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (TROUBLE, CannotRun, ClientConnection, Controller, IdSource, Invoker, NoticeBoard, main, now, request_class,
                      request_params, settings, target)

WARM_UP_S = 4.0
SILENCE_S = 8.0  # "discovery is down for 8 s"
DRAIN_AFTER_S = 0.1  # from the end of the silence to the drain
STOPPED_S = 4.0  # "4 s after a stop": what a stopped watch would have told counts as told by then
GRACE_S = 0.7  # rules.stop_sending_within of delta-ledger
SLACK_S = 0.05  # "each time limit being 50 ms longer"
DRAIN_S = 5.5  # from the drain to the end of the invoker, within the 2 to 6 s that the bench's page names
RUN_S = (0.1, 0.3)
AFTERWARDS_S = 4.0
ROUNDS, CLIENTS = 3, 24
BUDGET_MS = 1200


async def case(record, folder, controllers):
    rng = random.Random(3)
    ids = IdSource(rng.getrandbits(30))
    runs = []  # (time, invoker)
    counts, answers = {}, {}

    async def handle(run):
        runs.append((run.arrived, run.invoker.uid, run.id))
        await asyncio.sleep(rng.uniform(*RUN_S))
        return "data", "n=reused", b"transferred"

    invokers = [Invoker(record, f"s-0000000{i}", handle) for i in range(1, 7)]
    for invoker in invokers:
        await invoker.start()
    board = NoticeBoard(record)
    await board.start()
    board.add([target(invoker.uid, invoker.endpoint) for invoker in invokers], whole=True)
    controller = Controller(folder, board, settings(
        [request_class("transfer", "fragile", 400.0, 1200.0)],
        {"send_cap": 4, "conn_idle": 12000.0, "streams_per_conn": 4},
        {"stop_sending_within": GRACE_S * 1000, "fall_multiple": 2.5, "overload_for": 1000.0}))
    controllers.append(controller)
    await controller.start()
    over = False

    async def ask(client, function):
        request_id = ids()
        record.write("sent", id=request_id)
        _, future = await client.send(request_params("transfer", request_id, function, BUDGET_MS), b"")
        answer = await asyncio.wait_for(future, BUDGET_MS / 1000 + 1)
        status = answer.status if answer else None
        record.write("answered", id=request_id, status=status)
        counts[status] = counts.get(status, 0) + 1
        answers[request_id] = status

    async def client(number):
        connection = await ClientConnection().open(controller.port)
        while not over:
            await ask(connection, f"{0x7f3a9c21e0b4d600 + rng.randrange(12):016x}")
            await asyncio.sleep(rng.uniform(0.05, 0.15))
        connection.close()

    clients = [asyncio.ensure_future(client(number)) for number in range(CLIENTS)]
    silent = False
    board.is_silent = lambda: silent
    late_runs, lost_work = {}, []
    for draining in invokers[:ROUNDS]:
        await asyncio.sleep(WARM_UP_S)
        silent = TROUBLE
        if TROUBLE:
            record.write("BOARD_FALLS_SILENT")
            board.stop_open_connections()
        await asyncio.sleep(SILENCE_S)
        silent = False
        record.write("BOARD_SERVES_NEW_CONNECTIONS")
        await asyncio.sleep(DRAIN_AFTER_S)
        drained_at = now()
        board.add([target(draining.uid, draining.endpoint, "draining")])
        allowed_s = (STOPPED_S if TROUBLE else 0) + GRACE_S + SLACK_S
        await asyncio.sleep(DRAIN_S)
        cut_off = draining.end()
        board.add([target(draining.uid, draining.endpoint, "removed")])
        record.write("INVOKER_ENDS", invoker=draining.uid, cut_off=cut_off)
        lost_work += cut_off
        await asyncio.sleep(AFTERWARDS_S)
        if not any(uid == draining.uid and at < drained_at for at, uid, _ in runs):
            raise CannotRun("the invoker got no work before its drain")
        late = [at - drained_at for at, uid, _ in runs if uid == draining.uid and at > drained_at + allowed_s]
        late_runs[draining.uid] = len(late)
        record.say(f"{draining.uid}: runs later than {allowed_s:.2f} s after its drain: {len(late)}"
                   + (f", the last after {max(late):.2f} s" if late else "") + f"; cut off when it ended: {len(cut_off)}")
    over = True
    await asyncio.gather(*clients)
    controller.check_alive()
    for run_id in lost_work:
        record.write("WORK_CUT_OFF", id=run_id, answered=answers.get(run_id))
    record.say(f"answers {counts}, drains {len(late_runs)}, drains broken {sum(map(bool, late_runs.values()))}, "
               f"trouble {int(TROUBLE)}")
    return not any(late_runs.values())


main(os.path.dirname(os.path.abspath(__file__)), case)
