"""Takes away the last API key, then sends requests with keys that are void."""

import time
from pathlib import Path

from harness import (
    BROKEN,
    HELD,
    TROUBLE,
    Caller,
    Worker,
    configuration,
    main,
    route,
)

CONFIG_APPLY_S = 2
KEY = 'key-of-the-printer'
NEVER_ISSUED = 'never-issued'


def run(worker, handler, headers, body):
    worker.note_run(headers, handler.command, handler.path)
    time.sleep(0.02)
    worker.send(handler, 200, b'number assigned')


def config(version, keys):
    routes = [
        route('lookup', '/lookup/', 'catalogue'),
        route('assign', '/assign/', 'catalogue', kind='non_idempotent',
              maxAttempts=1),
    ]
    services = [
        {'name': 'catalogue', 'healthCheck': '/health', 'maxConnections': 100}
    ]
    tenants = [{'name': 'printer', 'apiKeys': keys}]
    return configuration(version, routes, services, tenants)


def play(cluster):
    say = cluster.record.say
    cluster.publish(config(3, [KEY]))
    cluster.workers = [
        Worker(cluster, host, 'catalogue', run) for host in (11, 12)
    ]
    gateways = [cluster.gateway(host, (1, 2)) for host in (1, 2)]
    for each in gateways:
        each.wait_ready()
    time.sleep(4)
    callers = [Caller(cluster.record, each) for each in gateways]

    say('== the key is in force')
    for caller in callers:
        for key, wanted in ((KEY, 200), (NEVER_ISSUED, 401), (None, 401)):
            status = caller.ask('GET', '/lookup/1', key=key)[1]
            if status != wanted:
                raise AssertionError(f'{status} instead of {wanted}')

    if TROUBLE:
        say('== the operator takes the key away')
        cluster.publish(config(9, []))
    time.sleep(2 * CONFIG_APPLY_S)
    for each in gateways:
        applied = [
            (event['version'], event.get('customers', event))
            for event in each.events('ConfigurationApplied')
        ]
        say(f'{each.name}: log says it applied {applied}')

    say('== requests later than configApplyMs after that')
    sent = {}
    for caller in callers:
        for method, path in (('GET', '/lookup/2'), ('POST', '/assign/2')):
            for key in (KEY, NEVER_ISSUED, None):
                attempt = caller.ask(method, path, key=key)[0]
                sent[attempt] = key
    ran = {
        attempt: headers
        for worker in cluster.workers
        for attempt, headers in worker.ran
        if attempt in sent
    }
    broken = 0
    for attempt, headers in ran.items():
        key = sent[attempt]
        if key == KEY and not TROUBLE:
            if headers.get('Tenant') != 'printer':
                say(f'UNASKED: {attempt} ran for {headers.get("Tenant")}')
                broken += 1
            continue
        if key is None:
            # The rules name requests with a void key, so this isn't counted.
            say(f'not counted: {attempt} without a key ran')
            continue
        rule = 'CONFIG, revoked key' if key == KEY else 'ROUTE, unknown key'
        say(
            f'{rule}: {attempt} with key {key} ran, '
            f'Tenant {headers.get("Tenant")}'
        )
        broken += 1
    say(f'{broken} of {len(sent)} requests ran that no configuration allows')
    return BROKEN if broken else HELD


main(Path(__file__).parent, play)
