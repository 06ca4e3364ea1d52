"""A node is told to stop while its clients' requests run; their answers are
cut off, as the node ends before it has sent them."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))
import deployment as d

CLIENTS = 2
REQUESTS = 16
ANSWER_BYTES = 30000
WORK_S = 2.8
LINK_MBIT = 20
TIMEOUT_MS = 4000
DEADLINE_MS = 6000


class Client:
    """Sends all its requests at once on one connection."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.whole = 0
        self.took = 0.0

    def request(self, number):
        return "%s-%d" % (self.name, number)

    async def send(self, link):
        self.reader, self.writer = await asyncio.open_connection(
            link.host, link.port, limit=1 << 20)
        self.sent_at = self.record.now()
        for number in range(REQUESTS):
            self.record("SENT %s to node 0" % self.request(number))
            self.writer.write(
                ("GET /certificates/x HTTP/1.1\r\nHost: h.example\r\n"
                 "%s: %s\r\n%s: %d\r\n\r\n" %
                 (d.ID, self.request(number), d.DEADLINE,
                  DEADLINE_MS)).encode())

    async def receive(self):
        why = "all answers came"
        try:
            for number in range(REQUESTS):
                left = self.sent_at + DEADLINE_MS / 1000 - self.record.now()
                answer = await asyncio.wait_for(d.read_message(self.reader),
                                                left)
                if answer is None:
                    why = "the connection ended"
                    break
                self.record("ANSWERED %s: %s, whole" %
                            (self.request(number), answer[0]))
                self.whole += 1
        except asyncio.IncompleteReadError as error:
            self.record("ANSWERED %s: %d bytes of the body, then the end" %
                        (self.request(self.whole), len(error.partial)))
            why = "the connection ended within an answer"
        except (ConnectionError, TimeoutError) as error:
            why = repr(error)
        self.took = self.record.now() - self.sent_at
        self.writer.close()
        self.record("%s: %s after %.3f s; %d of %d answers are whole" %
                    (self.name, why, self.took, self.whole, REQUESTS))


async def scenario(site):
    record = site.record
    site.grace_s = 10
    for number in range(4):
        site.add("zone-%d" % number, "shop",
                 work=lambda method, path: (WORK_S if "certificates" in path
                                            else 0.05),
                 size=lambda path: ANSWER_BYTES)
    site.configure(
        {"certificates": d.route("/certificates/", "safe", "shop",
                                 timeout_ms=TIMEOUT_MS,
                                 target_latency_ms=2500),
         "read": d.route("/read/", "safe", "shop")}, ["shop"])
    if not await site.start():
        return 2
    # More than stable_window_ms, so that all machines are in touch.
    await asyncio.sleep(3.5)
    if not await site.requests("/read/", 1.0):
        return 2
    machine = site.machines[0]
    link = d.Link(machine.host, (machine.host, machine.port["callers"]),
                  LINK_MBIT)
    site.links.append(link)
    await link.listen()
    clients = [Client(record, "c%d" % number) for number in range(CLIENTS)]
    await asyncio.gather(*[it.send(link) for it in clients])
    await asyncio.sleep(0.1)
    if d.TROUBLE:
        machine.kill(signal.SIGTERM)
    await asyncio.gather(*[it.receive() for it in clients])
    # Only what was passed on to a worker counts, and only what ended before
    # the route's time-out.
    ran = {it[1] for it in site.all_runs()}
    lost = [it.request(number) for it in clients if it.took < TIMEOUT_MS / 1000
            for number in range(it.whole, REQUESTS) if it.request(number) in ran]
    record("%d requests were passed on to a worker and have no whole answer" %
           len(lost))
    return 1 if lost else 0


d.main(FOLDER, scenario)
