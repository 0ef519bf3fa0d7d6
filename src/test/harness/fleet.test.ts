import assert from "node:assert/strict";
import { randomBytes } from "node:crypto";
import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { test } from "node:test";
import {
    MODEL_SERVICE,
    OPERATOR_TOKEN,
    sendToEntry,
    startFleet,
    waitUntil,
    waitUntilServing,
} from "../../harness/index.js";
import { createObjectStore } from "../../lib/clients/index.js";
import { expectedToken } from "../../lib/fakes/index.js";
import { publishDirectory } from "../../lib/publish/index.js";

// Guards against a failure anywhere on the path from publishing weights to serving: publish, profile change, rollout,
// streamed response, booking, and a repeated booking with the same idempotency key, which replays the stored result.
test("separate processes serve a request and a booking from published weights", async () => {
    const fleet = await startFleet({ entries: 1, modelAgentCount: 2, bookingAgentCount: 1 });
    try {
        const [entry] = fleet.entries;
        assert.ok(entry);
        const weights = join(fleet.directory, "weights");
        await mkdir(weights);
        await writeFile(join(weights, "model.bin"), randomBytes(1_000_000));
        const store = createObjectStore({ url: fleet.platformUrl, timeoutMs: 5000 });
        const { rootDigest } = await publishDirectory({ directory: weights, model: "m", store });
        const profile = { name: "desk", model: "m", rootDigest, service: MODEL_SERVICE };
        const change = await sendToEntry(entry, "PUT", "/admin/v1/profiles/desk", OPERATOR_TOKEN, profile);
        assert.equal(change.status, 200, change.body.toString());
        await waitUntilServing(fleet, fleet.modelAgents, rootDigest, 20_000);

        const body = { model: "desk", stream: true, max_tokens: 4, messages: [{ role: "user", content: "hello" }] };
        await waitUntil("the entry serves the profile", async () => {
            const models = await sendToEntry(entry, "GET", "/v1/models", "client-0");
            return models.body.includes("desk");
        }, 5000);
        const response = await sendToEntry(entry, "POST", "/v1/chat/completions", "client-0", body);
        const text = response.body.toString();
        assert.equal(response.status, 200, text);
        for (let position = 0; position < 4; position++) {
            assert.ok(text.includes(expectedToken(rootDigest, "hello", position)), text);
        }
        assert.ok(text.endsWith("data: [DONE]\n\n"));

        const booking = await sendToEntry(entry, "POST", "/services/bookings/b", "client-0", { reference: "r1" });
        assert.equal(booking.status, 201, booking.body.toString());
        assert.deepEqual(JSON.parse(booking.body.toString()), { reference: "r1", state: "booked", run: 1 });

        const headers = { "idempotency-key": "k1" };
        for (const replayed of [undefined, "true"]) {
            const bookingResponse = await sendToEntry(
                entry,
                "POST",
                "/services/bookings/b",
                "client-0",
                { reference: "r2" },
                headers,
            );
            assert.equal(bookingResponse.status, 201, bookingResponse.body.toString());
            assert.equal(bookingResponse.headers["endivewell-replayed"], replayed);
            assert.deepEqual(JSON.parse(bookingResponse.body.toString()), { reference: "r2", state: "booked", run: 1 });
        }
    }
    finally {
        await fleet.stop();
    }
});
