"""
bergamotshed.control.plan
~~~~~~~~~~~~~~~~~~~~~~~~~

Assigns models to engines and plans the orders that load or unload them.
"""

__all__ = ('EngineOrder', 'OrderCause', 'assign_models', 'plan_orders')

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from ..engines.types import LoadedModel, LoadReport, OrderKind
from ..fleet import LiveModel, Service
from ..routing.hashing import rank, stable_hash


class OrderCause(Enum):
    """The reason for an order."""

    MISSING = 'the configuration wants it loaded'
    ADAPTERS = 'the configuration wants other adapters'
    UNWANTED = 'the configuration does not name it'


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One change to one engine, stated as the target state."""

    kind: OrderKind
    cause: OrderCause
    model: str
    version: str
    adapters: tuple[str, ...] = ()


def assign_models(
    service: Service, engines: Sequence[str]
) -> dict[str, tuple[LiveModel, ...]]:
    """Return the models that each engine of a service should have loaded.

    A model for only some of the engines goes to those that rank first by
    rendezvous hashing, so that a joining engine moves few models.

    :param engines: names of the service's live engines
    """
    holders = {
        (live.name, live.version): _select_holders(service, live, engines)
        for live in service.models
    }
    return {
        engine: tuple(
            live
            for live in service.models
            if engine in holders[live.name, live.version]
        )
        for engine in engines
    }


def plan_orders(
    report: LoadReport, targets: Sequence[LiveModel]
) -> tuple[EngineOrder, ...]:
    """Return the orders that are still needed.

    Nothing is unloaded before the engine reports all target models as
    loaded, so an engine is never left without a model.

    :param report: the engine's report of its loaded models
    :param targets: the models that the engine should have loaded
    """
    loaded = {
        (reported.model, reported.version): reported
        for reported in report.loaded
    }
    load_orders = [
        _plan_load(live, loaded.get((live.name, live.version)))
        for live in targets
    ]
    pending_loads = tuple(order for order in load_orders if order is not None)
    if pending_loads:
        return pending_loads
    target_keys = {(live.name, live.version) for live in targets}
    return tuple(
        EngineOrder(
            OrderKind.UNLOAD,
            OrderCause.UNWANTED,
            reported.model,
            reported.version,
        )
        for key, reported in loaded.items()
        if key not in target_keys
    )


def _select_holders(
    service: Service, live: LiveModel, engines: Sequence[str]
) -> frozenset[str]:
    if live.engines == 0:
        return frozenset(engines)
    key = stable_hash('holders', service.name, live.name, live.version)
    return frozenset(rank(key, engines)[: live.engines])


def _plan_load(
    live: LiveModel, reported: LoadedModel | None
) -> EngineOrder | None:
    if reported is None:
        cause = OrderCause.MISSING
    elif set(reported.adapters) == set(live.adapters):
        return None
    else:
        cause = OrderCause.ADAPTERS
    return EngineOrder(
        OrderKind.LOAD, cause, live.name, live.version, live.adapters
    )
