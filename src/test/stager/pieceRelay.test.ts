import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, test } from "node:test";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { createPieceServer } from "../../lib/stager/peerApi.js";
import { createPieceRelay, type PieceRelay } from "../../lib/stager/pieceRelay.js";
import { createReceiverPaces } from "../../lib/stager/uploadPace.js";
import { freePort, until } from "../router/routerHarness.js";

const PIECES = 16;
const pieceOf = (version: number, piece: number) => Buffer.alloc(512, `${version}/${piece} `);

/** A prefetch is repeated until it succeeds, so a fault would make its test wait for ever. */
const LIMIT = { timeout: 10_000 };

const servers: http.Server[] = [];
const started: PieceRelay[] = [];

afterEach(() => {
    for (const relay of started.splice(0)) relay.stop();
    for (const server of servers.splice(0)) {
        server.close();
        server.closeAllConnections();
    }
});

async function startOrigin() {
    let sent = 0;
    const server = http.createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://origin");
        const version = Number(url.searchParams.get("version"));
        if (url.pathname.startsWith("/-/manifest/")) {
            const digests = Array.from(
                { length: PIECES },
                (_, piece) => createHash("sha256").update(pieceOf(version, piece)).digest("hex"),
            );
            response.end(JSON.stringify({ model: "m", version, digests }));
            return;
        }
        sent++;
        response.end(pieceOf(version, Number(url.searchParams.get("num-items"))));
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, sent: () => sent, server };
}

async function startRelays(origin: string, regions: Readonly<Record<string, string>>): Promise<PieceRelay[]> {
    const entryPort = await freePort();
    const all = Object.entries(regions).map(([ip, region]) => ({ ip, region }));
    return Promise.all(all.map(async self => {
        const metrics = createServingMetrics();
        const relay = createPieceRelay({
            self,
            entries: () => all.filter(({ ip }) => ip !== self.ip),
            source: () => ({ address: origin, region: "near", model: "m" }),
            entryPort,
            log: createEventLog({ process: self.ip, role: "entry", now: () => 0, write: () => undefined }),
            metrics,
        });
        started.push(relay);
        const server = createPieceServer(relay, createReceiverPaces(), metrics);
        servers.push(server);
        await new Promise<void>(resolve => server.listen(entryPort, self.ip, resolve));
        return relay;
    }));
}

const heldBy = async (relay: PieceRelay | undefined) => (await relay?.state(2, 0))?.held.length ?? 0;

// Guards against a region that is cut off in the middle of a rollout and lacks the pieces that no agent of it had asked
// for yet.
test("a region that is cut off after a version was named has all of its pieces", LIMIT, async () => {
    const origin = await startOrigin();
    const [near, far] = await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "far" });
    await Promise.all([near?.prefetch(2), far?.prefetch(2)]);
    assert.equal(origin.sent(), PIECES);
    origin.server.close();
    origin.server.closeAllConnections();
    servers[1]?.close();
    servers[1]?.closeAllConnections();
    for (let piece = 0; piece < PIECES; piece++) {
        assert.deepEqual(await far?.piece(2, piece, 0), pieceOf(2, piece));
    }
});

// Guards against a link between regions that carries every piece once for each entry behind it.
test("the entries of a region fetch each piece from another region once", LIMIT, async () => {
    const origin = await startOrigin();
    const relays = await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "far", "127.0.0.4": "far" });
    await Promise.all(relays.map(relay => relay.prefetch(2)));
    const [, one, other] = relays;
    await until(async () => await heldBy(one) + await heldBy(other) === PIECES);
    assert.equal(origin.sent(), PIECES);
    for (let piece = 0; piece < PIECES; piece++) await one?.piece(2, piece, 0);
    assert.equal(await heldBy(one), PIECES);
    assert.equal(origin.sent(), PIECES);
});
