/**
 * TCP proxy on loopback that injects faults: it delays, resets or refuses connections, or drops their bytes in one
 * direction or in both. Open connections can also fall silent for good while new ones work.
 */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export type LinkFault = "none" | "delay" | "reset" | "silent" | "one way" | "refuse" | "silence open";

export interface FaultProxy {
    readonly address: string;
    /**
     * `reset` and `silence open` affect the connections that are open at the time; new ones work. Other faults last until
     * the next call.
     */
    setFault(fault: LinkFault, now: number): void;
    /** Returns `now` during a fault, else the time of the last change; `undefined` if there was none. */
    lastFaultAt(now: number): number | undefined;
    close(): void;
}

const DELAY_MS = 150;

export async function startFaultProxy(target: () => string): Promise<FaultProxy> {
    let fault: LinkFault = "none";
    let lastFaultAt: number | undefined;
    const sockets = new Set<Socket>();
    /** Connections that carry nothing any more, not even their end; each is its two sockets. */
    const silentSockets = new WeakSet<Socket>();
    const server = createServer(client => {
        const [host, port] = target().split(":");
        if (fault === "refuse") {
            client.resetAndDestroy();
            return;
        }
        // The order of the bytes and the way in which a connection ends (FIN or reset) are preserved.
        const upstream = connect({ host: host ?? "", port: Number(port), allowHalfOpen: true });
        for (const [from, to, isForward] of [[client, upstream, true], [upstream, client, false]] as const) {
            sockets.add(from);
            let delivered = Promise.resolve();
            let hasDroppedBytes = false;
            from.on("data", bytes => {
                hasDroppedBytes ||= fault === "silent" || (fault === "one way" && isForward) ||
                    silentSockets.has(from);
                if (hasDroppedBytes) return;
                const delayMs = fault === "delay" ? DELAY_MS : 0;
                delivered = delivered.then(async () => {
                    if (delayMs > 0) await new Promise(resolve => setTimeout(resolve, delayMs));
                    if (!to.destroyed) to.write(bytes);
                });
            });
            from.on("end", () =>
                void delivered.then(() => {
                    if (!hasDroppedBytes && !silentSockets.has(from)) to.end();
                }));
            from.on("error", () => {
                if (!silentSockets.has(from)) to.resetAndDestroy();
            });
            from.on("close", hadError => {
                sockets.delete(from);
                if (silentSockets.has(from) || (!hadError && from.readableEnded)) return;
                void delivered.then(() => to.destroyed || to.resetAndDestroy());
            });
        }
    });
    server.on("connection", socket => socket.setNoDelay(true));
    (server as unknown as { allowHalfOpen: boolean; }).allowHalfOpen = true;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        setFault: (newFault, now) => {
            lastFaultAt = now;
            const affectsOpenOnly = newFault === "reset" || newFault === "silence open";
            fault = affectsOpenOnly ? "none" : newFault;
            if (newFault === "reset") { for (const socket of sockets) socket.resetAndDestroy(); }
            if (newFault === "silence open") { for (const socket of sockets) silentSockets.add(socket); }
        },
        lastFaultAt: now => fault === "none" ? lastFaultAt : now,
        close: () => {
            server.close();
            for (const socket of sockets) socket.destroy();
        },
    };
}
