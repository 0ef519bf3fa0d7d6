/**
 * Sends a request to one server and, while that one is silent, to a successor as well. A silent server may go on and a
 * successor may refuse, so both attempts stay in progress until one of them begins to answer the caller; it cancels the
 * others.
 */
import type { DispatchRequest } from "../core/serving/index.js";
import { combineVerdicts, Verdict } from "../core/verdict.js";
import { runAttempt } from "./attempt.js";
import type { AttemptResult, BufferedResponse, Dispatch, Exchange } from "./exchangeState.js";
import { createSuccessorSearch } from "./successor.js";

/** Common result of the attempts, after the last of them has ended. */
export type TakeoverResult =
    | Extract<AttemptResult, { kind: "answered"; }>
    | {
        readonly kind: "failed";
        /** Combines the verdicts of the attempts. */
        readonly verdict: Verdict;
        /** Tells how the last attempt ended. */
        readonly summary: string;
        /** The last error response of a server, if any sent one. */
        readonly errorResponse: BufferedResponse | undefined;
        /** Resolves with false if the request may have crashed a server and could crash the next one. */
        readonly mayRepeat: () => Promise<boolean>;
    };

interface OpenAttempt extends Dispatch {
    readonly supersession: AbortController;
}

/** Rejects only after an unexpected error. */
export function runWithTakeover(
    exchange: Exchange,
    service: string,
    first: Dispatch,
    createDispatchRequest: (dispatchId: string) => DispatchRequest,
): Promise<TakeoverResult> {
    /** Oldest first. */
    const open: OpenAttempt[] = [];
    const verdicts: Verdict[] = [];
    const crashChecks: Promise<boolean>[] = [];
    let answer: Extract<AttemptResult, { kind: "answered"; }> | undefined;
    let errorResponse: BufferedResponse | undefined;

    function supersedeOthers(attempt: OpenAttempt): void {
        for (const other of open) if (other !== attempt) other.supersession.abort();
    }

    function closeAttempt(attempt: OpenAttempt, result: AttemptResult): void {
        const { server } = attempt.assignment;
        open.splice(open.indexOf(attempt), 1);
        exchange.attemptSummaries.push(`${server.id} ${result.summary}`);
        if (result.kind === "answered") {
            answer = result;
            return;
        }
        verdicts.push(result.verdict);
        errorResponse = result.errorResponse ?? errorResponse;
        if (!exchange.cancellation.signal.aborted) crashChecks.push(mayRepeatPrompt(exchange, attempt, result));
    }

    return new Promise((resolve, reject) => {
        function start(dispatch: Dispatch): void {
            const attempt = { ...dispatch, supersession: new AbortController() };
            open.push(attempt);
            runAttempt(exchange, {
                ...dispatch,
                supersession: attempt.supersession.signal,
                // An attempt that has a successor doesn't need another one.
                onSilence: async isSilent =>
                    open.at(-1) === attempt && await search.claim(dispatch.dispatchId, isSilent),
                onDelivery: () => supersedeOthers(attempt),
            }).then(result => {
                closeAttempt(attempt, result);
                if (open.length > 0) return;
                resolve(
                    answer ?? {
                        kind: "failed",
                        verdict: combineVerdicts(verdicts),
                        summary: result.summary,
                        errorResponse,
                        mayRepeat: async () => (await Promise.all(crashChecks)).every(Boolean),
                    },
                );
            }).catch(error => {
                supersedeOthers(attempt);
                reject(error as Error);
            });
        }

        const search = createSuccessorSearch(exchange, service, {
            createDispatchRequest,
            openCount: () => open.length,
            start,
        });
        start(first);
    });
}

/** Resolves with false if the request may have crashed its server and could crash the next one. Never rejects. */
async function mayRepeatPrompt(
    { context, caller }: Exchange,
    { assignment }: OpenAttempt,
    { verdict, hasSurvived = false, isSuperseded = false, errorResponse }: Extract<AttemptResult, { kind: "failed"; }>,
): Promise<boolean> {
    if (hasSurvived || isSuperseded || errorResponse !== undefined) return true;
    try {
        return await context.promptGuard.examineFailure(caller, assignment.server, verdict !== Verdict.notRun);
    }
    catch (error) {
        context.log.warn("crash not checked", { error: (error as Error).message });
        return false;
    }
}
