import assert from "node:assert/strict";
import { test } from "node:test";
import { untilSignal } from "../../lib/cli/untilSignal.js";

// Guards against a second SIGTERM that ends a process while it still answers requests.
test("a process that stops in order goes on stopping at a further SIGTERM", async () => {
    const before = process.listenerCount("SIGTERM");
    const signal = untilSignal();
    process.emit("SIGTERM");
    await signal;
    assert.equal(process.listenerCount("SIGTERM"), before + 1);
    process.removeAllListeners("SIGTERM");
    process.removeAllListeners("SIGINT");
});
