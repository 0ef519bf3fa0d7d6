/**
 * Failure detection for VMs. It combines the platform's list of VMs, which lags, with what this process observes
 * itself. Direct evidence takes precedence: a VM is trusted while its own messages arrive, even if the list lacks
 * it, and a listing alone never makes a silent VM trusted. The list only tells which VMs to contact.
 */

/** State of a VM in the platform's list; `unlisted` if the list doesn't contain it. */
export type ListedState = "live" | "leaving" | "unlisted";

/** What this process has observed of a VM. Times are in milliseconds. */
export interface Evidence {
    /** Time of the VM's last message; `undefined` if there was none. */
    readonly lastMessageAt: number | undefined;
    /** Whether the VM has reported that it is leaving, which is final for the connection. */
    readonly leaving: boolean;
    /** Time at which the connection was lost; `undefined` while connected and before the first connection. */
    readonly disconnectedAt: number | undefined;
}

export type Trust =
    /** Accepts new work. */
    | "usable"
    /** Finishes its current work and accepts no more. */
    | "leaving"
    /** Has sent nothing yet, or its last message is too old. */
    | "silent"
    /** The connection was lost after the last message. */
    | "lost";

/** Age of the last message after which a VM is silent: two missed messages, sent once a second, and some jitter. */
export const SILENCE_TIMEOUT_MS = 2500;

/** The connection to a VM that left the list, or is leaving, is kept until the VM has been silent for this long. */
export const UNLISTED_RETENTION_MS = 10_000;

export const NO_EVIDENCE: Evidence = { lastMessageAt: undefined, leaving: false, disconnectedAt: undefined };

export function evaluateTrust(listed: ListedState, evidence: Evidence, now: number): Trust {
    const { lastMessageAt, leaving, disconnectedAt } = evidence;
    if (leaving || listed === "leaving") return "leaving";
    if (disconnectedAt !== undefined && (lastMessageAt === undefined || disconnectedAt >= lastMessageAt)) return "lost";
    if (lastMessageAt === undefined || now - lastMessageAt > SILENCE_TIMEOUT_MS) return "silent";
    // A VM that sends its state is usable even if it is unlisted, because the list also lags behind new VMs.
    return "usable";
}

/**
 * Returns whether to keep the connection to a VM. For a VM that left the list or is leaving, it is kept while
 * messages arrive, because in-flight requests use it.
 */
export function shouldKeepConnection(listed: ListedState, evidence: Evidence, now: number): boolean {
    if (listed === "live") return true;
    return evidence.lastMessageAt !== undefined && now - evidence.lastMessageAt <= UNLISTED_RETENTION_MS;
}
