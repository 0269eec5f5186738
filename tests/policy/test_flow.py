from __future__ import annotations

import pytest

from almondshift.model import endpoints
from almondshift.model import fleet
from almondshift.model import layers
from almondshift.policy import flow


def _engine(
    name: str, span: tuple[int, int], zone: str = "z1"
) -> flow.FlowEngine:
    # With 4 layers: 10 / (0.06 + 0.001 * 4 * 10) = 100 tokens per second.
    description = endpoints.EndpointDescription(
        name, name, "gpu", 8, 0.06, 0.001, 10, 64
    )
    return flow.FlowEngine(description, layers.LayerRange(*span), zone)


@pytest.mark.parametrize(
    ("spans", "bound"),
    [
        ([(0, 4), (4, 8)], 100.0),
        ([(0, 4), (0, 4), (4, 8)], 100.0),
        ([(0, 4), (0, 4), (4, 8), (4, 8)], 200.0),
        ([(0, 4)], 0.0),
        ([(0, 4), (5, 8)], 0.0),
        ([], 0.0),
    ],
)
def test_bound_of_stages(spans: list[tuple[int, int]], bound: float) -> None:
    engines = [_engine(f"e{i}", span) for i, span in enumerate(spans)]
    assert flow.bound_tokens_per_s(engines, 8) == pytest.approx(bound)


def test_overlapping_ranges_add_up() -> None:
    engines = [_engine("a", (0, 4)), _engine("b", (2, 6)), _engine("c", (4, 8))]
    assert flow.bound_tokens_per_s(engines, 8) == pytest.approx(100.0)


def test_a_link_can_be_the_limit() -> None:
    engines = [_engine("a", (0, 4), "z1"), _engine("b", (4, 8), "z2")]
    link = fleet.Link("z1", "z2", 0.001, 3000.0)
    bound = flow.bound_tokens_per_s(engines, 8, [link], activation_bytes=100)
    assert bound == pytest.approx(30.0)
