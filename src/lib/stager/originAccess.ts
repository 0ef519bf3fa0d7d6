/**
 * The origin of weights as an entry may use it: within its share of the connections and requests that the origin takes
 * from all entries, for all models together.
 */
import * as http from "node:http";
import { createWeightsOriginClient, type WeightsOriginClient } from "../platform/index.js";
import { createOrderedLimit, type OrderedLimit } from "./orderedLimit.js";

export interface WeightsOrigin {
    readonly address: string;
    readonly region: string;
    /** Maximum number of connections that the origin accepts from all processes together. */
    readonly maxConnections: number;
}

export interface OriginAccess {
    /** Returns a client whose connections are limited to this entry's share. */
    client(origin: WeightsOrigin): WeightsOriginClient;
    /** Limits the requests for pieces in progress. */
    readonly pieceLimit: OrderedLimit;
}

/** Fraction of the origin's connections for all entries together; agents without a working entry need the rest. */
const ORIGIN_CONNECTION_FRACTION = 0.75;

/** Idle connections count against the origin's limit, so they are closed early. */
const ORIGIN_IDLE_TIMEOUT_MS = 1000;

/**
 * Requests to the origin in progress from all entries of its region together. A few keep its link busy; with more, each
 * piece takes longer to arrive, and the first ones could not be passed on early.
 */
const REGION_ORIGIN_REQUESTS = 6;

/** Upper bound of one entry's requests to the origin. */
const MAX_ORIGIN_REQUESTS = 2;

/** `entries` returns the live entries except this one, whose region is `region`. */
export function createOriginAccess(
    region: string,
    entries: () => readonly { readonly region: string; }[],
): OriginAccess {
    const connections = new http.Agent({ keepAlive: true, timeout: ORIGIN_IDLE_TIMEOUT_MS });

    /** Returns this entry's share of the requests that the origin gets from its region at the same time. */
    function maxPieceRequests(): number {
        const regionEntryCount = entries().filter(entry => entry.region === region).length + 1;
        return Math.max(1, Math.min(MAX_ORIGIN_REQUESTS, Math.floor(REGION_ORIGIN_REQUESTS / regionEntryCount)));
    }

    /** The origin resets connections above its limit. */
    function client({ address, maxConnections }: WeightsOrigin): WeightsOriginClient {
        const connectionShare = Math.floor(maxConnections * ORIGIN_CONNECTION_FRACTION / (entries().length + 1));
        connections.maxSockets = Math.max(1, Math.min(MAX_ORIGIN_REQUESTS, connectionShare));
        return createWeightsOriginClient(address, connections);
    }

    return { client, pieceLimit: createOrderedLimit(maxPieceRequests) };
}
