import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import { createReceiverThrottles } from "../../lib/stager/uploadThrottle.js";

const requestFrom = (remoteAddress: string) =>
    ({ url: "/piece?rate=100", socket: { remoteAddress } }) as unknown as IncomingMessage;

// Guards against a process that keeps a throttle for every address that ever asked for a piece, and against one that
// forgets the rate that a receiver still uses.
test("only receivers that asked recently keep their throttles", () => {
    const throttleFor = createReceiverThrottles();
    const [active, idle] = [throttleFor(requestFrom("10.0.0.1")), throttleFor(requestFrom("10.0.0.2"))];
    for (let index = 0; index < 5000; index++) {
        throttleFor(requestFrom(`10.1.${index >> 8}.${index & 255}`));
        if (index % 100 === 0) assert.equal(throttleFor(requestFrom("10.0.0.1")), active);
    }
    assert.notEqual(throttleFor(requestFrom("10.0.0.2")), idle);
});
