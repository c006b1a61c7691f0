"""Bad clients: HOST PORT CONNECTIONS SECONDS. Each connection sends records of an unknown type without end, at full
speed, reads what it is sent, and connects again when it is closed."""
import selectors, socket, struct, sys, time

host, port, connections, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
RECORDS = struct.pack(">BBHHBB", 1, 77, 0, 0, 0, 0) * 1000  # FastCGI version 1, type 77, no content
end, selector = time.time() + seconds, selectors.DefaultSelector()


def connect():
    try:
        connection = socket.create_connection((host, port), 2)
    except OSError:
        return
    connection.setblocking(False)
    selector.register(connection, selectors.EVENT_READ | selectors.EVENT_WRITE, [0])


for _ in range(connections):
    connect()
while time.time() < end and selector.get_map():
    for key, events in selector.select(0.5):
        connection, sent = key.fileobj, key.data
        try:
            if events & selectors.EVENT_READ and not connection.recv(1 << 18):
                raise OSError("closed")
            if events & selectors.EVENT_WRITE:
                sent[0] = (sent[0] + connection.send(RECORDS[sent[0]:])) % len(RECORDS)
        except BlockingIOError:
            pass
        except OSError:
            selector.unregister(connection)
            connection.close()
            connect()
