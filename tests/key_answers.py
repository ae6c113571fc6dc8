"""Collects answers of daemons in which no key may appear."""

from uuid import uuid4

from key_callers import KeepAliveCaller

from siskinsail_net import HttpClientConnection

OPERATOR_PATHS = (
    '/healthz',
    '/readyz',
    '/v1/status',
    '/v1/catalogue',
    '/v1/catalogue/history',
    '/v1/timeline',
)


async def send_invalid_requests(scenario, keys):
    """Send invalid requests with each key, and return the answers."""
    texts = []
    for vm in scenario.fleet.deployment.vms:
        caller = KeepAliveCaller(scenario, vm, None)
        for key in keys:
            for path, value, headers in (
                ('/v1/routes/none/statements', {}, {}),
                ('/v1/nothing', {}, {}),
                ('/v1/routes/archive/statements', 7, {}),
                ('/v1/routes/archive/statements', {'statements': []}, {}),
                (
                    '/v1/routes/archive/statements',
                    {'statements': [{'op': 'put'}]},
                    {'siskinsail-deadline': 'soon'},
                ),
                (
                    '/v1/routes/archive/statements',
                    {},
                    {'siskinsail-session': 'no-token'},
                ),
                (f'/v1/transactions/{uuid4().hex}/commit', {}, {}),
            ):
                code, body, _ = await caller.post(path, value, key, headers)
                assert code != 'done'
                texts.append(f'{code} {body}')
    return ' '.join(texts)


async def operator_answers(scenario):
    """Return the answers to all reads on all operator ports."""
    fleet = scenario.fleet
    texts = []
    for vm in fleet.deployment.vms:
        address = fleet.address(vm.name, 'operator')
        for path in OPERATOR_PATHS:
            body = await scenario.operator.read(address, path)
            assert body, path
            texts.append(str(body))
        connection = await HttpClientConnection.connect(
            fleet.caller_network(vm.data_centre.name), address, 1.0
        )
        response = await connection.request('GET', '/metrics', timeout_s=5.0)
        assert response.status == 200
        texts.append(response.body.decode())
        await connection.aclose()
    return texts


async def unauthorized_operator_answers(scenario, key):
    """Return the refusals of requests with a wrong operator key."""
    fleet = scenario.fleet
    headers = {'authorization': f'Bearer {key.reveal()}'}
    texts = []
    for vm in fleet.deployment.vms:
        connection = await HttpClientConnection.connect(
            fleet.caller_network(vm.data_centre.name),
            fleet.address(vm.name, 'operator'),
            1.0,
        )
        for method, path in (
            ('GET', '/v1/status'),
            ('GET', '/v1/catalogue'),
            ('POST', '/v1/catalogue/apply'),
        ):
            response = await connection.request(
                method, path, headers=headers, timeout_s=5.0
            )
            assert response.status == 401
            texts.append(f'{response.headers} {response.body.decode()}')
        await connection.aclose()
    return texts
