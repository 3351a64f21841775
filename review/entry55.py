"""Issue 55, not a case: a prompt part that crashes workers, beyond the 16th.

Sound requests share a key and all parts but the harmful one. A worker that
begins to answer a request with the harmful part crashes, and is back after
2 s. PARTS is the place of the harmful part in the prompt. Run it as
`PYTHONPATH=target/deps:.:review PARTS=17 python3 review/entry55.py`; it exits
with 1 if more than three such requests reached workers later than
`stableWindowMs` after the fifth crash. It writes record.txt to a temporary
folder.
"""

import os
import random
import tempfile
import threading
import time

from harness import (
    BROKEN,
    HELD,
    Caller,
    Worker,
    configuration,
    main,
    route,
)

KEY = 'key-of-the-desk'
HARMFUL = 'bad0bad0'
PLACE = int(os.environ.get('PARTS', '17'))
SHARED = [f'{part:08x}' for part in range(1, PLACE)]
WORKERS = 6
BACK_S = 2
BEFORE_S = 6
HARM_S = 25
STABLE_S = 3
ALLOWED = 3
EVENTS = 8


def prompt(*parts):
    own = f'{random.getrandbits(40):x}'
    listed = [f'{part}:40' for part in (*SHARED, *parts)]
    return own, ','.join([*listed, f'{own}:99'])


def ask(caller, *parts):
    own, parts_of_prompt = prompt(*parts)
    return caller.ask(
        'POST', f'/draft/{own}', body=own.encode(), key=KEY, Model='m',
        Token_Count='800,32', Prompt_Prefix=parts_of_prompt,
    )[1]


class Workers:
    """The workers of a service, which the harmful part crashes."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.crashes = []
        self.reached = []
        cluster.workers = [self._start(place) for place in range(WORKERS)]

    def _start(self, place, port=0):
        return Worker(
            self.cluster, 11 + place, 'drafter', self._run, port=port
        )

    def _run(self, worker, handler, headers, body):
        worker.note_run(headers, handler.command, handler.path)
        if HARMFUL in headers['Prompt-Prefix']:
            self.reached.append(time.monotonic())
            time.sleep(0.05)
            self._crash(worker)
            return
        handler.send_response(200)
        handler.send_header('Attempt-Id', headers['Attempt-Id'])
        handler.send_header('Response-Seal', f'seal-{worker.id}')
        handler.send_header('Transfer-Encoding', 'chunked')
        handler.end_headers()
        for number in range(1, EVENTS + 1):
            time.sleep(0.04)
            event = f'id: {number}\ndata: {number}\n\n'.encode()
            handler.wfile.write(b'%x\r\n%b\r\n' % (len(event), event))
        handler.wfile.write(b'0\r\n\r\n')

    def _crash(self, worker):
        place = self.cluster.workers.index(worker)
        self.crashes.append(time.monotonic())
        self.cluster.record.say(
            f'worker {worker.id} crashes, {len(self.crashes)} in all'
        )
        worker.close()

        def come_back():
            time.sleep(BACK_S)
            self.cluster.workers[place] = self._start(place, worker.port)

        threading.Thread(target=come_back, daemon=True).start()


def play(cluster):
    routes = [
        route('draft', '/draft/', 'drafter', kind='streaming',
              targetGapMs=120, streamResume=True, sessionAffinity=True),
    ]
    services = [
        {'name': 'drafter', 'healthCheck': '/health', 'maxConnections': 100}
    ]
    tenants = [{'name': 'desk', 'apiKeys': [KEY]}]
    cluster.publish(configuration(3, routes, services, tenants))
    workers = Workers(cluster)
    gateways = [cluster.gateway(host, (1, 2)) for host in (1, 2)]
    for each in gateways:
        each.wait_ready()
    time.sleep(1)
    stopped = threading.Event()

    def send_sound(gateway):
        caller = Caller(cluster.record, gateway)
        while not stopped.is_set():
            ask(caller)
            time.sleep(0.1)

    for each in gateways * 3:
        threading.Thread(target=send_sound, args=(each,), daemon=True).start()
    time.sleep(BEFORE_S)
    until = time.monotonic() + HARM_S
    sent = 0
    while time.monotonic() < until:
        caller = Caller(cluster.record, gateways[sent % 2])
        ask(caller, HARMFUL)
        caller.close()
        sent += 1
        time.sleep(1)
    stopped.set()
    crashes = workers.crashes
    late = [
        at for at in workers.reached
        if len(crashes) > 4 and at > crashes[4] + STABLE_S
    ]
    cluster.record.say(
        f'harmful part at place {PLACE}: {sent} requests sent, '
        f'{len(crashes)} crashes, {len(late)} requests reached workers later '
        'than stableWindowMs after the fifth'
    )
    return BROKEN if len(late) > ALLOWED else HELD


main(tempfile.mkdtemp(prefix='review-'), play)
