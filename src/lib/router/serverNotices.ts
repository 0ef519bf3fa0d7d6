/**
 * Applies what backend servers say about their own availability in the heads of their responses. A response is newer
 * than the server's row, and arrives also while the store doesn't.
 */
import type { BackendServer, ColdServers, ServerBackoff, ServerRegistry } from "../core/serving/index.js";
import type { EventLog, ServingMetrics } from "../observability/index.js";
import type { ResponseMetadata } from "../platform/index.js";

export interface ServerNotices {
    /** Applies the head of a response to a request that was sent to `server`. Call it before the body is read. */
    record(server: BackendServer, status: number, metadata: ResponseMetadata): void;
}

export interface ServerNoticesOptions {
    readonly registry: Pick<ServerRegistry, "get" | "markLeaving">;
    readonly backoff: ServerBackoff;
    readonly coldServers: Pick<ColdServers, "recordRemaining">;
    readonly log: EventLog;
    readonly metrics: ServingMetrics;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
}

/** Status of a server that isn't the one that the request names. */
const MISDIRECTED_STATUS = 421;

export function createServerNotices(
    { registry, backoff, coldServers, log, metrics, now }: ServerNoticesOptions,
): ServerNotices {
    /** Returns the server that responded; `undefined` if another, unknown one has taken over the address. */
    function findResponder(server: BackendServer, status: number, { serverId }: ResponseMetadata) {
        if (status !== MISDIRECTED_STATUS || serverId === undefined || serverId === server.id) return server;
        const other = registry.get(serverId);
        return other?.address === server.address ? other : undefined;
    }

    function recordLeaving(server: BackendServer): void {
        if (!registry.markLeaving(server)) return;
        metrics.serverNotices.inc({ notice: "leaving" });
        log.info("server changed", {
            server: server.id,
            state: "leaving",
            source: "response",
            service: server.service,
            address: server.address,
        });
    }

    function recordBackoff(server: BackendServer, backoffMs: number): void {
        if (!backoff.record(server, backoffMs, now())) return;
        metrics.serverNotices.inc({ notice: "backoff" });
        log.info("server backing off", { server: server.id, service: server.service, backoffMs });
    }

    return {
        record: (server, status, metadata) => {
            if (metadata.backoffMs !== undefined) recordBackoff(server, metadata.backoffMs);
            const responder = findResponder(server, status, metadata);
            if (responder !== undefined && metadata.coldRemainingMs !== undefined) {
                coldServers.recordRemaining(responder, metadata.coldRemainingMs, now());
            }
            if (responder !== undefined && metadata.isLeaving) recordLeaving(responder);
        },
    };
}
