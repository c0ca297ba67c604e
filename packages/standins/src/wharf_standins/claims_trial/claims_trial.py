"""Random faults and restorations around claims, with checks of what callers see."""

import asyncio
from collections import Counter, defaultdict
from random import Random

from wharf_coordination import Ran
from wharf_standins.claims_trial.claims_site import ClaimsSite
from wharf_standins.claims_trial.trial_process import WALL_CLOCK_START

__all__ = ["ClaimsTrial"]

SECONDS = 30.0
KEYS = 60
FAULTS = 14
COPY_SECONDS = 0.1
OLDEST_COPY_SECONDS = 4.0
LONGEST_FAULT_SECONDS = 8.0
LONGEST_OUTAGE_SECONDS = 1.5
CLOCK_ERROR_SECONDS = 1.4
CALLER_ERROR_SECONDS = 5.0
ENDS = ("answer", "answer", "answer", "not run", "unknown")
ENTRIES = 3


class ClaimsTrial:
    """One seeded sequence of submissions, faults and restorations of the store.

    After `run`, `findings` says which promises were broken and `counts` what happened.
    """

    def __init__(self, seed):
        self.findings = []
        self.counts = Counter()
        self._rng = Random(seed)
        self._site = ClaimsSite(seed, ENTRIES, ends=ENDS)
        self._site.store.loss = self._rng.choice((0.0, 0.1))
        self._site.store.refusal = self._rng.choice((0.0, 0.02))
        self._copies = []
        self._answers_by_key = defaultdict(set)

    async def run(self):
        """Play the sequence and check its results."""
        copying = asyncio.ensure_future(self._keep_copies())
        jobs = [self._key(number) for number in range(KEYS)]
        jobs += [self._fault() for _ in range(FAULTS)]
        jobs += [self._restoration() for _ in range(self._rng.randint(1, 3))]
        await asyncio.gather(*jobs)
        copying.cancel()
        for process in self._site.processes():
            process.kill()
        for key, ids in self._site.ids_by_key.items():
            if len(ids) > 1:
                self.findings.append(f"{key} was run by {ids}")
        for key, answers in self._answers_by_key.items():
            if len(answers) > 1:
                self.findings.append(f"{key} has the answers {answers}")
        self.counts["runs"] = sum(map(len, self._site.ids_by_key.values()))

    async def _key(self, number):
        rng = self._rng
        await asyncio.sleep(rng.random() * SECONDS)
        key = f"hold-{number}"
        if rng.random() < 0.8:
            error = rng.random() * CALLER_ERROR_SECONDS * rng.choice((0, 0, 1))
            key = f"{int(WALL_CLOCK_START + self._now() + error)}-{number}"
        sends = [self._send(key, f"{number}/{n}") for n in range(rng.randint(2, 5))]
        await asyncio.gather(*sends)

    async def _send(self, key, id):
        rng = self._rng
        await asyncio.sleep(rng.choice((0.0, 0.2, 2.0, 10.0)) * rng.random())
        entry = rng.randrange(ENTRIES)
        result = await self._site.submit(entry, id, key, seconds=rng.uniform(0.2, 4.0))
        if result is None:
            self.counts["cut off"] += 1
        elif result.is_ok():
            self.counts["answered"] += 1
            self._answers_by_key[key].add(result.unwrap())
        elif result.unwrap_err().ran is not Ran.NO:
            self.counts["unknown"] += 1
        else:
            self.counts["not run"] += 1
            if id in self._site.ids_by_key[key]:
                self.findings.append(f"{id} of {key} ran but was reported as not run")

    async def _fault(self):
        rng = self._rng
        await asyncio.sleep(rng.random() * SECONDS)
        seconds = rng.random() * LONGEST_FAULT_SECONDS
        process = rng.choice(self._site.processes())
        match rng.choice(("freeze", "cut", "kill entry", "kill sidecar")):
            case "freeze":
                process.freeze()
                await asyncio.sleep(seconds)
                process.thaw()
            case "cut":
                process.is_cut = True
                await asyncio.sleep(seconds)
                process.is_cut = False
            case "kill entry":
                error = rng.uniform(-CLOCK_ERROR_SECONDS, CLOCK_ERROR_SECONDS)
                self._site.restart_entry(rng.randrange(ENTRIES), error)
            case "kill sidecar":
                error = rng.uniform(-CLOCK_ERROR_SECONDS, CLOCK_ERROR_SECONDS)
                name = rng.choice(sorted(self._site.sidecar_by_name))
                self._site.restart_sidecar(name, error)

    async def _restoration(self):
        rng = self._rng
        await asyncio.sleep(rng.random() * SECONDS)
        age = rng.random() * OLDEST_COPY_SECONDS
        copies = [copy for at, copy in self._copies if at <= self._now() - age]
        copy = copies[-1] if copies else (0, {})
        self._site.store.down = True
        await asyncio.sleep(rng.random() * LONGEST_OUTAGE_SECONDS)
        self._site.store.restore(copy)
        self._site.store.down = False
        self.counts["restorations"] += 1

    async def _keep_copies(self):
        while True:
            self._copies.append((self._now(), self._site.store.copy()))
            await asyncio.sleep(COPY_SECONDS)

    def _now(self):
        return asyncio.get_running_loop().time()
