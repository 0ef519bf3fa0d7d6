/** A loopback proxy that delays, resets, silences or cuts one direction of the connections through it. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

export type LinkTrouble = "none" | "delay" | "reset" | "silent" | "one way" | "refuse";

export interface FaultProxy {
    readonly address: string;
    /** `reset` ends the open connections once and lets new ones pass; the others last until the next call. */
    setTrouble(trouble: LinkTrouble, now: number): void;
    /** Last time at which the link was not sound; `undefined` for never. */
    disturbedAt(now: number): number | undefined;
    close(): void;
}

const DELAY_MS = 150;

export async function startFaultProxy(target: () => string): Promise<FaultProxy> {
    let trouble: LinkTrouble = "none";
    let disturbedAt: number | undefined;
    const sockets = new Set<Socket>();
    const server = createServer(near => {
        const [host, port] = target().split(":");
        if (trouble === "refuse") {
            near.resetAndDestroy();
            return;
        }
        // Both ends keep the order of bytes and the way in which a connection ended.
        const far = connect({ host: host ?? "", port: Number(port), allowHalfOpen: true });
        for (const [from, to, isForward] of [[near, far, true], [far, near, false]] as const) {
            sockets.add(from);
            let delivered = Promise.resolve();
            let hasLost = false;
            from.on("data", piece => {
                hasLost ||= trouble === "silent" || (trouble === "one way" && isForward);
                if (hasLost) return;
                const wait = trouble === "delay" ? DELAY_MS : 0;
                delivered = delivered.then(async () => {
                    if (wait > 0) await new Promise(resolve => setTimeout(resolve, wait));
                    if (!to.destroyed) to.write(piece);
                });
            });
            from.on("end", () =>
                void delivered.then(() => {
                    if (!hasLost) to.end();
                }));
            from.on("error", () => to.resetAndDestroy());
            from.on("close", hadError => {
                sockets.delete(from);
                if (!hadError && from.readableEnded) return;
                void delivered.then(() => to.destroyed || to.resetAndDestroy());
            });
        }
    });
    server.on("connection", socket => socket.setNoDelay(true));
    (server as unknown as { allowHalfOpen: boolean; }).allowHalfOpen = true;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        setTrouble: (next, now) => {
            disturbedAt = now;
            trouble = next === "reset" ? "none" : next;
            if (next === "reset") { for (const socket of sockets) socket.resetAndDestroy(); }
        },
        disturbedAt: now => trouble === "none" ? disturbedAt : now,
        close: () => {
            server.close();
            for (const socket of sockets) socket.destroy();
        },
    };
}
