import assert from "node:assert/strict";
import * as http from "node:http";
import { type AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { provesNotSent, sendRequest } from "../../lib/clients/index.js";
import { startRunnerThread } from "../platform/runnerThread.js";
import { startFaultProxy } from "../soak/faultProxy.js";

/** Returns an agent whose connections are never established, as those to a VM without power. */
function createUnconnectedAgent(): http.Agent {
    const agent = new http.Agent();
    return Object.assign(agent, {
        createConnection: () => Object.defineProperty(new Socket(), "connecting", { value: true }),
    });
}

// Guards against a call that waits a second, until TCP repeats its first packet, for a VM that had no power at that
// moment.
test("a call fails once its connection isn't established in time, as not sent", async () => {
    const request = {
        method: "GET",
        url: "http://127.0.0.1:9/",
        timeoutMs: 5000,
        connectTimeoutMs: 200,
        agent: createUnconnectedAgent(),
    };
    const startedAt = performance.now();
    await assert.rejects(sendRequest(request), error => {
        assert.match(String(error), /connecting timed out/);
        return provesNotSent(error);
    });
    assert.ok(performance.now() - startedAt < 1000);
});

// Guards against a call that fails after a pause of this process, although its response has arrived.
test("a pause of the process isn't taken for a silent server", async () => {
    const runner = await startRunnerThread({ eventCount: 1, intervalMs: 0, silentAfter: 0, silenceMs: 50 });
    try {
        for (const delayMs of [0, 30]) {
            const sending = sendRequest({
                method: "GET",
                url: `http://${runner.address}/`,
                timeoutMs: 400,
                connectTimeoutMs: 200,
            });
            if (delayMs > 0) await sleep(delayMs);
            setImmediate(() => Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 700));
            assert.equal((await sending).status, 200, `paused after ${delayMs} ms`);
        }
    }
    finally {
        await runner.close();
    }
});

// Guards against idle connections that fell silent together and are tried one after another, each until it times out.
test("after a connection fell silent, the pool's other idle connections to its server aren't used", async () => {
    const server = http.createServer((_request, response) => void response.end("ok"));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const link = await startFaultProxy(() => `127.0.0.1:${port}`);
    const agent = new http.Agent({ keepAlive: true });
    const send = (address: string) => sendRequest({ method: "GET", url: `http://${address}/`, timeoutMs: 400, agent });
    try {
        await Promise.all([link.address, link.address, link.address, `127.0.0.1:${port}`].map(send));
        link.setFault("silence open", performance.now());
        await assert.rejects(send(link.address), /no data received/);
        await send(link.address);
        const idleCounts = Object.values(agent.freeSockets).map(sockets => sockets?.length ?? 0);
        assert.deepEqual(idleCounts, [1, 1], "idle connections to another server were closed too");
    }
    finally {
        agent.destroy();
        link.close();
        server.close();
        server.closeAllConnections();
    }
});
