import assert from "node:assert/strict";
import { test } from "node:test";
import { createServerHealth, Outcome } from "../../../lib/core/serving/index.js";

// Guards against a server that fails part of its requests and keeps getting its share because its health check passes,
// and against one that gets no requests after it has recovered.
test("a server that often fails is ejected, probed by one request and reinstated", () => {
    const health = createServerHealth();
    let now = 0;
    for (let index = 0; index < 40 && health.isAvailable("s", now); index++, now += 10) {
        health.recordOutcome("s", index % 5 === 0 ? Outcome.success : Outcome.broken, now);
    }
    assert.equal(health.isAvailable("s", now), false);
    now += 10_000;
    assert.equal(health.isAvailable("s", now), true);
    health.recordSend("s", now);
    assert.equal(health.isAvailable("s", now), false, "second request before the probe has a result");
    health.recordOutcome("s", Outcome.success, now);
    assert.equal(health.isAvailable("s", now), true);
    assert.equal(health.isEjected("s"), false);
});

// Guards against ejecting all servers of a service without a model engine, which fail up to 15 of 100 requests in
// normal operation.
test("a server with a normal failure rate isn't ejected", () => {
    const health = createServerHealth();
    for (let index = 0; index < 400; index++) {
        health.recordOutcome("s", index % 7 === 0 ? Outcome.error : Outcome.success, index);
        assert.equal(health.isAvailable("s", index), true);
    }
});

// Guards against a probe request that never ends and keeps a recovered server ejected forever.
test("a lost probe is repeated", () => {
    const health = createServerHealth();
    health.recordOutcome("s", Outcome.unreachable, 0);
    health.recordSend("s", 1000);
    assert.equal(health.isAvailable("s", 1500), false);
    assert.equal(health.isAvailable("s", 10_000), true);
});

// Guards against a server that has lost its weights and is sent one request after the other until the registry shows
// it.
test("consecutive refusals lengthen the backoff, and an answer resets it", () => {
    const health = createServerHealth();
    let now = 0;
    let sends = 0;
    for (; now < 3000; now += 10) {
        if (!health.isAvailable("s", now)) continue;
        sends++;
        health.recordOutcome("s", Outcome.refused, now);
    }
    assert.ok(sends <= 6, `${sends} sends in 3 s`);
    assert.equal(health.failureRate("s"), 0);
    health.recordOutcome("s", Outcome.success, now + 2000);
    health.recordOutcome("s", Outcome.refused, now + 2000);
    assert.equal(health.isAvailable("s", now + 2150), true);
});
