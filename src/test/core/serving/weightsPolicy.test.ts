import assert from "node:assert/strict";
import { test } from "node:test";
import { createWeightsPolicy } from "../../../lib/core/serving/index.js";

const ALLOWED_MS = 8000;

// Guards against requests that start on outdated weights after a version's deadline, and against a pool that is
// unusable from the moment a version is named.
test("older weights may answer until shortly before the deadline of the new ones", () => {
    const policy = createWeightsPolicy(() => ALLOWED_MS);
    assert.equal(policy.lowestAllowed("m", 0), 1);
    policy.recordNamed("m", 2, true, 1000);
    assert.equal(policy.newest("m"), 2);
    assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS / 2), 1);
    assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS - 500), 2);
    policy.recordNamed("m", 3, true, 5000);
    assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS), 2);
    assert.equal(policy.lowestAllowed("m", 5000 + ALLOWED_MS), 3);
});

// Guards against a request that waits at an engine past the deadline of the new weights and starts on the old ones.
test("a request must have started on older weights before the deadline of the new ones", () => {
    const policy = createWeightsPolicy(() => ALLOWED_MS);
    assert.equal(policy.startDeadline("m", 1), undefined);
    policy.recordNamed("m", 2, true, 1000);
    policy.recordNamed("m", 3, true, 5000);
    const [first, second, newest] = [1, 2, 3].map(version => policy.startDeadline("m", version));
    assert.ok(first !== undefined && first < 1000 + ALLOWED_MS && first > 1000 + ALLOWED_MS - 500);
    assert.ok(second !== undefined && second < 5000 + ALLOWED_MS && second > 5000 + ALLOWED_MS - 500);
    assert.equal(newest, undefined);
});

// Guards against a restarted entry that counts the time to a version's deadline from its own start.
test("a version that may have been named long ago is required at once", () => {
    const policy = createWeightsPolicy(() => ALLOWED_MS);
    policy.recordNamed("m", 4, false, 0);
    assert.equal(policy.lowestAllowed("m", 0), 4);
});

// Guards against an entry that restarts during a rollout and refuses every server that has not switched yet, and
// against one that learned of a version late and lets requests start on older ones past the deadline.
test("the earliest report of a peer decides how long ago a version was named", () => {
    const policies = Array.from({ length: 3 }, () => createWeightsPolicy(() => ALLOWED_MS));
    const [first, late, restarted] = policies;
    assert.ok(first !== undefined && late !== undefined && restarted !== undefined);
    first.recordNamed("m", 2, true, 1000);
    late.recordNamed("m", 2, true, 4000);
    restarted.recordNamed("m", 2, false, 4000);
    assert.equal(restarted.lowestAllowed("m", 4000), 2);
    assert.deepEqual(restarted.recentAges(4000), [], "a restarted entry doesn't know the age");
    for (const age of late.recentAges(4000)) restarted.mergePeerAge(age, 4000);
    assert.equal(restarted.lowestAllowed("m", 4000), 1);
    for (const age of first.recentAges(5000)) {
        late.mergePeerAge(age, 5000);
        restarted.mergePeerAge(age, 5000);
    }
    for (const age of late.recentAges(6000)) first.mergePeerAge({ ...age, ageMs: age.ageMs - 500 }, 6000);
    for (const policy of policies) {
        assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS / 2), 1);
        assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS), 2);
        assert.deepEqual(policy.recentAges(1000 + ALLOWED_MS), []);
    }
});
