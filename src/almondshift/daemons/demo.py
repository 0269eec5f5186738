"""Sends sample requests to an embedded system and prints each step."""

from __future__ import annotations

import asyncio
import importlib.resources
import itertools
import signal

from almondshift.adapters import byte_tokenizer
from almondshift.adapters import http_caller
from almondshift.daemons import embedded
from almondshift.standins import reference
from almondshift.standins.engine import settings as engine_settings

MODEL = "adviser"
VERSION = 1
LAYERS = 12
MEMBERS_KEY = "demo-members-key"
CAMPAIGN_KEY = "demo-campaign-key"
PROMPTS = (
    (MEMBERS_KEY, "advice", "May I take magnesium with iron?", False),
    (CAMPAIGN_KEY, "advice", "How much water does a garden need?", True),
    (MEMBERS_KEY, "advice", "What does the label mean by daily value?", True),
)
LONG_PROMPT = "Write a summary of the waste sorting campaign."
LONG_PROMPT_MAX_TOKENS = 120
KILL_AFTER_TOKENS = 40

ENGINES = (
    ("fast-1", "zone-a", "fast", 8, 2.0, 60.0),
    ("fast-2", "zone-b", "fast", 8, 2.0, 60.0),
    ("slow-1", "zone-a", "slow", 4, 3.0, 150.0),
    ("slow-2", "zone-b", "slow", 4, 3.0, 150.0),
    ("spare-1", "zone-a", "slow", 6, 3.0, 150.0),
    ("spare-2", "zone-b", "slow", 6, 3.0, 150.0),
)


def engines() -> tuple[engine_settings.EngineSettings, ...]:
    """Returns the demo's engines: two accelerator kinds, mixed capacities."""
    return tuple(
        engine_settings.EngineSettings(
            name=name,
            zone=zone,
            models={MODEL: LAYERS},
            accelerator=kind,
            layer_capacity=capacity,
            fixed_s=fixed_ms / 1000,
            per_layer_token_s=token_us / 1e6,
        )
        for name, zone, kind, capacity, fixed_ms, token_us in ENGINES
    )


def sample_config_text() -> str:
    """Returns the sample configuration text."""
    return (
        importlib.resources.files("almondshift.data")
        .joinpath("sample.ini")
        .read_text()
    )


class Demo:
    """Runs the demo's steps and records whether all responses were correct."""

    def __init__(self, system: embedded.EmbeddedSystem) -> None:
        self.system = system
        self.tokenizer = byte_tokenizer.create_tokenizer()
        self.all_correct = True
        self.callers: dict[str, http_caller.Caller] = {}

    async def start(self) -> None:
        """Starts the system and a caller for each account."""
        await self.system.start()
        for key in (MEMBERS_KEY, CAMPAIGN_KEY):
            caller = http_caller.create_caller(
                key, self.system.entry_addresses()
            )
            await caller.start()
            self.callers[key] = caller

    async def close(self) -> None:
        """Closes the callers and the system."""
        for caller in self.callers.values():
            await caller.close()
        await self.system.close()

    async def run(self) -> None:
        """Sends the sample requests, the last of them during an engine loss."""
        print("Applied the sample configuration as version 1.")
        await self.system.wait_ready("advice", "portal")
        await self.system.wait_peers()
        self._print_entries(await self.callers[MEMBERS_KEY].entries())
        for key, service, prompt, stream in PROMPTS:
            await self._request_completion(key, service, prompt, stream)
        await self._repeat_portal_call()
        await self._complete_during_engine_loss()

    def _print_entries(self, addresses: list[str]) -> None:
        print(f"GET /v1/entries lists {len(addresses)} nodes: {addresses}")

    async def _request_completion(
        self, key: str, service: str, prompt: str, stream: bool
    ) -> None:
        answer = await self.callers[key].complete(
            service, prompt, 24, stream=stream
        )
        mode = "streamed" if stream else "whole"
        print(f"\n{service} ({mode}): {prompt}")
        self._check_completion(prompt, 24, answer)
        self._print_stages(answer)

    async def _repeat_portal_call(self) -> None:
        caller = self.callers[MEMBERS_KEY]
        body = b'{"pause": "order 17"}'
        first = await caller.call(
            "portal", "/notices", body, idempotency_key="notice-17"
        )
        again = await caller.call(
            "portal", "/notices", body, idempotency_key="notice-17"
        )
        runs = sum(
            len(server.record.rows) for server in self.system.plain.values()
        )
        print(f"\nportal: status {first.status}, repeat {again.status}")
        print(f"  the pause notice ran {runs} time(s) in total")
        self._record_check(first.status == 200 and first.text == again.text)
        self._record_check(runs == 1)

    async def _complete_during_engine_loss(self) -> None:
        print(f"\nadvice (streamed), an engine is lost: {LONG_PROMPT}")
        tokens_received: list[int] = []
        kill_tasks: list[asyncio.Task[None]] = []

        def on_token(token: int) -> None:
            tokens_received.append(token)
            if len(tokens_received) == KILL_AFTER_TOKENS:
                kill_tasks.append(asyncio.ensure_future(self._kill_busiest()))

        answer = await self.callers[MEMBERS_KEY].complete(
            "advice", LONG_PROMPT, LONG_PROMPT_MAX_TOKENS, on_token=on_token
        )
        await asyncio.gather(*kill_tasks)
        self._check_completion(LONG_PROMPT, LONG_PROMPT_MAX_TOKENS, answer)
        self._print_stages(answer)
        for recovery in answer.details.get("recoveries", []):
            scope = "all stages" if recovery["restarted"] else "one stage"
            print(
                f"  {recovery['endpoint']} was replaced by "
                f"{', '.join(recovery['replacement'])}: {scope} replayed, "
                f"{recovery['replayed_positions']} positions, "
                f"{recovery['seconds'] * 1000:.0f} ms from detection to token"
            )
        self._record_check(bool(answer.details.get("recoveries")))
        arrivals = answer.arrivals
        gap_s = max(b - a for a, b in itertools.pairwise(arrivals))
        print(
            f"  recovery as seen by the caller: {gap_s:.3f} s without a token"
        )

    async def _kill_busiest(self) -> None:
        name = max(
            self.system.engines,
            key=lambda n: len(self.system.engines[n].session_table),
        )
        print(f"  after {KILL_AFTER_TOKENS} tokens: {name} is killed")
        await self.system.kill_engine(name)

    def _check_completion(
        self, prompt: str, count: int, answer: http_caller.CallerAnswer
    ) -> None:
        expected = reference.complete(
            MODEL, VERSION, "", LAYERS, self.tokenizer.encode(prompt), count
        )
        correct = answer.whole and tuple(answer.tokens) == expected
        self._record_check(correct)
        if answer.problem:
            print(f"  problem: {answer.problem}")
        verdict = "equal to the reference" if correct else "WRONG"
        print(f"  answer: {answer.text!r}")
        print(
            f"  {len(answer.tokens)} tokens in {answer.seconds:.3f} s,", verdict
        )

    def _print_stages(self, answer: http_caller.CallerAnswer) -> None:
        for stage in answer.details.get("stages", []):
            print(
                f"  epoch {stage['epoch']}: {stage['endpoint']:8} layers "
                f"{stage['start']}-{stage['end']}, {stage['calls']} calls, "
                f"{stage['seconds'] * 1000:.0f} ms"
            )

    def _record_check(self, correct: bool) -> None:
        self.all_correct = self.all_correct and correct


def run(*, keep: bool) -> int:
    """Runs the demo; returns 0 only if every response was correct."""
    return asyncio.run(_run(keep))


async def _run(keep: bool) -> int:
    system = embedded.create_embedded_system(
        embedded.EmbeddedSettings(
            config_text=sample_config_text(),
            nodes=3,
            engines=engines(),
            plain=("portal", "confirmations"),
        )
    )
    demo = Demo(system)
    await demo.start()
    try:
        await demo.run()
        verdict = "correct" if demo.all_correct else "NOT correct"
        print(f"\nAll answers were {verdict}.")
        if keep:
            await _keep_running(system)
    finally:
        await demo.close()
    return 0 if demo.all_correct else 1


async def _keep_running(system: embedded.EmbeddedSystem) -> None:
    address = system.entry_addresses()[0]
    print("\nThe system keeps running until Ctrl-C. Try:")
    print(f"  curl http://{address}/v1/entries")
    print(
        f"  curl -N http://{address}/v1/completions "
        f"-H 'Authorization: Bearer {MEMBERS_KEY}' "
        '-d \'{"model": "advice", "prompt": "Hello", '
        '"max_tokens": 20, "stream": true}\''
    )
    print(
        f"  curl http://{address}/v1/services/portal/notices "
        f"-H 'Authorization: Bearer {MEMBERS_KEY}' "
        "-H 'Idempotency-Key: try-1' -d '{}'"
    )
    print(
        f"  curl http://{address}/v1/admin/status "
        f"-H 'Authorization: Bearer {embedded.OPERATOR_SECRET}'"
    )
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
