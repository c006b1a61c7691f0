"""Stand-ins for the review's cases 6 to 10: FastCGI clients, invokers, the notice board, and the controller's process.
They use the standard library only, listen on 127.0.0.0/8 and read the machine's clocks without changing them."""
import asyncio, json, logging, os, random, resource, shutil, signal, socket, struct, subprocess, sys, tempfile, time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


logging.disable(logging.CRITICAL)  # asyncio's own messages about connections that end


class CannotRun(Exception):
    """The case could not be set up: exit status 2."""


def now():
    return time.time()


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Record:
    """record.txt: one line for each thing sent, answered or run, with seconds since the start."""

    def __init__(self, path):
        self.file, self.start = open(path, "w"), now()

    def write(self, text):
        self.file.write("%9.4f %s\n" % (now() - self.start, text))

    def close(self):
        self.file.close()


# ---------------------------------------------------------------- settings of a small deployment

def settings(**changes):
    """The settings of the wire page's example, with few controllers. A change such as limits={...} is merged."""
    base = {
        "areas": ["espoo-hall"], "kinds": ["full-5c", "slow-5c"], "callers": {"marks_retry": True},
        "charges": {"probe": 0.0088, "waste": 0.08, "origin": 0.05, "late_fail": 0.033},
        "classes": [{"aim": 1500.0, "deadline": 4000.0, "group": "all", "late_value": 0.1, "name": "preview-render",
                     "repeat_window": 5000.0, "semantics": "retryable", "stream": False, "worth": 1.0}],
        "discovery": "automatic", "family": "warm",
        "family_info": {"answer_within": 10000.0, "free_loads": 0.0, "if_cold": "load", "linger_idle": 8300.0,
                        "load_span": 0.0, "loads_per_request": 0.0, "may_order": False, "memory_price": 0.0,
                        "ram_mb_by_kind": [24064.0, 22208.0], "says_company": True, "warm_notes": True},
        "fleet_size": 1, "goal": {"whole": 0.8, "worst_class": 0.0, "worst_tenant": 0.1, "worst_window": 0.1},
        "limits": {"conn_idle": 30000.0, "connect_timeout": 250.0, "cpu_us_per_request": 0.0,
                   "cpu_us_per_s": 610422, "max_retry_after": 2000.0, "may_cancel": True, "open_cap": 30521,
                   "peers": False, "probes": True, "retry_after": True, "second_copies": True, "send_cap": 5,
                   "streams_per_conn": 32},
        "over_share_worth": 0.2, "quantum": 2.0,
        "realms": [{"fraction": 0.39, "name": "pohjola-tracks", "quota_per_s": 50.0},
                   {"fraction": 0.31, "name": "kajo-records", "quota_per_s": 40.0},
                   {"fraction": 0.3, "name": "saari-sound", "quota_per_s": 38.0}],
        "report": {"fields": ["active", "waiting"], "how": "pull"},
        "rules": {"cold": 16000.0, "cold_share": 0.16, "fall_multiple": 2.0, "grace_to_answer": 8.0,
                  "must_ask_in": 10000.0, "overload_for": 2000.0, "stop_sending_within": 2000.0},
        "slot_no": 0, "stages": ["render-fleet"], "tier": 0, "weight_source": "nominal", "worth_by": "request",
        "zone": "espoo-hall"}
    for key, value in changes.items():
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            base[key] = {**base[key], **value}
        else:
            base[key] = value
    return base


# ---------------------------------------------------------------- the notice board

class Target:
    """One invoker in the list."""

    def __init__(self, number, host, port, state="up", started_ms=0, weight=1.0, zone=0, cell=0, kind=0):
        self.number, self.host, self.port, self.state = number, host, port, state
        self.started_ms, self.weight, self.zone, self.cell, self.kind = started_ms, weight, zone, cell, kind

    @property
    def uid(self):
        return "s-%08x" % self.number

    def record(self):
        return struct.pack(">I4sHBBBHIQ", self.number, socket.inet_aton(self.host), self.port,
                           ["up", "draining", "removed"].index(self.state), self.zone, self.kind, self.cell,
                           int(self.weight * 1000), int(self.started_ms))

    def known(self, conf):
        return {"uid": self.uid, "endpoint": "%s:%d" % (self.host, self.port), "az": conf["areas"][self.zone],
                "model": conf["kinds"][self.kind], "pod_group": self.cell, "state": self.state,
                "capacity_hint": self.weight, "boot_ms": int(self.started_ms)}


class Board:
    """The notice board. `frames` holds every event since the start of the case, numbered from `first`."""

    def __init__(self, targets, first=1):
        self.targets = {t.number: t for t in targets}
        self.first = self.last = first
        self.frames, self.connections, self.server, self.silent = {}, set(), None, False

    def known(self, conf):
        entries = [t.known(conf) for t in self.targets.values() if t.state != "removed"]
        return {"rev": self.last, "notices": [{"rev": self.last, "pool": {"rev": self.last, "all": True,
                                                                          "targets": entries}}]}

    async def open(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        return self

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            since = struct.unpack(">Q", await reader.readexactly(8))[0]
            while True:
                for number in range(since + 1, self.last + 1):
                    writer.write(self.frames[number])
                since = self.last
                writer.write(struct.pack(">IQB", 9, self.last, 0))
                await writer.drain()
                self._wake = self._wake if getattr(self, "_wake", None) else asyncio.Event()
                try:
                    await asyncio.wait_for(self._wake.wait(), 1.0)
                except asyncio.TimeoutError:
                    pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def publish(self, changed):
        """Puts an event with these changed targets into the board."""
        for t in changed:
            self.targets[t.number] = t
        self.last += 1
        payload = b"".join(t.record() for t in changed)
        self.frames[self.last] = struct.pack(">IQB", 9 + len(payload), self.last, 2) + payload
        wake, self._wake = getattr(self, "_wake", None), None
        if wake:
            wake.set()
        return now()

    def close(self):
        self.server.close()
        for w in list(self.connections):
            w.transport.abort()


# ---------------------------------------------------------------- invokers

class Run:
    def __init__(self, conn, request_id, fields, body, at):
        self.conn, self.id, self.fields, self.body, self.at, self.stopped = conn, request_id, fields, body, at, False


class Invoker:
    """An invoker that runs each request in `run_s` and answers with a body made for its id. on_run(run) may replace
    this: it is a coroutine that returns (word, fields, body) or None for no answer."""

    def __init__(self, name, record=None, run_s=0.05, on_run=None):
        self.name, self.record, self.run_s, self.on_run = name, record, run_s, on_run
        self.runs, self.active, self.connections, self.server, self.loaded = [], 0, set(), None, {}

    async def open(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, host, port, backlog=1024)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        return self

    def note(self, text):
        if self.record:
            self.record.write("%s %s" % (self.name, text))

    async def _serve(self, reader, writer):
        open_runs = {}
        self.connections.add(writer)
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                words = line.decode().split()
                if words[0] == "RUN":
                    body = await reader.readexactly(int(words[3]))
                    if await reader.readexactly(2) != b"\r\n":
                        raise ValueError("no CR LF after the body")
                    fields = dict(f.split("=", 1) for f in words[2].split(",")) if words[2] != "-" else {}
                    run = Run(writer, words[1], fields, body, now())
                    self.runs.append(run)
                    self.note("run %s patience=%s" % (words[1], fields.get("patience")))
                    open_runs[words[1]] = run
                    asyncio.ensure_future(self._run(run, open_runs))
                elif words[0] == "STOP":
                    self.note("stop %s" % words[1])
                    if words[1] in open_runs:
                        open_runs.pop(words[1]).stopped = True
                else:
                    report = " l=active:%d;waiting:0 0" % self.active if words[0] == "INFO" else " - 0"
                    writer.write((words[1] + " well" + report + "\r\n\r\n").encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            for run in open_runs.values():
                run.stopped = True
            self.connections.discard(writer)
            writer.close()

    async def _run(self, run, open_runs):
        self.active += 1
        try:
            answer = await (self.on_run(run) if self.on_run else self.plain(run))
        finally:
            self.active -= 1
        if open_runs.get(run.id) is run:
            del open_runs[run.id]
        if answer is None or run.stopped:
            return
        word, fields, body = answer
        self.note("answers %s %s" % (run.id, word))
        try:
            run.conn.write(("%s %s %s %d\r\n" % (run.id, word, fields, len(body))).encode() + body + b"\r\n")
        except OSError:
            pass

    async def plain(self, run):
        await asyncio.sleep(self.run_s)
        return "data", "n=reused", self.made(run)

    def made(self, run):
        return ("made by %s for %s" % (self.name, run.id)).encode()

    def close(self):
        self.server.close()
        for w in list(self.connections):
            w.transport.abort()


# ---------------------------------------------------------------- clients

def fcgi_record(kind, request_id, content):
    return struct.pack(">BBHHBB", 1, kind, request_id, len(content), 0, 0) + content


def fcgi_pair(name, value):
    def length(n):
        return bytes([n]) if n < 128 else struct.pack(">I", n | 0x80000000)
    name, value = name.encode(), value.encode()
    return length(len(name)) + length(len(value)) + name + value


def fcgi_request(request_id, params, body=b""):
    text = b"".join(fcgi_pair(k, v) for k, v in params.items())
    out = fcgi_record(1, request_id, struct.pack(">HB5x", 1, 1)) + fcgi_record(4, request_id, text)
    out += fcgi_record(4, request_id, b"")
    if body:
        out += fcgi_record(5, request_id, body)
    return out + fcgi_record(5, request_id, b"")


class LoopWatch:
    """How late this process's own loop was at worst: added to the bounds of what is timed here."""

    def __init__(self):
        self.worst = 0.0
        self.task = asyncio.ensure_future(self._watch())

    async def _watch(self):
        while True:
            due = now() + 0.005
            await asyncio.sleep(0.005)
            self.worst = max(self.worst, now() - due)


class Answer:
    """What a request got: status 0 means no whole answer."""

    def __init__(self, wire_id):
        self.id, self.status, self.body, self.at, self.protocol_status = wire_id, 0, b"", None, None
        self.sent_at, self.lost, self.extra, self.backoff_ms = None, False, 0, 0

    @property
    def refused(self):
        return self.status in (429, 503) or self.protocol_status == 2


class Client:
    """One connection of a web server of the front."""

    kept = []  # every connection: a client that nothing refers to would be closed early

    def __init__(self, record=None):
        Client.kept.append(self)
        self.record, self.open, self.text, self.numbers, self.closed, self.done = record, {}, {}, 0, False, set()

    async def connect(self, host, port):
        self.reader, self.writer = await asyncio.open_connection(host, port)
        self.task = asyncio.ensure_future(self._read())
        self.free_at = now()
        return self

    def send(self, wire_id, function, budget_ms, body=b"", service="preview-render", account="pohjola-tracks",
             tags="memory_mb:512;lanes:1", extra=None):
        self.numbers = self.numbers % 60000 + 1
        number = self.numbers
        params = {"SCRIPT_NAME": "/invoke/" + service, "HTTP_REQUEST_ID": wire_id, "HTTP_BUDGET_MS": "%g" % budget_ms,
                  "HTTP_ACCOUNT": account, "HTTP_RESOURCE_KEY": function, "HTTP_X_TAGS": tags, **(extra or {})}
        answer = Answer(wire_id)
        answer.number, answer.budget_ms, answer.sent_at = number, budget_ms, now()
        answer.future = asyncio.get_event_loop().create_future()
        self.open[number] = answer
        if self.record:
            self.record.write("client sends %s budget=%g" % (wire_id, budget_ms))
        self.writer.write(fcgi_request(number, params, body))
        return answer

    def abort(self, answer):
        self.open.pop(answer.number, None)
        if self.record:
            self.record.write("client aborts %s" % answer.id)
        self.writer.write(fcgi_record(2, answer.number, b""))

    async def health(self):
        self.numbers += 1
        answer = Answer("health")
        answer.number, answer.sent_at = self.numbers, now()
        answer.future = asyncio.get_event_loop().create_future()
        self.open[self.numbers] = answer
        self.writer.write(fcgi_request(self.numbers, {"SCRIPT_NAME": "/_health"}))
        await asyncio.wait_for(answer.future, 5)
        return answer.status

    async def _read(self):
        try:
            while True:
                head = await self.reader.readexactly(8)
                _, kind, number, length, padding, _ = struct.unpack(">BBHHBB", head)
                content = (await self.reader.readexactly(length + padding))[:length]
                if kind == 6:
                    self.text[number] = self.text.get(number, b"") + content
                elif kind == 3:
                    self._finish(number, self.text.pop(number, b""), content[4])
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.closed = True
        for answer in self.open.values():
            answer.lost = True
            if not answer.future.done():
                answer.future.set_result(answer)
        if self.record and self.open:
            self.record.write("client connection ends with %d open" % len(self.open))
        self.writer.close()

    def _finish(self, number, text, protocol_status):
        answer = self.open.pop(number, None)
        if answer is None:
            return
        head, _, body = text.partition(b"\r\n\r\n")
        for line in head.decode().split("\r\n"):
            if line.startswith("Status: "):
                answer.status = int(line[8:11])
            if line.startswith("Back-Off-Ms: "):
                answer.backoff_ms = int(line[13:])
        answer.body, answer.at, answer.protocol_status = body, now(), protocol_status
        if self.record:
            self.record.write("client gets %s %d" % (answer.id, answer.status))
        if not answer.future.done():
            answer.future.set_result(answer)

    def close(self):
        self.writer.transport.abort()


# ---------------------------------------------------------------- the controller

class Controller:
    """The program of the deploy file's `run`, started by /bin/sh -c from the root."""

    def __init__(self, folder, name="n1", debug=False):
        self.folder, self.name, self.process, self.debug = folder, name, None, debug
        self.file = os.path.join(folder, name + ".json")
        self.host, self.port = "127.0.0.1", free_port()

    def configure(self, board_address, known, conf, memory_mb=192, sockets=1024, seed="8c1f30d27a5be964"):
        text = json.dumps({"name": self.name, "listen": "%s:%d" % (self.host, self.port), "seed": seed,
                           "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                           "board": board_address, "known": known, "settings": conf})
        with open(self.file + ".new", "w") as f:
            f.write(text)
        os.rename(self.file + ".new", self.file)

    async def start(self, timeout=20):
        run = None
        for line in open(os.path.join(ROOT, "deploy", "balancer.toml")):
            if line.startswith("run = "):
                run = json.loads(line[6:])
        if not run:
            raise CannotRun("the deploy file has no run")
        env = dict(os.environ, EDGE_NAME=self.name, EDGE_CONFIG=self.file,
                   EDGE_LISTEN="%s:%d" % (self.host, self.port), TMPDIR=self.folder)
        if self.debug:
            env["PLUMKEEL_LOG"] = "debug"
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log, start_new_session=True)
        end = now() + timeout
        while now() < end:
            if self.process.poll() is not None:
                raise CannotRun("the controller ended with status %s" % self.process.returncode)
            try:
                client = await Client().connect(self.host, self.port)
                if await client.health() == 200:
                    client.close()
                    return self
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the controller is not ready")

    @property
    def pid(self):
        return self.process.pid

    def signal(self, number):
        self.process.send_signal(number)

    def alive(self):
        return self.process.poll() is None

    def status_value(self, key):
        for line in open("/proc/%d/status" % self.pid):
            if line.startswith(key):
                return int(line.split()[1])

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.pid))

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        if self.process:
            self.log.close()


def main(case, folder):
    """Runs case(record, work_folder, trouble) -> list of broken rules; exits with 1, 0 or 2 as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 4096) if hard > 0 else 4096, hard))
    record = Record(os.path.join(folder, "record.txt"))
    work = tempfile.mkdtemp()
    status = 2
    try:
        if not os.path.exists(os.path.join(ROOT, "build/platform/bin/plumkeel")):
            raise CannotRun("the build of the deploy file is missing")
        broken = asyncio.run(asyncio.wait_for(case(record, work, trouble), 110))
        for line in broken:
            record.write("BROKEN " + line)
        print("\n".join("BROKEN " + line for line in broken[:5]), "..." if len(broken) > 5 else "")
        print("verdict:", "broken" if broken else "held")
        status = 1 if broken else 0
    except Exception as error:  # a fault of the script is no broken rule
        print("could not run:", repr(error))
        record.write("could not run: %r" % error)
    finally:
        record.close()
        if os.environ.get("KEEP"):
            print("kept", work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    sys.exit(status)
