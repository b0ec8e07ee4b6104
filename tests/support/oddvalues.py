"""Values that another writer may leave where processes expect a record of their own."""

DEEP = 100_000
LONG = 1 << 20

# Raw JSON, since some of these values cannot be encoded from Python objects.
NOT_A_TEXT = {
    "null": "null",
    "true": "true",
    "a number": "7",
    "a list": "[]",
    "an object": "{}",
    "a lone surrogate": '"\\ud800"',
}
NOT_A_NUMBER = {
    "null": "null",
    "true": "true",
    "a text": '"7"',
    "a list": "[]",
    "an object": "{}",
    "1e400": "1e400",
    "-1e400": "-1e400",
    "NaN": "NaN",
    "Infinity": "Infinity",
    "10**400": "1" + 400 * "0",
    "10**5000": "1" + 5000 * "0",
    "2**63": str(2**63),
    "nested 900 deep": 900 * "[" + 900 * "]",
    "nested 100000 deep": DEEP * "[" + DEEP * "]",
}
NOT_A_COUNT = NOT_A_NUMBER | {"-3": "-3", "1.5": "1.5"}
NOT_A_PORT = NOT_A_COUNT | {"0": "0", "65536": "65536", "99999999": "99999999"}
NOT_AN_ADDRESS = NOT_A_TEXT | {
    "an empty text": '""',
    "a host name": '"front-1.example"',
    "a long text": '"' + LONG * "a" + '"',
    "a text with a zero": '"127.0.0.1\\u0000"',
}
NOT_A_RECORD = {
    "nothing": b"",
    "invalid UTF-8": b'{"host": "\xff\xfe"}',
    "half a record": b'{"host": "127.0',
    "a list": b"[1]",
    "a number": b"3",
    "null": b"null",
    "a text": b'"text"',
    "no fields": b"{}",
    "1 MB of text": b'"' + LONG * b"a" + b'"',
    "lists nested 100000 deep": DEEP * b"[",
    "objects nested 100000 deep": DEEP * b'{"a":',
}


def raw_object(fields: dict[str, str]) -> bytes:
    """Return a JSON object of fields with raw JSON values."""
    return ("{" + ",".join(f'"{name}":{value}' for name, value in fields.items()) + "}").encode()


def odd_records(valid: dict[str, str], odd: dict[str, dict[str, str]]) -> dict[str, bytes]:
    """Return malformed values by description.

    `valid` holds the fields of a valid record as raw JSON. In each value either the whole
    record is malformed, or one field is missing or has a value of `odd` in its place.
    """
    found = dict(NOT_A_RECORD)
    for name, values in odd.items():
        rest = {key: value for key, value in valid.items() if key != name}
        found[f"no {name}"] = raw_object(rest)
        for label, value in values.items():
            found[f"{name}: {label}"] = raw_object(rest | {name: value})
    return found


ODD_ENTRIES = odd_records(
    {"host": '"127.0.0.1"', "port": "1", "cores": "4.0", "incarnation": '"x"'},
    {"host": NOT_AN_ADDRESS, "port": NOT_A_PORT},
) | {
    f"cores: {label}": raw_object({"host": '"127.0.0.1"', "port": "1", "cores": value})
    for label, value in NOT_A_NUMBER.items()
}
ODD_LEADERS = odd_records(
    {"epoch": "5", "entry": '"x"', "incarnation": '"y"'},
    {"epoch": NOT_A_COUNT | {"0": "0"}, "entry": NOT_A_TEXT, "incarnation": NOT_A_TEXT},
)
ODD_JOBS = odd_records(
    {"job": '"x"', "queue": '"bread"', "command": '"bake"', "accepted": "1.0", "steps": "[]"},
    {
        "job": NOT_A_TEXT,
        "queue": NOT_A_TEXT,
        "command": NOT_A_TEXT,
        "accepted": NOT_A_NUMBER,
        "progress": NOT_A_TEXT | {"an unknown word": '"odd"'},
    },
) | {
    f"steps: {label}": raw_object(
        {"job": '"x"', "queue": '"bread"', "command": '""', "accepted": "1", "steps": value}
    )
    for label, value in (
        NOT_A_TEXT
        | {
            "an empty list": "[]",
            "a text for a step": '["a"]',
            "no size": '[{"count":1}]',
            "a size of two": '[{"count":1,"size":[1,1]}]',
            "too many tasks": '[{"count":10000000,"size":[1,1,0]}]',
        }
        | {
            f"{field}: {label}": f'[{{"count":1,"size":[1,1,0],"{field}":{value}}}]'
            for field, odd in {
                "count": NOT_A_COUNT,
                "size": NOT_A_COUNT | {"a list with a text": '[1,"a",1]', "negative": "[-1,1,0]"},
                "estimate_s": NOT_A_NUMBER,
                "after": {"null": "null", "itself": "[0]", "a text": '["a"]'},
                "checkpoints": {"a text": '"a"', "null": "null"},
                "label": NOT_A_TEXT,
                "near": NOT_A_TEXT,
                "max_per_host": NOT_A_NUMBER,
                "image": NOT_A_TEXT,
                "target_ms": NOT_A_NUMBER,
            }.items()
            for label, value in odd.items()
        }
    ).items()
}
ODD_JOBS |= {
    f"schedule: {label}": raw_object(
        {
            "job": '"x"',
            "queue": '"bread"',
            "command": '""',
            "accepted": "1",
            "steps": '[{"count":1,"size":[1,1,0]}]',
            "schedule": value,
        }
    )
    for label, value in (
        NOT_A_TEXT
        | {"one value": "[1]", "a text": '["a",1,1]', "too large": "[1,1e400,1]", "none": "[0,0,0]"}
    ).items()
    if label != "null"
}
ODD_RECORD_ROWS = {
    "no list": "7",
    "an empty list": "[]",
    "an unknown tag": '["z"]',
    "a list for a tag": "[[]]",
    "too few values": '["a", "x.0.0.0"]',
    "too many values": '["s", "x.0.0.0", "", ""]',
    "no name of a task": '["s", "x", ""]',
    "a list for a task": '["s", [], ""]',
    "a long number in a task": '["s", "x.0.0.' + 5000 * "1" + '", ""]',
    "a text for a run": '["a", "x.0.0.0", "1", "host0", "host0", 1]',
    "a large run": '["a", "x.0.0.0", 1e18, "host0", "host0", 1]',
    "a list for a host": '["a", "x.0.0.0", 1, [], "host0", 1]',
    "1e400 for a start": '["a", "x.0.0.0", 1, "host0", "host0", 1e400]',
    "an unknown result": '["e", "x.0.0.0", 1, "odd", ""]',
    "a list for a result": '["e", "x.0.0.0", 1, [], ""]',
    "a list for a job": '["j", [], "completed"]',
    "an unknown state": '["j", "x", "odd"]',
    "a number for failed runs": '["t", "x.0.0.0", false, 3, 3, ""]',
    "a text for done": '["t", "x.0.0.0", "no", [], 3, ""]',
    "nested deeply": '["t", ' + 900 * "[" + 900 * "]" + ', false, [], 3, ""]',
}
ODD_LOG_ENTRIES = dict(NOT_A_RECORD) | {
    f"records: {label}": raw_object({"records": value})
    for label, value in (
        NOT_A_TEXT | {f"[{label}]": f"[{row}]" for label, row in ODD_RECORD_ROWS.items()}
    ).items()
    if label != "a list"
}
ODD_HEADS = odd_records(
    {"seq": "1", "parts": "1"},
    {
        "seq": NOT_A_COUNT | {"1000000": "1000000"},
        "parts": NOT_A_COUNT | {"0": "0", "1000000": "1000000"},
    },
)

# Rows in an executor's lists, which are parsed with the other rows of an answer.
ODD_NUMBERS = [
    *(None, True, "7", [], {}, float("inf"), float("nan"), 2**63, 10**400, -1, 1.5),
    *([[[[[[]]]]]], "\ud800", LONG * "a"),
]
ODD_RUNNING = [
    *ODD_NUMBERS,
    *([value, 1, "", 5, 0] for value in [*ODD_NUMBERS, "no task", "x.0.0", "x.y.0.0"]),
    *(["x.0.0.0", value, "", 5, 0] for value in ODD_NUMBERS),
]
ODD_ENDED = [
    *ODD_NUMBERS,
    *([value, "x.0.0.0", 1, "done", ""] for value in [*ODD_NUMBERS, 0, 2**62]),
    *([1, value, 1, "done", ""] for value in [*ODD_NUMBERS, "no task"]),
    *([1, "x.0.0.0", value, "done", ""] for value in ODD_NUMBERS),
]
# Rows that name a run, with malformed values in the rest of the row.
ODD_RUN_DETAILS = [
    *([value, 5, 0] for value in ODD_NUMBERS if value != "7"),
    *(["", value, 0] for value in ODD_NUMBERS if value not in (-1, 1.5)),
    *(["", 5, value] for value in ODD_NUMBERS if value not in (-1, 1.5)),
    [],
]
HEARTBEAT = {
    "service": '"huvo11a"',
    "zone": '"z1"',
    "state": '"ready"',
    "capacity": '{"cpu":8000,"memMb":8000,"gpu":0}',
    "labels": '["a","r1-1"]',
    "seq": "1",
    "born": "1",
}
ODD_HEARTBEATS = odd_records(
    HEARTBEAT,
    {
        "service": NOT_A_TEXT,
        "zone": NOT_A_TEXT,
        "state": NOT_A_TEXT | {"an unknown state": '"odd"'},
    },
) | {
    f"{name}: {label}": raw_object(HEARTBEAT | {name: value})
    for name, values in {
        "seq": NOT_A_NUMBER | {"2**62": str(2**62)},
        "born": NOT_A_COUNT | {"2**62": str(2**62), "1e18": "1e18"},
        "labels": {"a text": '"a"', "a number": "[1]", "a lone surrogate": '["a","\\ud800"]'},
        "capacity": {"a text": '"a"', "null": "null"}
        | {
            f"cpu {label}": f'{{"cpu":{value},"memMb":1,"gpu":0}}'
            for label, value in (NOT_A_COUNT | {"2**62": str(2**62)}).items()
        },
    }.items()
    for label, value in values.items()
}

SUBMITTED_STEP = {"count": "1", "cpu": "1", "memMb": "1"}
ODD_SUBMISSIONS = odd_records(
    {"spec": '""', "steps": f"[{raw_object(SUBMITTED_STEP).decode()}]"},
    {
        "steps": NOT_A_TEXT | {"a text": '"a"', "a list of lists": "[[]]"},
        "times": (NOT_A_NUMBER | {"10**15": "1000000000000000"}),
    },
) | {
    f"{name}: {label}": raw_object(
        {"spec": '""', "steps": f"[{raw_object(SUBMITTED_STEP | {name: value}).decode()}]"}
    )
    for name, values in {
        "count": NOT_A_COUNT | {"0": "0", "99999999": "99999999"},
        "cpu": NOT_A_COUNT,
        "estRuntimeMs": NOT_A_NUMBER,
        "after": {"null": "null", "a text": '["a"]', "1e400": "[1e400]", "itself": "[0]"},
        "affinity": NOT_A_TEXT,
        "requires": NOT_A_TEXT,
        "image": NOT_A_TEXT,
        "checkpoint": {"null": "null", "a number": "1"},
    }.items()
    for label, value in values.items()
}
# Without occurrences, a job runs once.
del ODD_SUBMISSIONS["no times"]

ODD_CONTROL_VALUES = odd_records(
    {
        "version": "1",
        "token": '"t"',
        "incarnation": '"x"',
        "host": '"127.0.0.1"',
        "port": "1",
        "data_centre": '"z1"',
        "owner": '"x"',
        "epoch": "1",
        "state": '"open"',
        "seq": "1",
        "envelope": '"e30="',
        "founders": "[]",
        "records": '[{"kind":"TaskEnded","version":1}]',
    },
    {
        "version": NOT_A_COUNT,
        "token": NOT_A_TEXT,
        "port": NOT_A_PORT,
        "epoch": NOT_A_COUNT,
        "settled": {"null": "null", "a number": "1"},
        "seq": NOT_A_COUNT,
        "state": NOT_A_TEXT,
        "envelope": NOT_A_TEXT | {"no base64": '"?"'},
        "founders": NOT_A_TEXT | {"[1]": "[1]"},
        "records": NOT_A_TEXT
        | {f"version {value}": f'[{{"version":{value}}}]' for value in NOT_A_COUNT.values()}
        | {f"kind {value}": f'[{{"version":1,"kind":{value}}}]' for value in NOT_A_TEXT.values()},
    },
)
# All of the values above, for readers that must fail with their own error only.
ODD_VALUES = [
    *ODD_ENTRIES.values(),
    *ODD_LEADERS.values(),
    *ODD_JOBS.values(),
    *ODD_LOG_ENTRIES.values(),
    *ODD_HEARTBEATS.values(),
    *ODD_SUBMISSIONS.values(),
    *ODD_CONTROL_VALUES.values(),
]
