import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "node:test";
import { PROFILE, startPool } from "../../bench/pool.js";
import { MODEL_SERVICE, OPERATOR_TOKEN, sendToEntry, waitUntilServing } from "../../harness/index.js";
import { createObjectStore } from "../../lib/clients/index.js";
import { expectedToken } from "../../lib/fakes/index.js";
import { publishDirectory } from "../../lib/publish/index.js";

const TOKENS = 10;
const LINK_BYTES_PER_SECOND = 1_000_000;

// Guards against requests that are refused between the accepted change and the first replica's switch of versions, and
// against a response that mixes two versions.
test("a rollout leaves no gap in which requests are refused", async () => {
    const links = { inBytesPerSecond: LINK_BYTES_PER_SECOND, outBytesPerSecond: LINK_BYTES_PER_SECOND };
    const { fleet, rootDigest } = await startPool({ modelAgentCount: 3, agentSettings: { links } }, "agentQueues");
    try {
        const [entry] = fleet.entries;
        assert.ok(entry);
        const directory = join(fleet.directory, "next");
        await mkdir(directory);
        await writeFile(join(directory, "model.bin"), randomBytes(2 * LINK_BYTES_PER_SECOND));
        const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
        const nextVersion = await publishDirectory({ directory, model: "m", store });
        const path = `/admin/v1/profiles/${PROFILE}`;
        const { headers } = await sendToEntry(entry, "GET", path, OPERATOR_TOKEN);
        const profile = { name: PROFILE, model: "m", rootDigest: nextVersion.rootDigest, service: MODEL_SERVICE };
        const ifMatch = { "if-match": headers.etag ?? "" };

        let isSending = true;
        const responsesByVersion = new Map<string, number>();
        const sendRequests = async (client: string) => {
            for (let sent = 0; isSending; sent++) {
                const prompt = `${client} ${sent}`;
                const body = { model: PROFILE, max_tokens: TOKENS, prompt };
                const response = await sendToEntry(entry, "POST", "/v1/completions", client, body);
                const text = response.body.toString();
                assert.equal(response.status, 200, text);
                const version = [rootDigest, nextVersion.rootDigest].find(digest => {
                    return Array.from({ length: TOKENS }, (_, i) => expectedToken(digest, prompt, i)).join("") ===
                        (JSON.parse(text) as { choices: { message: { content: string; }; }[]; }).choices[0]?.message
                            .content;
                });
                assert.ok(version !== undefined, "the answer comes from exactly one version");
                responsesByVersion.set(version, (responsesByVersion.get(version) ?? 0) + 1);
            }
        };
        const sending = Promise.all(["client-0", "client-1", "client-2"].map(sendRequests));
        const change = await sendToEntry(entry, "PUT", path, OPERATOR_TOKEN, profile, ifMatch);
        assert.equal(change.status, 200, change.body.toString());
        await Promise.race([waitUntilServing(fleet, fleet.modelAgents, nextVersion.rootDigest, 60_000), sending]);
        isSending = false;
        await sending;
        assert.ok(
            (responsesByVersion.get(rootDigest) ?? 0) > 10 && (responsesByVersion.get(nextVersion.rootDigest) ?? 0) > 0,
            JSON.stringify([...responsesByVersion]),
        );
    }
    finally {
        await fleet.stop();
    }
});
