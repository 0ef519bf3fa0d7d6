/**
 * Keeps one relay of pieces for each model that the services of an entry's configuration have, so that what is known of
 * a version of one model is never taken for another model's. The relays share the connections to other entries and to
 * the origin.
 */
import * as http from "node:http";
import { createOriginAccess } from "./originAccess.js";
import { createPieceRelay, type PieceRelay, type PieceRelayOptions } from "./pieceRelay.js";

export interface ModelRelaysOptions extends Omit<PieceRelayOptions, "model" | "connections" | "originAccess"> {
    /** Returns the models of the configured services; empty until a configuration is known. */
    readonly models: () => ReadonlySet<string>;
}

export interface ModelRelays {
    /**
     * Returns the relay of a configured model, or `undefined` for another one. Without a model, returns the only one
     * that is configured, if there is only one.
     */
    find(model: string | undefined): PieceRelay | undefined;
    /** Prefetches a version if its model is configured; see `PieceRelay`. */
    prefetch(model: string, version: number): Promise<void>;
    /** Stops all relays. */
    stop(): void;
}

export function createModelRelays({ models, ...relayOptions }: ModelRelaysOptions): ModelRelays {
    const connections = new http.Agent({ keepAlive: true, maxSockets: 8 });
    const originAccess = createOriginAccess(relayOptions.self.region, relayOptions.entries);
    const relays = new Map<string, PieceRelay>();
    let isStopped = false;

    function find(model: string | undefined): PieceRelay | undefined {
        const configured = models();
        for (const [name, relay] of relays) {
            if (configured.has(name)) continue;
            relay.stop();
            relays.delete(name);
        }
        const name = model ?? (configured.size === 1 ? [...configured][0] : undefined);
        if (isStopped || name === undefined || !configured.has(name)) return undefined;
        const relay = relays.get(name) ?? createPieceRelay({ ...relayOptions, model: name, connections, originAccess });
        relays.set(name, relay);
        return relay;
    }

    return {
        find,
        prefetch: async (model, version) => find(model)?.prefetch(version),
        stop: () => {
            isStopped = true;
            for (const relay of relays.values()) relay.stop();
        },
    };
}
