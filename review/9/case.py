"""Case 9: SIGHUP names another address of the notice board, and the file read then holds a drain in `known`. The board
is slow to tell its first event; the controller goes on sending to the invoker that drains."""
import os, sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins2 import *

SLOW_S = 7.0          # from a connect to the board's first event; 0.1 s without the disruption
TOLD_S = 4.0          # after SIGHUP what the board has to tell counts as told
GRACE_S = 0.5 + 0.05  # quito-lector's, and 50 ms for each time limit on sockets
ROUNDS, PER_S, FUNCTIONS, INVOKERS = 3, 60, 12, 8


class SlowBoard(Board):
    """Tells the first event of each connection `wait` seconds after it came up; nothing else is slow."""
    wait = 0.0

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        await asyncio.sleep(self.wait)
        await Board._serve(self, reader, writer)


async def case(record, work, trouble):
    random.seed(10)
    conf = settings(
        classes=[{"aim": 1200.0, "deadline": 5000.0, "group": "all", "late_value": 0.1, "name": "read-doc",
                  "repeat_window": 5000.0, "semantics": "retryable", "stream": False, "worth": 1.0}],
        realms=[], areas=["quito-dc1"], zone="quito-dc1", kinds=["w5-fast", "w5-std"],
        limits={"second_copies": False, "send_cap": 6},
        rules={"cold": 16000.0, "cold_share": 0.15, "fall_multiple": 2.5, "overload_for": 1000.0,
               "stop_sending_within": 500.0})
    invokers = [await Invoker("i%d" % i, record, run_s=0.2).open() for i in range(INVOKERS)]
    targets = [Target(i + 1, v.host, v.port) for i, v in enumerate(invokers)]
    board = await SlowBoard(targets).open()
    controller = Controller(work)
    controller.configure("%s:%d" % (board.host, board.port), board.known(conf), conf)
    await controller.start()
    watch, told, answers, clients = LoopWatch(), {}, [], []
    try:
        clients += [await Client(record).connect(controller.host, controller.port) for _ in range(4)]
        running = True

        async def load():
            due = now()
            while running:
                due += 1 / PER_S
                await asyncio.sleep(max(0, due - now()))
                client = min(clients, key=lambda c: len(c.open))
                answers.append(client.send("%016x" % random.getrandbits(64), "%016x" % random.randrange(FUNCTIONS), 5000,
                                           service="read-doc", account="", tags="memory_mb:512;lanes:8"))

        loading = asyncio.ensure_future(load())
        await asyncio.sleep(3)
        for drained in range(ROUNDS):
            # The board moves: the numbers go on, and the drain is the first event at the new address.
            moved = SlowBoard(targets, first=board.last)
            moved.wait = SLOW_S if trouble else 0.1
            await moved.open()
            targets[drained].state = "draining"
            moved.publish([targets[drained]])
            controller.configure("%s:%d" % (moved.host, moved.port), moved.known(conf), conf)
            record.write("SIGHUP: the board is at port %d, i%d drains" % (moved.port, drained))
            told[drained] = now() + TOLD_S
            controller.signal(signal.SIGHUP)
            old, board = board, moved
            asyncio.get_event_loop().call_later(1.5, old.close)  # the old address closes after 1.5 s
            await asyncio.sleep(SLOW_S + 2)
        running = False
        await loading
        await asyncio.sleep(2)
        if not controller.alive():
            return ["the controller ended"]
    finally:
        controller.end()
    late = [(run.at - told[n], run.id, n) for n in told for run in invokers[n].runs
            if run.at > told[n] + GRACE_S + watch.worst]
    record.write("requests=%d answered=%d own lag=%.3f" % (
        len(answers), sum(1 for a in answers if a.status == 200), watch.worst))
    print("%d runs at %d drained invokers over %.2f s after the drain counts as told" % (
        len(late), len({n for _, _, n in late}), GRACE_S))
    return ["drain: %s was sent to i%d %.3f s after its drain counts as told" % (request, n, after)
            for after, request, n in sorted(late, reverse=True)]


main(case, FOLDER)
