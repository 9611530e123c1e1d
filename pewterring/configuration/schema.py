"""Marshmallow schemas of the configuration document: keys, types, ranges and defaults.

Attributes of the schemas are named like the keys of the document; `reader` maps them to the names of `model`.
Unknown fields and null fields are ignored.
"""

import functools
from typing import Any

from marshmallow import EXCLUDE, Schema, fields, pre_load, validate

from pewterring.configuration.model import ClientLimits, RouteType

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_TARGET_LATENCY_MS = 1_000.0
DEFAULT_WEIGHT = 1.0
DEFAULT_HEALTH_CHECK = "/healthz"
DEFAULT_LIMITS = ClientLimits()
PATH_PREFIX_PATTERN = r"/(.*/)?\Z"  # matched from the start of the text

_positive = validate.Range(min=0, min_inclusive=False)
_not_negative = validate.Range(min=0)
_not_empty = validate.Length(min=1)


class _LenientSchema(Schema):
    """Base class whose schemas ignore unknown fields and null fields."""

    class Meta:
        unknown = EXCLUDE

    @pre_load
    def drop_null_fields(self, data: Any, **_: Any) -> Any:
        if not isinstance(data, dict):
            return data
        return {key: value for key, value in data.items() if value is not None}


class _WeightedServiceSchema(_LenientSchema):
    backend = fields.String(required=True)
    weight = fields.Float(load_default=DEFAULT_WEIGHT, validate=_not_negative)


class _RouteSchema(_LenientSchema):
    name = fields.String(load_default="")
    hostname = fields.String(required=True, validate=_not_empty)
    path_prefix = fields.String(required=True, validate=validate.Regexp(PATH_PREFIX_PATTERN))
    route_type = fields.Enum(RouteType, by_value=True, required=True)
    timeout_ms = fields.Float(load_default=DEFAULT_TIMEOUT_MS, validate=_positive)
    target_latency_ms = fields.Float(load_default=DEFAULT_TARGET_LATENCY_MS, validate=_not_negative)
    priority = fields.Integer(load_default=0)
    backend = fields.String()
    weighted_backends = fields.List(fields.Nested(_WeightedServiceSchema))
    max_attempts = fields.Integer(load_default=1, validate=validate.Range(min=1))
    session_affinity = fields.Boolean(load_default=False)
    resumable = fields.Boolean(load_default=False)
    gap_aim_ms = fields.Float(load_default=0.0, validate=_not_negative)
    max_queued_tokens = fields.Integer(load_default=0, validate=_not_negative)
    run_aim_ms = fields.Float(load_default=0.0, validate=_not_negative)
    keep_s = fields.Float(load_default=0.0, validate=_not_negative)


class _ModelSchema(_LenientSchema):
    name = fields.String(load_default="")


class _EngineSchema(_LenientSchema):
    capacity = fields.Integer(load_default=1, validate=_not_negative)
    kv_tokens = fields.Integer(load_default=0, validate=_not_negative)
    stride = fields.Integer(load_default=1, validate=validate.Range(min=1))
    models = fields.List(fields.Nested(_ModelSchema), load_default=list)


class _ServiceSchema(_LenientSchema):
    name = fields.String(required=True, validate=_not_empty)
    health_check = fields.String(load_default=DEFAULT_HEALTH_CHECK)
    max_connections = fields.Integer(load_default=0, validate=_not_negative)
    engine = fields.Nested(_EngineSchema)


class _LimitsSchema(_LenientSchema):
    max_header_bytes = fields.Integer(load_default=DEFAULT_LIMITS.max_header_bytes, validate=_positive)
    max_body_bytes = fields.Integer(load_default=DEFAULT_LIMITS.max_body_bytes, validate=_not_negative)
    header_timeout_ms = fields.Float(load_default=DEFAULT_LIMITS.header_timeout_ms, validate=_positive)
    idle_timeout_ms = fields.Float(load_default=DEFAULT_LIMITS.idle_timeout_ms, validate=_positive)


class _ConfigurationSchema(_LenientSchema):
    version = fields.Integer(required=True, strict=True)
    routes = fields.List(fields.Nested(_RouteSchema), required=True)
    backends = fields.List(fields.Nested(_ServiceSchema), required=True)
    limits = fields.Nested(_LimitsSchema)


@functools.cache
def configuration_schema() -> Schema:
    """Returns the schema of a complete configuration. Cached: building it costs far more than using it."""
    return _ConfigurationSchema()


@functools.cache
def header_schema() -> Schema:
    """Returns the schema of what a configuration has beside its lists: version and limits."""
    return _ConfigurationSchema(only=("version", "limits"))


@functools.cache
def route_schema() -> Schema:
    """Returns the schema of one route."""
    return _RouteSchema()


@functools.cache
def service_schema() -> Schema:
    """Returns the schema of one service."""
    return _ServiceSchema()


@functools.cache
def weighted_services_schema() -> Schema:
    """Returns the schema of a part of a route's list of weighted services."""
    return _WeightedServiceSchema(many=True)


@functools.cache
def models_schema() -> Schema:
    """Returns the schema of a part of an engine's list of models."""
    return _ModelSchema(many=True)
