"""HTTP client for the operator ports of entry VMs."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import cycle
from typing import Any

import anyio
import msgspec

from siskinsail_net import HttpClientConnection
from siskinsail_net import HttpResponse
from siskinsail_net import Network
from siskinsail_types import Address
from siskinsail_types import Clock
from siskinsail_types import ProtocolError
from siskinsail_types import Secret
from siskinsail_types import SiskinsailError

from ._outcome import CommandError
from ._outcome import ExitStatus

_CONNECT_TIMEOUT_S = 1.0
# An entry VM forwards a request to the leader for up to 1.7 s in addition to
# the requested wait.
_RESPONSE_TIMEOUT_S = 3.0
_RETRY_DELAY_S = 0.2
_NO_KEY = Secret('')


@dataclass(frozen=True)
class ClientSettings:
    """Settings of the connection to the fleet.

    Parameters
    ----------
    addresses : tuple of Address
        Operator ports of entry VMs, tried in turn.
    operator_key : Secret
        Key that authenticates every request.
    timeout_s : float
        Time for which a request without an answer is retried.
    """

    addresses: tuple[Address, ...] = ()
    operator_key: Secret = _NO_KEY
    timeout_s: float = 15.0


class OperatorClient:
    """Sends requests to entry VMs in turn until one gives a definite answer.

    Parameters
    ----------
    settings : ClientSettings
        Addresses, operator key and time limit.
    network : Network
        Network on which connections are opened.
    clock : Clock
        Time source for the time limit of retries.
    """

    def __init__(
        self, settings: ClientSettings, network: Network, clock: Clock
    ) -> None:
        self._settings = settings
        self._network = network
        self._clock = clock

    @property
    def has_addresses(self) -> bool:
        """Whether the address of an entry VM is set."""
        return bool(self._settings.addresses)

    async def get(self, path: str) -> Any:
        """Send a GET request and return the decoded answer."""
        return await self._send('GET', path, b'', 0.0)

    async def poll(
        self,
        path: str,
        is_done: Callable[[dict[str, Any]], bool],
        wait_s: float,
    ) -> bool:
        """Repeat a GET request until ``is_done`` accepts the answer.

        The request is sent at least once, however short ``wait_s`` is.

        Returns
        -------
        bool
            False if ``wait_s`` seconds have passed and the last answer was not
            accepted.
        """
        end_s = self._clock.now_s() + wait_s
        while not is_done(await self.get(path)):
            if self._clock.now_s() >= end_s:
                return False
            await anyio.sleep(_RETRY_DELAY_S)
        return True

    async def get_from_all(self, path: str) -> tuple[list[Any], list[str]]:
        """Send a GET request to every address.

        Returns
        -------
        tuple
            The decoded answers, and the error messages of the addresses that
            did not answer.

        Raises
        ------
        CommandError
            If no address answered.
        """
        self._check_addresses()
        answers: list[Any] = []
        failures: list[CommandError] = []
        for address in self._settings.addresses:
            try:
                answers.append(await self._send_once(address, 'GET', path))
            except CommandError as error:
                failures.append(error)
        if not answers:
            raise failures[0]
        return answers, [error.message for error in failures]

    async def post(self, path: str, value: Any, wait_s: float) -> Any:
        """Send a POST request with a JSON body and return the decoded answer.

        The same body is sent again if the answer is lost, so it must contain a
        request id that makes the request idempotent.
        """
        return await self._send(
            'POST', path, msgspec.json.encode(value), wait_s
        )

    async def _send(
        self, method: str, path: str, body: bytes, wait_s: float
    ) -> Any:
        self._check_addresses()
        deadline_s = self._clock.now_s() + self._settings.timeout_s + wait_s
        untried_count = len(self._settings.addresses)
        for address in cycle(self._settings.addresses):
            untried_count -= 1
            try:
                return await self._send_once(
                    address, method, path, body, wait_s
                )
            except CommandError as error:
                is_last_attempt = (
                    self._clock.now_s() >= deadline_s and untried_count <= 0
                )
                if error.status is not ExitStatus.UNKNOWN or is_last_attempt:
                    raise
            await anyio.sleep(_RETRY_DELAY_S)
        raise AssertionError('the list of addresses is not empty')

    def _check_addresses(self) -> None:
        if not self._settings.addresses:
            raise CommandError(
                ExitStatus.WRONG_USAGE,
                'no address of an entry VM is set; use --addresses or '
                'SISKINSAIL_ADDRESSES',
            )

    async def _send_once(
        self,
        address: Address,
        method: str,
        path: str,
        body: bytes = b'',
        wait_s: float = 0.0,
    ) -> Any:
        key = self._settings.operator_key.reveal()
        try:
            connection = await HttpClientConnection.connect(
                self._network, address, _CONNECT_TIMEOUT_S
            )
            try:
                response = await connection.request(
                    method,
                    path,
                    body=body,
                    headers={'authorization': f'Bearer {key}'},
                    timeout_s=_RESPONSE_TIMEOUT_S + wait_s,
                )
            finally:
                await connection.aclose()
            return _decode_response(address, response)
        except CommandError:
            raise
        except SiskinsailError as error:
            raise CommandError(ExitStatus.UNKNOWN, str(error)) from error


def _decode_response(address: Address, response: HttpResponse) -> Any:
    try:
        value = msgspec.json.decode(response.body) if response.body else {}
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f'{address}: the response is not valid JSON'
        ) from error
    if response.status < 300:
        return value
    # A status of 500 or above means that there is no leader, or that the
    # outcome is unknown. Every other error is definite.
    is_definite = response.status < 500
    status = ExitStatus.REFUSED if is_definite else ExitStatus.UNKNOWN
    raise CommandError(status, f'{address}: {_format_error(response, value)}')


def _format_error(response: HttpResponse, value: Any) -> str:
    error = value.get('error') if isinstance(value, dict) else None
    if not isinstance(error, dict):
        return f'HTTP status {response.status}'
    lines = [f'{error.get("code")}: {error.get("message")}']
    lines += [
        '  {kind} {name}: {field} {message}'.format_map(mistake)
        for mistake in _read_mistakes(error.get('mistakes'))
    ]
    return '\n'.join(lines)


def _read_mistakes(values: Any) -> Iterator[dict[str, Any]]:
    for value in values or ():
        if isinstance(value, dict):
            yield {
                name: value.get(name, '')
                for name in ('kind', 'name', 'field', 'message')
            }
