"""Restarts two gateways in turn while a client asks for a long answer."""

import signal
import threading
import time
from pathlib import Path

from harness import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    TROUBLE,
    Caller,
    Worker,
    configuration,
    main,
    route,
)

from standins.platform_ranks import RankGroupStandin, engine_fields

KEY = 'key-of-the-desk'
RANK_HOSTS = (11, 12, 13, 14)
GAP_S = 1.0
RESTART_S = 0.5
# Each gateway is stopped while it answers a request.
BUSY_S = 0.2
SENT_AFTER_S = 3.3
TOKEN_S = 0.012
MAX_TOKENS = 500
USUAL_TOKENS = 60
TOKENS_AN_EVENT = 4


def run(worker, handler, headers, body):
    """Stream as many tokens as the body says, at an even speed."""
    worker.note_run(headers, handler.command, handler.path)
    tokens = int(body)
    handler.send_response(200)
    handler.send_header('Attempt-Id', headers['Attempt-Id'])
    handler.send_header('Response-Seal', f'seal-{worker.id}')
    handler.send_header('Content-Type', 'text/event-stream')
    handler.send_header('Transfer-Encoding', 'chunked')
    handler.end_headers()
    events = tokens // TOKENS_AN_EVENT
    try:
        for number in range(1, events + 1):
            time.sleep(TOKEN_S * TOKENS_AN_EVENT)
            event = f'id: {number}\ndata: {number} of {events}\n\n'.encode()
            handler.wfile.write(b'%x\r\n%b\r\n' % (len(event), event))
        handler.wfile.write(b'0\r\n\r\n')
    except OSError as error:
        worker.record.say(
            f'worker {worker.id}: connection of {headers["Attempt-Id"]} ended '
            f'at event {number} of {events}: {error!r}'
        )
        handler.close_connection = True
        return
    worker.record.say(
        f'worker {worker.id} has ended {headers["Attempt-Id"]}, {events} events'
    )


def config():
    routes = [
        route('draft', '/draft/', 'drafter', kind='streaming', timeoutMs=8000,
              targetGapMs=120, streamResume=True, sessionAffinity=True),
    ]
    services = [
        {
            'name': 'drafter', 'healthCheck': '/health', 'maxConnections': 100,
            'engine': engine_fields(),
        }
    ]
    tenants = [{'name': 'desk', 'apiKeys': [KEY]}]
    return configuration(3, routes, services, tenants)


def rank_calls(group, rank):
    """Answer the calls below `/-/` from the project's model of a group."""

    def answer(path, body):
        status, fields = group.answer(rank, path, body)
        # On this deployment workers do not say when they were born.
        return status, {
            name: each for name, each in fields.items() if name != 'born'
        }

    return answer


def ask(caller, tokens):
    return caller.ask(
        'POST', '/draft/1', body=str(tokens).encode(), key=KEY,
        deadline_ms=8040, Model='m', Token_Count=f'800,{MAX_TOKENS}',
        Prompt_Prefix=f'5c1e07a2:40,{time.monotonic_ns():x}:760',
    )


def restart(gateway):
    gateway.signal(signal.SIGTERM)

    def wait():
        try:
            gateway.process.wait(8)
        except Exception:
            gateway.process.kill()
            gateway.process.wait()
        gateway.cluster.record.say(f'{gateway.name}: has ended')
        time.sleep(RESTART_S)
        gateway.start()

    threading.Thread(target=wait, daemon=True).start()


def play(cluster):
    say = cluster.record.say
    cluster.publish(config())
    group = RankGroupStandin([cluster.block.ip(host) for host in RANK_HOSTS])
    cluster.workers = [
        Worker(cluster, host, 'drafter', run, rank_calls(group, rank))
        for rank, host in enumerate(RANK_HOSTS)
    ]
    for host, worker in zip(RANK_HOSTS, cluster.workers):
        cluster.agent(host, worker.address)
    gateways = [cluster.gateway(host, (1, 2)) for host in (1, 2)]
    for each in gateways:
        each.wait_ready()
    time.sleep(4)
    say('== answers of usual length')
    at_first = Caller(cluster.record, gateways[0])
    at_second = [Caller(cluster.record, gateways[1]) for _client in range(3)]
    served = 0
    for _round in range(4):
        for caller in (at_first, *at_second):
            served += ask(caller, USUAL_TOKENS)[1] == 200
    if served < 12:
        say(f'only {served} of 16 served before the trouble')
        return COULD_NOT_RUN
    say('== a long answer is on its way at the first gateway')
    first = threading.Thread(target=ask, args=(at_first, MAX_TOKENS))
    first.start()
    time.sleep(0.5)
    if TROUBLE:
        say('== the gateways are stopped and started in turn')
        restart(gateways[0])
        time.sleep(GAP_S - BUSY_S)
        busy = Caller(cluster.record, gateways[1])
        threading.Thread(target=ask, args=(busy, USUAL_TOKENS)).start()
        time.sleep(BUSY_S)
        restart(gateways[1])
    time.sleep(SENT_AFTER_S)
    say('== long answers, on connections that have been open all the time')
    results = []
    threads = [
        threading.Thread(
            target=lambda caller: results.append(ask(caller, MAX_TOKENS)),
            args=(each,),
        )
        for each in at_second
    ]
    for each in threads:
        each.start()
    for each in (first, *threads):
        each.join()
    ran = {
        attempt for worker in cluster.workers for attempt, _headers in worker.ran
    }
    lost = 0
    for attempt, status, _headers, got in results:
        events = got.count(b'\n\n')
        if status in {429, 503}:
            say(f'{attempt}: refused; ran: {attempt in ran}')
        elif status == 200:
            say(f'{attempt}: whole answer of {events} events')
        elif attempt in ran:
            say(
                f'LOST: {attempt} was passed on and ended after {events} of '
                f'{MAX_TOKENS // TOKENS_AN_EVENT} events'
            )
            lost += 1
        else:
            say(f'{attempt}: no answer, and not passed on')
    return BROKEN if lost else HELD


main(Path(__file__).parent, play)
