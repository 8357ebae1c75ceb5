"""FLARe: load by worker, LAAF's ranked lists and ROME's shifts."""
