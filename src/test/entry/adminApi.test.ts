import assert from "node:assert/strict";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { createObjectStore, sendRequest } from "../../lib/clients/index.js";
import { DEMO_OPERATOR_TOKEN, startLocalFleet } from "../../lib/local/index.js";
import { publishDirectory } from "../../lib/publish/index.js";

// Guards against operator routes that accept an invalid change, or whose response lacks the revision or the values that
// the operator needs for the next step.
test("dry run, conflict, pause, history, rollback and retirement over HTTP", async () => {
    const directory = await mkdtemp(join(tmpdir(), "endivewell-admin-"));
    const fleet = await startLocalFleet({ replicas: 0, directory, originBytesPerSecond: 1e9, port: 0 });
    const send = async (method: string, path: string, body?: unknown, etag?: string) => {
        const response = await sendRequest({
            method,
            url: `${fleet.url}/admin/v1/profiles/desk${path}`,
            headers: {
                authorization: `Bearer ${DEMO_OPERATOR_TOKEN}`,
                ...etag === undefined ? {} : { "if-match": etag },
            },
            timeoutMs: 15_000,
            body: body === undefined ? undefined : JSON.stringify(body),
        });
        return { status: response.status, etag: response.headers.etag, body: JSON.parse(response.body.toString()) };
    };
    try {
        await mkdir(join(directory, "weights"));
        await writeFile(join(directory, "weights", "model.bin"), "weights");
        const store = createObjectStore({ url: fleet.platform.url, timeoutMs: 5000 });
        const { rootDigest } = await publishDirectory({ directory: join(directory, "weights"), model: "m", store });
        const profile = { name: "desk", model: "one", rootDigest, service: "none" };

        const dry = await send("PUT", "?dryRun=true", profile);
        assert.deepEqual([dry.status, dry.body.dryRun, dry.body.profile.paused], [200, true, false]);
        assert.equal((await send("GET", "")).status, 404);
        assert.equal((await send("PUT", "", profile)).etag, "\"1\"");
        const conflict = await send("PUT", "", { ...profile, model: "two" });
        assert.equal(conflict.status, 412);
        assert.deepEqual([conflict.body.current.profile.model, conflict.body.proposed.model], ["one", "two"]);

        assert.equal((await send("POST", "/pause", { reason: "answers look wrong" })).etag, "\"2\"");
        assert.equal((await send("GET", "")).body.pauseReason, "answers look wrong");
        assert.equal((await send("POST", "/resume")).etag, "\"3\"");
        assert.equal((await send("PUT", "", { ...profile, model: "two" }, "\"3\"")).etag, "\"4\"");
        const { body: history } = await send("GET", "/history");
        assert.deepEqual(history.earlier.map((value: { revision: number; }) => value.revision), [3, 2, 1]);
        assert.equal((await send("POST", "/rollback", { revision: 99 }, "\"4\"")).status, 422);
        assert.equal((await send("POST", "/rollback", { revision: 1 }, "\"4\"")).etag, "\"5\"");
        assert.equal((await send("GET", "")).body.model, "one");

        fleet.platform.faults.set({ tableOutage: true });
        const refused = await send("DELETE", "", undefined, "\"5\"");
        assert.deepEqual([refused.status, refused.body.verdict], [503, "notRun"]);
        fleet.platform.faults.set({ tableOutage: false });
        assert.equal((await send("DELETE", "", undefined, "\"5\"")).status, 200);
        assert.equal((await send("POST", "/rollback", { revision: 5 })).etag, "\"7\"");
    }
    finally {
        await fleet.stop();
        await rm(directory, { recursive: true, force: true });
    }
});
