import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { completeResponse, type ReceivedRequest, serverRow } from "../platform/fakeRunner.js";
import { formatRequest, type RawCaller } from "./rawCaller.js";
import { waitUntil } from "./routerHarness.js";
import { CHANGE_MS, configurationWithRoutes, sleep, startTestEntry, type TestEntry } from "./testEntry.js";

let entry: TestEntry;
const received: ReceivedRequest[] = [];

beforeEach(async () => {
    entry = await startTestEntry({
        // All requests wait for the only slot within their target.
        configuration: configurationWithRoutes(1, { "target-latency-ms": 2500 }),
        server: { slots: 1 },
        respond: request => void received.push(request),
    });
});

afterEach(async () => {
    received.splice(0);
    await entry.close();
});

async function sendFrom(id: string | undefined): Promise<RawCaller> {
    const caller = await entry.openCaller();
    caller.send(formatRequest({ path: "/book/", id, headers: { "Deadline-Ms": "3000" }, body: "x" }));
    return caller;
}

function answerNext(): void {
    const request = received.shift();
    if (request !== undefined) request.socket.end(completeResponse(request, "ok"));
}

const IDS = { "the same id": "same", "no id": undefined } as const;

// Guards against a queued request that is replaced by another one with the same identifier and never answered.
for (const [name, id] of Object.entries(IDS)) {
    test(`requests with ${name} that wait at the same time are all answered`, async () => {
        const first = await sendFrom("first");
        await waitUntil(() => received.length === 1);
        const waiting = [await sendFrom(id), await sendFrom(id)];
        await sleep(100);
        answerNext();
        assert.equal((await first.nextResponse()).status, 200);
        for (let count = 0; count < 2; count++) {
            await waitUntil(() => received.length === 1);
            answerNext();
        }
        const statuses = (await Promise.all(waiting.map(caller => caller.nextResponse()))).map(({ status }) => status);
        assert.deepEqual(statuses, [200, 200]);
    });

    // Guards against a caller that leaves and takes the queued request of another one with it.
    test(`a caller that leaves doesn't cancel the waiting request of another with ${name}`, async () => {
        const first = await sendFrom("first");
        await waitUntil(() => received.length === 1);
        const leaving = await sendFrom(id);
        const staying = await sendFrom(id);
        await sleep(100);
        leaving.close();
        await sleep(100);
        answerNext();
        assert.equal((await first.nextResponse()).status, 200);
        await waitUntil(() => received.length === 1);
        answerNext();
        assert.equal((await staying.nextResponse()).status, 200);
    });

    // Guards against load that stays on a server after requests with the same identifier, which fills its slots for good.
    test(`requests with ${name} leave no load on their server`, async () => {
        entry.store.put("servers", "i-1", serverRow(entry.runner.address, { slots: 3, sequence: 2 }));
        await sleep(CHANGE_MS);
        for (let round = 0; round < 3; round++) {
            const both = [await sendFrom(id), await sendFrom(id)];
            await waitUntil(() => received.length === 2);
            answerNext();
            answerNext();
            for (const caller of both) assert.equal((await caller.nextResponse()).status, 200);
        }
        const last = await sendFrom("last");
        await waitUntil(() => received.length === 1);
        answerNext();
        assert.equal((await last.nextResponse()).status, 200);
    });
}
