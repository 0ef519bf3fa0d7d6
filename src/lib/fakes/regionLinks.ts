/**
 * Simulates the network links between regions: TCP relays that share one rate limit per pair of regions and
 * direction. A link can be cut in two ways: it refuses connections, or it keeps them and drops their bytes,
 * as a network partition does.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createTokenBucket, type TokenBucket } from "../core/index.js";

export const LinkState = {
    open: "open",
    refuses: "refuses",
    drops: "drops",
} as const;

export type LinkState = (typeof LinkState)[keyof typeof LinkState];

/** Traffic between VMs, or from a VM to the platform. */
export type RelayTraffic = "vms" | "platform";

const ALL_TRAFFIC: readonly RelayTraffic[] = ["vms", "platform"];

export interface RegionLinksOptions {
    /** Rate limit of each link in each direction. */
    readonly bytesPerSecond: number;
    /** One-way latency between regions. */
    readonly latencyMs: number;
    readonly now: () => number;
}

export interface RegionLinks {
    /**
     * Opens a relay from a region to an address in another region and returns the relay's port. `traffic` is the
     * kind of traffic that it carries; `setState` can limit a fault to one kind.
     */
    openRelay(from: string, to: string, host: string, port: number, traffic?: RelayTraffic): Promise<number>;
    /** Sets the state of the link between two regions in both directions, for one kind of traffic or for all. */
    setState(a: string, b: string, state: LinkState, traffic?: RelayTraffic): void;
    /** Total bytes carried per direction, under keys such as `etela>lansi`. */
    readonly bytesByDirection: () => Readonly<Record<string, number>>;
    stop(): void;
}

/** Backlog of a direction above which the relay stops reading from the sender. */
const MAX_BACKLOG_MS = 20;

/** Largest size of a single socket read, used as the burst of the token buckets. */
const MAX_READ_BYTES = 64 * 1024;

export function createRegionLinks(options: RegionLinksOptions): RegionLinks {
    const buckets = new Map<string, TokenBucket>();
    const bytesByDirection: Record<string, number> = {};
    const states = new Map<string, LinkState>();
    const servers: Server[] = [];
    const sockets = new Set<Socket>();

    function getBucket(direction: string): TokenBucket {
        const existing = buckets.get(direction);
        if (existing !== undefined) return existing;
        const created = createTokenBucket({ ratePerSecond: options.bytesPerSecond, burst: MAX_READ_BYTES });
        buckets.set(direction, created);
        return created;
    }

    const getState = (a: string, b: string, traffic: RelayTraffic) => {
        return states.get(`${traffic} ${pairKey(a, b)}`) ?? LinkState.open;
    };

    async function openRelay(
        from: string,
        to: string,
        host: string,
        port: number,
        traffic: RelayTraffic = "vms",
    ): Promise<number> {
        const server = createServer(client => {
            if (getState(from, to, traffic) === LinkState.refuses) {
                client.resetAndDestroy();
                return;
            }
            const upstream = connect(port, host);
            pipe(client, upstream, from, to, traffic);
            pipe(upstream, client, to, from, traffic);
        });
        servers.push(server);
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(0, "127.0.0.1", resolve);
        });
        return (server.address() as AddressInfo).port;
    }

    function pipe(source: Socket, target: Socket, from: string, to: string, traffic: RelayTraffic): void {
        const direction = `${from}>${to}`;
        let delivered = Promise.resolve();
        let hasDroppedBytes = false;
        sockets.add(source);
        source.on("data", (bytes: Buffer) => {
            if (getState(from, to, traffic) !== LinkState.open) {
                hasDroppedBytes = true;
                return;
            }
            // TCP never delivers a stream with missing bytes, so a connection that lost some is closed.
            if (hasDroppedBytes) {
                source.destroy();
                return;
            }
            const now = options.now();
            const waitMs = getBucket(direction).reserve(bytes.length, now);
            bytesByDirection[direction] = (bytesByDirection[direction] ?? 0) + bytes.length;
            if (waitMs > MAX_BACKLOG_MS) {
                source.pause();
                setTimeout(() => source.resume(), waitMs - MAX_BACKLOG_MS);
            }
            const arrival = now + waitMs + options.latencyMs;
            // A single promise chain per direction preserves the order of the bytes.
            delivered = delivered.then(async () => {
                const remainingMs = arrival - options.now();
                if (remainingMs > 0) await sleep(remainingMs);
                if (!target.destroyed) target.write(bytes);
            });
        });
        source.on("end", () => void delivered.then(() => target.end()));
        source.on("error", () => target.destroy());
        source.on("close", () => {
            sockets.delete(source);
            void delivered.then(() => target.destroy());
        });
    }

    function setState(a: string, b: string, state: LinkState, traffic?: RelayTraffic): void {
        for (const kind of traffic === undefined ? ALL_TRAFFIC : [traffic]) {
            states.set(`${kind} ${pairKey(a, b)}`, state);
        }
    }

    function stop(): void {
        for (const server of servers) server.close();
        for (const socket of sockets) socket.destroy();
    }

    return { openRelay, setState, bytesByDirection: () => bytesByDirection, stop };
}

function pairKey(a: string, b: string): string {
    return a < b ? `${a}|${b}` : `${b}|${a}`;
}
