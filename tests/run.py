"""Runs behave in one process per feature and prints a summary line with the counts."""

import json
import os
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
FEATURES = ROOT / "tests" / "features"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Written by support.failurelogs, one folder for each failure of a scenario with real processes.
FAILURES = Path(os.environ.get("APRICOTPATH_TEST_FAILURES", ROOT / "target" / "test-failures"))
# Features that start many processes; they run one after another, after all others.
RUN_ALONE = frozenset({"processes", "platformpath", "frozen", "misbehavingclients"})
MAX_PARALLEL = max(1, min(4, (os.cpu_count() or 2) // 2))
FEATURE_TIMEOUT_S = 900
MAX_ERROR_CHARACTERS = 20_000
FAILED = ("failed", "error", "hook_error", "undefined")
NOT_RUN = ("skipped", "untested")


@dataclass(frozen=True, slots=True)
class FeatureResult:
    """Results of one feature: (scenario, status) pairs, behave's output, and failed steps.

    `kept` are the folders with the process logs of its failures.
    """

    scenarios: tuple[tuple[str, str], ...]
    output: str
    crashed: bool
    errors: tuple[str, ...] = ()
    kept: tuple[Path, ...] = ()


def known_red() -> set[str]:
    """Return the names of scenarios listed as `test: NAME` in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def run_feature(target: str, options: list[str]) -> FeatureResult:
    """Run behave on one feature file or on a scenario of it (`file:line`)."""
    kept_before = kept_failures(target)
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        json_format = "support.jsonreport:JSONReport"
        outputs = ["--format", json_format, "--outfile", str(report), "--format", "progress"]
        selection = ["--no-color", "--no-skipped"]
        if not any(option.startswith("--tags") for option in options):
            selection += ["--tags", "not @long"]
        command = [sys.executable, "-m", "behave", *outputs, *selection, *options, target]
        path = os.pathsep.join([str(ROOT / "tests"), os.environ.get("PYTHONPATH", "")])
        try:
            done = subprocess.run(
                command,
                cwd=ROOT,
                # A fixed hash seed makes the iteration order of sets of strings, and so the order
                # of events in virtual time, the same in every run.
                env=os.environ | {"PYTHONPATH": path, "PYTHONHASHSEED": "0"},
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                timeout=FEATURE_TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired as exc:
            kept = tuple(sorted(kept_failures(target) - kept_before))
            return FeatureResult((), f"{target} timed out\n{exc.stdout or ''}", True, kept=kept)
        scenarios = tuple(scenario_results(report))
        crashed = done.returncode != 0 and all(status == "passed" for _, status in scenarios)
        errors = tuple(failed_steps(report))
        kept = tuple(sorted(kept_failures(target) - kept_before))
        return FeatureResult(scenarios, done.stdout, crashed, errors, kept)


def kept_failures(target: str) -> set[Path]:
    """Return the folders with what earlier failures of a feature left behind."""
    stem = Path(target.split(":")[0]).stem
    return set(FAILURES.glob(f"{stem}-*"))


def scenario_results(path: Path) -> list[tuple[str, str]]:
    """Return (name, status) of every scenario in behave's JSON report."""
    try:
        features = json.loads(path.read_text() or "[]")
    except (OSError, ValueError):
        return []
    results = []
    for feature in features:
        for element in feature.get("elements", []):
            if element.get("type") != "background":
                results.append((f"{feature['name']}: {element['name'].strip()}", element["status"]))
    return results


def failed_steps(path: Path) -> list[str]:
    """Return the text and error of each failed step, since the progress format omits errors."""
    found = []
    for feature in json.loads(path.read_text() or "[]") if path.exists() else []:
        for element in feature.get("elements", []):
            for step in element.get("steps", []):
                result = step.get("result", {})
                if result.get("status") in FAILED:
                    lines = result.get("error_message", [])
                    text = lines if isinstance(lines, str) else "\n".join(lines)
                    found.append(f"{step['name']}\n{text[:MAX_ERROR_CHARACTERS]}")
    return found


def load_line(folder: Path) -> str:
    """Return the line about the load average of a kept failure."""
    try:
        lines = (folder / "error.txt").read_text().splitlines()
    except OSError:
        return ""
    return next((line for line in lines if line.startswith("load average")), "")


def run_all(targets: list[str], options: list[str]) -> list[FeatureResult]:
    """Run features, several in parallel except for those in RUN_ALONE."""
    alone = [target for target in targets if Path(target).stem in RUN_ALONE]
    others = [target for target in targets if target not in alone]
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        results = list(pool.map(lambda target: run_feature(target, options), others))
    return results + [run_feature(target, options) for target in alone]


def main(argv: list[str]) -> int:
    """Run the features named in `argv`, or all, with the options in it; return the exit code."""
    targets = [arg for arg in argv if not arg.startswith("-")]
    options = [arg for arg in argv if arg.startswith("-")]
    targets = targets or [str(path) for path in sorted(FEATURES.glob("*.feature"))]
    results = run_all(targets, options)
    ran = [item for result in results for item in result.scenarios if item[1] not in NOT_RUN]
    failed = [name for name, status in ran if status != "passed"]
    crashed = sum(result.crashed for result in results)
    expected = known_red()
    unexpected = [name for name in failed if name not in expected]
    for result in results:
        if result.crashed or any(name in failed for name, _ in result.scenarios):
            print(result.output, *result.errors, sep="\n")
        for folder in result.kept:
            print(f"process logs kept in {folder}; {load_line(folder)}")
    for name in failed:
        print(f"{'known red' if name in expected else 'FAILED'}: {name}")
    print(f"{len(ran) - len(failed)} passed, {len(unexpected) + crashed} failed")
    return 1 if unexpected or crashed or not ran else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
