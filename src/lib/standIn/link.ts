/**
 * Stand-in of the links between regions: TCP relays whose traffic shares one rate per pair of regions and
 * direction. A link can be cut in two ways: it refuses connections, or it keeps them and drops the bytes,
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
    /** Rate of each link in each direction. */
    readonly bytesPerSecond: number;
    /** One-way latency between regions. */
    readonly latencyMs: number;
    readonly now: () => number;
}

export interface RegionLinks {
    /**
     * Opens a relay from a region to an address in another region and returns the relay's port. `traffic` names
     * what it carries, so that a fault can spare it.
     */
    relay(from: string, to: string, host: string, port: number, traffic?: RelayTraffic): Promise<number>;
    /** Sets the state of the link between two regions for one kind of traffic or all, in both directions. */
    set(a: string, b: string, state: LinkState, traffic?: RelayTraffic): void;
    /** Bytes carried so far by direction, under keys such as `etela>lansi`. */
    readonly bytes: () => Readonly<Record<string, number>>;
    stop(): void;
}

/** A direction whose backlog is longer than this stops reading from the sender. */
const BACKLOG_MS = 20;

/** Reads of a socket are at most this large. */
const BURST_BYTES = 64 * 1024;

export function createRegionLinks(options: RegionLinksOptions): RegionLinks {
    const buckets = new Map<string, TokenBucket>();
    const carried: Record<string, number> = {};
    const states = new Map<string, LinkState>();
    const servers: Server[] = [];
    const sockets = new Set<Socket>();

    function bucketOf(direction: string): TokenBucket {
        const known = buckets.get(direction);
        if (known !== undefined) return known;
        const created = createTokenBucket({ ratePerSecond: options.bytesPerSecond, burst: BURST_BYTES });
        buckets.set(direction, created);
        return created;
    }

    const stateOf = (a: string, b: string, traffic: RelayTraffic) => {
        return states.get(`${traffic} ${pairOf(a, b)}`) ?? LinkState.open;
    };

    async function relay(
        from: string,
        to: string,
        host: string,
        port: number,
        traffic: RelayTraffic = "vms",
    ): Promise<number> {
        const server = createServer(near => {
            if (stateOf(from, to, traffic) === LinkState.refuses) {
                near.resetAndDestroy();
                return;
            }
            const far = connect(port, host);
            pipe(near, far, from, to, traffic);
            pipe(far, near, to, from, traffic);
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
        let hasLost = false;
        sockets.add(source);
        source.on("data", (piece: Buffer) => {
            if (stateOf(from, to, traffic) !== LinkState.open) {
                hasLost = true;
                return;
            }
            // TCP never delivers a stream with a hole: a connection that lost bytes ends.
            if (hasLost) {
                source.destroy();
                return;
            }
            const now = options.now();
            const wait = bucketOf(direction).reserve(piece.length, now);
            carried[direction] = (carried[direction] ?? 0) + piece.length;
            if (wait > BACKLOG_MS) {
                source.pause();
                setTimeout(() => source.resume(), wait - BACKLOG_MS);
            }
            const arrival = now + wait + options.latencyMs;
            // One chain per direction keeps the bytes in order.
            delivered = delivered.then(async () => {
                const rest = arrival - options.now();
                if (rest > 0) await sleep(rest);
                if (!target.destroyed) target.write(piece);
            });
        });
        source.on("end", () => void delivered.then(() => target.end()));
        source.on("error", () => target.destroy());
        source.on("close", () => {
            sockets.delete(source);
            void delivered.then(() => target.destroy());
        });
    }

    function set(a: string, b: string, state: LinkState, traffic?: RelayTraffic): void {
        for (const kind of traffic === undefined ? ALL_TRAFFIC : [traffic]) {
            states.set(`${kind} ${pairOf(a, b)}`, state);
        }
    }

    function stop(): void {
        for (const server of servers) server.close();
        for (const socket of sockets) socket.destroy();
    }

    return { relay, set, bytes: () => carried, stop };
}

function pairOf(a: string, b: string): string {
    return a < b ? `${a}|${b}` : `${b}|${a}`;
}
