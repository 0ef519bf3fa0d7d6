import assert from "node:assert/strict";
import { test } from "node:test";
import {
    advanceFetch,
    FetchFailure,
    type FetchProgress,
    ORIGIN,
    pieceOwner,
    pieceSources,
    type RelayEntry,
} from "../../../lib/core/serving/index.js";

const ENTRIES: RelayEntry[] = Array.from({ length: 20 }, (_, index) => ({
    ip: `10.0.0.${index}`,
    region: `region-${index % 5}`,
}));
const ORIGIN_REGION = "region-0";

const optionsOf = (self: RelayEntry, key: string) => ({
    self,
    entries: ENTRIES.filter(({ ip }) => ip !== self.ip),
    originRegion: ORIGIN_REGION,
    key,
});

// Guards against a fleet that loads the origin's narrow link with several copies of the same version.
test("only the owner in the origin's region asks the origin first, and each region has one owner", () => {
    for (let piece = 0; piece < 64; piece++) {
        const key = `2/${piece}`;
        const askingOrigin = ENTRIES.filter(self => pieceSources(optionsOf(self, key))[0] === ORIGIN);
        assert.deepEqual(askingOrigin.map(({ region }) => region), [ORIGIN_REGION]);
        for (const region of new Set(ENTRIES.map(entry => entry.region))) {
            const owners = ENTRIES.filter(entry => entry.region === region).map(self =>
                pieceOwner(optionsOf(self, key))
            );
            assert.equal(new Set(owners).size, 1);
        }
    }
});

/** Returns the sources that a fetch uses in `durationMs` if each request takes 300 ms and fails in the same way. */
function sourcesUsed(self: RelayEntry, failure: FetchFailure, durationMs: number): string[] {
    const sources = pieceSources(optionsOf(self, "2/0"));
    let progress: FetchProgress = { position: 0, sourceSince: 0, startedAt: 0 };
    const used: string[] = [];
    for (let now = 0; now < durationMs; now += 300) {
        used.push(sources[progress.position] ?? "");
        progress = advanceFetch(progress, failure, sources.length, now + 300);
    }
    return used;
}

// Guards against a congestion collapse: pieces that are late because the origin's link is busy were requested from the
// origin by every entry that waited for them, so that a version of 2 MB took 9 to 13 s to reach 144 servers.
test("an entry doesn't turn to the origin while other entries only wait for the piece", () => {
    for (const self of ENTRIES) {
        const used = sourcesUsed(self, FetchFailure.unavailable, 3900);
        const isOwnerInOriginRegion = pieceSources(optionsOf(self, "2/0"))[0] === ORIGIN;
        assert.equal(used.includes(ORIGIN), isOwnerInOriginRegion, used.join());
    }
});

// Guards against a rollout that stops because the owners of its pieces can't be reached or don't get them.
test("the origin is used when no entry responds, and after some seconds in any case", () => {
    for (const self of ENTRIES) {
        assert.ok(sourcesUsed(self, FetchFailure.failed, 2000).includes(ORIGIN));
        assert.ok(sourcesUsed(self, FetchFailure.unavailable, 15_000).includes(ORIGIN));
    }
});
