"""What a service publishes about the engines that run its model."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AcceleratorKind:
    """A kind of accelerator.

    Attributes:
        memory_mb: Memory for weights and requests.
        step_factor: Time of a decode step relative to the published figure.
        prefill_factor: Time of prefill relative to the published figure.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Published figures of the engines of a service.

    Attributes:
        layers: Number of layers of the model.
        layer_mb: Size of the weights of one layer.
        token_bytes: KV cache memory of one token over all layers.
        load_s: Time to load all layers.
        step_ms: Base time of a decode step over all layers, before the times
            below are added.
        step_ms_per_request: Added by each request that is generating.
        step_ms_per_kilotoken: Added by each 1,000 tokens of context.
        prefill_tokens_per_s: Prefill speed.
        mean_prompt_tokens: Mean length of a prompt in tokens.
        mean_answer_tokens: Mean length of an answer in tokens.
        slots: Requests that an engine runs at once as the first engine of
            their paths.
        kinds: Kinds of accelerators by name.
    """

    layers: int
    layer_mb: float
    token_bytes: float
    load_s: float
    step_ms: float
    step_ms_per_request: float
    step_ms_per_kilotoken: float
    prefill_tokens_per_s: float
    mean_prompt_tokens: float
    mean_answer_tokens: float
    slots: int
    kinds: dict[str, AcceleratorKind]

    def layer_token_capacity(self, kind: str, held: int) -> float:
        """Returns the memory for requests, in tokens times layers.

        Args:
            kind: The engine's kind of accelerator.
            held: Number of layers whose weights it holds.
        """
        accelerator = self.kinds.get(kind)
        if accelerator is None or self.token_bytes <= 0:
            return 0.0
        free_mb = accelerator.memory_mb - held * self.layer_mb
        return max(0.0, free_mb) * 1e6 * self.layers / self.token_bytes
