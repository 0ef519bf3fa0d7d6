/** Defines the state of one request in progress, which the modules that serve it share. */
import type * as http from "node:http";
import {
    type AllowedRegions,
    type Assignment,
    type ClientAccount,
    type ColdLimit,
    type ColdServers,
    type Dispatcher,
    RequestKind,
    type Route,
    type RouteTable,
    type ServerHealth,
    type ServerPace,
    type ServerSpeed,
    type SharedRetryBudget,
} from "../core/serving/index.js";
import type { Verdict } from "../core/verdict.js";
import type { BodyBudget } from "../node/limitedBody.js";
import type { ReadTurns } from "../node/readTurns.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import type { CallerRequest } from "../platform/index.js";
import type { BackendConnections } from "./backendConnections.js";
import type { EventStreamParser } from "./eventStreamParser.js";
import type { PromptGuard } from "./promptGuard.js";
import type { Reservations } from "./reservations.js";
import type { ServerNotices } from "./serverNotices.js";

export interface ExchangeContext {
    /** Current routes; `undefined` until a configuration has been received. */
    readonly routeTable: () => RouteTable | undefined;
    /** Age of the configuration for the log; see `TableFreshness`. `undefined` before one is known. */
    readonly configurationAgeMs: () => number | undefined;
    readonly dispatcher: Dispatcher;
    readonly connections: BackendConnections;
    readonly reservations: Reservations;
    readonly promptGuard: PromptGuard;
    readonly retryBudget: SharedRetryBudget;
    readonly health: ServerHealth;
    readonly coldLimit: Pick<ColdLimit, "recordWrite">;
    readonly coldServers: Pick<ColdServers, "recordPossibleStart">;
    readonly speed: ServerSpeed;
    readonly pace: ServerPace;
    readonly serverNotices: ServerNotices;
    /** Memory for the bodies of all requests and responses in progress. */
    readonly bodyBudget: BodyBudget;
    readonly readTurns: ReadTurns;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock in milliseconds. */
    readonly now: () => number;
    readonly random: () => number;
    /** Returns an identifier that no other exchange of this process has; callers may repeat theirs. */
    readonly nextExchangeId: () => number;
    /** True during a graceful stop; responses then tell callers to close their connections. */
    readonly isStopping: () => boolean;
    /** Returns whether other requests on the connection of this response are in progress. */
    readonly hasOtherRequests: (response: http.ServerResponse) => boolean;
    /** Called before a response which announces that its connection closes; requests behind it can't be answered. */
    readonly closeAfter: (response: http.ServerResponse) => void;
    /** True once the stopping process accepts no new requests; it finishes those in progress. */
    readonly isDraining: () => boolean;
    /** Cancellations of all exchanges in progress, for the end of the grace period. */
    readonly cancellations: Set<AbortController>;
    /** What reduces the capacity at present. */
    readonly capacityLimits: () => CapacityLimits;
}

/** What reduces the capacity, for the log; `undefined` where nothing does. */
export interface CapacityLimits {
    /** Evacuated failure domains. */
    readonly evacuated: readonly string[] | undefined;
    /** Number of servers that count as cold. */
    readonly coldServers: number | undefined;
}

/** Why an exchange was cancelled; the values are the texts for the log. */
export const CancelReason = {
    callerLeft: "the caller left",
    expired: "the time is over",
    stopping: "process stopping",
} as const;

export interface Exchange {
    readonly context: ExchangeContext;
    /** Unique in this process. `caller.id` is only for logs and headers. */
    readonly id: number;
    readonly request: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly caller: CallerRequest;
    readonly route: Route;
    /** The configuration under which the request was accepted. */
    readonly acceptedTable: RouteTable;
    readonly account: ClientAccount | undefined;
    /** Returns the regions in which the request may be served now. */
    readonly allowedRegions: () => AllowedRegions;
    readonly body: Buffer;
    readonly arrivedAt: number;
    /** The earlier of the caller's deadline and the route's timeout, on the clock of `context.now`. */
    readonly expiresAt: number;
    /** Aborted when the caller disconnects or the request expires. */
    readonly cancellation: AbortController;
    /** Ids of the servers that were assigned so far, including those that couldn't be reached. */
    readonly triedServerIds: Set<string>;
    /** Verdicts of the failed sends, refusals among them; failed connections are left out. */
    readonly verdicts: Verdict[];
    /** Parser of a stream that has started; it holds the id of the last delivered event. */
    streamParser: EventStreamParser | undefined;
    /** Version of the weights that produced the delivered part of a stream. */
    weightsVersion: number | undefined;
    /** Identifies the queued request, and later its first attempt, at the dispatcher. */
    dispatchId: string;
    /** Server id and result of each attempt, for the log. */
    readonly attemptSummaries: string[];
    /** Total time that the request waited for a server, over all attempts. */
    waitedMs: number;
    /**
     * Predicted and actual time from the last send to its first event, and the slowdown of the server that the
     * prediction assumed; written to the log under these names.
     */
    prediction: { readonly predictedMs: number; readonly actualMs: number; readonly slowdown: number; } | undefined;
    firstEventAt: number | undefined;
    /** Why the request wasn't sent again after its last attempt; for the log. */
    retryDenial: RetryDenial | undefined;
}

/** Reasons for which a request isn't sent again. */
export const RetryDenial = {
    /** The request may have run and must not run twice. */
    mayHaveRun: "may have run",
    /** The events that the caller has received have no id to resume after. */
    notResumable: "no event id",
    attemptsUsed: "attempts used",
    budgetSpent: "budget spent",
    noServer: "no server",
    /** A crash ended the request, whose prompt may have caused it. */
    implicatedPrompt: "its prompt may crash servers",
    quarantinedPrompt: "quarantined prompt",
} as const;

export type RetryDenial = (typeof RetryDenial)[keyof typeof RetryDenial];

/** A server that is assigned to a request, and the identifier of the assignment at the dispatcher. */
export interface Dispatch {
    readonly assignment: Assignment;
    readonly dispatchId: string;
}

/** Result of sending a request to one server; `summary` is the text for the log. */
export type AttemptResult =
    | { readonly kind: "answered"; readonly summary: string; }
    | {
        readonly kind: "failed";
        readonly verdict: Verdict;
        readonly summary: string;
        /** Another attempt began to answer while this server wasn't silent, so the failure isn't the server's. */
        readonly isSuperseded?: boolean;
        /** The entry lacked memory or the caller paused, so the failure isn't the server's. */
        readonly isCausedByEntry?: boolean;
        /** An event had arrived, so the server had started to run the request. */
        readonly hasFirstEvent?: boolean;
        /** The stream went on after its first events, so the request can't have crashed the server. */
        readonly hasSurvived?: boolean;
        /** The server's error response, which is relayed to the caller unless a retry succeeds. */
        readonly errorResponse?: BufferedResponse;
    };

/** A complete response of a server, held in memory. */
export interface BufferedResponse {
    readonly status: number;
    readonly headers: string[];
    readonly body: Buffer;
    /** Value of `Content-Length`. In a response without a body it describes another one; `undefined` sends none. */
    readonly contentLength: string | undefined;
}

/** Servers that a request may find unreachable in addition to its route's attempts. */
export const MAX_UNREACHABLE_SERVERS = 2;

/** Tells whether a request may be sent again after a server may have run it. */
export function isRetryableRoute(route: Route): boolean {
    return route.kind === RequestKind.idempotent || (route.kind === RequestKind.stream && route.isResumable);
}
