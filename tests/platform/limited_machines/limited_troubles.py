"""Troubles of a day: drawn by a seed, in series that overlap."""

import asyncio
import contextlib
import random
import time

from limited_engines import Fault

PROFILES = ("calm", "users", "hostile")


class Day:
    """Plays troubles on machines, engines, callers and the operator."""

    def __init__(self, fleet, engines, callers, operator, plan, seed):
        self._fleet, self._engines, self._callers = fleet, engines, callers
        self._operator, self._plan = operator, plan
        self._random = random.Random(seed * 7 + 1)
        self._core_free = asyncio.Lock()
        self.log = []
        self.final_version = None
        self.errors = []

    def _note(self, text):
        self.log.append((time.monotonic(), text))

    async def play(self, profile, since, seconds):
        """Plays the troubles of a profile.

        Args:
            profile: One of `PROFILES`.
            since: Time at which the day began.
            seconds: Length of the day.
        """
        if profile == "calm":
            await self._at(since, seconds / 2, self._config_change, "idle")
            await self._at(since, seconds - 1, self._config_change, "quota")
            return
        kinds = self._kinds(profile)
        chosen = self._random.sample(kinds, min(14, len(kinds)))
        tasks = []
        for trouble in chosen:
            at = self._random.uniform(0.5, seconds - 8)
            tasks.append(asyncio.create_task(self._at(since, at, trouble)))
        await asyncio.wait(
            tasks, timeout=since + seconds + 3 - time.monotonic()
        )
        for task in tasks:
            task.cancel()
            if task.done() and not task.cancelled() and task.exception():
                self.errors.append(repr(task.exception()))
        await self._final(since, seconds)

    async def _at(self, since, seconds, trouble, *rest):
        await asyncio.sleep(max(0.0, since + seconds - time.monotonic()))
        self._note(f"{trouble.__name__.strip('_')} {' '.join(rest)}".strip())
        await trouble(*rest)

    def _kinds(self, profile):
        users = [
            self._roll_term,
            self._roll_term,
            self._hang_up_all,
            self._kill_some,
            self._kill_core_one,
            self._kill_core_all,
            self._freeze_some,
            self._freeze_core,
            self._engine_crash,
            self._engine_hang,
            self._engine_mute,
            self._engine_errors,
            self._engine_garble,
            self._engine_cut,
            self._engine_extra,
            self._engine_reset,
            self._engine_slow,
            self._engine_shed,
            self._release,
            self._burst,
            self._burst_long,
            self._hot_tenant,
            self._hot_key,
            self._give_up,
            self._retry_abuse,
            self._config_storm,
            self._config_race,
            self._bad_config,
            self._ack_lost,
            self._revoke,
            self._seed_turnover,
            self._wipe_one,
        ]
        if profile == "users":
            return users
        return users[:9] + [
            self._engine_endless,
            self._engine_endless,
            self._large_bodies,
            self._large_bodies,
            self._slow_callers,
            self._full_disk,
            self._burst_hard,
            self._engine_hang,
            self._engine_garble,
            self._wipe_one,
            self._config_storm,
        ]

    # Machines.

    async def _roll_term(self):
        machines = self._random.sample(self._fleet.machines, 6)
        for machine in machines:
            if not machine.down:
                async with contextlib.AsyncExitStack() as stack:
                    if machine.disk:
                        await stack.enter_async_context(self._core_free)
                    await self._fleet.restart(machine)
            await asyncio.sleep(0.3)

    async def _hang_up_all(self):
        for machine in self._fleet.machines:
            if not machine.down:
                self._fleet.hang_up(machine)
            await asyncio.sleep(0.15)

    async def _seed_turnover(self):
        await self._hang_up_all()

    async def _off_and_on(self, machines, why, seconds, wipe=False):
        machines = [m for m in machines if not m.down]
        events = await self._fleet.power_off(machines, why)
        await asyncio.sleep(seconds)
        await self._fleet.power_on(machines, events, wipe)

    async def _kill_some(self):
        small = [m for m in self._fleet.machines if not m.disk]
        await self._off_and_on(self._random.sample(small, 2), "node_kill", 3.5)

    async def _kill_core_one(self):
        async with self._core_free:
            await self._off_and_on(
                [self._random.choice(self._fleet.core)], "core_kill", 3.0
            )
            await asyncio.sleep(4.0)

    async def _kill_core_all(self):
        async with self._core_free:
            await self._off_and_on(self._fleet.core, "herd_kill", 2.0)
            await asyncio.sleep(4.0)

    async def _freeze_some(self):
        machines = self._random.sample(
            [m for m in self._fleet.machines if not m.disk], 2
        )
        await asyncio.gather(*(self._fleet.freeze(m, 3.5) for m in machines))

    async def _freeze_core(self):
        async with self._core_free:
            await self._fleet.freeze(self._random.choice(self._fleet.core), 7.0)
            await asyncio.sleep(4.0)

    async def _wipe_one(self):
        async with self._core_free:
            await self._off_and_on(
                [self._random.choice(self._fleet.core)], "wipe", 3.0, True
            )
            await asyncio.sleep(6.0)

    async def _full_disk(self):
        async with self._core_free:
            await self._fleet.fill_disk(
                self._random.choice(self._fleet.core), 4.0
            )
            await asyncio.sleep(4.0)

    # Engines.

    def _some(self, share, model=True):
        engines = [e for e in self._engines if e.is_model is model]
        return self._random.sample(engines, max(1, round(share * len(engines))))

    async def _fault(self, fault, share, part, seconds):
        with contextlib.ExitStack() as stack:
            for engine in self._some(share) + self._some(0.34, model=False):
                stack.enter_context(engine.faulty(fault, part))
            await asyncio.sleep(seconds)

    async def _engine_crash(self):
        for engine in self._some(0.2):
            await engine.crash()
            await asyncio.sleep(4.5)
            await engine.start()

    async def _engine_hang(self):
        await self._fault(Fault.HANG, 0.2, 0.45, 6.5)

    async def _engine_mute(self):
        await self._fault(Fault.MUTE, 0.2, 0.45, 6.5)

    async def _engine_errors(self):
        await self._fault(Fault.ERRORS, 1.0, 0.45, 4.0)

    async def _engine_garble(self):
        await self._fault(Fault.GARBAGE, 0.4, 0.05, 5.5)

    async def _engine_cut(self):
        await self._fault(Fault.CUT, 0.4, 0.1, 5.5)

    async def _engine_extra(self):
        await self._fault(Fault.EXTRA, 0.6, 0.1, 5.0)

    async def _engine_reset(self):
        await self._fault(Fault.RESET, 0.6, 0.4, 4.0)

    async def _engine_slow(self):
        await self._fault(Fault.SLOW, 0.2, 1.0, 6.5)

    async def _engine_shed(self):
        await self._fault(Fault.SHED, 0.4, 0.5, 5.0)

    async def _engine_endless(self):
        await self._fault(Fault.ENDLESS, 0.4, 0.3, 5.0)

    async def _release(self):
        for engine in self._some(0.45):
            await engine.drain()
            await engine.start()
            await asyncio.sleep(1.0)

    # Callers.

    async def _behave(self, seconds, **fields):
        behaviour = self._callers.behaviour
        before = {name: getattr(behaviour, name) for name in fields}
        for name, value in fields.items():
            setattr(behaviour, name, value)
        await asyncio.sleep(seconds)
        for name, value in before.items():
            setattr(behaviour, name, value)

    async def _burst(self):
        await self._behave(4.0, rate=1.7 * self._callers.behaviour.rate)

    async def _burst_long(self):
        await self._behave(4.0, rate_of_kind={"trip-guide": 1.5})

    async def _burst_hard(self):
        await self._behave(5.0, rate=4.0 * self._callers.behaviour.rate)

    async def _hot_tenant(self):
        tenant = self._random.choice(self._plan.config["tenants"])["name"]
        await self._behave(8.0, hot_tenant=tenant, hot_factor=7.5)

    async def _hot_key(self):
        await self._behave(5.5, hot_key_share=0.28)

    async def _give_up(self):
        await self._behave(5.5, leave_share=0.3)

    async def _retry_abuse(self):
        await self._behave(5.5, retries=4)

    async def _large_bodies(self):
        await self._behave(5.0, body_factor=6.0)

    async def _slow_callers(self):
        await self._behave(6.0, slow_share=0.5)

    # The operator.

    async def _config_change(self, how="idle"):
        await self._operator.put(self._plan.change(how))

    async def _config_storm(self):
        await asyncio.gather(
            *[
                asyncio.create_task(self._later(0.15 * n, "idle"))
                for n in range(16)
            ]
        )

    async def _later(self, seconds, how, ack_lost=0.0):
        await asyncio.sleep(seconds)
        await self._operator.put(self._plan.change(how), ack_lost=ack_lost)

    async def _config_race(self):
        for _ in range(3):
            await asyncio.gather(
                self._later(0, "idle"), self._later(0, "quota")
            )
            await asyncio.sleep(1.0)

    async def _bad_config(self):
        for _ in range(3):
            await self._operator.send_bad()
            await asyncio.sleep(0.6)

    async def _ack_lost(self):
        for _ in range(4):
            await self._later(1.0, "idle", 0.6)

    async def _revoke(self):
        for _ in range(2):
            await self._later(1.0, "revoke")

    async def _final(self, since, seconds):
        await asyncio.sleep(max(0.0, since + seconds - time.monotonic()))
        config = self._plan.change("idle")
        await self._operator.put(config)
        if config["version"] in self._plan.acknowledged:
            self.final_version = config["version"]
        self._note("final power off of all")
        machines = list(self._fleet.machines)
        events = await self._fleet.power_off(machines, "power_off_all")
        await asyncio.sleep(1.6)
        await self._fleet.power_on(machines, events)
        self._note("all started again")
