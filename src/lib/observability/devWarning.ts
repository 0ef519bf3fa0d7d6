/**
 * Warnings about settings that are meant for development only. Each has a stable code, is printed once per process, and
 * is disabled with `NODE_ENV=production`. Use `Log.warn` for conditions that an operator has to act on.
 */
import { createLog } from "./log.js";

export const DevWarning = {
    /** The scheduling strategy is a benchmark baseline that ignores the latency targets of the ranks. */
    baselineScheduling: "baseline-scheduling",
    /** The transfer strategy is a benchmark baseline that loads the origin or a single chain of VMs. */
    baselineTransfer: "baseline-transfer",
} as const;

export type DevWarning = (typeof DevWarning)[keyof typeof DevWarning];

const log = createLog("development");
const issued = new Set<DevWarning>();

export function issueDevWarning(code: DevWarning, text: string): void {
    if (process.env.NODE_ENV === "production" || issued.has(code)) return;
    issued.add(code);
    log.warn("%s: %s", code, text);
}
