import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, test } from "node:test";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { createModelRelays, type ModelRelays } from "../../lib/stager/modelRelays.js";
import { createPieceServer } from "../../lib/stager/peerApi.js";
import type { PieceRelay } from "../../lib/stager/pieceRelay.js";
import { createReceiverThrottles } from "../../lib/stager/uploadThrottle.js";
import { findFreePortRange, waitUntil } from "../router/routerHarness.js";

const PIECE_COUNT = 16;
const MODEL = "m";
const pieceOf = (version: number, piece: number, model = MODEL) => Buffer.alloc(512, `${model} ${version}/${piece} `);

/** Longer than a relay tries its sources one after the other. */
const PIECE_WAIT_MS = 8000;

/** A prefetch is retried until it succeeds, so a fault would otherwise make its test hang. */
const TEST_OPTIONS = { timeout: 10_000 };

const servers: http.Server[] = [];
const startedRelays: ModelRelays[] = [];

afterEach(() => {
    for (const relay of startedRelays.splice(0)) relay.stop();
    for (const server of servers.splice(0)) {
        server.close();
        server.closeAllConnections();
    }
});

interface Manifest {
    readonly model: string;
    readonly version: number;
    readonly digests: readonly string[];
}

async function startOrigin() {
    const versionsSent: number[] = [];
    let isResetting = false;
    let openCount = 0;
    let maxOpenCount = 0;
    /** Corrupts a manifest; `count` is the number of manifests sent before. */
    let corruptManifest = (manifest: Manifest, _count: number) => manifest;
    let manifestCount = 0;
    let withdrawnVersion = 0;
    const server = http.createServer((request, response) => {
        const url = new URL(request.url ?? "/", "http://origin");
        const version = Number(url.searchParams.get("version"));
        const model = decodeURIComponent(url.pathname.split("/").at(-1) ?? "");
        if (url.pathname.startsWith("/-/manifest/")) {
            const digests = Array.from(
                { length: PIECE_COUNT },
                (_, piece) => createHash("sha256").update(pieceOf(version, piece, model)).digest("hex"),
            );
            response.end(JSON.stringify(corruptManifest({ model, version, digests }, manifestCount++)));
            return;
        }
        versionsSent.push(version);
        if (version <= withdrawnVersion) {
            response.writeHead(410).end();
            return;
        }
        response.end(pieceOf(version, Number(url.searchParams.get("num-items")), model));
    });
    server.on("connection", socket => {
        if (isResetting) {
            socket.resetAndDestroy();
            return;
        }
        maxOpenCount = Math.max(maxOpenCount, ++openCount);
        socket.on("close", () => openCount--);
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        sentCount: () => versionsSent.length,
        /** The version of each piece that was sent, in order. */
        versionsSent,
        /** Number of open connections now, and its maximum so far. */
        connections: () => [openCount, maxOpenCount] as const,
        /** From now on, the origin responds with 410 to requests for pieces of this version and earlier ones. */
        withdraw: (version: number) => {
            withdrawnVersion = version;
        },
        setManifestCorruption: (corrupt: typeof corruptManifest) => {
            corruptManifest = corrupt;
        },
        setResetting: (value: boolean) => {
            isResetting = value;
        },
        server,
    };
}

async function startRelays(
    origin: string,
    regions: Readonly<Record<string, string>>,
    maxConnections = 48,
    models = new Set([MODEL]),
): Promise<PieceRelay[]> {
    const entryPort = await findFreePortRange();
    const all = Object.entries(regions).map(([ip, region]) => ({ ip, region }));
    return Promise.all(all.map(async self => {
        const metrics = createServingMetrics();
        const relays = createModelRelays({
            self,
            entries: () => all.filter(({ ip }) => ip !== self.ip),
            models: () => models,
            origin: () => ({ address: origin, region: "near", maxConnections }),
            entryPort,
            log: createEventLog({ process: self.ip, role: "entry", now: () => 0, write: () => undefined }),
            metrics,
            now: () => performance.now(),
            random: Math.random,
        });
        startedRelays.push(relays);
        const server = createPieceServer(relays.find, createReceiverThrottles(), metrics);
        servers.push(server);
        await new Promise<void>(resolve => server.listen(entryPort, self.ip, resolve));
        const relay = relays.find(MODEL);
        assert.ok(relay !== undefined);
        return relay;
    }));
}

const countHeldBy = async (relay: PieceRelay | undefined) => (await relay?.state(2, 0))?.held.length ?? 0;

// Guards against a region that loses its connection during a rollout and lacks the pieces that none of its agents has
// requested yet.
test("a region that is cut off after a version was named has all of its pieces", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const [near, far] = await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "far" });
    await Promise.all([near?.prefetch(2), far?.prefetch(2)]);
    assert.equal(origin.sentCount(), PIECE_COUNT);
    origin.server.close();
    origin.server.closeAllConnections();
    servers[1]?.close();
    servers[1]?.closeAllConnections();
    for (let piece = 0; piece < PIECE_COUNT; piece++) {
        assert.deepEqual(await far?.piece(2, piece, PIECE_WAIT_MS), pieceOf(2, piece));
    }
});

// Guards against entries that each transfer every piece over the link between regions.
test("the entries of a region fetch each piece from another region once", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const relays = await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "far", "127.0.0.4": "far" });
    await Promise.all(relays.map(relay => relay.prefetch(2)));
    const [, firstFarRelay, secondFarRelay] = relays;
    await waitUntil(async () => await countHeldBy(firstFarRelay) + await countHeldBy(secondFarRelay) === PIECE_COUNT);
    assert.equal(origin.sentCount(), PIECE_COUNT);
    for (let piece = 0; piece < PIECE_COUNT; piece++) await firstFarRelay?.piece(2, piece, PIECE_WAIT_MS);
    assert.equal(await countHeldBy(firstFarRelay), PIECE_COUNT);
    assert.equal(origin.sentCount(), PIECE_COUNT);
});

// Guards against an entry that gives up at the first connection reset: its agents would all turn to the origin and take
// the connections that the entry needs.
test("an entry retries for a short time when the origin resets its connections", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near" });
    origin.setResetting(true);
    const manifest = relay?.manifest(2);
    await new Promise(resolve => setTimeout(resolve, 500));
    origin.setResetting(false);
    assert.equal((await manifest)?.digests.length, PIECE_COUNT);
    origin.setResetting(true);
    origin.server.closeAllConnections();
    const piece = relay?.piece(2, 0, PIECE_WAIT_MS);
    await new Promise(resolve => setTimeout(resolve, 500));
    origin.setResetting(false);
    assert.deepEqual(await piece, pieceOf(2, 0));
});

// Guards against an entry that spends its whole timeout on an unresponsive entry and never asks the origin.
test(
    "an entry gets a piece from the origin when the entry that should have it doesn't respond",
    TEST_OPTIONS,
    async () => {
        const origin = await startOrigin();
        const [relay] = await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "near" });
        const [, silent] = servers.slice(-2);
        assert.equal((await relay?.manifest(2))?.digests.length, PIECE_COUNT);
        silent?.removeAllListeners("request");
        const all = Array.from({ length: PIECE_COUNT }, (_, piece) => piece);
        const received = await Promise.all(all.map(piece => relay?.piece(2, piece, PIECE_WAIT_MS)));
        assert.deepEqual(received, all.map(piece => pieceOf(2, piece)));
    },
);

// Guards against entries that together open more connections than the origin accepts, and against idle connections that
// count against its limit indefinitely.
test("the entries share the origin's connections and close idle ones soon", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const relays = await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "near" }, 8);
    await Promise.all(relays.map(relay => relay.prefetch(2)));
    await Promise.all(Array.from({ length: PIECE_COUNT }, (_, piece) => relays[0]?.piece(2, piece, PIECE_WAIT_MS)));
    const [, maxOpenCount] = origin.connections();
    assert.ok(maxOpenCount <= 6, `${maxOpenCount} connections`);
    await waitUntil(() => origin.connections()[0] === 0);
});

// Guards against a nearly complete version that shares the origin's link with a newer one when the origin recovers, so
// that both are late.
test("a version is prefetched completely before a newer one", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near" });
    origin.setResetting(true);
    const both = Promise.all([relay?.prefetch(2), relay?.prefetch(3)]);
    await new Promise(resolve => setTimeout(resolve, 300));
    origin.setResetting(false);
    await both;
    assert.equal(origin.versionsSent.lastIndexOf(2), PIECE_COUNT - 1);
    assert.equal(origin.sentCount(), 2 * PIECE_COUNT);
});

// Guards against an obsolete version that delays the prefetch of the newest one.
test("only the two newest of several versions named together are prefetched", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near" });
    await Promise.all([2, 3, 4].map(version => relay?.prefetch(version)));
    assert.deepEqual([...new Set(origin.versionsSent)], [3, 4]);
});

/** Reads all pieces of a version through a relay and compares them with the sound ones. */
async function assertServesVersion(relay: PieceRelay | undefined, version: number): Promise<void> {
    for (let piece = 0; piece < PIECE_COUNT; piece++) {
        assert.deepEqual(await relay?.piece(version, piece, PIECE_WAIT_MS), pieceOf(version, piece), `piece ${piece}`);
    }
}

// Guards against engines that load the pieces of an older version as the newest one: a corrupt manifest named version 3
// where version 2 was asked for, and its digests were kept for version 3 (review/1).
test("a manifest that names another version than the requested one isn't used", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near" });
    origin.setManifestCorruption((manifest, count) => count === 0 ? { ...manifest, version: 3 } : manifest);
    await relay?.manifest(2);
    const digestOf = (version: number) => createHash("sha256").update(pieceOf(version, 0)).digest("hex");
    assert.equal((await relay?.manifest(3))?.digests[0], digestOf(3));
    assert.equal((await relay?.manifest(2))?.digests[0], digestOf(2));
    await assertServesVersion(relay, 3);
});

const withWrongDigest = (manifest: Manifest): Manifest => ({
    ...manifest,
    digests: manifest.digests.map((digest, index) => index === 5 ? digest.replace(/./g, "0") : digest),
});

// Guards against a region without weights: a manifest with one wrong digest was kept for good, and the piece that it
// belongs to never matched.
test("a manifest with a wrong digest isn't used", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near" });
    origin.setManifestCorruption((manifest, count) => count === 0 ? withWrongDigest(manifest) : manifest);
    await assertServesVersion(relay, 2);
});

// Guards against the same fault if the origin corrupts two manifests alike, or another entry delivers a wrong one.
test("a manifest that a piece contradicts is read again", { timeout: 20_000 }, async () => {
    const origin = await startOrigin();
    const [relay, other] = await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "near" });
    origin.setManifestCorruption((manifest, count) => count < 2 ? withWrongDigest(manifest) : manifest);
    await Promise.all([relay?.manifest(2), other?.manifest(2)]);
    await assertServesVersion(relay, 2);
    await assertServesVersion(other, 2);
});

// Guards against an entry that repeats requests for a version that the origin doesn't have any more, each of which it
// could have used for the newest one.
test("a withdrawn version is requested once for each piece", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const [relay] = await startRelays(origin.address, { "127.0.0.2": "near" });
    await relay?.manifest(2);
    origin.withdraw(2);
    await relay?.prefetch(4);
    await assert.rejects(relay?.piece(2, 0, PIECE_WAIT_MS) ?? Promise.resolve(), /not received/);
    assert.equal(origin.versionsSent.filter(version => version === 2).length, 1);
});

const OTHER_MODEL = "other/model";

// Guards against engines that load the pieces of another model whose version has the same number (review/7), and against
// versions of one model that push out those of another one or end their prefetch.
test("the versions of two models are served apart, whatever their numbers", TEST_OPTIONS, async () => {
    const origin = await startOrigin();
    const models = new Set([MODEL, OTHER_MODEL]);
    await startRelays(origin.address, { "127.0.0.2": "near", "127.0.0.3": "far" }, 48, models);
    const [near, far] = startedRelays;
    await Promise.all([near, far].flatMap(relays => [
        ...[11, 12, 13].map(version => relays?.prefetch(MODEL, version)),
        relays?.prefetch(OTHER_MODEL, 2),
        relays?.prefetch(MODEL, 2),
    ]));
    assert.equal(origin.versionsSent.filter(version => version === 2).length, PIECE_COUNT);
    for (const relays of [near, far]) {
        for (let piece = 0; piece < PIECE_COUNT; piece++) {
            const read = (model: string, version: number) => relays?.find(model)?.piece(version, piece, PIECE_WAIT_MS);
            assert.deepEqual(await read(OTHER_MODEL, 2), pieceOf(2, piece, OTHER_MODEL));
            assert.deepEqual(await read(MODEL, 2), pieceOf(2, piece));
            assert.deepEqual(await read(MODEL, 13), pieceOf(13, piece));
        }
    }
});

// Guards against pieces that are kept for a model which no service has any more, and against a model that is guessed for
// a process of an earlier version.
test(
    "only configured models are served, and a request without a model only if there is one",
    TEST_OPTIONS,
    async () => {
        const origin = await startOrigin();
        const models = new Set([MODEL]);
        await startRelays(origin.address, { "127.0.0.2": "near" }, 48, models);
        const [relays] = startedRelays;
        assert.equal(relays?.find(undefined), relays?.find(MODEL));
        assert.equal(relays?.find(OTHER_MODEL), undefined);
        models.add(OTHER_MODEL);
        assert.equal(relays?.find(undefined), undefined);
        assert.equal(relays?.find(OTHER_MODEL)?.model, OTHER_MODEL);
        models.delete(MODEL);
        assert.equal(relays?.find(MODEL), undefined);
    },
);
