"""When a partition on a store may start items."""

import asyncio
import random
from pathlib import Path

from pewterring.batch.admissions import BatchAdmissions
from pewterring.batch.dispatch import AdmissionDispatcher
from pewterring.batch.partition import Partition, StoreEnvironment
from pewterring.consensus.messages import Membership
from pewterring.routing.chooser import WorkerChooser
from tests.batch.stand_ins import FakeRunner, ManualClock, tables
from tests.batch.test_program import settings

MEMBER = "10.0.0.1#a"


def store_environment(data_dir: Path, clock: ManualClock) -> StoreEnvironment:
    """The environment of a store whose tables are always fresh."""
    known_tables = tables()
    chooser = WorkerChooser("z", random.Random(1))
    admissions = BatchAdmissions(random.Random(2))
    return StoreEnvironment(
        settings=settings("10.0.0.1", 1, data_dir),
        member=MEMBER,
        tables=lambda: known_tables,
        confirmed_age=lambda _now: 0.0,
        dispatcher=AdmissionDispatcher(lambda: known_tables, chooser, admissions, clock),
        runner=FakeRunner(),
        send=lambda _message: None,
        clock=clock,
        rng=random.Random(3),
        on_failure=lambda _error: None,
    )


def test_a_follower_starts_no_items_even_with_fresh_tables(tmp_path: Path) -> None:
    async def scenario() -> None:
        clock = ManualClock()
        partition = Partition("batch-0", tmp_path, store_environment(tmp_path, clock))
        await partition.start(Membership((MEMBER, "10.0.0.2#b", "10.0.0.3#c")))
        assert not partition.may_start_items(clock.now)
        await partition.stop()

    asyncio.run(scenario())
