"""Stand-ins for the review's cases: notice board, invokers, clients, a network between clients and controller, and the
controller's process. All of them listen on 127.0.0.1 and follow the protocol page. Python's standard library only."""
import asyncio
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# How a stand-in's connection ends: by its peer, or because the case is over.
ENDED = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


def now():
    return time.monotonic()


class Record:
    """record.txt: one line an event, with the milliseconds since the start of the case."""

    def __init__(self, folder):
        self.start = now()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8", buffering=1)

    def ms(self, at):
        return round((at - self.start) * 1000)

    def write(self, event, at=None, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.ms(now() if at is None else at):7d} {event} {text}\n")

    def say(self, text):
        self.file.write(text + "\n")
        print(text, flush=True)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


# ---------------------------------------------------------------- notice board


class NoticeBoard:
    """Keeps the events and tells them to each connection. A connection that `is_silent` picks when it is opened, or that
    `stop_open_connections()` stops, stays open and tells nothing more."""

    def __init__(self, record):
        self.record = record
        self.events = []  # (number, kind, targets)
        self.connections = set()
        self.silent = set()
        self.is_silent = lambda: False

    def add(self, targets, whole=False):
        number = len(self.events) + 1
        self.events.append((number, 1 if whole else 2, targets))
        self.record.write("board_event", number=number, targets=[(t["uid"], t["state"]) for t in targets])
        return number

    def known(self):
        notices = [
            {"rev": number, "pool": {"rev": number, "all": kind == 1, "targets": targets}}
            for number, kind, targets in self.events
        ]
        return {"rev": len(self.events), "notices": notices}

    @staticmethod
    def frame(number, kind, targets):
        payload = struct.pack(">QB", number, kind)
        for target in targets:
            host, port = target["endpoint"].split(":")
            state = {"up": 0, "draining": 1, "removed": 2}[target["state"]]
            payload += struct.pack(">I4sHBBBHIQ", int(target["uid"][2:], 16), socket.inet_aton(host), int(port), state,
                                   0, 0, target["pod_group"], int(target["capacity_hint"] * 1000), target["boot_ms"])
        return struct.pack(">I", len(payload)) + payload

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def stop_open_connections(self):
        self.silent |= self.connections

    async def serve(self, reader, writer):
        connection = object()
        self.connections.add(connection)
        if self.is_silent():
            self.silent.add(connection)
        try:
            told = struct.unpack(">Q", await reader.readexactly(8))[0]
            self.record.write("board_asked", after_event=told, silent=connection in self.silent)
            next_heartbeat = 0.0
            while True:
                if connection not in self.silent:
                    for number, kind, targets in self.events:
                        if number > told:
                            writer.write(self.frame(number, kind, targets))
                            self.record.write("board_told", number=number)
                            told = number
                    if now() >= next_heartbeat:
                        writer.write(self.frame(told, 0, []))
                        next_heartbeat = now() + 1
                    await writer.drain()
                if reader.at_eof():
                    return
                try:
                    if not await asyncio.wait_for(reader.read(1), 0.02):
                        self.record.write("board_connection_ended", silent=connection in self.silent)
                        return
                except asyncio.TimeoutError:
                    pass
        except ENDED:
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


def target(uid, endpoint, state="up", cell=0, capacity=4, boot_ms=0):
    return {"uid": uid, "endpoint": endpoint, "az": "a", "model": "k", "pod_group": cell, "state": state,
            "capacity_hint": capacity, "boot_ms": boot_ms}


# ---------------------------------------------------------------- invokers


class Run:
    """A RUN line with its body, as it came."""

    def __init__(self, invoker, run_id, fields, body, arrived):
        self.invoker, self.id, self.fields, self.body, self.arrived = invoker, run_id, fields, body, arrived


class Invoker:
    """Answers RUN, STOP, NOOP and INFO. `handle(run)` is a coroutine that returns (word, fields, body), or None for no
    answer; it is cancelled by STOP and by the end of its connection."""

    def __init__(self, record, uid, handle):
        self.record, self.uid, self.handle = record, uid, handle
        self.running = 0
        self.writers = {}  # writer -> {id: task}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.endpoint = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def reset(self, writer):
        """Resets the connection, with all that is open on it."""
        for task in self.writers.pop(writer, {}).values():
            task.cancel()
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def end(self):
        """The process ends: it listens no more, and its connections are reset. Returns the ids of the runs cut off."""
        self.server.close()
        cut_off = [run_id for tasks in self.writers.values() for run_id in tasks]
        for writer in list(self.writers):
            self.reset(writer)
        return cut_off

    def writer_of(self, run_id):
        return next((writer for writer, tasks in self.writers.items() if run_id in tasks), None)

    async def serve(self, reader, writer):
        tasks = self.writers[writer] = {}
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                words = line[:-2].decode().split(" ")
                if words[0] == "RUN":
                    arrived = now()
                    body = await reader.readexactly(int(words[3]))
                    await reader.readexactly(2)
                    fields = dict(field.split("=", 1) for field in words[2].split(",")) if words[2] != "-" else {}
                    run = Run(self, words[1], fields, body, arrived)
                    self.record.write("run", arrived, invoker=self.uid, id=run.id, fields=words[2])
                    tasks[run.id] = asyncio.ensure_future(self.carry_out(run, writer, tasks))
                elif words[0] == "STOP":
                    self.record.write("stop", invoker=self.uid, id=words[1])
                    task = tasks.pop(words[1], None)
                    if task:
                        task.cancel()
                else:  # NOOP TAG, INFO TAG
                    report = f"l=active:{self.running};waiting:0" if words[0] == "INFO" else "-"
                    writer.write(f"{words[1]} well {report} 0\r\n\r\n".encode())
        except ENDED:
            pass
        finally:
            for task in self.writers.pop(writer, {}).values():
                task.cancel()
            writer.close()

    async def carry_out(self, run, writer, tasks):
        self.running += 1
        try:
            answer = await self.handle(run)
        finally:
            self.running -= 1
        if answer is None:
            return
        word, fields, body = answer
        tasks.pop(run.id, None)
        self.record.write("invoker_answered", invoker=self.uid, id=run.id, word=word)
        writer.write(f"{run.id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")


# ---------------------------------------------------------------- clients

BEGIN_REQUEST, ABORT_REQUEST, END_REQUEST, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6


def fcgi_record(kind, request_id, content=b""):
    return struct.pack(">BBHHBB", 1, kind, request_id, len(content), 0, 0) + content


def fcgi_request(request_id, params, body):
    pairs = b""
    for name, value in params.items():
        for text in (name, value):
            pairs += bytes([len(text)]) if len(text) < 128 else struct.pack(">I", len(text) | 1 << 31)
        pairs += name.encode() + value.encode()
    begin = fcgi_record(BEGIN_REQUEST, request_id, struct.pack(">HB5x", 1, 1))  # Responder, KEEP_CONN
    stdin = fcgi_record(STDIN, request_id, body) if body else b""
    return (begin + fcgi_record(PARAMS, request_id, pairs) + fcgi_record(PARAMS, request_id) + stdin +
            fcgi_record(STDIN, request_id))


class Answer:
    def __init__(self, status, body, at):
        self.status, self.body, self.at = status, body, at


class ClientConnection:
    """A FastCGI connection of a web server. `closed_at` is set once the controller has ended the connection."""

    async def open(self, port):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.waiting, self.output = {}, {}
        self.last_id, self.closed_at = 0, None
        self.reading = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                _, kind, request_id, length, padding, _ = struct.unpack(">BBHHBB", await self.reader.readexactly(8))
                content = (await self.reader.readexactly(length + padding))[:length]
                if kind == STDOUT:
                    self.output[request_id] = self.output.get(request_id, b"") + content
                elif kind == END_REQUEST and request_id in self.waiting:
                    head, _, body = self.output.pop(request_id, b"").partition(b"\r\n\r\n")
                    status = int(head.split(b"Status: ", 1)[1][:3]) if b"Status: " in head else 0
                    self.waiting.pop(request_id).set_result(Answer(status, body, now()))
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_at = now()
            for future in self.waiting.values():
                future.set_result(None)
            self.waiting.clear()

    async def send(self, params, body):
        """Writes a request. Returns when its last byte was written, and a future of its Answer, or of None if the
        connection ends without one."""
        self.last_id = self.last_id % 30000 + 1
        future = self.waiting[self.last_id] = asyncio.get_running_loop().create_future()
        if self.closed_at is not None:
            self.waiting.pop(self.last_id)
            future.set_result(None)
        self.writer.write(fcgi_request(self.last_id, params, body))
        return now(), future

    def close(self):
        self.reading.cancel()
        self.writer.close()


def request_params(class_name, request_id, function, budget_ms, once_key=None, tags="memory_mb:64;lanes:8"):
    params = {"SCRIPT_NAME": "/invoke/" + class_name, "HTTP_REQUEST_ID": request_id, "HTTP_BUDGET_MS": str(budget_ms),
              "HTTP_ACCOUNT": "acme", "HTTP_RESOURCE_KEY": function, "HTTP_X_TAGS": tags}
    if once_key:
        params["HTTP_ONCE_KEY"] = once_key
    return params


class IdSource:
    """Request ids of 16 hexadecimal digits, each used once."""

    def __init__(self, seed):
        self.next = seed << 32

    def __call__(self):
        self.next += 1
        return f"{self.next:016x}"


class Network:
    """What lies between the clients and the controller. Bytes from a client are passed on in order. Where `hold(bytes)`
    returns (offset, seconds), those from the offset on are passed on so much later, as when a segment was lost and is
    sent again."""

    def __init__(self, to_port):
        self.to_port, self.hold = to_port, lambda data: None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.to_port)
        except ConnectionError:
            return writer.transport.abort()
        to_writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await asyncio.gather(self.forward(reader, to_writer, True), self.forward(to_reader, writer, False))
        except ENDED:
            pass

    async def forward(self, reader, writer, from_client):
        try:
            while data := await reader.read(1 << 16):
                held = self.hold(data) if from_client else None
                if held:
                    offset, seconds = held
                    writer.write(data[:offset])
                    await asyncio.sleep(seconds)
                    data = data[offset:]
                writer.write(data)
        except ConnectionError:
            pass
        try:
            writer.write_eof() if from_client else writer.close()
        except (OSError, RuntimeError):
            pass


# ---------------------------------------------------------------- controller


def settings(classes, limits=None, rules=None, controllers=1):
    result = {
        "areas": ["a"], "kinds": ["k"], "fleet_size": controllers, "discovery": "automatic", "family": "warm",
        "weight_source": "nominal", "quantum": 2.0, "classes": classes,
        "realms": [{"name": "acme", "quota_per_s": 1000.0, "fraction": 1.0}],
        "report": {"fields": ["active", "waiting"], "how": "pull"},
        "rules": {"cold": 16000.0, "cold_share": 0.16, "fall_multiple": 2.0, "overload_for": 2000.0,
                  "stop_sending_within": 2000.0, "grace_to_answer": 8.0, "must_ask_in": 10000.0},
        "family_info": {"if_cold": "load", "linger_idle": 8300.0, "may_order": False, "says_company": True,
                        "warm_notes": True, "answer_within": 10000.0},
        "limits": {"may_cancel": True, "probes": True, "second_copies": True, "retry_after": True, "send_cap": 5,
                   "max_retry_after": 2000.0, "connect_timeout": 250.0, "conn_idle": 30000.0, "streams_per_conn": 32},
    }
    result["limits"].update(limits or {})
    result["rules"].update(rules or {})
    return result


def request_class(name, semantics, aim, deadline, group="all", repeat_window=5000.0):
    return {"name": name, "semantics": semantics, "aim": aim, "deadline": deadline, "group": group,
            "repeat_window": repeat_window, "late_value": 0.1, "worth": 1.0, "stream": False}


class Controller:
    """A controller, started by `run` of the deploy file from the repository's root."""

    def __init__(self, folder, board, config_settings, sockets=256):
        self.port = free_port()
        self.folder, self.board = folder, board
        self.config = {
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "seed": f"{time.time_ns() & (1 << 62) - 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "board": board.address,
            "known": board.known(), "settings": config_settings,
        }
        self.process = None

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            command = tomllib.load(file)["run"]
        if not os.access(os.path.join(ROOT, "build/platform/bin/plumkeel"), os.X_OK):
            raise CannotRun("build/platform/bin/plumkeel is missing: the deploy file's build has not run")
        config_file = os.path.join(self.folder, "config.json")
        with open(config_file, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        environment = dict(os.environ, EDGE_CONFIG=config_file, EDGE_NAME="n1", EDGE_LISTEN=self.config["listen"])
        with open(os.path.join(self.folder, "controller.log"), "wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log)
        give_up_at = now() + 10
        while now() < give_up_at:
            try:
                connection = await ClientConnection().open(self.port)
                _, future = await connection.send({"SCRIPT_NAME": "/_health"}, b"")
                answer = await asyncio.wait_for(future, 2)
                connection.close()
                if answer and answer.status == 200:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the controller was not ready after 10 s")

    def check_alive(self):
        if self.process.poll() is not None:
            raise CannotRun(f"the controller ended with status {self.process.returncode}")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


def main(case_folder, case):
    """Runs `case(record, temporary_folder, controllers)`, which returns whether the rule held. Controllers that it puts
    into the list are ended here."""
    record = Record(case_folder)
    controllers = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))  # so that controllers are ended below
    try:
        with tempfile.TemporaryDirectory() as folder:
            try:
                held = asyncio.run(asyncio.wait_for(case(record, folder, controllers), 110))
            finally:
                for controller in controllers:
                    controller.end()
    except Exception as error:  # exit status 1 means a broken rule only
        record.say(f"verdict: the case could not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    record.say("verdict: the rule held" if held else "verdict: the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
