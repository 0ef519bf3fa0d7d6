/**
 * Warnings about settings that suit development only. Each has a stable code, is printed once per process,
 * and is off with `NODE_ENV=production`. Use `Log.warn` for conditions that need an operator.
 */
import { createLog } from "./log.js";

export const DevWarning = {
    /** The scheduling is a baseline of the benches and gives up the targets of the ranks. */
    baselineScheduling: "baseline-scheduling",
    /** The transfer is a baseline of the benches and loads the origin or a single chain of VMs. */
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
