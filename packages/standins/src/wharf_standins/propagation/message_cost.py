"""Measured cost of sending one configuration to a peer."""

import time
from dataclasses import dataclass

from wharf_platform.configuration import Document, Folder
from wharf_wire import ConfigurationOffer, decode, encode

__all__ = ["MessageCost", "target_document"]

UPSTREAMS = 1700
POOLS = 110
CUSTOMERS = 210
PIPELINES = 32
STAGES = 5
DATA_CENTRES = 13
ROUNDS = 10


@dataclass(frozen=True, slots=True)
class MessageCost:
    """Size of a message in bytes, and processor seconds to send and to adopt it."""

    bytes: int
    send_seconds: float
    adopt_seconds: float

    @classmethod
    def measure(cls, document):
        """Return the processor time of one message with `document`."""
        text = document.to_json()
        offer = ConfigurationOffer.pack(document.revision, text)
        frame = encode(offer)
        send = _mean_seconds(lambda: encode(offer))
        adopt = _mean_seconds(lambda: _adopt(frame))
        return cls(len(frame), send, adopt)


def target_document():
    """Return a document of the size that the target fleet needs."""
    folder = {
        "data_centres": {f"dc-{number}": {} for number in range(DATA_CENTRES)},
        "customers": {f"customer-{number}": {} for number in range(CUSTOMERS)},
        "pools": {f"pool-{number}": {} for number in range(POOLS)},
        "upstreams": {
            f"upstream-{number}": {
                "pool": f"pool-{number % POOLS}",
                "data_centre": f"dc-{number % DATA_CENTRES}",
                "address": f"10.0.{number // 250}.{number % 250}:7000",
            }
            for number in range(UPSTREAMS)
        },
        "pipelines": {
            f"pipeline-{number}": {
                "stages": [
                    {"name": f"stage-{stage}", "pool": f"pool-{number * 3 + stage}"}
                    for stage in range(STAGES)
                ]
            }
            for number in range(PIPELINES)
        },
    }
    return Document(revision=1, folder=Folder.model_validate(folder))


def _adopt(frame):
    offer = decode(frame).unwrap()
    Document.from_json(offer.unpack().unwrap())


def _mean_seconds(action):
    begin = time.process_time()
    for _ in range(ROUNDS):
        action()
    return (time.process_time() - begin) / ROUNDS
