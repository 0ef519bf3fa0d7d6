import assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { sendRequest } from "../../lib/clients/index.js";
import { createRowReplica, type RowReplica } from "../../lib/core/serving/index.js";
import { fetchPeerChanges, handleChangesRequest } from "../../lib/node/peerMessages.js";
import { startFaultProxy } from "../soak/faultProxy.js";

async function startPeer(replica: RowReplica): Promise<http.Server> {
    const server = http.createServer((request, response) => {
        handleChangesRequest(request, response, new Map([["servers", replica]]));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return server;
}

// Guards against an entry of an earlier version that keeps servers which have left, because it reads the changes from
// an entry of this version and names no epoch.
test("a peer that names no epoch gets the deletions after its revision", async () => {
    const replica = createRowReplica();
    replica.applySnapshot([{ key: "i-1", epoch: 1, revision: 3, value: "1" }], { epoch: 1, revision: 3 });
    replica.apply([{ key: "i-1", epoch: 1, revision: 4, value: undefined }]);
    const server = await startPeer(replica);
    const { port } = server.address() as AddressInfo;
    try {
        const { body } = await sendRequest({
            method: "GET",
            url: `http://127.0.0.1:${port}/changes?table=servers&after=3`,
            timeoutMs: 1000,
            compressed: true,
        });
        const { rows } = JSON.parse(body.toString()) as { rows: { key: string; revision: number; }[]; };
        assert.deepEqual(rows.map(({ key, revision }) => [key, revision]), [["i-1", 4]]);
    }
    finally {
        server.close();
        server.closeAllConnections();
    }
});

// Guards against a change that an entry can't read from its peers for seconds, because its idle connections to them have
// fallen silent.
test("changes are read from a peer after open connections have fallen silent", async () => {
    const replica = createRowReplica();
    const server = await startPeer(replica);
    const link = await startFaultProxy(() => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    const [ip = "", port] = link.address.split(":");
    try {
        const read = () => fetchPeerChanges(ip, Number(port), "servers", { epoch: 0, revision: 0 });
        await read();
        link.setFault("silence open", performance.now());
        replica.apply([{ key: "i-1", epoch: 0, revision: 1, value: "1" }]);
        const { rows } = await read();
        assert.deepEqual(rows.map(({ key }) => key), ["i-1"]);
    }
    finally {
        link.close();
        server.close();
        server.closeAllConnections();
    }
});
