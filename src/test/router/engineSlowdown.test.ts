import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { agentPortOf, openPeerSocket } from "../../lib/node/peerMessages.js";
import {
    configurationRow,
    encodeChunk,
    engineParameters,
    type FakeRunner,
    loadedWeights,
    numberedEvents,
    serverRow,
    startFakeRunner,
    streamResponseHead,
} from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, sendCall, startTestRouter } from "./routerHarness.js";

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

const CALL_COUNT = 6;

// Guards against an entry that ignores what agents say of the speed of their engines.
test("requests avoid an engine whose agent reports that it is slow, until it reports that it isn't", async () => {
    const store = await startFakeStore();
    cleanups.push(store.close);
    const peerPort = await findFreePortRange();
    const [plain] = (configurationRow(1) as { services: object[]; }).services;
    store.put("op", "config", configurationRow(1, { services: [{ ...plain, engine: engineParameters("m", 4, 100) }] }));
    const runners: FakeRunner[] = [];
    for (const id of ["i-1", "i-2"]) {
        const runner = await startFakeRunner(request => {
            request.socket.write(`${streamResponseHead(request)}${encodeChunk(numberedEvents(1, 2))}0\r\n\r\n`);
        });
        cleanups.push(runner.close);
        runners.push(runner);
        store.put("servers", id, serverRow(runner.address, loadedWeights("m")));
    }
    const router = await startTestRouter(createVmSettings(store.address, peerPort));
    cleanups.push(router.stop);
    const agent = openPeerSocket("127.0.0.1", agentPortOf(peerPort), peerPort, () => undefined);
    cleanups.push(agent.close);
    await sleep(100);

    async function countCalls(slowIndex: number): Promise<number[]> {
        for (const [index, { address }] of runners.entries()) {
            agent.send({
                kind: "agent",
                backendAddress: address,
                startedAt: 1,
                model: "m",
                version: 1,
                isLoading: false,
                slowdown: index === slowIndex ? 5 : 1,
            }, ["127.0.0.1"]);
        }
        await sleep(50);
        const before = runners.map(({ requests }) => requests.length);
        for (let count = 0; count < CALL_COUNT; count++) {
            const headers = { "token-usage": "50,10" };
            const { status } = await sendCall(router.callerPort, {
                path: "/talk/",
                method: "POST",
                body: "x",
                headers,
            });
            assert.equal(status, 200);
        }
        return runners.map(({ requests }, index) => requests.length - (before[index] ?? 0));
    }

    assert.deepEqual(await countCalls(0), [0, CALL_COUNT]);
    assert.deepEqual(await countCalls(1), [CALL_COUNT, 0]);

    const metrics = await fetch(`http://127.0.0.1:${peerPort}/metrics`);
    assert.match(await metrics.text(), new RegExp(`endivewell_prediction_ratio_count.* ${2 * CALL_COUNT}$`, "m"));
});
