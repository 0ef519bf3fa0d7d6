import assert from "node:assert/strict";
import { test } from "node:test";
import { sendRequest } from "../../lib/clients/index.js";
import { startHttpServer } from "../../lib/fakes/httpServer.js";
import { createRegionLinks, LinkState } from "../../lib/fakes/index.js";

const BODY = Buffer.alloc(300_000, "x");

async function startRelay(bytesPerSecond: number) {
    const server = await startHttpServer(async (_request, response) => void response.end(BODY));
    const links = createRegionLinks({ bytesPerSecond, latencyMs: 3, now: () => performance.now() });
    const port = await links.openRelay("lansi", "etela", "127.0.0.1", server.port);
    return { server, links, url: `http://127.0.0.1:${port}/` };
}

// Guards against relays that don't limit the rate, which would make benchmarks of transfers between regions
// meaningless.
test("transfers through relays share the rate of the link", async () => {
    const { server, links, url } = await startRelay(1_000_000);
    const startedAt = performance.now();
    const responses = await Promise.all([1, 2].map(() => sendRequest({ method: "GET", url })));
    const seconds = (performance.now() - startedAt) / 1000;
    assert.ok(responses.every(response => response.body.equals(BODY)));
    assert.ok(seconds >= 0.5, `600 KB were transferred in ${seconds} s`);
    assert.ok((links.bytesByDirection()["etela>lansi"] ?? 0) >= 600_000);
    links.stop();
    await server.stop();
});

// Guards against a cut link that still lets responses through.
test("a cut link refuses connections or drops bytes", async () => {
    const { server, links, url } = await startRelay(10_000_000);
    links.setState("etela", "lansi", LinkState.refuses);
    await assert.rejects(sendRequest({ method: "GET", url, timeoutMs: 300 }));
    links.setState("etela", "lansi", LinkState.drops);
    await assert.rejects(sendRequest({ method: "GET", url, timeoutMs: 300 }));
    links.setState("etela", "lansi", LinkState.open);
    assert.equal((await sendRequest({ method: "GET", url })).status, 200);
    links.stop();
    await server.stop();
});
