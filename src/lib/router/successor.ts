/**
 * Finds the server that takes over from a silent one. A silent server may go on, so its attempt is given up only once
 * its successor is certain: the server is assigned, its slot is reserved and the retry is taken from the budget.
 */
import type { Assignment, DispatchRequest } from "../core/serving/index.js";
import { type Exchange, isRetryableRoute, RetryDenial } from "./exchangeState.js";

/** A server that is assigned to a request in addition to the one that works on it. */
export interface Successor {
    readonly assignment: Assignment;
    readonly dispatchId: string;
}

export interface SuccessorSearch {
    /** Returns whether there is a successor. `isNeeded` tells whether the server in use is still silent. */
    claim(isNeeded: () => boolean): Promise<boolean>;
    /** Returns the claimed successor, which the caller must use. */
    take(): Successor | undefined;
    /** Releases a claimed successor that isn't needed. */
    release(): void;
}

export function createSuccessorSearch(
    exchange: Exchange,
    service: string,
    createDispatchRequest: (dispatchId: string) => DispatchRequest,
): SuccessorSearch {
    const { context, route } = exchange;
    let claimed: Successor | undefined;
    let isClaiming = false;

    async function claim(isNeeded: () => boolean): Promise<boolean> {
        // The silence timer may start anew, and expire again, while a slot is reserved.
        if (!isRetryableRoute(route) || isClaiming) return false;
        isClaiming = true;
        try {
            exchange.retryDenial = findDenial() ?? await assignSuccessor(isNeeded);
            return claimed !== undefined;
        }
        finally {
            isClaiming = false;
        }
    }

    function findDenial(): RetryDenial | undefined {
        const { response, streamParser, verdicts } = exchange;
        if (response.headersSent && streamParser?.lastEventId() === undefined) return RetryDenial.notResumable;
        // The attempt in progress has no verdict yet.
        if (verdicts.length + 1 >= route.maxAttempts) return RetryDenial.attemptsUsed;
        const { kind } = context.promptGuard.decide(exchange.caller, service);
        if (kind !== "allowed") return RetryDenial.quarantinedPrompt;
        if (!context.promptGuard.mayRepeat(exchange.caller, service)) return RetryDenial.implicatedPrompt;
        return context.retryBudget.isAvailable(service, context.now()) ? undefined : RetryDenial.budgetSpent;
    }

    async function assignSuccessor(isNeeded: () => boolean): Promise<RetryDenial | undefined> {
        const { dispatcher, reservations, retryBudget, now } = context;
        const dispatchId = `${exchange.dispatchId}/successor`;
        const assignment = dispatcher.assignNow(createDispatchRequest(dispatchId), now());
        if (assignment === undefined) return RetryDenial.noServer;
        const refusal = await reservations.reserve(assignment);
        if (refusal !== undefined) {
            dispatcher.withdraw(dispatchId, assignment.server.id, refusal, now());
            return RetryDenial.noServer;
        }
        claimed = { assignment, dispatchId };
        if (!dispatcher.mayStillSend(assignment.server, now())) {
            release();
            return RetryDenial.noServer;
        }
        if (!isNeeded()) {
            release();
            return undefined;
        }
        if (retryBudget.tryTake(service, now())) return undefined;
        release();
        return RetryDenial.budgetSpent;
    }

    function take(): Successor | undefined {
        const taken = claimed;
        claimed = undefined;
        return taken;
    }

    function release(): void {
        const released = take();
        if (released === undefined) return;
        context.reservations.release(released.assignment, released.dispatchId);
        context.dispatcher.release(released.dispatchId, context.now());
    }

    return { claim, take, release };
}
