"""Steps for failurelogs.feature."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

from behave import then, when

ROOT = Path(__file__).parents[3]
ENVIRONMENT = ROOT / "tests" / "features" / "environment.py"

# Steps of the feature under test, whose processes write a log as those of a world do.
STEPS = """
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import when
from support.failurelogs import failure_logs

FOLDER = Path(tempfile.mkdtemp(dir={folder!r}))
failure_logs.watch(FOLDER)


@when("process {{number:d}} speaks and the scenario {{outcome}}")
def run_process(context, number, outcome):
    with (FOLDER / "front-1.log").open("ab") as output:
        code = f"print('process', {{number}}, 'speaks')"
        subprocess.run([sys.executable, "-c", code], stdout=output, check=True)
    assert outcome != "fails", f"scenario {{number}} is broken"
    if outcome == "raises":
        raise OSError(f"scenario {{number}} is broken")
"""


@when("a feature of failurelogs runs with a passing scenario and {count:d} whose step {outcome}")
def run_feature(context: Any, count: int, outcome: str) -> None:
    temporary = tempfile.TemporaryDirectory()
    context.add_cleanup(temporary.cleanup)
    folder = Path(temporary.name)
    context.kept = folder / "kept"
    (folder / "steps").mkdir()
    (folder / "environment.py").write_text(ENVIRONMENT.read_text())
    (folder / "steps" / "trial_steps.py").write_text(STEPS.format(folder=str(folder)))
    lines = ["Feature: trial"]
    for number in range(count + 1):
        lines += [f"Scenario: trial {number}"]
        lines += [
            f"When process {number} speaks and the scenario {outcome if number else 'passes'}"
        ]
    (folder / "trial.feature").write_text("\n".join(lines))
    context.failures = count
    context.printed = subprocess.run(
        [sys.executable, str(ROOT / "tests" / "run.py"), str(folder / "trial.feature")],
        env=os.environ | {"APRICOTPATH_TEST_FAILURES": str(context.kept)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    ).stdout


@then(
    "failurelogs has kept {count:d} folder with the error, the load average and all process output"
)
@then(
    "failurelogs has kept {count:d} folders with the error, the load average and all process output"
)
def check_kept(context: Any, count: int) -> None:
    found = sorted(context.kept.iterdir()) if context.kept.exists() else []
    assert len(found) == count, (found, context.printed)
    for folder in found:
        assert folder.name.startswith("trial-"), folder
        error = (folder / "error.txt").read_text()
        assert "is broken" in error and "load average: " in error, error
        assert "process 0 speaks" in (folder / "front-1.log").read_text()


@then("the test run of failurelogs prints the error and the folder")
def check_printed(context: Any) -> None:
    folder = next(context.kept.iterdir())
    for text in ("scenario 1 is broken", f"process logs kept in {folder}; load average: "):
        assert text in context.printed, (text, context.printed)


@then("the newest folder of failurelogs is that of the last failure")
def check_newest(context: Any) -> None:
    newest = max(context.kept.iterdir(), key=lambda folder: folder.stat().st_mtime_ns)
    assert f"scenario {context.failures} is broken" in (newest / "error.txt").read_text()
