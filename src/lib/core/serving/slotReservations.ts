/**
 * Decides as the owner of a server whether another entry may send it a request. Entries learn of each other's requests
 * only with the next heartbeat, so entries that see the same free slot would all fill it. A reservation at the owner
 * costs a round trip of a few milliseconds, and the entry that comes second chooses another server.
 *
 * This handles a large pool at its capacity behind many entries: without it, several requests are sent to the same
 * server at once and all of them start late.
 */
import { expectedAnswerTokens, fitsMemory } from "./engineMemory.js";
import { predictLatency } from "./engineModel.js";
import type { InFlightRequests, ServerLoad } from "./inFlightRequests.js";
import type { RefusedReservations } from "./refusedReservations.js";
import type { EngineParameters } from "./routeTable.js";

/** Reservation of a slot for a request. */
export interface SlotRequest {
    readonly serverId: string;
    readonly promptTokens: number;
    /** Expected length of the answer; entries of earlier versions don't tell it. */
    readonly outputTokens?: number | undefined;
    /** Requests that may be at the server at most, including this one. */
    readonly maxRunning: number;
    /** Time to the first event up to which the server suits the request, in milliseconds; infinite for any. */
    readonly maxFirstEventMs: number;
    /** Order in which requests get slots, lowest first; 0 for entries of earlier versions, which don't tell it. */
    readonly precedence: number;
}

/** A refused entry uses the load that the owner knows to choose another server. */
export interface SlotDecision {
    readonly isGranted: boolean;
    readonly load: ServerLoad;
    /** Time for which the refused entry doesn't use the server, in milliseconds; 0 if the slot is granted. */
    readonly pauseMs: number;
}

/** The load of a server changes with each event of its streams. */
const FULL_SERVER_PAUSE_MS = 50;

/** An engine that loads weights is unavailable for a second or two. */
const LOADING_SERVER_PAUSE_MS = 300;

/** What the owner knows of the server. */
export interface OwnedServer {
    readonly engine: EngineParameters;
    readonly slowdown: number;
    /** Accepts no requests now, because it loads weights. Its agent tells only some of the entries. */
    readonly isPaused: boolean;
    /** Takes the request from the owner's share of the server if the sender has none, and returns whether it may. */
    readonly takeShare: () => boolean;
    /** Requests that were refused a moment ago. */
    readonly refused: RefusedReservations;
}

/** Records a granted request as load of `sender`, the name under which its reports are recorded. */
export function decideReservation(
    request: SlotRequest,
    sender: string,
    { engine, slowdown, isPaused, takeShare, refused }: OwnedServer,
    inFlight: InFlightRequests,
    now: number,
): SlotDecision {
    const { serverId, promptTokens, outputTokens = 0, precedence } = request;
    const known = inFlight.loadOf(serverId, now);
    const load: ServerLoad = [known.decoding, known.prefilling, known.prefillTokens, known.contextTokens];
    if (isPaused) return { isGranted: false, load, pauseMs: LOADING_SERVER_PAUSE_MS };
    const { firstEventMs } = predictLatency(engine, known, promptTokens, slowdown);
    const aheadCount = refused.countAhead(serverId, precedence, now);
    const isGranted = known.decoding + known.prefilling + aheadCount + 1 <= request.maxRunning &&
        firstEventMs <= request.maxFirstEventMs && fitsMemory(engine, known, { promptTokens, outputTokens }) &&
        takeShare();
    if (!isGranted) refused.record(serverId, precedence, now);
    else {
        refused.recordGrant(serverId, precedence);
        const answerTokens = expectedAnswerTokens(engine, { promptTokens, outputTokens });
        inFlight.recordPeerChange(sender, serverId, [0, 1, promptTokens, answerTokens], now);
    }
    return { isGranted, load, pauseMs: isGranted ? 0 : FULL_SERVER_PAUSE_MS };
}
