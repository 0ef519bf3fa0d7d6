/**
 * Bounds what callers can make an entry hold: requests in progress per account, and bytes of request bodies
 * over all accounts.
 */

export interface Permit {
    /** Counts bytes of the request's body; returns false if the entry holds too many. */
    reserve(bytes: number): boolean;
    /** Must be called once, when the request has ended. */
    release(): void;
}

export interface RequestLimit {
    /** Returns `undefined` if the account has too many requests in progress. */
    enter(client: string): Permit | undefined;
}

export interface RequestLimitOptions {
    readonly requestsPerClient: number;
    readonly bufferedBodyBytes: number;
}

export function createRequestLimit(options: RequestLimitOptions): RequestLimit {
    const byClient = new Map<string, number>();
    let buffered = 0;

    function enter(client: string): Permit | undefined {
        const own = byClient.get(client) ?? 0;
        if (own >= options.requestsPerClient) return undefined;
        byClient.set(client, own + 1);
        let held = 0;

        function reserve(bytes: number): boolean {
            if (buffered + bytes > options.bufferedBodyBytes) return false;
            buffered += bytes;
            held += bytes;
            return true;
        }

        function release(): void {
            buffered -= held;
            held = 0;
            const left = (byClient.get(client) ?? 1) - 1;
            if (left > 0) byClient.set(client, left);
            else byClient.delete(client);
        }

        return { reserve, release };
    }

    return { enter };
}
