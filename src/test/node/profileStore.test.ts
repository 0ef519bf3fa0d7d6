import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ObjectStore, TableService, TableWrite, WriteCondition } from "../../lib/clients/index.js";
import { type Configuration, EMPTY_CONFIGURATION, type ProfileChange } from "../../lib/core/index.js";
import { type ChangeResult, createProfileStore, type ProfileStore } from "../../lib/node/profileStore.js";
import { longTestParameters } from "../longTest.js";

const KNOWN_DIGEST = "a".repeat(64);
const OTHER_DIGEST = "b".repeat(64);
const UNKNOWN_DIGEST = "c".repeat(64);
const NAMES = ["desk", "night"];

interface System {
    readonly store: ProfileStore;
    /** Committed rows in order. */
    readonly committed: Configuration[];
    /** Delivers the writes that were delayed and reported as unclear. Each takes effect if its condition holds. */
    readonly deliverLate: () => void;
    readonly faults: { outage: boolean; loseNext: number; rejectNext: number; };
}

/** Creates an in-memory table whose operations yield, so that those of concurrent operators interleave. */
function createSystem(): System {
    const rows = new Map<string, { value: unknown; etag: string; }>();
    const committed: Configuration[] = [];
    const faults = { outage: false, loseNext: 0, rejectNext: 0 };
    const cause = new Error("fault");
    let writes = 0;
    const delayedWrites: (() => void)[] = [];

    function commit(name: string, key: string, value: unknown, condition: WriteCondition): TableWrite {
        const row = rows.get(`${name}/${key}`);
        const isConditionMet = condition.kind === "absent" ? row === undefined : row?.etag === condition.etag;
        if (!isConditionMet) return { kind: "conflict" };
        const etag = `"${++writes}"`;
        rows.set(`${name}/${key}`, { value: structuredClone(value), etag });
        if (name === "configuration") committed.push(structuredClone(value) as Configuration);
        return { kind: "written", etag };
    }

    const table: TableService = {
        read: async (name, key) => {
            await Promise.resolve();
            if (faults.outage) return { kind: "unavailable", cause };
            const row = rows.get(`${name}/${key}`);
            return row === undefined ? { kind: "missing" } : { kind: "found", ...structuredClone(row) };
        },
        write: async (name, key, value, condition) => {
            await Promise.resolve();
            if (faults.outage) return { kind: "unclear", cause };
            if (faults.rejectNext > 0) {
                faults.rejectNext--;
                delayedWrites.push(() => commit(name, key, value, condition));
                return { kind: "unclear", cause };
            }
            const result = commit(name, key, value, condition);
            if (result.kind === "conflict" || faults.loseNext === 0) return result;
            faults.loseNext--;
            return { kind: "unclear", cause };
        },
        remove: async () => ({ kind: "conflict" }),
    };
    const weightStore = { has: async (key: string) => !key.includes(UNKNOWN_DIGEST) } as unknown as ObjectStore;
    // Each reading of the clock advances it by 400 ms, so that retries time out without real waiting.
    let clock = 0;
    const store = createProfileStore({ table, weightStore, now: () => clock += 400, random: () => 0 });
    return { store, committed, faults, deliverLate: () => delayedWrites.splice(0).forEach(deliver => deliver()) };
}

function put(changeId: string, name: string, expectedRevision: number | undefined, extra = {}): ProfileChange {
    const profile = { name, model: changeId, rootDigest: KNOWN_DIGEST, service: "models", ...extra };
    return { changeId, name, action: { kind: "put", profile }, expectedRevision };
}

/** Model of the stateful test: what the operators know. */
interface Model {
    /** Revisions of accepted changes, by change identifier. */
    readonly acceptedRevisions: Map<string, number>;
    /** Latest revision that the operators have seen, by profile. */
    readonly seenRevisions: Map<string, number>;
    /** Changes whose outcome is unknown. */
    readonly unsettled: ProfileChange[];
    nextChangeNumber: number;
}

type Command = fc.AsyncCommand<Model, System>;

function recordResult(model: Model, { committed }: System, change: ProfileChange, result: ChangeResult): void {
    if (result.kind === "accepted") {
        assert.equal(
            model.acceptedRevisions.get(change.changeId) ?? result.revision,
            result.revision,
            "accepted twice",
        );
        model.acceptedRevisions.set(change.changeId, result.revision);
        model.seenRevisions.set(change.name, result.revision);
    }
    const isCommitted = committed.some(({ changes }) => changes.at(-1)?.changeId === change.changeId);
    if (result.kind === "conflict") assert.ok(!isCommitted, "a committed change was reported as a conflict");
    if (result.kind === "conflict") model.seenRevisions.set(change.name, result.current?.revision ?? 0);
    if (result.kind === "unavailable") model.unsettled.push(change);
}

function checkSystem(model: Model, { committed }: System): void {
    committed.forEach((row, index) => assert.equal(row.revision, index + 1, "a commit replaced another unseen"));
    for (const [changeId, revision] of model.acceptedRevisions) {
        assert.deepEqual(committed[revision - 1]?.changes.at(-1), { changeId, revision }, "a lost accepted change");
    }
    const ids = committed.flatMap(row => row.changes.at(-1)?.changeId ?? []);
    assert.equal(new Set(ids).size, ids.length, "a change was committed twice");
}

function command(text: string, act: (model: Model, system: System) => Promise<void> | void): Command {
    return {
        check: () => true,
        run: async (model, system) => {
            await act(model, system);
            checkSystem(model, system);
        },
        toString: () => text,
    };
}

function nextChange(model: Model, name: string): ProfileChange {
    const revision = model.seenRevisions.get(name) ?? 0;
    return put(`change-${model.nextChangeNumber++}`, name, revision === 0 ? undefined : revision);
}

async function send(model: Model, system: System, changes: readonly ProfileChange[]): Promise<void> {
    const results = await Promise.all(changes.map(sent => system.store.apply(sent)));
    changes.forEach((sent, index) => recordResult(model, system, sent, results[index] as ChangeResult));
}

const name = fc.constantFrom(...NAMES);
const commands = [
    name.map(target => command(`change ${target}`, (m, s) => send(m, s, [nextChange(m, target)]))),
    name.map(target => command(`race ${target}`, (m, s) => send(m, s, [1, 2, 3].map(() => nextChange(m, target))))),
    fc.constant(command("resend", (m, s) => send(m, s, m.unsettled.splice(0)))),
    fc.integer({ min: 1, max: 3 }).map(n => command(`lose ${n}`, (_, s) => void (s.faults.loseNext = n))),
    fc.integer({ min: 1, max: 3 }).map(n => command(`reject ${n}`, (_, s) => void (s.faults.rejectNext = n))),
    fc.constant(command("deliver late", (_, s) => s.deliverLate())),
    fc.boolean().map(on => command(`outage ${on}`, (_, s) => void (s.faults.outage = on))),
];

// Guards against lost, duplicated or silently overwritten changes when responses are lost and operators race.
test("every accepted change is committed exactly once, in the order of revisions", async () => {
    await fc.assert(
        fc.asyncProperty(fc.commands(commands, { maxCommands: 40, size: "max" }), async sequence => {
            const setup = () => ({
                model: {
                    acceptedRevisions: new Map(),
                    seenRevisions: new Map(),
                    unsettled: [],
                    nextChangeNumber: 0,
                } as Model,
                real: createSystem(),
            });
            await fc.asyncModelRun(setup, sequence);
        }),
        longTestParameters({ seed: 7, numRuns: 200 }),
    );
});

// Guards against reporting `mayHaveRun` for a change that was never sent, and `notRun` for one that may have been.
test("an outage before the write is notRun; an unknown write is mayHaveRun and can be sent again", async () => {
    const { faults, store } = createSystem();
    faults.outage = true;
    const refused = await store.apply(put("c1", "desk", undefined));
    assert.ok(refused.kind === "unavailable" && !refused.mayHaveRun);
    faults.outage = false;
    faults.rejectNext = 1000;
    const unclear = await store.apply(put("c1", "desk", undefined));
    assert.ok(unclear.kind === "unavailable" && unclear.mayHaveRun);
    faults.rejectNext = 0;
    assert.equal((await store.apply(put("c1", "desk", undefined))).kind, "accepted");
});

// Guards against accepting a change that the system can't serve: an unpublished version, floors of more than 100 % or
// the retirement of a profile in use.
test("changes are refused with reasons", async () => {
    const { committed, store } = createSystem();
    const pathsOf = async (sent: ProfileChange) => {
        const result = await store.apply(sent);
        return result.kind === "invalid" ? result.problems.map(({ path }) => path) : result.kind;
    };
    assert.deepEqual(await pathsOf(put("c1", "desk", undefined, { rootDigest: UNKNOWN_DIGEST })), ["rootDigest"]);
    const floors = { urgent: 0.6, standard: 0.3, overnight: 0.2 };
    assert.deepEqual(await pathsOf(put("c2", "desk", undefined, { floors })), ["floors"]);
    assert.equal(await pathsOf(put("c3", "desk", undefined)), "accepted");
    assert.deepEqual(await pathsOf(put("c4", "night", undefined, { rootDigest: OTHER_DIGEST })), ["rootDigest"]);
    const retire: ProfileChange = { changeId: "c5", name: "desk", action: { kind: "retire" }, expectedRevision: 1 };
    const refused = await store.apply(retire, { refuseRetire: () => "in use" });
    assert.deepEqual(refused, { kind: "invalid", problems: [{ path: "", reason: "in use" }] });
    const dry = await store.apply({ ...retire, changeId: "c6" }, { dryRun: true });
    assert.deepEqual(dry, { kind: "wouldApply", revision: 2, entry: undefined });
    assert.equal(committed.at(-1)?.revision, 1);
    assert.equal(EMPTY_CONFIGURATION.revision, 0);
});

// Guards against a history that lacks a value that was active, which makes a rollback impossible.
test("the history holds each replaced value, even when responses are lost", async () => {
    const { faults, store } = createSystem();
    for (let index = 1; index <= 4; index++) {
        faults.loseNext = 2;
        const result = await store.apply(put(`c${index}`, "desk", index === 1 ? undefined : index - 1));
        assert.equal(result.kind, "accepted");
    }
    const values = await store.history("desk") ?? [];
    assert.deepEqual(values.map(({ profile, revision }) => [profile.model, revision]), [["c3", 3], ["c2", 2], [
        "c1",
        1,
    ]]);
});

// Guards against an evacuation that is lost, or undone later by a repetition, when the answer of a write is lost.
test("an evacuation whose write has an unknown outcome takes effect once when it is repeated", async () => {
    const { committed, deliverLate, faults, store } = createSystem();
    const change = (changeId: string, evacuated: boolean): ProfileChange => {
        return { changeId, name: "hall-2", action: { kind: "setEvacuated", evacuated }, expectedRevision: "any" };
    };
    faults.loseNext = 1;
    const lost = await store.apply(change("e1", true));
    assert.ok(lost.kind === "accepted" && lost.revision === 1 && lost.retries === 1);
    assert.equal((await store.apply(change("e2", false))).kind, "accepted");
    const repeated = await store.apply(change("e1", true));
    assert.ok(repeated.kind === "accepted" && repeated.revision === 1);
    faults.rejectNext = 1000;
    const unclear = await store.apply(change("e3", true));
    assert.ok(unclear.kind === "unavailable" && unclear.mayHaveRun);
    faults.rejectNext = 0;
    const results = await Promise.all([store.apply(change("e3", true)), store.apply(put("c1", "desk", undefined))]);
    assert.deepEqual(results.map(({ kind }) => kind), ["accepted", "accepted"]);
    deliverLate();
    assert.deepEqual(committed.map(row => row.evacuatedDomains), [["hall-2"], [], ["hall-2"], ["hall-2"]]);
});
