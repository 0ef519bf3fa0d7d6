/**
 * Combines the platform's lagging list of VMs with what a process has seen itself. Direct evidence wins:
 * a VM is trusted while its own messages arrive, whatever the list says, and the list alone never makes a
 * silent VM trusted. The list tells whom to contact.
 */

/** What the platform's list says about a VM; `unlisted` if it isn't there. */
export type ListedState = "live" | "leaving" | "unlisted";

/** What this process has seen of a VM. Times are in milliseconds. */
export interface Evidence {
    /** Time of the VM's last message; `undefined` if there was none. */
    readonly heardAt: number | undefined;
    /** The VM said itself that it is leaving. It doesn't take this back under the same connection. */
    readonly leaving: boolean;
    /** Time at which the connection was lost; `undefined` while it stands or was never made. */
    readonly lostAt: number | undefined;
}

export type Trust =
    /** Takes new work. */
    | "usable"
    /** Finishes its work and takes no more. */
    | "leaving"
    /** Has sent nothing yet, or not for too long. */
    | "silent"
    /** The connection was lost after the last message. */
    | "lost";

/** A VM sends its state once a second; after two missed messages and some jitter it counts as silent. */
export const SILENT_AFTER_MS = 2500;

/** A VM that left the list, or is leaving, is watched until it has been silent for this long. */
export const UNLISTED_KEPT_MS = 10_000;

export const NO_EVIDENCE: Evidence = { heardAt: undefined, leaving: false, lostAt: undefined };

export function trustIn(listed: ListedState, evidence: Evidence, now: number): Trust {
    const { heardAt, leaving, lostAt } = evidence;
    if (leaving || listed === "leaving") return "leaving";
    if (lostAt !== undefined && (heardAt === undefined || lostAt >= heardAt)) return "lost";
    if (heardAt === undefined || now - heardAt > SILENT_AFTER_MS) return "silent";
    // An absent entry is no evidence against a VM that sends its state: the list lags behind new VMs too.
    return "usable";
}

/**
 * Tells whether to keep a connection to a VM. One that left the list or is leaving is kept while it sends
 * messages, because requests in progress use the connection.
 */
export function isWorthWatching(listed: ListedState, evidence: Evidence, now: number): boolean {
    if (listed === "live") return true;
    return evidence.heardAt !== undefined && now - evidence.heardAt <= UNLISTED_KEPT_MS;
}
