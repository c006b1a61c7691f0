"""Requests of a class whose repeats invokers discard by key for a stated time. The answer of the first attempt is lost and
its connection is reset shortly before that time has passed, while other requests use the connections to the invokers."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import (TROUBLE, CannotRun, ClientConnection, Controller, IdSource, Invoker, NoticeBoard, main, now, request_class,
                      request_params, settings, target)

REPEAT_WINDOW_S = 1.5  # classes[].repeat_window of the class "booking"
SLACK_S = 0.05  # "each time limit being 50 ms longer"
RESET_BEFORE_END_S = (0.02, 0.2)  # how long before the window's end the connection is reset
ROUNDS = 12
LOAD = 120  # clients that send one request after the other, for LOAD_S from LOAD_BEFORE_END_S before the window's end on
LOAD_BEFORE_END_S, LOAD_S = 0.9, 1.6
RUN_S, STATEMENT_RUN_S = 0.02, 0.25
BUDGET_MS = 4000
BOOKING_FUNCTION = "00000000000b0001"
STATEMENT_FUNCTIONS = [f"{0xa0000 + number:016x}" for number in range(4)]


async def case(record, folder, controllers):
    rng = random.Random(2)
    ids = IdSource(rng.getrandbits(30))
    effects = {}  # key -> times at which a run of it took effect
    resets = []

    async def book(run):
        key = run.fields["op"]
        if key in effects and run.arrived <= effects[key][0] + REPEAT_WINDOW_S + SLACK_S:
            record.write("repeat_discarded", key=key, ms_after_first=round((run.arrived - effects[key][0]) * 1000))
            return "data", "n=reused", b"booked " + key.encode()
        effects.setdefault(key, []).append(run.arrived)
        record.write("EFFECT" if len(effects[key]) == 1 else "EFFECT_AGAIN", key=key, invoker=run.invoker.uid,
                     ms_after_first=round((run.arrived - effects[key][0]) * 1000))
        await asyncio.sleep(RUN_S)
        if TROUBLE and key.startswith("booking") and len(effects[key]) == 1:
            # The answer is lost, and the connection is reset while the request is open on it.
            reset_at = run.arrived + REPEAT_WINDOW_S - rng.uniform(*RESET_BEFORE_END_S)
            asyncio.get_running_loop().call_later(reset_at - now(), reset_connection, run)
            return None
        return "data", "n=reused", b"booked " + key.encode()

    def reset_connection(run):
        if writer := run.invoker.writer_of(run.id):
            record.write("reset", invoker=run.invoker.uid, id=run.id)
            resets.append(run.id)
            run.invoker.reset(writer)

    async def handle(run):
        if run.fields["sort"] == "booking":
            return await book(run)
        await asyncio.sleep(STATEMENT_RUN_S)
        return "data", "n=reused", b"statement"

    invokers = [Invoker(record, f"s-0000000{i}", handle) for i in (1, 2)]
    for invoker in invokers:
        await invoker.start()
    board = NoticeBoard(record)
    await board.start()
    board.add([target(invoker.uid, invoker.endpoint) for invoker in invokers], whole=True)
    classes = [request_class("statement", "retryable", 3000.0, 4000.0),
               request_class("booking", "dedup", 3000.0, 4000.0, "all", REPEAT_WINDOW_S * 1000)]
    controller = Controller(folder, board, settings(classes, {"streams_per_conn": 4, "conn_idle": 12000.0, "send_cap": 4},
                            {"stop_sending_within": 700.0, "fall_multiple": 2.5, "overload_for": 1000.0}))
    controllers.append(controller)
    await controller.start()
    counts = {}

    async def connect(count):
        return [await ClientConnection().open(controller.port) for _ in range(count)]

    async def ask(client, class_name, function, key=None):
        request_id = ids()
        params = request_params(class_name, request_id, function, BUDGET_MS, key, "memory_mb:64;lanes:64")
        record.write("sent", id=request_id, sort=class_name, key=key)
        _, future = await client.send(params, b"")
        answer = await asyncio.wait_for(future, BUDGET_MS / 1000 + 1)
        status = answer.status if answer else None
        record.write("answered", id=request_id, status=status, key=key)
        counts[class_name, status] = counts.get((class_name, status), 0) + 1

    [first] = await connect(1)
    for number in range(24):  # functions get loaded, and their run times known
        await ask(first, "statement", STATEMENT_FUNCTIONS[number % 4])
        await ask(first, "booking", BOOKING_FUNCTION, f"first-{number}")
    first.close()

    async def load(client, number, until):
        while now() < until:
            await ask(client, "statement", STATEMENT_FUNCTIONS[number % 4])

    for number in range(ROUNDS):
        clients = await connect(5)
        booking = asyncio.ensure_future(ask(clients[0], "booking", BOOKING_FUNCTION, f"booking-{number}"))
        await asyncio.sleep(REPEAT_WINDOW_S - LOAD_BEFORE_END_S)
        until = now() + LOAD_S
        await asyncio.gather(booking, *(load(clients[1 + i % 4], i, until) for i in range(LOAD)))
        for client in clients:
            client.close()
        await asyncio.sleep(0.3)
    controller.check_alive()
    twice = [key for key, times in effects.items() if len(times) > 1]
    if not effects or (TROUBLE and not resets):
        raise CannotRun("no booking ran, or no connection was reset")
    record.say(f"bookings {len(effects)}, connections reset {len(resets)}, effects twice {len(twice)}; answers "
               + ", ".join(f"{name} {status}: {count}" for (name, status), count in sorted(counts.items(), key=str))
               + f"; trouble {int(TROUBLE)}")
    return not twice


main(os.path.dirname(os.path.abspath(__file__)), case)
