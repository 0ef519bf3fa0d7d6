/**
 * Decides as the owner of a server whether another entry may send it a request. Entries learn of each other's requests
 * only with the next heartbeat, so entries that see the same free slot would all fill it. A reservation at the owner
 * costs a round trip of a few milliseconds, and the entry that comes second chooses another server.
 *
 * This handles a large pool at its capacity behind many entries: without it, several requests are sent to the same
 * server at once and all of them start late.
 */
import { predictLatency } from "./engineModel.js";
import type { InFlightRequests, ServerLoad } from "./inFlightRequests.js";
import type { EngineParameters } from "./routeTable.js";

/** Reservation of a slot for a request. */
export interface SlotRequest {
    readonly serverId: string;
    readonly promptTokens: number;
    /** Requests that may be at the server at most, including this one. */
    readonly maxRunning: number;
    /** Time to the first event up to which the server suits the request, in milliseconds; infinite for any. */
    readonly maxFirstEventMs: number;
}

/** `load` is the load that the owner knows; a refused entry uses it to choose another server. */
export interface SlotDecision {
    readonly isGranted: boolean;
    readonly load: ServerLoad;
}

/** Records a granted request as load of `sender`, the name under which its reports are recorded. */
export function decideReservation(
    request: SlotRequest,
    sender: string,
    engine: EngineParameters,
    slowdown: number,
    inFlight: InFlightRequests,
    now: number,
): SlotDecision {
    const { serverId, promptTokens } = request;
    const load = inFlight.loadOf(serverId, now);
    const { firstEventMs } = predictLatency(engine, load, promptTokens, slowdown);
    const isGranted = load.decoding + load.prefilling + 1 <= request.maxRunning &&
        firstEventMs <= request.maxFirstEventMs;
    if (isGranted) inFlight.recordPeerChange(sender, serverId, [0, 1, promptTokens, 0], now);
    return { isGranted, load: [load.decoding, load.prefilling, load.prefillTokens, load.contextTokens] };
}
