"""`pewterring local`: runs a complete tier on loopback addresses until it is interrupted."""

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

DEFAULT_START_TIMEOUT_S = 30.0
ABOUT = """\
Run 3 control machines, 3 stores and 2 gateways as processes on loopback addresses, with 2 stand-in workers
that echo the words of a request, and apply a sample configuration. Print curl commands for a stream and a
batch job, and serve until interrupted. Needs Linux, where all of 127.0.0.0/8 is loopback."""


def configure(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of `local` to its parser."""
    parser.description = ABOUT
    parser.add_argument(
        "--network", default=DEFAULT_NETWORK, help="the first three numbers of the loopback addresses"
    )
    parser.add_argument(
        "--folder",
        type=Path,
        help="folder for settings, logs and data; reuse it to resume (if omitted, a temporary one)",
    )
    parser.add_argument(
        "--start-s",
        type=float,
        default=DEFAULT_START_TIMEOUT_S,
        metavar="S",
        help="start-up timeout in seconds",
    )
    parser.add_argument(
        "--try",
        dest="try_out",
        action="store_true",
        help="request the stream and the batch job, print both results, and exit",
    )
    parser.set_defaults(run=_local)


def _local(arguments: argparse.Namespace) -> int:
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix="pewterring-"))
    try:
        asyncio.run(
            _serve(Layout(arguments.network, folder.absolute()), arguments.start_s, arguments.try_out)
        )
    except LayoutError as error:
        raise UsageError(str(error)) from error
    except (ProcessEndedError, TierError, OSError) as error:
        raise CommandError(f"{error}\nlogs are kept in {folder}") from error
    if arguments.folder is None:
        shutil.rmtree(folder, ignore_errors=True)
    return DONE


async def _serve(layout: Layout, start_timeout_s: float, self_test: bool) -> None:
    interrupted = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, interrupted.set)
    running = asyncio.create_task(_run_tier(layout, start_timeout_s, self_test))
    interruption = asyncio.create_task(interrupted.wait())
    await asyncio.wait((running, interruption), return_when=asyncio.FIRST_COMPLETED)
    interruption.cancel()
    if not running.done():
        running.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await running


async def _run_tier(layout: Layout, start_timeout_s: float, self_test: bool) -> None:
    layout.folder.mkdir(parents=True, exist_ok=True)
    async with LocalTier(layout, start_timeout_s) as tier:
        if self_test:
            print(await tier.stream())
            for result in await tier.batch_results():
                print(json.dumps(result))
            return
        _print_commands(layout, tier.client_address)
        await tier.children.wait_for_end()


def _print_commands(layout: Layout, client_address: str) -> None:
    job_file = layout.folder / sample.JOB_FILE
    job_file.write_text(json.dumps(sample.job()), encoding="utf-8")
    print(f"The tier is serving on {layout.network}.*; settings, logs and data are in {layout.folder}\n")
    print(f"A stream:\n\n    {sample.stream_command(client_address)}\n")
    print(f"A batch job and its results:\n\n    {sample.job_command(client_address, str(job_file))}\n")
    print(f"Status of the tier:\n\n    pewterring cluster status --control {layout.control_addresses()[0]}\n")
    print("Press Ctrl-C to stop.", flush=True)
