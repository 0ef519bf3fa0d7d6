/**
 * Reports of an agent's state on one stream. A whole state takes about 200 bytes and a report of the load
 * about 25. An entry receives one each second from each agent of its subset.
 */
import { AgentState } from "./generated/endivewell.js";

const NO_LOAD = { running: 0, queued: 0, concurrencyLimit: 0, predictedWaitMs: [] };

/** Tells whether anything other than the load differs. */
export function differsBesidesLoad(one: AgentState, other: AgentState): boolean {
    const encode = (state: AgentState) => AgentState.encode({ ...state, ...NO_LOAD }).finish();
    return Buffer.compare(encode(one), encode(other)) !== 0;
}

/** Returns a report that contains only the load. */
export function loadReport({ concurrencyLimit, predictedWaitMs, queued, running }: AgentState): AgentState {
    return AgentState.fromPartial({ running, queued, concurrencyLimit, predictedWaitMs });
}

/** Returns the state after a report. `undefined` if a report of the load comes before any whole state. */
export function applyReport(known: AgentState | undefined, report: AgentState): AgentState | undefined {
    if (report.process !== "") return report;
    if (known === undefined) return undefined;
    const { concurrencyLimit, predictedWaitMs, queued, running } = report;
    return { ...known, running, queued, concurrencyLimit, predictedWaitMs };
}
