"""
bergamotshed.dispatch.target
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Checks calls against the configuration in force and finds their service.
"""

__all__ = ('ChatTarget', 'find_chat_target', 'find_plain_service')

from dataclasses import dataclass

from ..control.types import ConfigurationInForce
from ..fleet import LiveModel, Service, ServiceKind
from ..reasons import Reason, Refusal
from .types import ChatCall, PlainCall


@dataclass(frozen=True, slots=True)
class ChatTarget:
    """The service and the model version that a chat is sent to."""

    service: Service
    version: str

    def model_key(self, call: ChatCall) -> str:
        """Return ``model@version``, and ``+adapter`` if the call has one."""
        adapter = f'+{call.adapter}' if call.adapter else ''
        return f'{call.model}@{self.version}{adapter}'


def find_chat_target(
    configuration: ConfigurationInForce, call: ChatCall
) -> ChatTarget | Refusal:
    """Find the service that serves the call's model and adapter."""
    if configuration.version < 0:
        return _no_configuration_refusal()
    service = configuration.fleet.service_of_model(call.model)
    if service is None:
        return Refusal(
            Reason.UNKNOWN_MODEL, detail=f'no service has model {call.model}'
        )
    refusal = _permission_refusal(
        configuration, call.options.organisation, service.name
    )
    if refusal is not None:
        return refusal
    live = _live_model(service, call)
    if live is None:
        return Refusal(
            Reason.UNKNOWN_MODEL,
            detail=f'model {call.model} has no adapter {call.adapter}',
        )
    return ChatTarget(service, live.version)


def find_plain_service(
    configuration: ConfigurationInForce, call: PlainCall
) -> Service | Refusal:
    """Find the plain service that a call names."""
    if configuration.version < 0:
        return _no_configuration_refusal()
    service = configuration.fleet.service(call.service)
    if service is None or service.kind is not ServiceKind.PLAIN:
        return Refusal(
            Reason.UNKNOWN_SERVICE, detail=f'no plain service {call.service}'
        )
    refusal = _permission_refusal(
        configuration, call.options.organisation, service.name
    )
    return service if refusal is None else refusal


def _no_configuration_refusal() -> Refusal:
    return Refusal(
        Reason.NO_CONFIGURATION,
        detail='this router has no configuration yet',
    )


def _permission_refusal(
    configuration: ConfigurationInForce,
    organisation_name: str,
    service_name: str,
) -> Refusal | None:
    organisation = configuration.fleet.organisation(organisation_name)
    if organisation is None:
        return Refusal(
            Reason.UNKNOWN_ORGANISATION,
            detail=f'no organisation {organisation_name}',
        )
    if service_name not in organisation.services:
        return Refusal(
            Reason.NOT_ALLOWED,
            detail=f'{organisation_name} may not use {service_name}',
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
