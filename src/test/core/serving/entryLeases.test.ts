import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createEntryLeases,
    FORGET_AFTER_MS,
    LEASE_RENEWAL_INTERVAL_MS,
    LEASE_VALID_MS,
} from "../../../lib/core/serving/index.js";
import { longTestParameters } from "../../longTest.js";

const SEED = 51;
const STEP_MS = 10_000;

// Guards against an entry that is forgotten while it may still use its shares of limits, because it was cut off, paused or
// couldn't reach the store for a while.
test("an entry is forgotten only after its own lease has ended", () => {
    const span = fc.record({
        durationMs: fc.integer({ min: 1, max: 4 * FORGET_AFTER_MS }),
        /** Whether the entry reaches the store, and whether the other one hears of it and reads the store. */
        isRenewing: fc.boolean(),
        isHeard: fc.boolean(),
        isRead: fc.boolean(),
    });
    let forgottenCount = 0;
    fc.assert(
        fc.property(fc.array(span, { minLength: 1, maxLength: 12 }), spans => {
            const leases = createEntryLeases();
            let revision = 1;
            let renewedAt = 0;
            let readAt = Number.NEGATIVE_INFINITY;
            let heardAt: number | undefined;
            let now = 0;
            for (const { durationMs, isRenewing, isHeard, isRead } of spans) {
                for (const end = now + durationMs; now < end; now += STEP_MS) {
                    if (isRenewing && now - renewedAt >= LEASE_RENEWAL_INTERVAL_MS) {
                        revision++;
                        renewedAt = now;
                    }
                    if (isHeard) heardAt = now;
                    if (!isRead || now - readAt < LEASE_RENEWAL_INTERVAL_MS) continue;
                    readAt = now;
                    const row = { name: "e", position: { epoch: 0, revision }, isRenewed: true };
                    if (leases.findGone([row], () => heardAt, now).length === 0) continue;
                    forgottenCount++;
                    assert.ok(now - renewedAt >= LEASE_VALID_MS, `renewed ${now - renewedAt} ms before`);
                }
            }
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
    assert.ok(forgottenCount > 0);
});
