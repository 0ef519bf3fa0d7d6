/**
 * Finds the server that takes over from a silent one. It is sent the request once it is certain: the server is assigned,
 * its slot is reserved and the retry is taken from the budget.
 */
import type { DispatchRequest } from "../core/serving/index.js";
import {
    type Dispatch,
    type Exchange,
    isRetryableRoute,
    MAX_UNREACHABLE_SERVERS,
    RetryDenial,
} from "./exchangeState.js";

type StartDenial = RetryDenial | "notNeeded";

export interface SuccessorSearchOptions {
    readonly createDispatchRequest: (dispatchId: string) => DispatchRequest;
    /** Returns the number of attempts in progress. */
    readonly openCount: () => number;
    /** Sends the request to the successor. Its attempt must be in progress when this returns. */
    readonly start: (successor: Dispatch) => void;
}

export interface SuccessorSearch {
    /**
     * Starts a successor if there is one, and resolves with whether it did. `silentId` is the dispatch identifier of
     * the silent attempt; `isNeeded` tells whether its server is still silent.
     */
    claim(silentId: string, isNeeded: () => boolean): Promise<boolean>;
}

export function createSuccessorSearch(
    exchange: Exchange,
    service: string,
    { createDispatchRequest, openCount, start }: SuccessorSearchOptions,
): SuccessorSearch {
    const { context, route, caller } = exchange;
    let isClaiming = false;

    async function claim(silentId: string, isNeeded: () => boolean): Promise<boolean> {
        // The silence timer may start anew, and expire again, while a slot is reserved.
        if (!isRetryableRoute(route) || isClaiming) return false;
        isClaiming = true;
        try {
            const denial = findDenial() ?? await startSuccessor(`${silentId}/successor`, isNeeded);
            exchange.retryDenial = denial === "notNeeded" ? undefined : denial;
            return denial === undefined;
        }
        finally {
            isClaiming = false;
        }
    }

    function findDenial(): RetryDenial | undefined {
        const { response, streamParser, verdicts, triedServerIds } = exchange;
        if (response.headersSent && streamParser?.lastEventId() === undefined) return RetryDenial.notResumable;
        // Attempts in progress have no verdict yet. Refusals count: the limit is on the servers that get the request.
        if (verdicts.length + openCount() >= route.maxAttempts) return RetryDenial.attemptsUsed;
        if (triedServerIds.size >= route.maxAttempts + MAX_UNREACHABLE_SERVERS) return RetryDenial.attemptsUsed;
        if (!context.retryBudget.isAvailable(service, context.now())) return RetryDenial.budgetSpent;
        return findPromptDenial();
    }

    function findPromptDenial(): RetryDenial | undefined {
        const { promptGuard } = context;
        if (promptGuard.decide(caller, service).kind !== "allowed") return RetryDenial.quarantinedPrompt;
        return promptGuard.mayRepeat(caller, service) ? undefined : RetryDenial.implicatedPrompt;
    }

    async function startSuccessor(dispatchId: string, isNeeded: () => boolean): Promise<StartDenial | undefined> {
        const { dispatcher, reservations, retryBudget, now } = context;
        const assignment = dispatcher.assignNow(createDispatchRequest(dispatchId), now());
        if (assignment === undefined) return RetryDenial.noServer;
        const refusal = await reservations.reserve(assignment, dispatchId);
        if (refusal !== undefined) {
            dispatcher.withdraw(dispatchId, assignment.server.id, refusal, now());
            return RetryDenial.noServer;
        }
        const release = () => {
            reservations.release(assignment, dispatchId);
            dispatcher.release(dispatchId, now());
        };
        if (!isNeeded()) {
            release();
            return "notNeeded";
        }
        // The server may have announced that it leaves, and the prompt may have been quarantined, in the meantime.
        const denial = dispatcher.mayStillSend(assignment.server, now()) ? findPromptDenial() : RetryDenial.noServer;
        if (denial === undefined && retryBudget.tryTake(service, now())) {
            start({ assignment, dispatchId });
            return undefined;
        }
        release();
        return denial ?? RetryDenial.budgetSpent;
    }

    return { claim };
}
