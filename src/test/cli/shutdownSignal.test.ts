import assert from "node:assert/strict";
import { test } from "node:test";
import { waitForShutdownSignal } from "../../lib/cli/shutdownSignal.js";

// Guards against a second SIGTERM that ends a process while it is still draining requests.
test("a further SIGTERM doesn't interrupt a graceful shutdown", async () => {
    const before = process.listenerCount("SIGTERM");
    const signal = waitForShutdownSignal();
    process.emit("SIGTERM");
    await signal;
    assert.equal(process.listenerCount("SIGTERM"), before + 1);
    process.removeAllListeners("SIGTERM");
    process.removeAllListeners("SIGINT");
});
