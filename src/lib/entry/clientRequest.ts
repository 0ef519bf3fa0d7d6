/**
 * What the APIs for clients do before they dispatch: account, limit on requests in progress, rank and body.
 * Each step answers the caller itself when the request must not go on.
 */
import { capRank, isRank, type Rank, RANKS } from "../core/index.js";
import type { Account } from "./accounts.js";
import { rejection, sendProblem, TOO_MANY_BYTES, TOO_MANY_REQUESTS } from "./problem.js";
import { readLimitedBody } from "./requestBody.js";
import type { EntryParts, RequestContext } from "./requestContext.js";

export const RANK_HEADER = "endivewell-rank";

export interface ClientRequest {
    readonly account: Account;
    readonly rank: Rank;
    /** Returns `undefined` if the body can't be read; the caller has then been answered. */
    readBody(): Promise<Buffer | undefined>;
}

/** Runs `serve` for a request of a known account that is within its limit. */
export async function serveClient(
    parts: EntryParts,
    { request, response }: RequestContext,
    serve: (client: ClientRequest) => Promise<void>,
): Promise<void> {
    const account = parts.accounts.client(request);
    if (account === undefined) return sendProblem(response, rejection(401, "unknown account", "send a bearer key"));
    const rank = rankOf(request.headers[RANK_HEADER], account);
    if (rank === undefined) {
        const detail = `${RANK_HEADER} takes one of ${RANKS.join(", ")}`;
        return sendProblem(response, rejection(400, "unknown rank", detail));
    }
    const permit = parts.requestLimit.enter(account.client);
    if (permit === undefined) return sendProblem(response, TOO_MANY_REQUESTS);

    async function readBody(): Promise<Buffer | undefined> {
        const read = await readLimitedBody(request, parts.settings.limits.bodyBytes, permit?.reserve);
        if (read.kind === "complete") return read.body;
        if (read.kind === "tooLarge") {
            const tooLarge = rejection(413, "the body is too large", "shorten the request");
            sendProblem(response, read.overloaded === true ? TOO_MANY_BYTES : tooLarge);
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

function rankOf(header: string | string[] | undefined, account: Account): Rank | undefined {
    if (header === undefined) return account.defaultRank;
    if (typeof header !== "string" || !isRank(header)) return undefined;
    return capRank(header, account.highestRank);
}
