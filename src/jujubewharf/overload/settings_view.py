"""What a settings file sets for overload, in words."""

from __future__ import annotations

from jujubewharf.admission import fair_share
from jujubewharf.forwarding import settings as all_settings
from jujubewharf.overload import parts

_MAX_WEIGHTS = 10
# When a part is active, unless it is switched off.
_CONDITIONS = {
    parts.Part.CLASSES: "services with requests of several priorities",
    parts.Part.ACCOUNTS: "services while several accounts are configured",
    parts.Part.PLAIN_QUEUE: "plain services whose endpoints report their load",
    parts.Part.ENGINE_SPEEDS: "model services whose engines' speeds differ",
}


def describe(settings: all_settings.ForwardingSettings) -> list[str]:
    """Returns the settings for overload, a statement a line."""
    admission = settings.admission
    queue = settings.plain_calls.queue
    lines = [
        f"admission.is_enabled: {_word(admission.is_enabled)}",
        f"admission.starving_share: {admission.starving_share:g}",
        f"admission.account_weights: {_weights(admission)}",
        f"plain_calls.queue: {_word(queue)}",
    ]
    for part, condition in _CONDITIONS.items():
        field = _switched_off_by(part, settings)
        text = f"active for {condition}"
        if field is not None:
            text = f"inactive, {field} is false"
        lines.append(f"part {part.value}: {text}")
    if admission.is_enabled and not queue:
        lines.append(
            "plain calls are not queued, so classes and accounts apply to "
            "model services only"
        )
    return lines


def _switched_off_by(
    part: parts.Part, settings: all_settings.ForwardingSettings
) -> str | None:
    """Returns the field that switches a part off, if one does."""
    match part:
        case parts.Part.CLASSES | parts.Part.ACCOUNTS:
            is_on = settings.admission.is_enabled
            return None if is_on else "admission.is_enabled"
        case parts.Part.PLAIN_QUEUE:
            is_on = settings.plain_calls.queue
            return None if is_on else "plain_calls.queue"
        case parts.Part.ENGINE_SPEEDS:
            return None


def _weights(admission: all_settings.AdmissionSettings) -> str:
    weights = admission.account_weights
    others = f"others {fair_share.DEFAULT_WEIGHT:g}"
    if not weights:
        return f"none; {others}"
    ranked = sorted(weights.items(), key=lambda item: (-item[1], item[0]))
    shown = ", ".join(f"{name}={w:g}" for name, w in ranked[:_MAX_WEIGHTS])
    left_out = len(ranked) - _MAX_WEIGHTS
    if left_out > 0:
        shown += f" and {left_out} more"
    return f"{shown}; {others}"


def _word(value: bool) -> str:
    return "true" if value else "false"
