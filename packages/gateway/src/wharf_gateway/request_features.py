"""What a request may share with others that crash the same upstreams."""

from wharf_coordination.fingerprint import digest

__all__ = ["all_features", "fingerprint", "prompt_features"]

MAX_FEATURES = 32  # further parts of a prompt are ignored


def prompt_features(service, details):
    """Return a feature for each part of a request's prompt but its own, the last.

    Features are digests, whose size doesn't depend on what callers send. They name the
    service, as a part may be harmless to upstreams of another.
    """
    parts = details.prompt[:-1][:MAX_FEATURES]
    return tuple(digest(service.encode(), part.id.encode()) for part in parts)


def fingerprint(service, context):
    """Return the digest by which repeats of a request are recognised."""
    customer = context.customer.name if context.customer else ""
    inbound, details = context.inbound, context.details
    prompt = ",".join(part.id for part in details.prompt)
    texts = (service, customer, inbound.method, inbound.target, prompt)
    return digest(*(text.encode() for text in texts), bytes(inbound.body))


def all_features(service, context):
    """Return the features of a request's prompt and, as the last, its fingerprint."""
    features = context.features_by_service.get(service)
    if features is None:
        prompt = prompt_features(service, context.details)
        features = (*prompt, fingerprint(service, context))
        context.features_by_service[service] = features
    return features
