import assert from "node:assert/strict";
import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { sendRequest } from "../../lib/clients/index.js";
import { createRowReplica } from "../../lib/core/serving/index.js";
import { handleChangesRequest } from "../../lib/node/peerMessages.js";

// Guards against an entry of an earlier version that keeps servers which have left, because it reads the changes from
// an entry of this version and names no epoch.
test("a peer that names no epoch gets the deletions after its revision", async () => {
    const replica = createRowReplica();
    replica.applySnapshot([{ key: "i-1", epoch: 1, revision: 3, value: "1" }], { epoch: 1, revision: 3 });
    replica.apply([{ key: "i-1", epoch: 1, revision: 4, value: undefined }]);
    const server = http.createServer((request, response) => {
        handleChangesRequest(request, response, new Map([["servers", replica]]));
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
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
