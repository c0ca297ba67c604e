"""Commands that stop and resume new work in a data centre."""

from wharf_control.change_refused import Invalid
from wharf_control.defaults import DEFAULT_PLATFORM
from wharf_control.publisher import Publisher

__all__ = ["bring_back", "take_out"]


def take_out(
    data_centre: str,
    *,
    platform: str = DEFAULT_PLATFORM,
    wait: float = 0.0,
    json: bool = False,
):
    """Stop sending new work to a data centre.

    :param data_centre: its name in the configuration
    :param platform: URL of the platform
    :param wait: seconds to wait until it is in force everywhere
    :param json: print JSON
    """

    def fields(document):
        if data_centre not in document.folder.data_centres:
            return _unknown_data_centre(document, data_centre)
        return {"out_data_centres": document.out_data_centres | {data_centre}}

    return Publisher.run(platform, wait, fields).report(json)


def bring_back(
    data_centre: str,
    *,
    platform: str = DEFAULT_PLATFORM,
    wait: float = 0.0,
    json: bool = False,
):
    """Resume sending new work to a data centre.

    :param data_centre: its name in the configuration
    :param platform: URL of the platform
    :param wait: seconds to wait until it is in force everywhere
    :param json: print JSON
    """

    def fields(document):
        known = document.out_data_centres | document.folder.data_centres.keys()
        if data_centre not in known:
            return _unknown_data_centre(document, data_centre)
        return {"out_data_centres": document.out_data_centres - {data_centre}}

    return Publisher.run(platform, wait, fields).report(json)


def _unknown_data_centre(document, data_centre):
    expected = ", ".join(sorted(document.folder.data_centres)) or "none is configured"
    return Invalid("data centre", f"{data_centre!r} is unknown; expected: {expected}")
