import assert from "node:assert/strict";
import { test } from "node:test";
import { createVmList, type Vm } from "../../lib/clients/index.js";
import { sendCompressibleJson, sendJson, startHttpServer } from "../../lib/fakes/httpServer.js";

const VM: Vm = {
    name: "runner-0",
    address: "127.0.0.1:1",
    role: "agent",
    service: "models",
    failureDomain: "etela-1",
    region: "etela",
    state: "live",
};

// Guards against transferring the whole list, which grows with the fleet, when it hasn't changed.
test("an unchanged list is not sent again and stays known", async () => {
    const statuses: number[] = [];
    const server = await startHttpServer(async (request, response) => {
        const unchanged = request.headers["if-none-match"] === "\"1\"";
        statuses.push(unchanged ? 304 : 200);
        if (unchanged) response.writeHead(304).end();
        else sendJson(response, 200, [VM], { etag: "\"1\"" });
    });
    const list = createVmList({ url: server.url, timeoutMs: 1000 });
    assert.deepEqual(await list.read(), [VM]);
    assert.deepEqual(await list.read(), [VM]);
    assert.deepEqual(statuses, [200, 304]);
    await server.stop();
});

// Guards against treating a malformed list as an empty fleet.
test("a malformed list is an error", async () => {
    const server = await startHttpServer(async (_request, response) => sendJson(response, 200, [{ name: "x" }]));
    await assert.rejects(createVmList({ url: server.url, timeoutMs: 1000 }).read());
    await server.stop();
});

// Guards against a compressed list that can't be parsed, and against a list that is sent uncompressed.
test("a long list arrives compressed and complete", async () => {
    const vms = Array.from({ length: 100 }, (_, index) => ({ ...VM, name: `runner-${index}` }));
    const body = Buffer.from(JSON.stringify(vms));
    let sent = 0;
    const server = await startHttpServer(async (request, response) => {
        response.once("finish", () => sent = request.socket.bytesWritten);
        sendCompressibleJson(request, response, body, { etag: "\"1\"" });
    });
    assert.deepEqual(await createVmList({ url: server.url, timeoutMs: 1000 }).read(), vms);
    assert.ok(sent < body.length / 4, `${sent} of ${body.length} bytes were sent`);
    await server.stop();
});
