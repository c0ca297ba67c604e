"""Leases for duties that one process has for all."""

from wharf_coordination.duties.duty_lease import DutyLease
from wharf_coordination.duties.duty_record import DutyRecord
from wharf_coordination.duties.duty_write import DutyWrite

__all__ = ["DutyLease", "DutyRecord", "DutyWrite"]
