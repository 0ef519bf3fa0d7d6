import assert from "node:assert/strict";
import { test } from "node:test";
import { untilSignal } from "../../lib/cli/untilSignal.js";

// Guards against a second SIGTERM that ends a process while it is still draining requests.
test("a further SIGTERM doesn't interrupt a graceful shutdown", async () => {
    const before = process.listenerCount("SIGTERM");
    const signal = untilSignal();
    process.emit("SIGTERM");
    await signal;
    assert.equal(process.listenerCount("SIGTERM"), before + 1);
    process.removeAllListeners("SIGTERM");
    process.removeAllListeners("SIGINT");
});
