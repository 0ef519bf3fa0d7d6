/**
 * Builds and applies the reports that agents stream to entries: a full state, or only the load if nothing else has
 * changed. A full state takes about 200 bytes and a load report about 25 bytes. An entry receives one report each
 * second from each agent of its subset.
 */
import { AgentState } from "./generated/endivewell.js";

const NO_LOAD = { running: 0, queued: 0, concurrencyLimit: 0, predictedWaitMs: [] };

/** Returns whether two states differ in anything other than the load. */
export function differsBesidesLoad(first: AgentState, second: AgentState): boolean {
    const encode = (state: AgentState) => AgentState.encode({ ...state, ...NO_LOAD }).finish();
    return Buffer.compare(encode(first), encode(second)) !== 0;
}

/** Returns a load report, which contains only the load fields of the state. */
export function loadReport({ concurrencyLimit, predictedWaitMs, queued, running }: AgentState): AgentState {
    return AgentState.fromPartial({ running, queued, concurrencyLimit, predictedWaitMs });
}

/** Returns the state after a report, or `undefined` if a load report arrives before any full state. */
export function applyReport(previous: AgentState | undefined, report: AgentState): AgentState | undefined {
    if (report.process !== "") return report;
    if (previous === undefined) return undefined;
    const { concurrencyLimit, predictedWaitMs, queued, running } = report;
    return { ...previous, running, queued, concurrencyLimit, predictedWaitMs };
}
