"""The platform's clients that the scheduler uses beside the store."""

from collections.abc import Callable

from attrs import frozen

from hemlockstand.platform.advice import AdviceClient
from hemlockstand.platform.executors import ExecutorClient
from hemlockstand.platform.machines import InstanceClient


@frozen
class FleetClients:
    """``connect_executor`` takes the executor's id and address."""

    connect_executor: Callable[[str, str], ExecutorClient]
    instances: InstanceClient
    advice: AdviceClient
