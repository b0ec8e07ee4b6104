"""Report of a test run in JSON, with the error text of every step that has failed."""

from typing import Any

from behave.formatter.json import JSONFormatter


class JSONReport(JSONFormatter):
    """Formatter of behave, whose own one leaves out all errors but failed assertions."""

    def result(self, step: Any) -> None:
        """Add the result of a step to the report."""
        number = self._step_index
        super().result(step)
        if step.error_message and step.status.has_failed():
            self.current_feature_element["steps"][number]["result"].setdefault(
                "error_message", step.error_message.splitlines()
            )
