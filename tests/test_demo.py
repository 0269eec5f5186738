"""The demo's system, with each of its engines lost in turn."""

from __future__ import annotations

import asyncio

import pytest

from almondshift.adapters import byte_tokenizer
from almondshift.adapters import http_caller
from almondshift.daemons import demo
from almondshift.daemons import embedded
from almondshift.standins import reference
from tests import asynchronous

KILL_AFTER_TOKENS = 10
MAX_TOKENS = 40
RECOVERY_S = 5.0
SERVICES = {"advice": "", "drafts": "campaigns"}
VICTIMS = [settings.name for settings in demo.engines()]


def _create_system() -> embedded.EmbeddedSystem:
    return embedded.create_embedded_system(
        embedded.EmbeddedSettings(
            config_text=demo.sample_config_text(),
            nodes=3,
            engines=demo.engines(),
            plain=("portal",),
        )
    )


async def _complete_during_loss(
    system: embedded.EmbeddedSystem,
    caller: http_caller.Caller,
    service: str,
    victim: str,
) -> None:
    """Streams a completion, kills an engine meanwhile, checks the tokens."""
    tokens: list[int] = []
    kills: list[asyncio.Task[None]] = []

    def on_token(token: int) -> None:
        tokens.append(token)
        if len(tokens) == KILL_AFTER_TOKENS and victim in system.engines:
            kills.append(asyncio.create_task(system.kill_engine(victim)))

    answer = await caller.complete(
        service, demo.LONG_PROMPT, MAX_TOKENS, on_token=on_token
    )
    await asyncio.gather(*kills)
    assert answer.whole, answer.problem
    assert tuple(answer.tokens) == reference.complete(
        demo.MODEL,
        demo.VERSION,
        SERVICES[service],
        demo.LAYERS,
        byte_tokenizer.create_tokenizer().encode(demo.LONG_PROMPT),
        MAX_TOKENS,
    )


@pytest.mark.parametrize("victim", VICTIMS)
@asynchronous.run
async def test_streams_survive_the_loss_of_any_engine(victim: str) -> None:
    """Guards against layers that no engine loads after their holder's loss."""
    system = _create_system()
    caller = http_caller.create_caller(demo.MEMBERS_KEY, [])
    await system.start()
    try:
        await system.wait_ready(*SERVICES)
        caller = http_caller.create_caller(
            demo.MEMBERS_KEY, system.entry_addresses()
        )
        await caller.start()
        await asyncio.gather(
            *(
                _complete_during_loss(system, caller, service, victim)
                for service in SERVICES
            )
        )
        await system.wait_ready(*SERVICES, seconds=RECOVERY_S)
    finally:
        await caller.close()
        await system.close()
