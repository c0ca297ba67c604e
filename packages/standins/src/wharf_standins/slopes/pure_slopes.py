"""Slopes that need no other process: decisions, messages and documents."""

from random import Random

from wharf_coordination import Candidate, Chooser, Fact, FactKind, FactSet
from wharf_platform.configuration import Document
from wharf_standins.slopes.sample_folder import sample_document
from wharf_standins.slopes.slope import Slope
from wharf_standins.slopes.timing import cpu_microseconds
from wharf_wire import FactItem, Facts, Load, decode, encode

__all__ = ["pure_slopes"]

CANDIDATE_COUNTS = (8, 25, 77, 200)
UPSTREAM_COUNTS = (400, 800, 1700, 3400)
FACT_COUNTS = (1, 10, 50, 200)
FACT_SECONDS = 600.0
LOAD = Load(
    in_flight=40,
    limit=64,
    service_time=0.125,
    leaving=False,
    version="1",
    revision=1_000_000,
)


def pure_slopes() -> list[Slope]:
    """Return the slopes of decisions, documents, load reports and facts."""
    document_by_count = {count: sample_document(count) for count in UPSTREAM_COUNTS}
    text_by_count = {
        count: document.to_json() for count, document in document_by_count.items()
    }
    return [
        Slope.fit(
            "decision", "candidate", "us", _points(CANDIDATE_COUNTS, _make_choice)
        ),
        Slope.fit(
            "document",
            "upstream",
            "bytes",
            [(count, len(text)) for count, text in text_by_count.items()],
        ),
        Slope.fit(
            "document validation",
            "upstream",
            "us",
            [
                (count, cpu_microseconds(lambda text=text: Document.from_json(text)))
                for count, text in text_by_count.items()
            ],
        ),
        Slope.fit(
            "load reports",
            "report",
            "bytes",
            [(count, count * len(encode(LOAD))) for count in FACT_COUNTS],
        ),
        Slope.fit(
            "load reports taken in",
            "report",
            "us",
            _points(FACT_COUNTS, _make_decoding),
        ),
        Slope.fit(
            "facts frame",
            "fact",
            "bytes",
            [(count, len(encode(_facts(count)))) for count in FACT_COUNTS],
        ),
        Slope.fit("facts taken in", "fact", "us", _points(FACT_COUNTS, _make_adding)),
    ]


def _points(counts, make):
    return [(count, cpu_microseconds(make(count))) for count in counts]


def _make_choice(count):
    chooser = Chooser(Random(1), "dc-0")
    candidates = [
        Candidate(f"upstream-{n}", f"dc-{n % 13}", "1", n % 7, 64, 0.1)
        for n in range(count)
    ]
    return lambda: chooser.choose(candidates, 0.0)


def _make_decoding(count):
    frame = encode(LOAD)
    return lambda: [decode(frame) for _ in range(count)]


def _facts(count):
    facts = (Fact(FactKind.CONDEMNED, f"{n:032x}", "crash") for n in range(count))
    return Facts(tuple(FactItem.from_fact(fact, FACT_SECONDS) for fact in facts))


def _make_adding(count):
    frame = encode(_facts(count))

    def add():
        facts = [item.to_fact() for item in decode(frame).unwrap().items]
        FactSet().add(facts, 0.0, FACT_SECONDS)

    return add
