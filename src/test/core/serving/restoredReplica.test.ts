import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createRowReplica,
    INITIAL_POSITION,
    type Row,
    type RowReplica,
    type StorePosition,
} from "../../../lib/core/serving/index.js";

const KEYS = ["a", "b"];
const REPLICA_COUNT = 3;

/** Value of a row whose versions only rise, as those of the operator. */
const versionOf = (row: Row | undefined) => Number(row?.value ?? 0);

const outlives = (earlier: Row, restored: Row | undefined) => versionOf(earlier) > versionOf(restored);

/** A store that can be restored, and the operator that writes rising versions to it. */
function createRestorableStore() {
    let rows = new Map<string, Row>();
    let position = INITIAL_POSITION;
    let copy = { rows: new Map<string, Row>(), revision: 0 };
    const written = new Map<string, number>();

    function write(key: string): void {
        position = { ...position, revision: position.revision + 1 };
        rows.set(key, { key, ...position, value: String(written.get(key)) });
    }

    return {
        position: () => position,
        rows: () => [...rows.values()],
        put: (key: string) => {
            written.set(key, (written.get(key) ?? 0) + 1);
            write(key);
        },
        /** The operator writes its rows again after a restoration. */
        rewrite: () => {
            for (const key of written.keys()) write(key);
        },
        takeCopy: () => {
            copy = { rows: new Map(rows), revision: position.revision };
        },
        restore: () => {
            const epoch = position.epoch + 1;
            position = { epoch, revision: copy.revision };
            rows = new Map([...copy.rows].map(([key, row]) => [key, { ...row, epoch }]));
            copy = { rows: new Map(rows), revision: position.revision };
        },
    };
}

type RestorableStore = ReturnType<typeof createRestorableStore>;

function readSnapshot(store: RestorableStore, replica: RowReplica): void {
    replica.applySnapshot(store.rows(), store.position());
}

/** Reads the changes as a feed does, which continues only in the epoch of the replica. */
function readFeed(store: RestorableStore, replica: RowReplica): void {
    const { epoch, revision } = replica.newestPosition();
    if (!replica.hasSnapshot() || epoch !== store.position().epoch) readSnapshot(store, replica);
    else replica.apply(store.rows().filter(row => row.revision > revision));
}

function copyFromPeer(sender: RowReplica, receiver: RowReplica): void {
    if (!sender.hasSnapshot()) return;
    const { rows, position, isSnapshot } = sender.changesSince(receiver.newestPosition(), receiver.retainedPosition());
    const needsSnapshot = !receiver.hasSnapshot() || position.epoch > receiver.newestPosition().epoch || isSnapshot;
    if (needsSnapshot) receiver.applySnapshot(rows, position);
    else receiver.apply(rows);
}

const contentOf = (replica: RowReplica) => {
    const { rows } = replica.changesSince({ epoch: -1, revision: 0 });
    return Object.fromEntries(rows.map(row => [row.key, versionOf(row)]));
};

const replicaIndex = fc.nat(REPLICA_COUNT - 1);
const steps = fc.array(
    fc.oneof(
        fc.record({ kind: fc.constant("put"), key: fc.constantFrom(...KEYS) }),
        fc.record({ kind: fc.constantFrom("copy", "restore", "rewrite") }),
        fc.record({ kind: fc.constantFrom("snapshot", "feed"), to: replicaIndex }),
        fc.record({ kind: fc.constant("peer"), from: replicaIndex, to: replicaIndex }),
    ),
    { maxLength: 60, size: "max" },
);

// Guards against a process that goes back to an older value, or stays at one for ever, when the store is restored from
// a copy at any point of the reads, the feeds and the exchange between peers.
test("replicas of a store that is restored never revert, and agree with it once its rows are written again", () => {
    fc.assert(
        fc.property(steps, history => {
            const store = createRestorableStore();
            const replicas = Array.from({ length: REPLICA_COUNT }, () => createRowReplica(outlives));
            const seen = replicas.map(() => new Map<string, number>());
            for (const step of history) {
                const to = "to" in step ? replicas[step.to] : undefined;
                if (step.kind === "put" && "key" in step) store.put(step.key);
                else if (step.kind === "copy") store.takeCopy();
                else if (step.kind === "restore") store.restore();
                else if (step.kind === "rewrite") store.rewrite();
                else if (step.kind === "snapshot" && to !== undefined) readSnapshot(store, to);
                else if (step.kind === "feed" && to !== undefined) readFeed(store, to);
                else if ("from" in step && to !== undefined) copyFromPeer(replicas[step.from] ?? to, to);
                for (const [index, replica] of replicas.entries()) {
                    const content = contentOf(replica);
                    for (const key of KEYS) {
                        const version = content[key] ?? 0;
                        assert.ok(version >= (seen[index]?.get(key) ?? 0), `${key} went back to ${version}`);
                        seen[index]?.set(key, version);
                    }
                }
            }
            store.rewrite();
            const [reader, ...others] = replicas;
            if (reader === undefined) return;
            readFeed(store, reader);
            for (const other of others) copyFromPeer(reader, other);
            const expected = Object.fromEntries(store.rows().map(row => [row.key, versionOf(row)]));
            for (const replica of replicas) {
                assert.deepEqual(contentOf(replica), expected);
                assert.deepEqual(replica.newestPosition(), reader.newestPosition());
                assert.equal(replica.retainedPosition(), undefined);
            }
        }),
        { seed: 1, numRuns: 2000 },
    );
});

const at = (epoch: number, revision: number): StorePosition => ({ epoch, revision });
const rowAt = (key: string, value: string, epoch: number, revision: number): Row => ({ key, value, epoch, revision });

// Guards against a server that stays registered for ever because its row wasn't in the copy.
test("a row that the restored store lacks is deleted unless it is retained", () => {
    const replica = createRowReplica(row => row.key === "retained");
    replica.applySnapshot([rowAt("retained", "1", 1, 3), rowAt("dropped", "1", 1, 5)], at(1, 5));
    const changes = replica.applySnapshot([rowAt("other", "1", 2, 2)], at(2, 4));
    assert.deepEqual(changes, [
        rowAt("other", "1", 2, 2),
        { key: "dropped", epoch: 2, revision: 4, value: undefined },
    ]);
    assert.deepEqual(replica.retainedPosition(), at(1, 3));
});

// Guards against changes of the new epoch on top of the old content, in which deleted rows remain.
test("a replica enters a later epoch only with a snapshot", () => {
    const replica = createRowReplica();
    replica.applySnapshot([rowAt("a", "1", 1, 9)], at(1, 9));
    assert.deepEqual(replica.apply([rowAt("b", "1", 2, 4)]), []);
    assert.deepEqual(replica.newestPosition(), at(1, 9));
    const peer = createRowReplica();
    peer.applySnapshot([rowAt("b", "1", 2, 4)], at(2, 4));
    const { isSnapshot, rows, position } = peer.changesSince(replica.newestPosition());
    assert.deepEqual([isSnapshot, rows, position], [true, [rowAt("b", "1", 2, 4)], at(2, 4)]);
    assert.deepEqual(replica.changesSince(peer.newestPosition()).rows, [], "rows of an earlier epoch");
    assert.deepEqual(peer.applySnapshot([rowAt("a", "1", 1, 9)], at(1, 9)), [], "a snapshot that is late");
});

// Guards against a server that has left and is used for ever, because a peer's earlier table arrives after a later one
// from the store.
test("a row that a snapshot lacks isn't brought back by an earlier table", () => {
    const replica = createRowReplica();
    replica.applySnapshot([rowAt("sound", "1", 1, 2)], at(1, 4));
    const late = [rowAt("sound", "1", 1, 2), rowAt("departed", "1", 1, 3)];
    assert.deepEqual(replica.apply(late), []);
    assert.deepEqual(replica.applySnapshot(late, at(1, 3)), []);
    assert.deepEqual(replica.apply([rowAt("departed", "2", 1, 5)]), [rowAt("departed", "2", 1, 5)]);
});
