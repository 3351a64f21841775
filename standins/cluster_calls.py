"""Calls to a cluster of real processes, as its tests make them."""

import json
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from standins.cluster import CUSTOMER_KEY, ask

EXAMPLE = Path(__file__).parent.parent / 'examples' / 'queretaro'
AUTH = {'Authorization': f'Bearer {CUSTOMER_KEY}'}
MESSAGES = [{'role': 'user', 'content': 'read this label'}]


def chat(entry, tokens=5, stream=True, messages=MESSAGES):
    """Ask a model service for tokens; return status, headers, body."""
    body = {
        'model': 'asistente',
        'messages': messages,
        'max_tokens': tokens,
        'stream': stream,
    }
    return ask(
        entry.port,
        'POST',
        '/v1/chat/completions',
        json.dumps(body).encode(),
        AUTH,
    )


def streamed_text(body):
    """Return the pieces of text in a streamed answer."""
    text = []
    for line in body.decode().splitlines():
        if line.startswith('data: {'):
            event = json.loads(line.removeprefix('data: '))
            text.append(event['choices'][0]['delta']['content'])
    return text


def pair(entry, body=b'tv-7', key=None, timeout=30):
    """Post a pairing, which may not be repeated without its key."""
    headers = {**AUTH, **({'Idempotency-Key': key} if key else {})}
    return ask(entry.port, 'POST', '/codigos/pairings', body, headers, timeout)


def ran(cluster, path='/pairings'):
    """Return the calls that the plain services have recorded."""
    found = []
    for name in ('codigos-01', 'codigos-02'):
        if name not in cluster.nodes:
            continue
        port = cluster.nodes[name].port
        record = json.loads(ask(port, 'GET', '/record')[2])
        found += [call for call in record if call['path'] == path]
    return found


def error(answer):
    """Return the error in an answer."""
    return json.loads(answer[2])['error']


def in_background(work, *arguments):
    """Run something in a thread; return its future."""
    pool = ThreadPoolExecutor(1)
    return pool.submit(work, *arguments)


def faults(cluster, **switches):
    """Set faults of both plain services."""
    for name in ('codigos-01', 'codigos-02'):
        cluster.nodes[name].fault(**switches)


def executions(cluster, engine):
    """Return how many calls an engine has run."""
    port = cluster.nodes[engine].port
    return len(json.loads(ask(port, 'GET', '/executions')[2]))
