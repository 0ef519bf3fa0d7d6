import assert from "node:assert/strict";
import { test } from "node:test";
import { createCatchUp, isStoreReader, STORE_READER_COUNT } from "../../../lib/core/serving/index.js";

const NAMES = Array.from({ length: 9 }, (_, index) => `entry-${index}`);

const readersOf = (living: readonly string[]) => {
    return living.filter(self => isStoreReader(self, living.filter(name => name !== self)));
};

// Guards against a region whose entries all read each configuration, and against one in which none does after a loss.
test("as many entries of a region read as planned, whichever of them are living", () => {
    for (let lost = 0; lost < NAMES.length; lost++) {
        const living = NAMES.slice(lost);
        assert.equal(readersOf(living).length, Math.min(STORE_READER_COUNT, living.length));
    }
    const readers = readersOf(NAMES);
    const survivors = NAMES.filter(name => name !== readers[0]);
    assert.ok(readersOf(survivors).includes(readers[1] ?? ""));
});

const FAR = { table: "t", revision: 8, isNear: false };
const NEAR = { ...FAR, isNear: true };
const READER = { revision: 5, isComplete: true, isReader: true };
const OTHER = { ...READER, isReader: false };

// Guards against a region whose entries are all behind and keep each other from asking the one neighbour that is ahead.
test("beats of neighbours that are behind too don't put off reading from one that is ahead", () => {
    const catchUp = createCatchUp();
    let dueAt: number | undefined;
    for (let now = 0; dueAt === undefined && now < 3000; now += 100) {
        assert.equal(catchUp.isDue({ ...NEAR, revision: 5 }, READER, now), false);
        if (now % 300 === 0 && catchUp.isDue(FAR, READER, now)) dueAt = now;
    }
    assert.ok(dueAt !== undefined && dueAt <= 700, `due at ${dueAt} ms`);
});

// Guards against reading the same change from the store, from the own region and from another one at once.
test("others follow a near neighbour at once, and readers and far neighbours come later", () => {
    assert.equal(createCatchUp().isDue(NEAR, OTHER, 0), true);
    for (const [theirs, own] of [[FAR, OTHER], [NEAR, READER], [FAR, READER]] as const) {
        const catchUp = createCatchUp();
        assert.equal(catchUp.isDue(theirs, own, 0), false);
        assert.equal(catchUp.isDue(theirs, own, 1000), true);
        assert.equal(catchUp.isDue(theirs, own, 1100), false, "a read is in progress");
        catchUp.finish("t");
        assert.equal(catchUp.isDue(theirs, own, 1200), false, "the next one waits again");
        assert.equal(catchUp.isDue(theirs, own, 2200), true);
    }
});

// Guards against patience that runs out by itself while changes keep arriving in time.
test("a process that keeps up with a stream of changes doesn't read from neighbours", () => {
    const catchUp = createCatchUp();
    for (let revision = 0; revision < 100; revision++) {
        const now = revision * 100;
        assert.equal(catchUp.isDue({ ...NEAR, revision: revision + 3 }, { ...READER, revision }, now), false);
    }
});

// Guards against an entry that has just started and waits although it knows nothing yet.
test("a process without a complete read asks the first neighbour at once", () => {
    assert.equal(createCatchUp().isDue(FAR, { ...READER, revision: 0, isComplete: false }, 0), true);
});
