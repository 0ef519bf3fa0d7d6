import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { openPeerSocket, type PeerMessage } from "../../lib/node/peerMessages.js";
import {
    configurationRow,
    engineParameters,
    loadedWeights,
    serverRow,
    startFakeRunner,
} from "../platform/fakeRunner.js";
import { startFakeStore } from "../platform/fakeStore.js";
import { formatRequest, openRawCaller } from "./rawCaller.js";
import { createVmSettings, findFreePortRange, startTestRouter, waitUntil } from "./routerHarness.js";

const cleanups: (() => unknown)[] = [];

afterEach(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

const PEER_IP = "127.0.0.2";
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Starts an entry whose only server is owned by an entry that receives reservations and never replies. */
async function startWithSilentOwner() {
    const store = await startFakeStore();
    cleanups.push(() => store.close());
    const peerPort = await findFreePortRange();
    const [plain] = (configurationRow(1) as { services: object[]; }).services;
    const services = [{ ...plain, engine: engineParameters("m", 4, 100) }];
    store.put("op", "config", configurationRow(1, { services }));
    const runner = await startFakeRunner(() => undefined);
    cleanups.push(() => runner.close());
    store.put("servers", "i-1", serverRow(runner.address, { zone: "b", ...loadedWeights("m") }));
    const received: PeerMessage[] = [];
    const peer = openPeerSocket(PEER_IP, peerPort, peerPort, message => void received.push(message));
    const heartbeat: PeerMessage = {
        kind: "entry",
        name: "owner",
        ip: PEER_IP,
        failureDomain: "b",
        newest: {},
        named: [],
        load: {},
        reachesStore: false,
    };
    const timer = setInterval(() => peer.send(heartbeat, ["127.0.0.1"]), 100);
    cleanups.push(() => clearInterval(timer), () => peer.close());
    const regions = new Map([["a", "r"], ["b", "r"]]);
    const router = await startTestRouter(createVmSettings(store.address, peerPort, { regions }));
    cleanups.push(() => router.stop());
    await sleep(500);
    const countReservations = () => received.filter(({ kind }) => kind === "reserve").length;
    return { router, runner, countReservations };
}

// Guards against a request that is sent although its caller left while a slot was reserved, and never cancelled.
test("a request whose caller leaves during its reservation isn't left at a server", async () => {
    const { router, runner, countReservations } = await startWithSilentOwner();
    const caller = await openRawCaller(router.callerPort);
    caller.send(formatRequest({ path: "/talk/", id: "a", body: "x" }));
    await waitUntil(() => countReservations() === 1);
    caller.close();
    await sleep(500);
    assert.equal(runner.requests.length - runner.closedCount(), 0, "requests at the server");
});

// Guards against a request that expires while a slot is reserved and is then neither answered nor cancelled.
test("a request that expires during its reservation is answered", async () => {
    const { router, countReservations } = await startWithSilentOwner();
    const caller = await openRawCaller(router.callerPort);
    cleanups.push(() => caller.close());
    caller.send(formatRequest({ path: "/talk/", id: "a", headers: { "Deadline-Ms": "20" }, body: "x" }));
    await waitUntil(() => countReservations() === 1);
    const result = await Promise.race([caller.nextResponse(), sleep(2000)]);
    assert.equal((result as { status: number; } | undefined)?.status, 503);
});
