"""FLARe: worker loads, LAAF's ranked failover lists and ROME's load shifts."""
