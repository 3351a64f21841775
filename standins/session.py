"""One whole session of the demo, as a transcript that can be compared."""

import json
import re
from collections.abc import Callable, Iterator
from typing import Any

from standins.cluster import CUSTOMER_KEY, Cluster, Node, ask, wait_until
from standins.engine import expected_tokens

AUTH = {'Authorization': f'Bearer {CUSTOMER_KEY}'}
SHOWN_HEADERS = ('content-type', 'retry-after')
VARYING = (
    (re.compile(r'"request_id": "[0-9a-f]+"'), '"request_id": "ID"'),
    (re.compile(r'127\.0\.0\.1:[0-9]+'), 'ADDRESS'),
    (re.compile(r'"x-request-id": "[0-9a-f]+"'), '"x-request-id": "ID"'),
)

Ask = Callable[..., tuple[int, dict[str, str], bytes]]


class Session:
    """Sends the requests of each kind and writes down what came back."""

    def __init__(self, cluster: Cluster) -> None:
        """Start with an empty transcript."""
        self.cluster = cluster
        self.lines: list[str] = []
        self.answered = 0
        self.refused = 0
        self.lost = 0

    @property
    def entries(self) -> list[Node]:
        """Return the entry daemons."""
        return [self.cluster.nodes['entry-0'], self.cluster.nodes['entry-1']]

    def send(
        self,
        title: str,
        entry: Node,
        method: str,
        path: str,
        body: bytes = b'',
        **headers: str,
    ) -> bytes:
        """Send one request and write down the answer."""
        named = {key.replace('_', '-'): text for key, text in headers.items()}
        self.lines.append(f'# {title}')
        self.lines.append(f'> {method} {path}')
        try:
            status, found, answer = ask(
                entry.port, method, path, body, {**AUTH, **named}
            )
        except OSError as failure:
            self.lost += 1
            self.lines.append(f'< lost: {type(failure).__name__}')
            return b''
        self.count(status)
        self.lines.append(f'< {status}')
        shown = (
            f'< {key}: {found[key]}' for key in SHOWN_HEADERS if key in found
        )
        self.lines.extend(shown)
        text = answer.decode()
        for pattern, constant in VARYING:
            text = pattern.sub(constant, text)
        self.lines.extend(f'< {line}' for line in text.splitlines() if line)
        return answer

    def count(self, status: int) -> None:
        """Count an answer."""
        if status < 400:
            self.answered += 1
        elif status == 502:
            self.lost += 1
        else:
            self.refused += 1

    def chat(self, entry: Node, text: str, *, stream: bool) -> None:
        """Ask a model, and check the answer against the only right one."""
        messages = [{'role': 'user', 'content': text}]
        model = self.cluster.deployment['services'][0]['name']
        body: dict[str, Any] = {
            'model': model,
            'messages': messages,
            'max_tokens': 3,
            'stream': stream,
        }
        kind = 'streamed' if stream else 'whole'
        answer = self.send(
            f'a {kind} completion',
            entry,
            'POST',
            '/v1/chat/completions',
            json.dumps(body).encode(),
        )
        if any(
            token.encode() not in answer
            for token in expected_tokens(messages, 3)
        ):
            self.lost += 1

    def command(self, title: str, *arguments: str) -> None:
        """Run an operator's command and write down what it says."""
        done = self.cluster.command(*arguments)
        self.lines.append(f'# {title}')
        for line in (done.stdout + done.stderr).splitlines():
            self.lines.append(f'= {line}'.replace(str(self.cluster.folder), ''))
        self.lines.append(f'= exit {done.returncode}')

    def run(self) -> None:
        """Go through the whole session."""
        one, two = self.entries
        plain = self.cluster.deployment['services'][1]
        name = plain['name']
        path = f'/{name}{plain["unrepeatable"][0]["path_prefix"]}'
        self.chat(one, 'read this label', stream=False)
        self.chat(two, 'read this label', stream=True)
        self.send('a plain lookup', one, 'GET', f'/{name}/cards/7?size=2')
        self.send(
            'a call that may not be repeated',
            one,
            'POST',
            path,
            b'tv',
            Idempotency_Key='k1',
        )
        self.send(
            'the same through the other entry',
            two,
            'POST',
            path,
            b'tv',
            Idempotency_Key='k1',
        )
        self.send(
            'its key for something else',
            two,
            'POST',
            path,
            b'radio',
            Idempotency_Key='k1',
        )
        self.send('a malformed body', one, 'POST', '/v1/chat/completions', b'{')
        self.send('an unknown service', one, 'GET', '/nothing/here')
        self.send(
            'a wrong key', one, 'GET', f'/{name}/x', Authorization='Bearer no'
        )
        self.publish_and_drain(name)

    def publish_and_drain(self, name: str) -> None:
        """Drain the first plain upstream by a publish, and see it in force."""
        plain = self.cluster.deployment['services'][1]
        self.cluster.deployment['drained'] = [plain['upstreams'][0]['name']]
        folder = self.cluster.write_deployment()
        log = f'127.0.0.1:{self.cluster.log.port}'
        self.command('publish a drain', 'publish', str(folder), '--log', log)
        wait_until(lambda: all(in_force(entry) >= 2 for entry in self.entries))
        self.command('show what is in force', 'status', '--log', log)
        for entry in self.entries:
            self.send(
                'a lookup after the drain', entry, 'GET', f'/{name}/cards/8'
            )


def in_force(node: Node) -> int:
    """Return the latest configuration revision that a daemon logged."""
    found = [0]
    for line in node.lines():
        words = line['event'].split()
        if line['event'].endswith('in force') and words[0] == 'configuration':
            found.append(int(words[2]))
    return max(found)


def transcript(session: Session) -> Iterator[str]:
    """Yield the lines of a session that has run."""
    yield from session.lines
    counts = (session.answered, session.refused, session.lost)
    yield '= %d answered, %d refused, %d lost' % counts
