import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { readLimitedBody } from "../../lib/node/limitedBody.js";

const MIB = 1024 * 1024;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function usedBytes(): number {
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

function createMessage(): PassThrough & IncomingMessage {
    return Object.assign(new PassThrough(), { headers: {} }) as unknown as PassThrough & IncomingMessage;
}

// Guards against a body in small chunks that takes a hundred times its size in memory and ends the process.
test("a body takes memory for its bytes, not for its chunks", async () => {
    for (const chunkBytes of [1, 8, 64]) {
        const message = createMessage();
        const before = usedBytes();
        const reading = readLimitedBody(message, { maxBytes: 2 * MIB });
        for (let sent = 0; sent < MIB; sent += chunkBytes) {
            if (!message.write(Buffer.alloc(chunkBytes, sent % 251))) {
                await new Promise(resolve => message.once("drain", resolve));
            }
        }
        await new Promise(resolve => setImmediate(resolve));
        const heldBytes = usedBytes() - before;
        assert.ok(heldBytes < 3 * MIB, `chunks of ${chunkBytes} bytes: ${Math.round(heldBytes / MIB)} MiB held`);
        message.end();
        const result = await reading;
        assert.ok(result.kind === "complete" && result.body.length === MIB);
        assert.equal(result.body[10 * chunkBytes], (10 * chunkBytes) % 251);
    }
});
