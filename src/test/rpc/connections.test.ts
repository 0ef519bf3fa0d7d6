import type { ClientReadableStream } from "@grpc/grpc-js";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
    type AgentServer,
    AgentState,
    createConnections,
    createCredentials,
    type NodeServer,
    startRpcServer,
} from "../../lib/rpc/index.js";

const HOST = "127.0.0.1";

/** Starts a proxy that can hold up all bytes of its connections and deliver them later. */
async function startProxy(targetPort: number) {
    const sockets = new Set<Socket>();
    const server = createServer(inbound => {
        const outbound = connect(targetPort, HOST);
        for (const socket of [inbound, outbound]) {
            sockets.add(socket);
            socket.on("error", () => undefined);
        }
        inbound.pipe(outbound);
        outbound.pipe(inbound);
    });
    server.listen(0, HOST);
    await once(server, "listening");
    return {
        address: `${HOST}:${(server.address() as AddressInfo).port}`,
        hold: () => sockets.forEach(socket => socket.pause()),
        deliver: () => sockets.forEach(socket => socket.resume()),
        stop: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

async function withStateStream(
    run: (
        stream: ClientReadableStream<AgentState>,
        proxy: Awaited<ReturnType<typeof startProxy>>,
        errors: readonly Error[],
    ) => Promise<void>,
): Promise<void> {
    const credentials = createCredentials(undefined);
    const agent = {
        watchState: call => {
            const timer = setInterval(() => call.write(AgentState.fromPartial({})), 200);
            call.on("close", () => clearInterval(timer));
            call.on("cancelled", () => clearInterval(timer));
        },
    } as Partial<AgentServer> as AgentServer;
    const server = await startRpcServer({ host: HOST, port: 0, credentials, node: {} as NodeServer, agent });
    const proxy = await startProxy(server.port);
    const connections = createConnections(credentials);
    try {
        const stream = connections.agent(proxy.address).watchState({ process: "test", loadIntervalMs: 0 });
        const errors: Error[] = [];
        stream.on("error", error => errors.push(error));
        stream.resume();
        await once(stream, "data");
        await run(stream, proxy, errors);
    }
    finally {
        connections.close();
        proxy.stop();
        await server.stop(0);
    }
}

// Guards against a pause of a process, or a link that stalls, that ends all calls of the connection.
test("a connection survives a silence of 8 s", async () => {
    await withStateStream(async (stream, proxy, errors) => {
        proxy.hold();
        await sleep(8000);
        proxy.deliver();
        await once(stream, "data", { signal: AbortSignal.timeout(2000) });
        await sleep(500);
        assert.deepEqual(errors, []);
    });
});

// Guards against calls that wait without end for a VM without power.
test("the calls of a connection fail once it has been silent for 17 s", async () => {
    await withStateStream(async (_stream, proxy, errors) => {
        proxy.hold();
        await sleep(17_000);
        assert.equal(errors.length, 1);
    });
});
