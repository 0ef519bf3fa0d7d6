/** Counters and latency histograms for request serving, in the Prometheus text format. docs/metrics.md lists them. */
import type { ServerResponse } from "node:http";
import { Counter, Gauge, Histogram, Registry } from "prom-client";

export interface ServingMetrics {
    readonly requests: Counter<"kind" | "outcome">;
    readonly refusals: Counter<"reason">;
    readonly sends: Counter<"result">;
    readonly reservations: Counter<"result">;
    readonly serverNotices: Counter<"notice">;
    readonly firstEventMs: Histogram<"kind">;
    readonly waitMs: Histogram<"kind">;
    /** Time to the first event, divided by the prediction that placed the request. */
    readonly predictionRatio: Histogram<"kind">;
    readonly waiting: Gauge;
    /** Servers whose requests are limited because they count as cold. */
    readonly coldServers: Gauge;
    readonly evacuatedDomains: Gauge;
    readonly rampingServers: Gauge;
    readonly storeCalls: Counter<"result">;
    readonly pieces: Counter<"source">;
    readonly orders: Counter<"result">;
    readonly quarantines: Counter<"change">;
    /** Returns all values in the Prometheus text format. */
    expose(): Promise<string>;
    readonly contentType: string;
}

/** Buckets around the services' latency targets, which are between 100 ms and a few seconds. */
const LATENCY_BUCKETS_MS = [10, 25, 50, 100, 150, 200, 250, 300, 400, 600, 800, 1200, 2000, 4000, 8000];

const RATIO_BUCKETS = [0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2, 3, 5];

export function createServingMetrics(): ServingMetrics {
    const registry = new Registry();
    const registers = [registry];
    const counter = <T extends string>(name: string, help: string, labelNames: readonly T[]) =>
        new Counter<T>({ name, help, labelNames: [...labelNames], registers });
    const histogram = <T extends string>(
        name: string,
        help: string,
        labelNames: readonly T[],
        buckets = LATENCY_BUCKETS_MS,
    ) => new Histogram<T>({ name, help, labelNames: [...labelNames], buckets, registers });
    return {
        requests: counter("endivewell_requests_total", "Requests by kind and outcome.", ["kind", "outcome"]),
        refusals: counter("endivewell_refusals_total", "Refused requests by reason.", ["reason"]),
        sends: counter("endivewell_sends_total", "Requests sent to backend servers by result.", ["result"]),
        reservations: counter("endivewell_reservations_total", "Reservations at other entries by result.", ["result"]),
        serverNotices: counter(
            "endivewell_server_notices_total",
            "Changes of availability that servers announced in responses.",
            ["notice"],
        ),
        firstEventMs: histogram("endivewell_first_event_ms", "Time to the answer or the first event.", ["kind"]),
        waitMs: histogram("endivewell_wait_ms", "Time until a request was sent to a backend server.", ["kind"]),
        predictionRatio: histogram(
            "endivewell_prediction_ratio",
            "Time to the first event, divided by its prediction.",
            ["kind"],
            RATIO_BUCKETS,
        ),
        waiting: new Gauge({ name: "endivewell_waiting", help: "Requests that wait for a server.", registers }),
        coldServers: new Gauge({
            name: "endivewell_cold_servers",
            help: "Backend servers whose requests are limited because they count as cold.",
            registers,
        }),
        evacuatedDomains: new Gauge({
            name: "endivewell_evacuated_domains",
            help: "Failure domains that the operator evacuates.",
            registers,
        }),
        rampingServers: new Gauge({
            name: "endivewell_ramping_servers",
            help: "Backend servers that get fewer requests than they have slots, after a start or a failure.",
            registers,
        }),
        storeCalls: counter("endivewell_store_calls_total", "Calls to the store by result.", ["result"]),
        pieces: counter("endivewell_pieces_total", "Pieces of weights received by source.", ["source"]),
        orders: counter("endivewell_orders_total", "Orders to the engine by result.", ["result"]),
        quarantines: counter("endivewell_prompt_quarantines_total", "Changes of prompt quarantines.", ["change"]),
        expose: () => registry.metrics(),
        contentType: registry.contentType,
    };
}

/** Responds with all metrics in the Prometheus text format. */
export async function handleMetricsRequest(metrics: ServingMetrics, response: ServerResponse): Promise<void> {
    const text = await metrics.expose();
    response.writeHead(200, { "content-type": metrics.contentType }).end(text);
}
