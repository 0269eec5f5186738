"""Validates the body of ``POST /v1/completions``."""

from __future__ import annotations

import expression
import pydantic

from almondshift import errors


class CompletionBody(pydantic.BaseModel):
    """The request fields that are read; unknown fields are ignored.

    Attributes:
        model: Name of a service.
        prompt: Text, or token ids.
        max_tokens: Tokens to generate.
        stream: Whether to respond with server-sent events.
    """

    model_config = pydantic.ConfigDict(extra="ignore", strict=True)

    model: str = pydantic.Field(min_length=1, max_length=200)
    prompt: str | list[int]
    max_tokens: int = pydantic.Field(default=16, ge=1)
    stream: bool = False

    @pydantic.field_validator("prompt")
    @classmethod
    def _check_prompt(cls, value: str | list[int]) -> str | list[int]:
        if not value:
            raise ValueError("must not be empty")
        if isinstance(value, list) and min(value) < 0:
            raise ValueError("token ids must not be negative")
        if isinstance(value, list) and max(value) >= 2**32:
            raise ValueError("token ids must be below 2**32")
        return value


def parse(
    body: bytes,
) -> expression.Result[CompletionBody, errors.MalformedRequest]:
    """Validates a body; the error names the first invalid field."""
    try:
        return expression.Ok(CompletionBody.model_validate_json(body))
    except pydantic.ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in first["loc"]) or "body"
        return expression.Error(
            errors.MalformedRequest(f"Field {location}: {first['msg']}.")
        )
