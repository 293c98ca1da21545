"""
bergamotshed.dispatch.target
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks a call against the configuration in force and finds its service.
"""

__all__ = ('ChatTarget', 'chat_target', 'plain_target')

from dataclasses import dataclass

from ..control.types import ConfigurationInForce
from ..fleet import LiveModel, Service, ServiceKind
from ..reasons import Reason, Refusal
from .types import ChatCall, PlainCall


@dataclass(frozen=True, slots=True)
class ChatTarget:
    """The service and the model version that a chat goes to."""

    service: Service
    version: str

    def model_key(self, call: ChatCall) -> str:
        """Return ``model@version+adapter`` where given."""
        adapter = f'+{call.adapter}' if call.adapter else ''
        return f'{call.model}@{self.version}{adapter}'


def chat_target(
    configuration: ConfigurationInForce, call: ChatCall
) -> ChatTarget | Refusal:
    """Find the service that has the call's model and adapter live."""
    if configuration.version < 0:
        return _no_configuration()
    service = configuration.fleet.service_of_model(call.model)
    if service is None:
        return Refusal(
            Reason.UNKNOWN_MODEL, detail=f'no service has model {call.model}'
        )
    refused = _permission(
        configuration, call.options.organisation, service.name
    )
    if refused is not None:
        return refused
    live = _live_model(service, call)
    if live is None:
        return Refusal(
            Reason.UNKNOWN_MODEL,
            detail=f'model {call.model} has no adapter {call.adapter}',
        )
    return ChatTarget(service, live.version)


def plain_target(
    configuration: ConfigurationInForce, call: PlainCall
) -> Service | Refusal:
    """Find the plain service that a call names."""
    if configuration.version < 0:
        return _no_configuration()
    service = configuration.fleet.service(call.service)
    if service is None or service.kind is not ServiceKind.PLAIN:
        return Refusal(
            Reason.UNKNOWN_SERVICE, detail=f'no plain service {call.service}'
        )
    refused = _permission(
        configuration, call.options.organisation, service.name
    )
    return service if refused is None else refused


def _no_configuration() -> Refusal:
    return Refusal(
        Reason.NO_CONFIGURATION,
        detail='this router has no configuration yet',
    )


def _permission(
    configuration: ConfigurationInForce, name: str, service: str
) -> Refusal | None:
    organisation = configuration.fleet.organisation(name)
    if organisation is None:
        return Refusal(
            Reason.UNKNOWN_ORGANISATION, detail=f'no organisation {name}'
        )
    if service not in organisation.services:
        return Refusal(
            Reason.NOT_ALLOWED, detail=f'{name} may not use {service}'
        )
    return None


def _live_model(service: Service, call: ChatCall) -> LiveModel | None:
    return next(
        (
            live
            for live in service.models
            if live.name == call.model
            and (not call.adapter or call.adapter in live.adapters)
        ),
        None,
    )
