import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test } from "node:test";
import VError from "verror";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { type PeerClient, PIECE_UNAVAILABLE_STATUS } from "../../lib/stager/peerApi.js";
import { createPieceStore } from "../../lib/stager/pieceStore.js";
import { transferPieces } from "../../lib/stager/pieceTransfer.js";

const PIECE_COUNT = 6;
const pieceOf = (piece: number) => Buffer.alloc(256, `piece ${piece} `);
const digests = Array.from(
    { length: PIECE_COUNT },
    (_, piece) => createHash("sha256").update(pieceOf(piece)).digest("hex"),
);

/**
 * Transfers all pieces from one relay, an origin that has every piece and a peer that has none. Returns the number of
 * requests to each.
 */
async function transferThrough(
    readFromRelay: (piece: number) => Promise<Buffer>,
    { isSuperseded = false, isRelayLate = false } = {},
) {
    const requests = { relay: 0, origin: 0, peerStates: 0 };
    const pieceStore = createPieceStore("m");
    const held = pieceStore.open({ version: 2, digests });
    const client: PeerClient = {
        readManifest: () => Promise.reject(new Error("not used")),
        readState: () => Promise.resolve({ held: [], loaded: 0 }),
        readPiece: (_version, piece) => {
            requests.relay++;
            return readFromRelay(piece);
        },
    };
    const relay = { name: "relay", client, recordFailure: () => undefined };
    await transferPieces({
        self: { name: "agent", region: "r", failureDomain: "a" },
        peers: [{
            name: "peer",
            region: "r",
            failureDomain: "a",
            client: {
                ...client,
                readState: async () => {
                    requests.peerStates++;
                    await new Promise(resolve => setTimeout(resolve, 50));
                    return { held: [], loaded: 0 };
                },
            },
        }],
        relays: isRelayLate ? [] : [relay],
        findRelays: () => Promise.resolve([relay]),
        origin: {
            readManifest: () => Promise.reject(new Error("not used")),
            readPiece: (_model, _version, piece) => {
                requests.origin++;
                return isRelayLate ? Promise.reject(new Error("the origin is down")) : Promise.resolve(pieceOf(piece));
            },
        },
        originRegion: "r",
        pieceStore,
        held,
        signal: AbortSignal.timeout(8000),
        isSuperseded: () => isSuperseded,
        log: createEventLog({ process: "p", role: "agent", now: () => 0, write: () => undefined }),
        metrics: createServingMetrics(),
        now: () => performance.now(),
        random: Math.random,
    });
    assert.ok(held.pieces.every(piece => piece !== undefined));
    return requests;
}

const rejectAsUnavailable = () =>
    Promise.reject(new VError({ info: { status: PIECE_UNAVAILABLE_STATUS } }, "the peer responded with status 503"));

// Guards against agents that all fetch the same last pieces from the origin when it recovers, because their relays
// couldn't get them either during its outage.
test(
    "an agent retries a relay that can't get a piece yet and receives it from there",
    { timeout: 10_000 },
    async () => {
        const recoversAt = performance.now() + 1500;
        const requests = await transferThrough(piece => {
            return piece === 3 && performance.now() < recoversAt ?
                rejectAsUnavailable() :
                Promise.resolve(pieceOf(piece));
        });
        assert.equal(requests.origin, 0);
        assert.ok(performance.now() - recoversAt < 500, `${performance.now() - recoversAt} ms after the recovery`);
    },
);

// Guards against an agent that keeps waiting for a relay that is down.
test("an agent whose relay doesn't respond fetches from the origin", { timeout: 10_000 }, async () => {
    const requests = await transferThrough(() => Promise.reject(new Error("connection refused")));
    assert.equal(requests.origin, PIECE_COUNT);
});

// Guards against agents that ask each other for every new piece while their relays work, which costs each of them more
// processor time than the transfer.
test("an agent with a working relay doesn't ask its peers which pieces they hold", { timeout: 10_000 }, async () => {
    const requests = await transferThrough(async piece => {
        await new Promise(resolve => setTimeout(resolve, 200));
        return pieceOf(piece);
    });
    assert.deepEqual(requests, { relay: PIECE_COUNT, origin: 0, peerStates: 0 });
});

// Guards against an agent that never uses an entry again which wasn't there when the transfer began.
test("an agent finds an entry that comes back during a transfer", { timeout: 10_000 }, async () => {
    const requests = await transferThrough(piece => Promise.resolve(pieceOf(piece)), { isRelayLate: true });
    assert.equal(requests.relay, PIECE_COUNT);
});

const rejectAsWithdrawn = () =>
    Promise.reject(new VError({ info: { status: 410 } }, "the peer responded with status 410"));

// Guards against requests that are repeated without an end for a version that can't be completed any more, and against
// giving up the newest version because of one corrupt status.
test("a transfer ends when its superseded version is withdrawn, and goes on if it is the newest", async () => {
    await assert.rejects(transferThrough(rejectAsWithdrawn, { isSuperseded: true }), /withdrawn/);
    const requests = await transferThrough(rejectAsWithdrawn);
    assert.equal(requests.origin, PIECE_COUNT);
});
