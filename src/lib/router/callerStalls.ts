/**
 * Disconnects callers that stop reading. The bytes of a response that wait for a caller are held in the memory of the
 * entry, which all callers share. A caller that reads slowly but steadily is not disconnected.
 *
 * Node's socket timeout doesn't fire while the operating system accepts bytes of a pending write. It is counted in
 * steps, so that a pause of this process adds one step at most.
 */
import type { Socket } from "node:net";

export interface CallerStalls {
    /** Begins to watch a connection on which a response is in progress. */
    watch(socket: Socket): void;
    /** Handles the timeout of a connection on which a response is in progress. */
    onTimeout(socket: Socket): void;
}

/**
 * A connection that accepts nothing for this long, or up to a quarter longer, is closed. Recoveries from lost packets
 * and pauses of a caller take up to a few seconds; the deadline of a usual request, 6 s, is over by then.
 */
export const CALLER_STALL_TIMEOUT_MS = 10_000;

const STEP_COUNT = 4;

/** The time between two timeouts without progress is one step, and two steps or more if there was progress. */
const MAX_STEP_FACTOR = 1.5;

interface Stall {
    stepCount: number;
    /** Time of the last timeout. */
    countedAt: number;
}

export function createCallerStalls(timeoutMs: number, now: () => number): CallerStalls {
    const stepMs = Math.max(1, timeoutMs / STEP_COUNT);
    const stalls = new WeakMap<Socket, Stall>();

    return {
        watch: socket => {
            stalls.delete(socket);
            socket.setTimeout(stepMs);
        },
        onTimeout: socket => {
            // Without waiting bytes the caller waits for its server.
            if (socket.writableLength === 0) {
                stalls.delete(socket);
                return;
            }
            const countedAt = now();
            const last = stalls.get(socket);
            const hasProgressed = last === undefined || countedAt - last.countedAt > MAX_STEP_FACTOR * stepMs;
            const stepCount = hasProgressed ? 1 : last.stepCount + 1;
            if (stepCount >= STEP_COUNT) {
                socket.destroy();
                return;
            }
            stalls.set(socket, { stepCount, countedAt });
            socket.setTimeout(stepMs);
        },
    };
}
