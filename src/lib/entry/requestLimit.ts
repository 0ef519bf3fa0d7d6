/** Limits the requests in progress per account and the buffered request bodies of all accounts together. */

export interface Permit {
    /** Reserves memory for bytes of the request's body; returns false if the entry's limit would be exceeded. */
    reserve(bytes: number): boolean;
    /** Must be called once, when the request has ended. */
    release(): void;
}

export interface RequestLimit {
    /** Returns `undefined` if the account has too many requests in progress. */
    acquire(client: string): Permit | undefined;
}

export interface RequestLimitOptions {
    readonly requestsPerClient: number;
    readonly bufferedBodyBytes: number;
}

export function createRequestLimit(options: RequestLimitOptions): RequestLimit {
    const inProgressByClient = new Map<string, number>();
    let bufferedBytes = 0;

    function acquire(client: string): Permit | undefined {
        const inProgress = inProgressByClient.get(client) ?? 0;
        if (inProgress >= options.requestsPerClient) return undefined;
        inProgressByClient.set(client, inProgress + 1);
        let reservedBytes = 0;

        function reserve(bytes: number): boolean {
            if (bufferedBytes + bytes > options.bufferedBodyBytes) return false;
            bufferedBytes += bytes;
            reservedBytes += bytes;
            return true;
        }

        function release(): void {
            bufferedBytes -= reservedBytes;
            reservedBytes = 0;
            const remaining = (inProgressByClient.get(client) ?? 1) - 1;
            if (remaining > 0) inProgressByClient.set(client, remaining);
            else inProgressByClient.delete(client);
        }

        return { reserve, release };
    }

    return { acquire };
}
