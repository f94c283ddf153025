"""Clients of the platform that the scheduler uses besides the store."""

from collections.abc import Callable

from attrs import frozen

from hemlockstand.platform.advice import AdviceClient
from hemlockstand.platform.executors import ExecutorClient
from hemlockstand.platform.machines import InstanceClient


@frozen
class FleetClients:
    """Clients of the platform's services.

    ``connect_executor`` returns the client of an executor by id and address.
    """

    connect_executor: Callable[[str, str], ExecutorClient]
    instances: InstanceClient
    advice: AdviceClient
