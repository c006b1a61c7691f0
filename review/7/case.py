"""Case 7: bad clients send records of an unknown type without end; usual requests get their answer too late."""
import os, sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins2 import *

DESCRIPTORS, BAD_PROCESSES, BAD_EACH, USUAL_CONNECTIONS = 256, 3, 22, 10
SECONDS, PER_S, FUNCTIONS, BUDGET_MS = 20, 20, 20, 1500
BOUND_S = 0.5 + 0.05  # after the request's time: the rule's half second, and 50 ms for each time limit on sockets


async def case(record, work, trouble):
    random.seed(7)
    conf = settings(realms=[{"fraction": 1.0, "name": "pohjola-tracks", "quota_per_s": 400.0}])
    invokers = [await Invoker("i%d" % i, record, run_s=0.1).open() for i in range(8)]
    board = await Board([Target(i + 1, v.host, v.port) for i, v in enumerate(invokers)]).open()
    controller = Controller(work)
    controller.configure("%s:%d" % (board.host, board.port), board.known(conf), conf, sockets=DESCRIPTORS)
    await controller.start()
    bad, requests = [], []
    try:
        clients = [await Client(record).connect(controller.host, controller.port) for _ in range(USUAL_CONNECTIONS)]

        def send(index):
            client = clients[index % USUAL_CONNECTIONS]
            return client.send("%016x" % random.getrandbits(64), "%016x" % random.randrange(FUNCTIONS), BUDGET_MS)

        for index in range(60):  # the controller learns the functions
            send(index)
            await asyncio.sleep(0.02)
        await asyncio.sleep(1)
        watch = LoopWatch()
        if trouble:
            record.write("%d bad connections send unknown records" % (BAD_PROCESSES * BAD_EACH))
            bad = [subprocess.Popen([sys.executable, os.path.join(FOLDER, "flood.py"), controller.host,
                                     str(controller.port), str(BAD_EACH), str(SECONDS + 5)]) for _ in range(BAD_PROCESSES)]
            await asyncio.sleep(1)
        start = now()
        for index in range(SECONDS * PER_S):
            await asyncio.sleep(max(0, start + index / PER_S - now()))
            slot = index % USUAL_CONNECTIONS
            if clients[slot].closed:
                clients[slot] = await Client(record).connect(controller.host, controller.port)
            if len(clients[slot].open) < 32:
                requests.append(send(index))
        await asyncio.wait([a.future for a in requests], timeout=10)
        if not controller.alive():
            return ["the controller ended"]
    finally:
        for process in bad:
            process.kill()
            process.wait()
        controller.end()
    times = sorted((a.at or float("inf")) - a.sent_at for a in requests)
    statuses = {}
    for a in requests:
        statuses[a.status] = statuses.get(a.status, 0) + 1
    record.write("requests=%d answered after %.3f (median) and %.3f s (longest), own lag=%.3f, statuses=%s" % (
        len(times), times[len(times) // 2], times[-1], watch.worst, statuses))
    # A request on a connection that the controller closed within 50 ms would be sent again: not counted.
    broken = ["lost: %s was answered %.3f s after it was sent, its time was %.3f s" %
              (a.id, (a.at or float("inf")) - a.sent_at, BUDGET_MS / 1000) for a in requests
              if not a.lost and (a.at is None or a.at - a.sent_at > BUDGET_MS / 1000 + BOUND_S + watch.worst)]
    print("%d of %d requests were answered over %.2f s after their time, the longest took %.1f s" % (
        len(broken), len(requests), BOUND_S, times[-1]))
    return broken


main(case, FOLDER)
