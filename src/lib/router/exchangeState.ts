/** What is known of one request while it is served, shared by the modules that serve it. */
import type * as http from "node:http";
import {
    type ClientAccount,
    type Dispatcher,
    RequestKind,
    type Route,
    type RouteTable,
    type SendBudget,
    type ServerHealth,
} from "../core/serving/index.js";
import type { Verdict } from "../core/verdict.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import type { CallerRequest } from "../platform/index.js";
import type { BackendConnections } from "./backendConnections.js";
import type { StreamEvents } from "./streamEvents.js";

export interface ExchangeContext {
    /** `undefined` until a configuration is known. */
    readonly table: () => RouteTable | undefined;
    readonly dispatcher: Dispatcher;
    readonly connections: BackendConnections;
    readonly budget: SendBudget;
    readonly health: ServerHealth;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Milliseconds of a steady clock. */
    readonly now: () => number;
    readonly random: () => number;
    /** The process stops: callers are told to close their connections. */
    readonly isStopping: () => boolean;
}

export interface Exchange {
    readonly context: ExchangeContext;
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly caller: CallerRequest;
    readonly route: Route;
    readonly account: ClientAccount | undefined;
    readonly body: Buffer;
    readonly arrivedAt: number;
    /** Time at which the caller's deadline or the route's timeout is reached. */
    readonly expiresAt: number;
    /** Fires when the caller leaves or the time is over. */
    readonly cancellation: AbortController;
    readonly tried: Set<string>;
    readonly verdicts: Verdict[];
    /** What has been delivered of a stream. */
    stream: StreamEvents | undefined;
    /** Weights that answered the delivered part of a stream. */
    weights: number | undefined;
    /** Identifies the present attempt to the dispatcher. */
    flightId: string;
    /** Text for the log of every attempt. */
    readonly attempts: string[];
    waitedMs: number;
    /** What the last placement predicted and what it took until the first event. */
    prediction: { readonly predictedMs: number; readonly actualMs: number; } | undefined;
    firstEventAt: number | undefined;
}

/** How one send of a request ended. */
export type AttemptResult =
    | { readonly kind: "answered"; readonly text: string; }
    | {
        readonly kind: "failed";
        readonly verdict: Verdict;
        readonly text: string;
        /** An event had arrived, so the server was at work on the request. */
        readonly hasBegun?: boolean;
        /** The server's own failure, which the caller gets if nothing better comes. */
        readonly answer?: PlainAnswer;
    };

/** A whole answer of a server. */
export interface PlainAnswer {
    readonly status: number;
    readonly headers: string[];
    readonly body: Buffer;
}

/** Tells whether another server may run the request after one that may have run it. */
export function isRepeatableRoute(route: Route): boolean {
    return route.kind === RequestKind.idempotent || (route.kind === RequestKind.stream && route.isResumable);
}

/** Reads a body to its end. Returns `undefined` if it is too long or its sender broke off. */
export async function readWhole(message: http.IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
    const pieces: Buffer[] = [];
    let size = 0;
    try {
        for await (const piece of message as AsyncIterable<Buffer>) {
            size += piece.length;
            if (size > maxBytes) return undefined;
            pieces.push(piece);
        }
    }
    catch {
        // The caller of this function answers for a body that broke off.
        return undefined;
    }
    return Buffer.concat(pieces);
}
