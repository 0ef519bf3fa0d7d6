import assert from "node:assert/strict";
import * as http from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import { provesNotSent, sendRequest } from "../../lib/clients/index.js";

/** Returns an agent whose connections are never established, as those to a VM without power. */
function createUnconnectedAgent(): http.Agent {
    const agent = new http.Agent();
    return Object.assign(agent, {
        createConnection: () => Object.defineProperty(new Socket(), "connecting", { value: true }),
    });
}

// Guards against a call that waits a second, until TCP repeats its first packet, for a VM that had no power at that
// moment.
test("a call fails once its connection isn't established in time, as not sent", async () => {
    const request = {
        method: "GET",
        url: "http://127.0.0.1:9/",
        timeoutMs: 5000,
        connectTimeoutMs: 200,
        agent: createUnconnectedAgent(),
    };
    const startedAt = performance.now();
    await assert.rejects(sendRequest(request), error => {
        assert.match(String(error), /connecting timed out/);
        return provesNotSent(error);
    });
    assert.ok(performance.now() - startedAt < 1000);
});
