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
    const versionsSent: number[] = [];
    let isRefusing = false;
    let open = 0;
    let mostOpen = 0;
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
        versionsSent.push(version);
        response.end(pieceOf(version, Number(url.searchParams.get("num-items"))));
    });
    server.on("connection", socket => {
        if (isRefusing) {
            socket.resetAndDestroy();
            return;
        }
        mostOpen = Math.max(mostOpen, ++open);
        socket.on("close", () => open--);
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        sent: () => versionsSent.length,
        /** The version of each piece that was sent, in this order. */
        versionsSent,
        /** Connections that are open, and the most that ever were. */
        connections: () => [open, mostOpen] as const,
        setRefusing: (value: boolean) => {
            isRefusing = value;
        },
        server,
    };
}

async function startRelays(
    origin: string,
    regions: Readonly<Record<string, string>>,
    maxConnections = 48,
): Promise<PieceRelay[]> {
    const entryPort = await freePort();
    const all = Object.entries(regions).map(([ip, region]) => ({ ip, region }));
    return Promise.all(all.map(async self => {
        const metrics = createServingMetrics();
        const relay = createPieceRelay({
            self,
            entries: () => all.filter(({ ip }) => ip !== self.ip),
            source: () => ({ address: origin, region: "near", model: "m", maxConnections }),
            entryPort,
            log: createEventLog({ process: self.ip, role: "entry", now: () => 0, write: () => undefined }),
            metrics,
            now: () => performance.now(),
            random: Math.random,
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

// Guards against agents that all turn to the origin because their entry gave up at its first refusal, which takes the
// connections that the entry needs.
test("an entry tries again for a moment when the origin resets its connections", LIMIT, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near" });
    origin.setRefusing(true);
    const manifest = relay?.manifest(2);
    await new Promise(resolve => setTimeout(resolve, 500));
    origin.setRefusing(false);
    assert.equal((await manifest)?.digests.length, PIECES);
    origin.setRefusing(true);
    origin.server.closeAllConnections();
    const piece = relay?.piece(2, 0, 0);
    await new Promise(resolve => setTimeout(resolve, 500));
    origin.setRefusing(false);
    assert.deepEqual(await piece, pieceOf(2, 0));
});

// Guards against an entry that spends all of its time on another one that is silent and never asks the origin.
test("an entry gets a piece from the origin though the entry that should have it is silent", LIMIT, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "near" });
    const [, silent] = servers.slice(-2);
    assert.equal((await relay?.manifest(2))?.digests.length, PIECES);
    silent?.removeAllListeners("request");
    const all = Array.from({ length: PIECES }, (_, piece) => piece);
    const received = await Promise.all(all.map(piece => relay?.piece(2, piece, 0)));
    assert.deepEqual(received, all.map(piece => pieceOf(2, piece)));
});

// Guards against entries that open more connections than the origin accepts from all processes together, and against
// idle ones that hold places for ever.
test("the entries share the origin's connections and leave them soon", LIMIT, async () => {
    const origin = await startOrigin();
    const relays = await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "near" }, 8);
    await Promise.all(relays.map(relay => relay.prefetch(2)));
    await Promise.all(Array.from({ length: PIECES }, (_, piece) => relays[0]?.piece(2, piece, 0)));
    const [, most] = origin.connections();
    assert.ok(most <= 6, `${most} connections`);
    await until(() => origin.connections()[0] === 0);
});

// Guards against a version that is nearly complete when the origin returns and then shares its link with a newer one, so
// that both are late.
test("a version is prefetched to its end before a newer one", LIMIT, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near" });
    origin.setRefusing(true);
    const both = Promise.all([relay?.prefetch(2), relay?.prefetch(3)]);
    await new Promise(resolve => setTimeout(resolve, 300));
    origin.setRefusing(false);
    await both;
    assert.equal(origin.versionsSent.lastIndexOf(2), PIECES - 1);
    assert.equal(origin.sent(), 2 * PIECES);
});

// Guards against a version that nobody needs any more and that keeps the newest one waiting.
test("of several versions named together only the two newest are prefetched", LIMIT, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near" });
    await Promise.all([2, 3, 4].map(version => relay?.prefetch(version)));
    assert.deepEqual([...new Set(origin.versionsSent)], [3, 4]);
});
