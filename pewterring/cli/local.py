"""`pewterring local`: a whole tier on loopback addresses, until it is interrupted."""

import argparse
import asyncio
import contextlib
import json
import shutil
import signal
import tempfile
from pathlib import Path

from pewterring.cli.errors import DONE, CommandError, UsageError
from pewterring.local import sample
from pewterring.local.layout import DEFAULT_NETWORK, Layout, LayoutError
from pewterring.local.processes import ProcessEndedError
from pewterring.local.tier import LocalTier, TierError

START_S = 30.0
ABOUT = """\
Run 3 control machines, 3 stores and 2 gateways as processes on loopback addresses, with 2 stand-in workers
that stream the words of a request back, and put a sample configuration. Prints curl lines for a stream and a
batch job, and serves until it is interrupted. Needs Linux, where all of 127.0.0.0/8 is loopback."""


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the command to its parser."""
    parser.description = ABOUT
    parser.add_argument(
        "--network", default=DEFAULT_NETWORK, help="the first three numbers of the loopback addresses"
    )
    parser.add_argument(
        "--folder",
        type=Path,
        help="settings, logs and data; with the same folder it goes on (without it, a temporary one)",
    )
    parser.add_argument(
        "--start-s", type=float, default=START_S, metavar="S", help="seconds within which it must serve"
    )
    parser.add_argument(
        "--try", dest="try_out", action="store_true", help="ask for the stream and the job, print, and end"
    )
    parser.set_defaults(run=_local)


def _local(given: argparse.Namespace) -> int:
    folder = given.folder or Path(tempfile.mkdtemp(prefix="pewterring-"))
    try:
        asyncio.run(_serve(Layout(given.network, folder.absolute()), given.start_s, given.try_out))
    except LayoutError as error:
        raise UsageError(str(error)) from error
    except (ProcessEndedError, TierError, OSError) as error:
        raise CommandError(f"{error}\nits logs are kept in {folder}") from error
    if given.folder is None:
        shutil.rmtree(folder, ignore_errors=True)
    return DONE


async def _serve(layout: Layout, start_s: float, try_out: bool) -> None:
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, interrupted.set)
    starting = asyncio.create_task(_until_end(layout, start_s, try_out))
    interruption = asyncio.create_task(interrupted.wait())
    await asyncio.wait((starting, interruption), return_when=asyncio.FIRST_COMPLETED)
    interruption.cancel()
    if not starting.done():
        starting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await starting


async def _until_end(layout: Layout, start_s: float, try_out: bool) -> None:
    layout.folder.mkdir(parents=True, exist_ok=True)
    async with LocalTier(layout, start_s) as tier:
        if try_out:
            print(await tier.stream())
            for result in await tier.batch_results():
                print(json.dumps(result))
            return
        _print_lines(layout, tier.front)
        await tier.children.wait_for_end()


def _print_lines(layout: Layout, front: str) -> None:
    job_file = layout.folder / sample.JOB_FILE
    job_file.write_text(json.dumps(sample.job()), encoding="utf-8")
    print(f"A tier serves on {layout.network}.*; settings, logs and data are in {layout.folder}\n")
    print(f"A stream:\n\n    {sample.stream_command(front)}\n")
    print(f"A batch job and its results:\n\n    {sample.job_command(front, str(job_file))}\n")
    print(f"Its state:\n\n    pewterring cluster status --control {layout.control_addresses()[0]}\n")
    print("Ctrl-C ends it.", flush=True)
