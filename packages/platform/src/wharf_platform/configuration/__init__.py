"""Models, reader and validation of the operators' configuration."""

from wharf_platform.configuration.customer import Customer
from wharf_platform.configuration.data_centre import DataCentre
from wharf_platform.configuration.document import CONFIGURATION_KEY, Document
from wharf_platform.configuration.entry_host import EntryHost
from wharf_platform.configuration.fault import Fault
from wharf_platform.configuration.folder import Folder
from wharf_platform.configuration.pipeline import Pipeline
from wharf_platform.configuration.pool import Pool
from wharf_platform.configuration.reader import read_folder
from wharf_platform.configuration.stage import Stage
from wharf_platform.configuration.upstream import Upstream
from wharf_platform.configuration.validation import read_model, validate

__all__ = [
    "CONFIGURATION_KEY",
    "Customer",
    "DataCentre",
    "Document",
    "EntryHost",
    "Fault",
    "Folder",
    "Pipeline",
    "Pool",
    "Stage",
    "Upstream",
    "read_folder",
    "read_model",
    "validate",
]
