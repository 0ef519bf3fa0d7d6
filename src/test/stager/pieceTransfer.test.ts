import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { test } from "node:test";
import VError from "verror";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { LACKING_STATUS, type PeerClient } from "../../lib/stager/peerApi.js";
import { createPieceStore } from "../../lib/stager/pieceStore.js";
import { transferPieces } from "../../lib/stager/pieceTransfer.js";

const PIECES = 6;
const pieceOf = (piece: number) => Buffer.alloc(256, `piece ${piece} `);
const digests = Array.from({ length: PIECES }, (_, piece) => createHash("sha256").update(pieceOf(piece)).digest("hex"));

/** Transfers from one relay; the origin has everything. Returns how often each was asked. */
async function transferFrom(readFromRelay: (piece: number) => Promise<Buffer>) {
    const asked = { relay: 0, origin: 0 };
    const pieces = createPieceStore();
    const held = pieces.open("m", { version: 2, digests });
    const client: PeerClient = {
        readManifest: () => Promise.reject(new Error("not used")),
        readState: () => Promise.resolve({ held: [], loaded: 0 }),
        readPiece: (_version, piece) => {
            asked.relay++;
            return readFromRelay(piece);
        },
    };
    await transferPieces({
        self: { name: "agent", region: "r", failureDomain: "a" },
        peers: [],
        relays: [{ name: "relay", client }],
        origin: {
            readManifest: () => Promise.reject(new Error("not used")),
            readPiece: (_model, _version, piece) => {
                asked.origin++;
                return Promise.resolve(pieceOf(piece));
            },
        },
        originRegion: "r",
        pieces,
        held,
        signal: AbortSignal.timeout(8000),
        log: createEventLog({ process: "p", role: "agent", now: () => 0, write: () => undefined }),
        metrics: createServingMetrics(),
        now: () => performance.now(),
        random: Math.random,
    });
    assert.ok(held.pieces.every(piece => piece !== undefined));
    return asked;
}

const lacking = () => Promise.reject(new VError({ info: { status: LACKING_STATUS } }, "the peer answered 503"));

// Guards against agents that all fetch the same last pieces from the origin when it returns, because their relays could
// not get them either while it was away.
test("an agent waits for a relay that lacks a piece and gets it from there", { timeout: 10_000 }, async () => {
    const returnsAt = performance.now() + 1500;
    const asked = await transferFrom(piece => {
        return piece === 3 && performance.now() < returnsAt ? lacking() : Promise.resolve(pieceOf(piece));
    });
    assert.equal(asked.origin, 0);
    assert.ok(performance.now() - returnsAt < 500, `${performance.now() - returnsAt} ms after the return`);
});

// Guards against an agent that waits for a relay that has gone.
test("an agent whose relay doesn't answer goes to the origin", { timeout: 10_000 }, async () => {
    const asked = await transferFrom(() => Promise.reject(new Error("connection refused")));
    assert.equal(asked.origin, PIECES);
});
