"""Parsing and validation of model requests in the OpenAI format."""

import json
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from bamboovale.errors import ErrorCode, Finding, Refusal

DEFAULT_MAX_TOKENS = 256
PATHS = ("/v1/completions", "/v1/chat/completions")


@dataclass(frozen=True)
class ModelCall:
    """A parsed model request; ``fields`` is the complete body."""

    path: str
    model: str
    stream: bool
    max_tokens: int | None
    fields: dict[str, Any]

    def body_for(self, lora_name: str, max_tokens: int, priority: int) -> bytes:
        """Return the body to send to an engine."""
        fields = {
            **self.fields,
            "model": lora_name,
            "max_tokens": max_tokens,
            "priority": priority,
        }
        return json.dumps(fields, separators=(",", ":")).encode()


def read_model_call(path: str, body: bytes) -> Result[ModelCall, Refusal]:
    """Parse and validate a body; one refusal lists all findings."""
    try:
        fields = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError):
        return _refuse([Finding("body", "must be JSON")])
    if not isinstance(fields, dict):
        return _refuse([Finding("body", "must be a JSON object")])
    findings = _findings(path, fields)
    if findings:
        return _refuse(findings)
    return Ok(
        ModelCall(
            path=path,
            model=fields["model"],
            stream=fields.get("stream") is True,
            max_tokens=fields.get("max_tokens"),
            fields=fields,
        )
    )


def _reject_constant(text: str) -> float:
    """Raise ValueError for NaN and Infinity, which are not JSON."""
    raise ValueError(f"{text} is no JSON")


def _findings(path: str, fields: dict[str, Any]) -> list[Finding]:
    findings = []
    if not isinstance(fields.get("model"), str) or not fields["model"]:
        findings.append(Finding("model", "must name a catalogue entry"))
    if not isinstance(fields.get("stream", False), bool):
        findings.append(Finding("stream", "must be true or false"))
    max_tokens = fields.get("max_tokens")
    if max_tokens is not None and (type(max_tokens) is not int or max_tokens < 1):
        findings.append(Finding("max_tokens", "must be a whole number from 1"))
    if path.endswith("/chat/completions"):
        messages = fields.get("messages")
        if not isinstance(messages, list) or not messages:
            findings.append(Finding("messages", "must be a list with a message"))
        elif not all(isinstance(message, dict) for message in messages):
            findings.append(Finding("messages", "each must be a JSON object"))
    elif not isinstance(fields.get("prompt"), str):
        findings.append(Finding("prompt", "must be a string"))
    return findings


def _refuse(findings: list[Finding]) -> Err[Refusal]:
    message = "; ".join(f"{finding.place}: {finding.message}" for finding in findings)
    return Err(Refusal(ErrorCode.BAD_REQUEST, message, not_run=True))
