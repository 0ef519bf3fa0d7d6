import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { PROFILE, startPool } from "../../bench/pool.js";
import { BOOKINGS, type Fleet, type FleetProcess, sendToEntry } from "../../harness/index.js";
import { expectedToken } from "../../lib/fakes/index.js";

/** The agents are stopped while each request is at its backend server, or while a stream is in progress. */
const DISPATCH_MS = 500;

/** Longer than it takes to move an attempt to another agent, and to ping the agent in vain. */
const SILENCE_MS = 8000;

interface Sent {
    readonly kind: "keyed" | "unkeyed" | "stream" | "whole";
    readonly status: number;
    readonly body: string;
}

/** Sends one request of each kind. The bookings take 1 s, the answers of the model 1.2 s. */
function sendEachKind({ entries: [entry] }: Fleet, name: string): Promise<Sent>[] {
    assert.ok(entry);
    const book = (reference: string, headers = {}) =>
        sendToEntry(entry, "POST", `/services/${BOOKINGS}/book`, "client-0", { reference }, headers);
    const complete = (stream: boolean) => {
        const body = { model: PROFILE, stream, max_tokens: 60, prompt: "p" };
        return sendToEntry(entry, "POST", "/v1/completions", "client-0", body);
    };
    const requests = {
        keyed: book(`${name} keyed`, { "idempotency-key": name }),
        unkeyed: book(`${name} unkeyed`),
        stream: complete(true),
        whole: complete(false),
    } as const;
    return Object.entries(requests).map(async ([kind, response]) => {
        const { status, body } = await response;
        return { kind: kind as Sent["kind"], status, body: body.toString() };
    });
}

function assertAnswered(sent: readonly Sent[], digest: string): void {
    for (const { kind, status, body } of sent) {
        assert.equal(status, kind === "keyed" || kind === "unkeyed" ? 201 : 200, `${kind}: ${body}`);
        if (kind !== "stream") continue;
        assert.equal(body.split(expectedToken(digest, "p", 59)).length, 2, "the last token arrives once");
        assert.ok(body.endsWith("data: [DONE]\n\n"), body.slice(-200));
    }
}

async function pauseAll(processes: readonly FleetProcess[], pauseMs: number): Promise<void> {
    for (const process of processes) process.signal("SIGSTOP");
    await sleep(pauseMs);
    for (const process of processes) process.signal("SIGCONT");
}

function start(agentCount: number) {
    const engine = { slots: 8, tokensPerSecond: 50 };
    const options = { entries: 1, modelAgentCount: agentCount, bookingAgentCount: agentCount, engine, bookingMs: 1000 };
    return startPool(options, "agentQueues");
}

// Guards against accepted requests that are given up although no other agent can take them over.
test("requests at an agent that is silent for some seconds get their answers when it goes on", async () => {
    const { fleet, rootDigest } = await start(1);
    try {
        const sent = sendEachKind(fleet, "only");
        await sleep(DISPATCH_MS);
        await pauseAll([...fleet.modelAgents, ...fleet.bookingAgents], SILENCE_MS);
        assertAnswered(await Promise.all(sent), rootDigest);
    }
    finally {
        await fleet.stop();
    }
});

// Guards against a call with a key that is moved to an agent that can't run it, because the silent one holds the claim.
test("a call with a key stays at the silent agent that has claimed it", async () => {
    const { fleet } = await start(2);
    try {
        const [entry] = fleet.entries;
        assert.ok(entry);
        const headers = { "idempotency-key": "k" };
        const path = `/services/${BOOKINGS}/book`;
        const sent = sendToEntry(entry, "POST", path, "client-0", { reference: "r" }, headers);
        await sleep(DISPATCH_MS);
        const states = await Promise.all(fleet.bookingAgents.map(agent => fleet.readState(agent)));
        const running = fleet.bookingAgents.filter((_, i) => states[i]?.running === 1);
        assert.equal(running.length, 1);
        await pauseAll(running, SILENCE_MS);
        const response = await sent;
        assert.equal(response.status, 201, response.body.toString());
        assert.deepEqual(JSON.parse(response.body.toString()), { reference: "r", state: "booked", run: 1 });
    }
    finally {
        await fleet.stop();
    }
});

// Guards against requests that are given up or refused, because their entry could not read for some seconds.
test("requests that arrive before and during a pause of their entry get their answers", async () => {
    const { fleet, rootDigest } = await start(2);
    try {
        // Requests on open connections are read first after the pause.
        await Promise.all(Array.from({ length: 5 }, (_, i) => sendEachKind(fleet, `before ${i}`)).flat());
        const early = sendEachKind(fleet, "early");
        await sleep(DISPATCH_MS);
        const isOver = pauseAll(fleet.entries, SILENCE_MS);
        const late = Array.from({ length: 5 }, (_, i) => sendEachKind(fleet, `late ${i}`));
        await isOver;
        assertAnswered(await Promise.all([early, ...late].flat()), rootDigest);
    }
    finally {
        await fleet.stop();
    }
});
