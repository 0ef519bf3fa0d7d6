/**
 * Admits client requests before dispatch: authenticates the account, determines the rank, limits requests in
 * progress and reads the body. Each step sends the error response itself when it rejects the request.
 */
import { capRank, isRank, type Rank, RANKS } from "../core/index.js";
import { readLimitedBody } from "../node/limitedBody.js";
import type { Account } from "./accounts.js";
import { BODY_MEMORY_EXHAUSTED, rejection, sendProblem, TOO_MANY_REQUESTS } from "./problem.js";
import type { EntryDependencies, RequestContext } from "./requestContext.js";

export const RANK_HEADER = "endivewell-rank";

export interface ClientRequest {
    readonly account: Account;
    readonly rank: Rank;
    /** Returns `undefined` if the body can't be read; the error response has then been sent unless the caller left. */
    readBody(): Promise<Buffer | undefined>;
}

/** Calls `serve` if the account is known and within its limit of requests in progress; otherwise sends an error. */
export async function serveClient(
    dependencies: EntryDependencies,
    { request, response }: RequestContext,
    serve: (client: ClientRequest) => Promise<void>,
): Promise<void> {
    const account = dependencies.accounts.authenticateClient(request);
    if (account === undefined) return sendProblem(response, rejection(401, "unknown account", "send a bearer key"));
    const rank = parseRank(request.headers[RANK_HEADER], account);
    if (rank === undefined) {
        const detail = `${RANK_HEADER} takes one of ${RANKS.join(", ")}`;
        return sendProblem(response, rejection(400, "unknown rank", detail));
    }
    const permit = dependencies.requestLimit.acquire(account.client);
    if (permit === undefined) return sendProblem(response, TOO_MANY_REQUESTS);

    async function readBody(): Promise<Buffer | undefined> {
        const bodyResult = await readLimitedBody(request, {
            maxBytes: dependencies.settings.limits.bodyBytes,
            reserve: permit?.reserve,
            turns: dependencies.readTurns,
        });
        if (bodyResult.kind === "complete") return bodyResult.body;
        if (bodyResult.kind === "tooLarge") {
            const tooLarge = rejection(413, "the body is too large", "shorten the request");
            sendProblem(response, bodyResult.isMemoryExhausted === true ? BODY_MEMORY_EXHAUSTED : tooLarge);
        }
        return undefined;
    }

    try {
        await serve({ account, rank, readBody });
    }
    finally {
        permit.release();
    }
}

function parseRank(header: string | string[] | undefined, account: Account): Rank | undefined {
    if (header === undefined) return account.defaultRank;
    if (typeof header !== "string" || !isRank(header)) return undefined;
    return capRank(header, account.highestRank);
}
