import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, test } from "node:test";
import type { BackendServer } from "../../lib/core/serving/index.js";
import type { CrashNotification, SurvivalNotification } from "../../lib/node/peerMessages.js";
import { createEventLog, createServingMetrics } from "../../lib/observability/index.js";
import { parseCallerRequest } from "../../lib/platform/index.js";
import { createPromptGuard } from "../../lib/router/promptGuard.js";
import { waitUntil } from "./routerHarness.js";

const listeners: Server[] = [];

afterEach(() => {
    for (const listener of listeners.splice(0)) listener.close();
});

/** Returns the address of a listener; connections to it are refused if `isClosed`. */
async function startListener(isClosed: boolean): Promise<string> {
    const listener = createServer(socket => socket.destroy());
    await new Promise<void>(resolve => listener.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(listener.address() as AddressInfo).port}`;
    if (isClosed) await new Promise(resolve => listener.close(resolve));
    else listeners.push(listener);
    return address;
}

function backendServer(id: string, address: string): BackendServer {
    return {
        id,
        service: "m",
        address,
        failureDomain: "a",
        slots: 4,
        isLeaving: false,
        startedAt: 1,
        remainingWarmupMs: 0,
        weights: undefined,
    };
}

function createTestGuard(servers: readonly BackendServer[], now: () => number = () => performance.now()) {
    const crashed: string[] = [];
    const sent: (CrashNotification | SurvivalNotification)[] = [];
    const self = { name: "entry-1", ip: "127.0.0.1", failureDomain: "a" };
    const guard = createPromptGuard({
        self,
        liveEntries: () => [self],
        weightsVersion: () => 1,
        findServing: id => servers.find(server => server.id === id && !server.isLeaving),
        onCrash: ({ id }) => void crashed.push(id),
        broadcast: message => void sent.push(message),
        send: message => void sent.push(message),
        log: createEventLog({ process: "p", role: "entry", now: () => 0, write: () => undefined }),
        metrics: createServingMetrics(),
        now,
    });
    return { guard, crashed, sent };
}

function crashOf(serverId: string, promptId = 1): CrashNotification {
    const prompts = [{ id: promptId, parts: ["m a"] }];
    return { kind: "crash", ip: "127.0.0.9", serverId, startedAt: 1, ageMs: 0, weightsVersion: 1, prompts };
}

// Guards against an entry whose path to a server is broken and that makes all others avoid the server.
test("a crash that another entry reports is confirmed before it is acted on, once", async () => {
    const reached = backendServer("reached", await startListener(false));
    const refusing = backendServer("refusing", await startListener(true));
    const { guard, crashed } = createTestGuard([reached, refusing]);
    for (let index = 0; index < 3; index++) {
        guard.handleCrash(crashOf("reached"));
        guard.handleCrash(crashOf("refusing"));
        guard.handleCrash(crashOf("unknown"));
    }
    await waitUntil(() => crashed.length > 0);
    await new Promise(resolve => setTimeout(resolve, 100));
    guard.handleCrash(crashOf("refusing"));
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.deepEqual(crashed, ["refusing"]);
});

// Guards against holding the planned end of a server against the requests that it cuts off.
test("only the end of a server that isn't leaving implicates prompts", async () => {
    const address = await startListener(true);
    const leaving = { ...backendServer("leaving", address), isLeaving: true };
    const serving = backendServer("serving", address);
    const { guard, sent } = createTestGuard([leaving, serving]);
    const caller = parseCallerRequest({ "prompt-prefix": "shared:5,own:5" });
    assert.equal(await guard.examineFailure(caller, leaving, true), true);
    assert.equal(await guard.examineFailure(caller, serving, false), true);
    assert.deepEqual(sent, []);
    assert.equal(await guard.examineFailure(caller, serving, true), false);
    assert.deepEqual(sent.map(({ kind }) => kind), ["crash"]);
});

const LONGEST_DATAGRAM_BYTES = 65_507;

const callerWith = (parts: readonly string[], own: string) =>
    parseCallerRequest({ "prompt-prefix": [...parts, own].map(part => `${part}:1`).join() });

/** A prompt of about the largest size that the limit of 16,384 bytes for headers allows. */
const MANY_PARTS = Array.from({ length: 2000 }, (_, index) => `a${index.toString(16)}`);

// Guards against reports of crashes and survivals that are too long for a datagram or leave parts out, so that other
// entries never refuse the part (review/10).
test("the parts of long prompts reach the other entries in messages that fit into a datagram", async () => {
    const address = await startListener(true);
    const servers = ["i-1", "i-2", "i-3"].map(id => backendServer(id, address));
    const { guard, sent } = createTestGuard(servers);
    const { guard: otherGuard, sent: replies } = createTestGuard([]);
    const deadlyParts = [...MANY_PARTS.slice(0, 1000), "deadly", ...MANY_PARTS.slice(1000)];
    for (const [index, server] of servers.entries()) {
        // Crashes within a short time of each other count once.
        await new Promise(resolve => setTimeout(resolve, 60));
        const callers = Array.from({ length: 4 }, (_, count) => callerWith(deadlyParts, `own${index}${count}`));
        await Promise.all(callers.map(caller => guard.examineFailure(caller, server, true)));
        guard.recordSurvival(callerWith(MANY_PARTS, "sound"), "m");
        for (const message of sent.splice(0)) {
            assert.ok(JSON.stringify(message).length < LONGEST_DATAGRAM_BYTES);
            if (message.kind === "crash") otherGuard.handleCrash(message);
            else otherGuard.handleSurvivals(message);
        }
    }
    for (const each of [guard, otherGuard]) {
        assert.equal(each.decide(callerWith(deadlyParts, "next"), "m").kind, "refused");
        assert.equal(each.decide(callerWith(MANY_PARTS, "next"), "m").kind, "allowed");
    }
    assert.ok(replies.every(message => JSON.stringify(message).length < LONGEST_DATAGRAM_BYTES));
});

// Guards against a report that is used up by parts which are known to survive, before it names those that may be the cause.
test("the report of a crash with very many parts names those first that aren't known to survive", async () => {
    const server = backendServer("i-1", await startListener(true));
    const { guard, sent } = createTestGuard([server]);
    const callers = Array.from({ length: 6 }, (_, request) => {
        const parts = Array.from({ length: 2000 }, (__, index) => `${request}a${index}`);
        guard.recordSurvival(callerWith(parts, "sound"), "m");
        return callerWith([...parts, `unknown${request}`], `own${request}`);
    });
    await Promise.all(callers.map(caller => guard.examineFailure(caller, server, true)));
    const reported = new Set(
        sent.flatMap(message => message.kind === "crash" ? message.prompts : [])
            .flatMap(({ parts }) => parts),
    );
    assert.equal(reported.size, 8192);
    assert.ok(callers.every((_, request) => reported.has(`m unknown${request}`)));
});

// Guards against a crash that is never recorded because the last of its messages was lost.
test("a crash whose last message is lost is recorded soon", async () => {
    const { guard } = createTestGuard([]);
    for (let index = 0; index < 3; index++) {
        guard.handleCrash({ ...crashOf(`crashed-${index}`, index), isContinued: true });
        await new Promise(resolve => setTimeout(resolve, 60));
    }
    const caller = callerWith(["a"], "own");
    assert.equal(guard.decide(caller, "m").kind, "allowed");
    await waitUntil(() => guard.decide(caller, "m").kind === "refused");
});

// Guards against a probe that ends without a crash or an answer and is repeated as if it had been lost.
test("a probe that is cancelled at its server counts as sent", () => {
    let at = 0;
    const { guard } = createTestGuard([], () => at);
    for (let index = 0; index < 3; index++) {
        at += 1000;
        guard.handleCrash(crashOf(`crashed-${index}`, index));
    }
    const caller = parseCallerRequest({ "prompt-prefix": "a:5,own:5" });
    assert.equal(guard.decide(caller, "m").kind, "refused");
    at += 31_000;
    assert.equal(guard.begin(caller, "m").kind, "probe");
    guard.endAttempt(caller, "m", true);
    at += 60_000;
    assert.equal(guard.decide(caller, "m").kind, "refused");
    at += 61_000;
    assert.equal(guard.decide(caller, "m").kind, "probe");
});
