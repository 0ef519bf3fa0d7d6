import assert from "node:assert/strict";
import { afterEach, beforeEach, test } from "node:test";
import { agentPortOf, openPeerSocket, type PeerMessage, type PeerSocket } from "../../lib/node/peerMessages.js";
import { createEventLog } from "../../lib/observability/index.js";
import { createPlatformStore } from "../../lib/platform/index.js";
import { type Stager, startStager } from "../../lib/stager/index.js";
import { configurationRow, engineParameters, serverRow } from "../platform/fakeRunner.js";
import { type FakeStore, startFakeStore } from "../platform/fakeStore.js";
import { createVmSettings, findFreePortRange, waitUntil } from "../router/routerHarness.js";
import {
    digestOf,
    type Manifest,
    MODEL,
    PIECE_BYTES,
    PIECE_COUNT,
    pieceOf,
    startTestEngine,
    type TestEngine,
} from "./testEngine.js";

let store: FakeStore;
let engine: TestEngine;
let stager: Stager;
let entryPort: number;
let entrySocket: PeerSocket;
const messagesToEntry: PeerMessage[] = [];

beforeEach(async () => {
    store = await startFakeStore();
    engine = await startTestEngine();
    putConfiguration(1, MODEL);
    store.put("servers", "i-1", serverRow(engine.address, { service: "llm" }));
    entryPort = await findFreePortRange();
    messagesToEntry.length = 0;
    entrySocket = openPeerSocket("127.0.0.1", entryPort, entryPort, message => messagesToEntry.push(message));
    stager = await startTestStager();
});

function startTestStager(): Promise<Stager> {
    const settings = createVmSettings(store.address, entryPort, {
        backendAddress: engine.address,
        backendService: "llm",
        seeds: ["127.0.0.1"],
    });
    const log = createEventLog({
        process: "agent",
        role: "agent",
        now: () => performance.now(),
        write: () => undefined,
    });
    return startStager(settings, createPlatformStore(store.address), log);
}

afterEach(() => {
    entrySocket.close();
    stager.stop();
    engine.close();
    store.close();
});

/** Puts a configuration that gives the engine's service the model. */
function putConfiguration(version: number, model: string): void {
    const parameters = engineParameters(model, PIECE_COUNT, PIECE_BYTES);
    const services = [
        { name: "llm", "health-path": "/h", "max-connections": 10, engine: parameters },
        { name: "weights", origin: engine.address, zone: "a", "max-connections": 10 },
    ];
    store.put("op", "config", configurationRow(version, { services }));
}

const assertLoaded = (version: number) => engine.assertLoaded(version);

/**
 * Names versions in the store and tells the agent about them as an entry does. First gives the agent time to read the
 * versions named before its start, because versions named since are treated differently.
 */
async function nameVersions(...versions: number[]): Promise<void> {
    await new Promise(resolve => setTimeout(resolve, 200));
    for (const version of versions) {
        store.put("op", `version/${MODEL}`, { model: MODEL, version });
        sendNamedVersion(version);
    }
}

function sendNamedVersion(version: number): void {
    entrySocket.send({ kind: "weights", model: MODEL, version }, ["127.0.0.1"], agentPortOf(entryPort));
}

// Guards against loading pieces that arrived corrupt: this origin corrupts every third one.
test("a named version is loaded completely although the origin corrupts pieces", async () => {
    await nameVersions(2);
    await waitUntil(() => engine.state.version === 2);
    assertLoaded(2);
});

// Guards against an engine that stays empty after a crash, and against loading pieces that were corrupted or lost after
// they had been staged.
test("an engine that lost its weights is loaded again from repaired pieces", async () => {
    await nameVersions(2);
    await waitUntil(() => engine.state.version === 2);
    const { orders } = engine.state;
    engine.staged.set(3, Buffer.from("bad"));
    engine.staged.delete(5);
    engine.state.version = 0;
    engine.state.startedAt = 2;
    await waitUntil(() => engine.state.orders > orders);
    assertLoaded(2);
});

// Guards against an engine that goes on with the weights of its service's earlier model, because their version isn't lower
// than that of the new one.
test("a service that gets another model loads that model's weights", async () => {
    await nameVersions(3);
    await waitUntil(() => engine.state.version === 3);
    putConfiguration(2, "other");
    store.put("op", "version/other", { model: "other", version: 2 });
    // An agent that runs reads the configuration once a minute.
    stager.stop();
    stager = await startTestStager();
    await waitUntil(() => engine.state.model === "other");
    engine.assertLoaded(2, "other");
});

// Guards against a rollout that stops for good: an agent had decided to finish version 2 first, whose pieces the origin
// didn't have any more, and repeated its requests without an end (review/2).
test("a version that the origin withdraws during its transfer doesn't hold up a newer one", async () => {
    engine.state.pieceStatus = version => version === 2 ? 503 : 200;
    await nameVersions(2);
    await waitUntil(() => engine.state.requestedVersions.includes(2));
    await nameVersions(3);
    engine.state.pieceStatus = version => version <= 2 ? 410 : 200;
    await nameVersions(4);
    await waitUntil(() => engine.state.version === 4);
    assertLoaded(4);
});

// Guards against an agent that considers the three newest versions only, so that it loads none while their pieces don't
// arrive, although it holds an earlier one.
test("a complete version is loaded although several newer ones don't arrive", async () => {
    engine.state.isCorruptingPieces = false;
    await nameVersions(2);
    const stateUrl = `http://127.0.0.1:${agentPortOf(entryPort)}/state?version=2&known=${PIECE_COUNT - 1}`;
    const countHeld = async () => (await (await fetch(stateUrl)).json() as { held: number[]; }).held.length;
    await waitUntil(async () => await countHeld() === PIECE_COUNT);
    engine.state.pieceStatus = () => 503;
    await nameVersions(3, 4, 5, 6);
    assert.equal(engine.state.version, 1);
    await waitUntil(() => engine.state.version === 2);
    assertLoaded(2);
});

/** Returns a corruption of the first manifest only. */
function corruptOnce(corrupt: (manifest: Manifest) => Manifest): (manifest: Manifest) => Manifest {
    let isDone = false;
    return manifest => {
        if (isDone) return manifest;
        isDone = true;
        return corrupt(manifest);
    };
}

// Guards against an engine that loads the pieces of version 2 under the name of version 3: the manifest of version 2
// arrived with a wrong version number, and its digests were kept for version 3 (review/1).
test("a manifest that names another version than the requested one isn't used", async () => {
    engine.state.corruptManifest = corruptOnce(manifest => ({ ...manifest, version: 3 }));
    await nameVersions(2);
    await waitUntil(() => engine.state.version === 2);
    assertLoaded(2);
    await nameVersions(3);
    await waitUntil(() => engine.state.version === 3);
    assertLoaded(3);
});

// Guards against an engine that never gets a version because its manifest arrived with one wrong digest.
test("a manifest with a wrong digest isn't used", async () => {
    engine.state.corruptManifest = corruptOnce(manifest => {
        return { ...manifest, digests: manifest.digests.with(2, digestOf(Buffer.from("corrupt"))) };
    });
    await nameVersions(2);
    await waitUntil(() => engine.state.version === 2);
    assertLoaded(2);
});

// Guards against an agent that stops at a version that was superseded while it was being fetched.
test("the newest of several versions named in quick succession is loaded", async () => {
    await nameVersions(2, 3, 4);
    await waitUntil(() => engine.state.version === 4);
    assertLoaded(4);
});

// Guards against a rollout that depends on the store although the entries can tell the agents.
test("an agent whose store doesn't respond learns from an entry which weights are named", async () => {
    await nameVersions(2);
    await waitUntil(() => engine.state.version === 2);
    store.setFault("silent");
    sendNamedVersion(3);
    await waitUntil(() => engine.state.version === 3);
    assertLoaded(3);
});

// Guards against a stopped agent that starts a failed transfer again and again, so that its process never ends; a test
// file in which a test failed during a transfer didn't end within 10 minutes.
test("an agent that is stopped during a transfer makes no further calls", async () => {
    await nameVersions(2);
    await waitUntil(() => engine.state.version === 2);
    engine.close();
    sendNamedVersion(3);
    await new Promise(resolve => setTimeout(resolve, 600));
    stager.stop();
    const countCalls = () => [...store.calls.values()].reduce((sum, count) => sum + count, 0);
    await new Promise(resolve => setTimeout(resolve, 200));
    const callsAtStop = countCalls();
    await new Promise(resolve => setTimeout(resolve, 1500));
    assert.equal(countCalls(), callsAtStop);
});

// Guards against entries that send a slow engine as much as a fast one: only its agent reads how slow it is at no cost.
test("an agent tells entries at once that its engine has become slow", async () => {
    const slowdowns = () => messagesToEntry.flatMap(message => message.kind === "agent" ? [message.slowdown] : []);
    await waitUntil(() => slowdowns().includes(1));
    engine.state.pace = 2.5;
    const changedAt = Date.now();
    await waitUntil(() => slowdowns().includes(2.5));
    // Without the change, the next heartbeat is due after 2 s.
    assert.ok(Date.now() - changedAt < 1500);
});

// Guards against pieces that become corrupt after they were staged, while the staging of the others takes seconds.
test("all staged pieces are checked again after the last one was staged", async () => {
    engine.state.beforeStageCall = async (call, piece) => {
        if (call !== "stage-put" || piece !== 3) return;
        engine.state.beforeStageCall = async () => undefined;
        engine.staged.set(0, Buffer.from("corrupt"));
        await new Promise(resolve => setTimeout(resolve, 1800));
    };
    await nameVersions(2);
    await waitUntil(() => engine.state.version === 2);
    assertLoaded(2);
});

// Guards against a check that has expired when the load is ordered, because the agent or the engine stood still.
test("a check that took long is repeated before the order", async () => {
    let wasWritten = false;
    engine.state.beforeStageCall = async (call, piece) => {
        wasWritten ||= call === "stage-put";
        if (call === "stage-put" || !wasWritten || piece !== PIECE_COUNT - 1) return;
        if (engine.staged.get(piece)?.equals(pieceOf(2, piece)) !== true) return;
        engine.state.beforeStageCall = async () => undefined;
        engine.staged.set(0, Buffer.from("corrupt"));
        await new Promise(resolve => setTimeout(resolve, 1800));
    };
    await nameVersions(2);
    await waitUntil(() => engine.state.version === 2);
    assertLoaded(2);
});

const lastAgentHeartbeat = () => messagesToEntry.findLast(message => message.kind === "agent");

// Guards against an engine that serves weights which it may have taken from corrupt pieces, because the order reached it
// late.
test("an engine that may have loaded corrupt pieces gets no requests until it has loaded others", async () => {
    engine.state.beforeOrder = async () => {
        // A repeated order that begins before this one would load sound pieces.
        engine.state.beforeOrder = () => waitUntil(() => engine.state.version === 2);
        await new Promise(resolve => setTimeout(resolve, 2200));
        engine.staged.set(0, Buffer.from("corrupt"));
    };
    await nameVersions(2);
    await waitUntil(() => engine.state.version === 2);
    await waitUntil(() => {
        const heartbeat = lastAgentHeartbeat();
        return heartbeat?.version === 2 && heartbeat.isLoading;
    });
    await new Promise(resolve => setTimeout(resolve, 500));
    assert.equal(lastAgentHeartbeat()?.isLoading, true);
    await nameVersions(3);
    await waitUntil(() => lastAgentHeartbeat()?.version === 3 && lastAgentHeartbeat()?.isLoading === false);
    assertLoaded(3);
});

// Guards against an engine that is kept from requests although its pieces are sound.
test("an engine that was ordered late to load sound pieces serves them", async () => {
    engine.state.beforeOrder = async () => {
        engine.state.beforeOrder = async () => undefined;
        await new Promise(resolve => setTimeout(resolve, 2200));
    };
    await nameVersions(2);
    await waitUntil(() => lastAgentHeartbeat()?.version === 2 && lastAgentHeartbeat()?.isLoading === false);
    assertLoaded(2);
});
