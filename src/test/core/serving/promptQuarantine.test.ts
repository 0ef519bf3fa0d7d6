import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createPromptQuarantine,
    type ImplicatedPrompt,
    type PromptQuarantine,
    type SurvivalReport,
} from "../../../lib/core/serving/index.js";

interface TestEntry extends PromptQuarantine {
    readonly quarantined: string[];
    readonly released: string[];
}

function createTestEntry(probePosition = 0): TestEntry {
    const quarantined: string[] = [];
    const released: string[] = [];
    const quarantine = createPromptQuarantine({
        probePosition: () => probePosition,
        onQuarantined: part => void quarantined.push(part),
        onReleased: part => void released.push(part),
    });
    return { ...quarantine, quarantined, released };
}

let promptCount = 0;

function prompt(...parts: string[]): ImplicatedPrompt {
    return { id: ++promptCount, parts };
}

function crash(incarnation: string, ...prompts: ImplicatedPrompt[]) {
    return { incarnation, prompts };
}

/** Quarantines the part `deadly` with three crashes that end at 400. */
function quarantineDeadly(entry: PromptQuarantine): void {
    for (const [index, at] of [0, 200, 400].entries()) {
        entry.recordCrash(crash(`s${index}`, prompt("deadly")), 1, at, at);
    }
}

// Guards against requests of one kind that crash one server after the other, and against refusing sound requests that
// share their other parts.
test("a deadly part is quarantined after few crashes, and the parts it is seen with are not", () => {
    for (const [share, lossRate] of [[0.02, 0], [0.05, 0], [0.1, 0], [0.05, 0.3]] as const) {
        for (let seed = 1; seed <= 20; seed++) {
            const { sendTimes, crashTimes, quarantined } = replay(share, lossRate, seed);
            const message = `share ${share}, loss ${lossRate}, seed ${seed}, crashes at ${crashTimes}`;
            assert.deepEqual(quarantined, ["deadly"], message);
            const boundAt = (crashTimes[4] ?? Number.POSITIVE_INFINITY) + STABILITY_WINDOW_MS;
            assert.ok(sendTimes.filter(at => at > boundAt).length <= MAX_LATE_SENDS, message);
        }
    }
});

/** Requests that may reach servers later than the first time after the fifth crash by their part. */
const STABILITY_WINDOW_MS = 3000;
const MAX_LATE_SENDS = 3;

/**
 * Replays 40 s of 50 requests a second at 12 servers and 4 entries. Each has one of 60 first parts; deadly requests
 * have the most frequent one. A crashed server is back after 3 s. Messages between entries arrive at once or are lost;
 * quarantines are reported every 300 ms.
 */
function replay(share: number, lossRate: number, seed: number) {
    const random = createRandom(seed);
    const arrives = () => random() >= lossRate;
    const entries = Array.from({ length: 4 }, () => createTestEntry());
    const upAt = Array.from({ length: 12 }, () => 0);
    interface Run {
        readonly prompt: ImplicatedPrompt;
        readonly entry: TestEntry;
        readonly server: number;
        readonly writesAt: number;
        readonly isDeadly: boolean;
    }
    let runs: Run[] = [];
    function broadcast(sender: TestEntry, survivals: readonly SurvivalReport[], now: number): void {
        for (const receiver of entries) if (receiver !== sender && arrives()) receiver.mergeSurvivals(survivals, now);
    }
    const sendTimes: number[] = [];
    const crashTimes: number[] = [];
    for (let now = 0; now < 40_000; now += 20) {
        const isDeadly = random() < share;
        const rank = isDeadly ? 0 : Math.floor(60 * random() ** 2);
        const request = prompt(`first${rank}`, ...isDeadly ? ["deadly"] : []);
        const entry = entries[Math.floor(random() * 4)] as TestEntry;
        const upServers = upAt.flatMap((time, server) => time <= now ? [server] : []);
        if (upServers.length > 0 && entry.decide(request.parts, 1, now).kind === "allowed") {
            const server = upServers[Math.floor(random() * upServers.length)] ?? 0;
            if (isDeadly) sendTimes.push(now);
            runs.push({ prompt: request, entry, server, writesAt: now + 80 + 120 * random(), isDeadly });
        }
        const startedRuns = runs.filter(run => run.writesAt <= now);
        runs = runs.filter(run => run.writesAt > now);
        for (const run of startedRuns) {
            // A server that crashed at the same time has ended the run.
            if ((upAt[run.server] ?? 0) > now) continue;
            if (run.isDeadly) {
                crashTimes.push(now);
                const incarnation = `${run.server} ${now}`;
                const ended = [run, ...runs.filter(({ server }) => server === run.server)];
                runs = runs.filter(({ server }) => server !== run.server);
                upAt[run.server] = now + 3000;
                for (const observer of new Set(ended.map(ended => ended.entry))) {
                    const prompts = ended.filter(other => other.entry === observer).map(other => other.prompt);
                    for (const receiver of entries) {
                        if (receiver !== observer && !arrives()) continue;
                        const survivals = receiver.recordCrash(crash(incarnation, ...prompts), 1, now, now);
                        if (receiver === observer) broadcast(receiver, survivals, now);
                        else if (arrives()) observer.mergeSurvivals(survivals, now);
                    }
                }
            }
            else broadcast(run.entry, run.entry.recordSurvival(run.prompt.parts, now), now);
        }
        if (now % 300 !== 0) continue;
        for (const sender of entries) {
            for (const receiver of entries) {
                if (receiver !== sender && arrives()) receiver.mergeReports(sender.reports(now), now);
            }
        }
    }
    return { sendTimes, crashTimes, quarantined: [...new Set(entries.flatMap(entry => entry.quarantined))] };
}

/** Returns a generator of numbers in [0, 1) that only depend on the seed (mulberry32). */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state + 0x6D2B79F5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
}

// Guards against crashes of a quarantined part that are held against the parts it is seen with.
test("crashes by requests with a quarantined part are no evidence against other parts", () => {
    const entry = createTestEntry();
    quarantineDeadly(entry);
    for (let index = 3; index < 12; index++) {
        const at = index * 200;
        entry.recordCrash(crash(`s${index}`, prompt("common", "deadly"), prompt("other")), 1, at, at);
    }
    assert.deepEqual(entry.quarantined, ["deadly"]);
    assert.equal(entry.decide(["common", "other"], 1, 3000).kind, "allowed");
});

// Guards against a survival that the other entries don't hear of, or hear of again and again.
test("only a survival that clears a part is announced", () => {
    const entry = createTestEntry();
    assert.deepEqual(entry.recordSurvival(["sound"], 0), []);
    entry.recordCrash(crash("s0", prompt("sound")), 1, 100, 100);
    assert.deepEqual(entry.recordSurvival(["sound"], 200), [{ part: "sound", ageMs: 0 }]);
    assert.deepEqual(entry.recordSurvival(["sound"], 300), []);
});

// Guards against repeating a deadly request at the next server, and against failing sound requests that a crash interrupted.
test("a request that a crash ended is repeated only if its parts survived before and one crash implicates them", () => {
    const entry = createTestEntry();
    entry.recordSurvival(["sound"], 0);
    entry.recordCrash(crash("s0", prompt("sound"), prompt("new")), 1, 100, 100);
    assert.equal(entry.mayRepeat(["sound"], 100), true);
    assert.equal(entry.mayRepeat(["sound", "new"], 100), false);
    assert.equal(entry.mayRepeat([], 100), true);
    entry.recordCrash(crash("s1", prompt("sound")), 1, 200, 200);
    assert.equal(entry.mayRepeat(["sound"], 200), false);
});

// Guards against a quarantine without an end, and against one request after the other that is sent as a probe.
test("one entry sends one probe at a time, less and less often while they crash servers", () => {
    const entry = createTestEntry();
    const otherEntry = createTestEntry(1);
    quarantineDeadly(entry);
    quarantineDeadly(otherEntry);
    let probeCount = 0;
    for (let now = 400; now < 600_000; now += 100) {
        // Heartbeats have the state of the quarantine.
        otherEntry.mergeReports(entry.reports(now), now);
        assert.equal(otherEntry.decide(["deadly"], 1, now).kind, "refused");
        if (entry.decide(["deadly"], 1, now).kind !== "probe") continue;
        probeCount++;
        entry.startProbe("deadly", now);
        assert.equal(entry.decide(["deadly"], 1, now + 100).kind, "refused", "second probe at the same time");
        entry.recordCrash(crash(`probe${probeCount}`, prompt("other", "deadly")), 1, now + 100, now + 100);
        entry.endProbe("deadly", true, 1, now + 100);
    }
    assert.ok(probeCount >= 2 && probeCount <= 3, `${probeCount} probes in 10 minutes`);
    assert.deepEqual(entry.quarantined, ["deadly"]);
});

// Guards against a quarantine without an end where the first entry in order gets no requests with the part.
test("the next entry probes if the first one doesn't", () => {
    const entries = [createTestEntry(), createTestEntry(1), createTestEntry(2)];
    for (const entry of entries) quarantineDeadly(entry);
    const decisionsAt = (now: number) => entries.map(entry => entry.decide(["deadly"], 1, now).kind);
    assert.deepEqual(decisionsAt(31_000), ["probe", "refused", "refused"]);
    assert.deepEqual(decisionsAt(41_000), ["probe", "probe", "refused"]);
    assert.deepEqual(decisionsAt(51_000), ["probe", "probe", "probe"]);
});

// Guards against a quarantine without an end because of one wrong report.
test("the intervals that another entry reports are limited", () => {
    const entry = createTestEntry();
    const report = { part: "deadly", lastCrashAgeMs: 0, probeInMs: 1e15, intervalMs: 1e15, weightsVersion: 1 };
    entry.mergeReports([report], 0);
    assert.equal(entry.decide(["deadly"], 1, 1000).kind, "refused");
    assert.equal(entry.decide(["deadly"], 1, 2 * 3_600_000).kind, "probe");
});

// Guards against a probe that is lost in a queue or at a full server and keeps a sound part in quarantine.
test("a probe that didn't run or got no result is repeated", () => {
    const entry = createTestEntry();
    quarantineDeadly(entry);
    entry.startProbe("deadly", 31_000);
    entry.endProbe("deadly", false, 1, 31_100);
    assert.equal(entry.decide(["deadly"], 1, 32_000).kind, "probe");
    entry.startProbe("deadly", 32_000);
    assert.equal(entry.decide(["deadly"], 1, 33_000).kind, "refused");
    assert.equal(entry.decide(["deadly"], 1, 43_000).kind, "probe");
});

// Guards against a part that stays in quarantine although the newer weights are sound.
test("newer weights are probed at once, and a survival ends the quarantine at all entries", () => {
    const entry = createTestEntry();
    const otherEntry = createTestEntry();
    quarantineDeadly(entry);
    quarantineDeadly(otherEntry);
    assert.equal(entry.decide(["deadly"], 1, 8000).kind, "refused");
    assert.equal(entry.decide(["deadly"], 2, 8000).kind, "probe");
    entry.startProbe("deadly", 8000);
    otherEntry.mergeSurvivals(entry.recordSurvival(["deadly"], 8200), 8200);
    assert.deepEqual([entry.released, otherEntry.released], [["deadly"], ["deadly"]]);
    assert.equal(otherEntry.decide(["deadly"], 2, 8200).kind, "allowed");
});

// Guards against a probe for each of many versions while the part goes on to crash servers.
test("newer weights are probed a few times only", () => {
    const entry = createTestEntry();
    quarantineDeadly(entry);
    let probeCount = 0;
    for (let now = 1000; now < 60_000; now += 1000) {
        const version = 1 + Math.floor(now / 6000);
        if (entry.decide(["deadly"], version, now).kind !== "probe") continue;
        probeCount++;
        entry.startProbe("deadly", now);
        entry.recordCrash(crash(`probe${probeCount}`, prompt("deadly")), version, now, now);
        entry.endProbe("deadly", true, version, now);
    }
    assert.ok(probeCount >= 1 && probeCount <= 3, `${probeCount} probes in a minute`);
});

// Guards against an entry that missed the messages or has restarted and sends deadly requests on.
test("a quarantine is learned from the report of another entry, and released by a survival that the report misses", () => {
    const entry = createTestEntry();
    const restarted = createTestEntry();
    quarantineDeadly(entry);
    assert.deepEqual(restarted.mergeReports(entry.reports(500), 500), []);
    assert.equal(restarted.decide(["deadly"], 1, 500).kind, "refused");
    restarted.recordSurvival(["deadly"], 600);
    const survivals = restarted.mergeReports(entry.reports(700), 700);
    assert.deepEqual(restarted.reports(700), [], "quarantined again by an old report");
    entry.mergeSurvivals(survivals, 700);
    assert.deepEqual(entry.released, ["deadly"]);
});

// Guards against memory that grows with the parts of all prompts of a day.
test("the state is bounded", () => {
    const entry = createTestEntry();
    const part = "x".repeat(64);
    for (let index = 0; index < 20_000; index++) {
        entry.recordSurvival([`sound ${index} ${part}`], index);
        entry.recordCrash(crash(`s${index}`, prompt(`rare ${index} ${part}`)), 1, index, index);
    }
    assert.equal(
        entry.recordCrash(crash("s", prompt("sound 0"), prompt("sound 19999")), 1, 20_000, 20_000).length,
        0,
    );
    assert.equal(entry.reports(20_000).length, 0);
});

// Guards against quarantining one session after the other while the document that all of them ask about crashes servers
// (review/4), and against refusing the sessions' sound requests.
test("a deadly part that is asked about in sessions is found by the second session", () => {
    const entries = [createTestEntry(), createTestEntry(), createTestEntry()];
    let crashCount = 0;
    const refusedSessions: string[] = [];
    for (let index = 0; index < 30; index++) {
        const session = `session${1 + Math.floor(index / 5)}`;
        const now = index * 700;
        const parts = ["common", "document", session];
        const sender = entries[index % entries.length];
        if (sender?.decide(parts, 1, now).kind === "allowed") {
            crashCount++;
            const recorded = crash(`s${index}`, prompt(...parts));
            for (const entry of entries) entry.recordCrash(recorded, 1, now, now);
        }
        for (const [number, entry] of entries.entries()) {
            const soundParts = ["common", `session${1 + (index + number) % 6}`];
            // Sessions go on without the document after they have asked about it.
            if (Number(soundParts[1]?.slice(7)) > index / 5) continue;
            if (entry.decide(soundParts, 1, now + 100).kind !== "allowed") refusedSessions.push(`${soundParts}`);
            const survivals = entry.recordSurvival(soundParts, now + 200);
            for (const other of entries) if (other !== entry) other.mergeSurvivals(survivals, now + 200);
        }
        for (const entry of entries) entry.mergeReports(sender?.reports(now + 300) ?? [], now + 300);
    }
    assert.equal(crashCount, 4);
    assert.deepEqual(refusedSessions, []);
    for (const entry of entries) assert.deepEqual(entry.reports(21_000).map(({ part }) => part), ["document"]);
});

const SUSPECTS = "document + session";

/** Quarantines two parts together with three crashes that end at 400. */
function quarantineSuspects(entry: PromptQuarantine): void {
    for (const [index, at] of [0, 200, 400].entries()) {
        entry.recordCrash(crash(`s${index}`, prompt("document", "session")), 1, at, at);
    }
}

// Guards against refusing sound requests with one of several suspected parts, and against an entry that doesn't learn
// that they are quarantined together.
test("requests with one of several suspected parts are allowed, at all entries", () => {
    const entry = createTestEntry();
    const otherEntry = createTestEntry();
    quarantineSuspects(entry);
    otherEntry.mergeReports(entry.reports(500), 500);
    for (const { decide, quarantined } of [entry, otherEntry]) {
        assert.deepEqual(quarantined, [SUSPECTS]);
        assert.equal(decide(["common", "document", "session"], 1, 500).kind, "refused");
        assert.equal(decide(["common", "document"], 1, 500).kind, "allowed");
        assert.equal(decide(["common", "session"], 1, 500).kind, "allowed");
    }
});

// Guards against a quarantine that a survival of a sound part ends although the other one crashes servers.
test("a survival of one suspected part leaves the other one in quarantine, at all entries", () => {
    const entry = createTestEntry();
    const otherEntry = createTestEntry();
    quarantineSuspects(entry);
    otherEntry.mergeReports(entry.reports(500), 500);
    const survivals = entry.recordSurvival(["common", "session"], 600);
    assert.deepEqual(survivals.map(({ part }) => part), ["session"]);
    otherEntry.mergeSurvivals(survivals, 600);
    for (const { decide, released } of [entry, otherEntry]) {
        assert.equal(decide(["common", "document"], 1, 700).kind, "refused");
        assert.equal(decide(["common", "session"], 1, 700).kind, "allowed");
        assert.deepEqual(released, []);
    }
    // A late report of the former state changes nothing.
    const [report] = otherEntry.reports(700);
    assert.ok(report !== undefined);
    entry.mergeReports([{ ...report, part: SUSPECTS, parts: ["document", "session"] }], 700);
    assert.deepEqual(entry.reports(700).map(({ part }) => part), ["document"]);
});

// Guards against suspected parts that stay in quarantine although a probe with all of them has survived.
test("a survival of all suspected parts ends their quarantine", () => {
    const entry = createTestEntry();
    quarantineSuspects(entry);
    assert.equal(entry.decide(["document", "session"], 1, 31_000).kind, "probe");
    entry.startProbe(SUSPECTS, 31_000);
    entry.recordSurvival(["document", "session"], 31_500);
    assert.deepEqual(entry.released, [SUSPECTS]);
    assert.deepEqual(entry.reports(31_500), []);
});

// Guards against evidence that is lost with a wrong quarantine, so that the right part needs as many crashes again.
test("crashes that a released part had explained count against other parts", () => {
    const entry = createTestEntry();
    entry.recordCrash(crash("s0", prompt("sound")), 1, 0, 0);
    for (const [index, at] of [200, 400, 600].entries()) {
        entry.recordCrash(crash(`s${1 + index}`, prompt("sound", "deadly")), 1, at, at);
    }
    assert.deepEqual(entry.quarantined, ["sound"]);
    entry.recordSurvival(["sound"], 700);
    assert.deepEqual(entry.released, ["sound"]);
    assert.deepEqual(entry.quarantined, ["sound", "deadly"]);
    assert.equal(entry.decide(["deadly"], 1, 800).kind, "refused");
});

// Guards against heartbeats that don't fit into a datagram, so that other entries take their sender for lost.
test("the reports of quarantines are bounded in size", () => {
    const entry = createTestEntry();
    for (let cause = 0; cause < 40; cause++) {
        const parts = Array.from({ length: cause < 20 ? 31 : 8 }, (_, index) => `${cause}/${index} `.padEnd(80, "x"));
        for (let index = 0; index < 3; index++) {
            const at = cause * 1000 + index * 100;
            entry.recordCrash(crash(`s${at}`, prompt(...parts)), 1, at, at);
        }
    }
    assert.equal(entry.quarantined.length, 40);
    const reports = entry.reports(40_000);
    assert.equal(reports.length, 16);
    assert.ok(JSON.stringify(reports).length < 32_768, `${JSON.stringify(reports).length} bytes`);
});
