"""Writes the two example deployments; run once, the output is committed."""

import hashlib
from pathlib import Path

import yaml

DEPLOYMENTS = {
    'queretaro': {
        'region': 'qro',
        'sites': ['qro-centro', 'qro-norte', 'qro-sur'],
        'model': 'asistente',
        'plain': 'codigos',
        'unrepeatable': '/pairings',
        'group': 'asistente-g1',
        'weights': (4.0, 1.0),
        'customers': [
            ('phone-centre', 3000, 3_000_000, 1),
            ('field-crews', 2400, 2_400_000, 1),
            ('kiosks-centro', 1200, 600_000, 2),
            ('kiosks-norte', 600, 300_000, 2),
            ('kiosks-sur', 600, 300_000, 2),
            ('kiosks-corregidora', 300, 150_000, 2),
            ('meter-lab', 120, 240_000, 5),
            ('training', 60, 120_000, 7),
            ('reports', 60, 600_000, 8),
            ('monitoring', 60, 60_000, 0),
        ],
        'overlay': 'qro-norte',
        'override': {'name': 'kiosks-norte', 'requests_per_minute': 900},
    },
    'qurum': {
        'region': 'muscat',
        'sites': ['ruwi-hall', 'ghala-hall', 'seeb-hall'],
        'model': 'drafting-llm',
        'plain': 'catalogue-api',
        'unrepeatable': '/isbns',
        'group': 'drafting-g1',
        'weights': (1.0, 4.0),
        'customers': [
            ('registry-desk', 3000, 3_000_000, 1),
            ('ministry-press', 2400, 2_400_000, 2),
            ('sultan-university-press', 1200, 1_200_000, 2),
            ('nizwa-university-press', 600, 600_000, 3),
            ('sohar-press', 300, 300_000, 3),
            ('muscat-publishers', 600, 600_000, 3),
            ('salalah-publishers', 300, 300_000, 3),
            ('catalogue-portal', 6000, 60_000, 1),
            ('batch-records', 120, 1_200_000, 8),
            ('monitoring', 60, 60_000, 0),
        ],
        'overlay': 'seeb-hall',
        'override': {'name': 'batch-records', 'priority': 9},
    },
}


def digest(customer: str) -> str:
    """Return the digest of a customer's example key."""
    return hashlib.sha256(f'key-of-{customer}'.encode()).hexdigest()


def upstreams(service: str, count: int, sites: list[str], slots: int) -> list:
    """Return a service's upstreams, spread over the sites."""
    return [
        {
            'name': f'{service}-{number:02}',
            'host': f'h-{service}-{number:02}',
            'site': sites[(number - 1) % len(sites)],
            'concurrency': slots,
        }
        for number in range(1, count + 1)
    ]


def main() -> None:
    """Write the YAML files."""
    for name, facts in DEPLOYMENTS.items():
        sites = facts['sites']
        skew, cost = facts['weights']
        model, plain = facts['model'], facts['plain']
        base = {
            'deployment': name,
            'sites': [{'name': s, 'region': facts['region']} for s in sites],
            'services': [
                {
                    'name': model,
                    'kind': 'model',
                    'timeout_seconds': 60,
                    'upstreams': upstreams(model, 16, sites, 8),
                },
                {
                    'name': plain,
                    'kind': 'plain',
                    'timeout_seconds': 10,
                    'unrepeatable': [
                        {'method': 'POST', 'path_prefix': facts['unrepeatable']}
                    ],
                    'upstreams': upstreams(plain, 3, sites, 16),
                },
            ],
            'customers': [
                {
                    'name': customer,
                    'key_sha256': digest(customer),
                    'requests_per_minute': requests,
                    'tokens_per_minute': tokens,
                    'priority': priority,
                }
                for customer, requests, tokens, priority in facts['customers']
            ],
            'groups': [
                {
                    'name': facts['group'],
                    'service': model,
                    'ranks': [f'{model}-{n:02}' for n in range(1, 17)],
                    'layers': 4,
                    'experts': 64,
                    'slots_per_rank': 6,
                    'expert_bytes': 20_000_000,
                    'placement': {'skew_weight': skew, 'cost_weight': cost},
                }
            ],
        }
        overlay = {'site': facts['overlay'], 'customers': [facts['override']]}
        folder = Path('examples', name)
        (folder / 'overlays').mkdir(parents=True, exist_ok=True)
        dump = {'sort_keys': False, 'default_flow_style': None, 'width': 78}
        (folder / 'base.yaml').write_text(yaml.safe_dump(base, **dump))
        path = folder / 'overlays' / f'{facts["overlay"]}.yaml'
        path.write_text(yaml.safe_dump(overlay, **dump))


if __name__ == '__main__':
    main()
