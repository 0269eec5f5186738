from __future__ import annotations

import pytest

from almondshift.standins import reference

PROMPT = (72, 101, 2**32, 0)


def run_layers(order: list[int]) -> list[int]:
    """Runs layers in a given order and returns the last activations."""
    seed = reference.model_seed("m", 1, "")
    states = [reference.EMPTY_STATE] * 8
    outputs = []
    for position, value in enumerate(PROMPT):
        for layer in order:
            value = reference.activation(
                seed, layer, position, states[layer], value
            )
            states[layer] = value
        outputs.append(value)
    return outputs


def test_tokens_are_printable_and_deterministic() -> None:
    first = reference.complete("m", 1, "", 4, PROMPT, 200)

    assert first == reference.complete("m", 1, "", 4, PROMPT, 200)
    assert len(first) == 200
    assert all(32 <= token <= 126 for token in first)
    assert len(set(first)) > 50


@pytest.mark.parametrize(
    "changed",
    [
        ("n", 1, "", 4, PROMPT),
        ("m", 2, "", 4, PROMPT),
        ("m", 1, "tone", 4, PROMPT),
        ("m", 1, "", 5, PROMPT),
        ("m", 1, "", 4, (72, 101, 2**32, 1)),
    ],
)
def test_output_depends_on(
    changed: tuple[str, int, str, int, tuple[int, ...]],
) -> None:
    expected = reference.complete("m", 1, "", 4, PROMPT, 20)

    assert expected != reference.complete(*changed, 20)


@pytest.mark.parametrize(
    "order",
    [[0, 1, 3], [0, 1, 1, 2, 3], [0, 2, 1, 3], [1, 0, 2, 3]],
    ids=["skipped", "doubled", "swapped", "swapped first"],
)
def test_wrong_layers_change_every_activation(order: list[int]) -> None:
    both = zip(run_layers([0, 1, 2, 3]), run_layers(order), strict=True)

    assert all(expected != actual for expected, actual in both)
