import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import VError from "verror";
import { digestOf, encodeManifest, parseClaimRow, parseManifest } from "../lib/core/index.js";
import { parseJsonObject } from "../lib/entry/requestBody.js";
import { agentSchema, checkSettings, entrySchema } from "../lib/settings/index.js";
import { longTestParameters } from "./longTest.js";

const parameters = longTestParameters({ seed: 6, numRuns: 500 });
const digest = fc.uint8Array({ minLength: 4, maxLength: 4 }).map(digestOf);
const almostValidManifest = fc.record({
    format: fc.constantFrom<unknown>(1, 1, 1, 2, "1"),
    model: fc.oneof(fc.string(), fc.constant(undefined)),
    files: fc.array(fc.record({
        path: fc.oneof(
            fc.constantFrom("a", "a/b", "../a", "/a", "", "a/../../b", "a\0", "a\\b", ".", "a//b"),
            fc.string(),
        ),
        size: fc.oneof(fc.nat(20), fc.constantFrom<unknown>(-1, 1.5, 2 ** 60, "1", null)),
        chunks: fc.array(
            fc.record({
                digest: fc.oneof(digest, fc.string()),
                size: fc.oneof(fc.nat(20), fc.constantFrom<unknown>(0, -1, 2 ** 40, null)),
            }),
            { maxLength: 3 },
        ),
    })),
});

function parseOrUndefined(bytes: Buffer) {
    try {
        return parseManifest(bytes, digestOf(bytes));
    }
    catch (error) {
        assert.ok(error instanceof VError && error.name === "ManifestError", `unexpected error: ${String(error)}`);
        return undefined;
    }
}

// Guards against a manifest from the network that makes the agent write outside the weights directory, contains
// inconsistent sizes, or crashes the agent with an unexpected error.
test("a manifest is refused with ManifestError or is consistent", () => {
    const inputs = fc.oneof(fc.json(), almostValidManifest.map(value => JSON.stringify(value)), fc.string());
    fc.assert(
        fc.property(inputs, text => {
            const manifest = parseOrUndefined(Buffer.from(text));
            if (manifest === undefined) return;
            for (const { path, size, chunks } of manifest.files) {
                assert.ok(!path.startsWith("/") && !path.split("/").includes("..") && !path.includes("\0"), path);
                assert.equal(chunks.reduce((sum, chunk) => sum + chunk.size, 0), size);
            }
            assert.deepEqual(parseOrUndefined(encodeManifest(manifest))?.model, manifest.model);
        }),
        parameters,
    );
});

// Guards against a request body that makes a handler throw, or that is accepted although it isn't a JSON object.
test("a request body is a JSON object or refused", () => {
    const bodies = fc.oneof(fc.uint8Array().map(bytes => Buffer.from(bytes)), fc.json().map(text => Buffer.from(text)));
    fc.assert(
        fc.property(bodies, body => {
            const value = parseJsonObject(body);
            assert.ok(value === undefined || (typeof value === "object" && !Array.isArray(value)));
        }),
        parameters,
    );
});

// Guards against invalid settings that make the check throw instead of being reported with their line.
test("settings are valid or every problem names a line of the file", () => {
    fc.assert(
        fc.property(fc.oneof(fc.json(), fc.string(), fc.constant("{ \"rpc\": null }")), text => {
            for (const schema of [agentSchema, entrySchema]) {
                const result = checkSettings<unknown>("f", text, schema);
                if (result.kind === "valid") continue;
                assert.ok(result.problems.length > 0);
                const lines = text.split("\n").length;
                for (const { line } of result.problems) assert.ok(line >= 1 && line <= lines);
            }
        }),
        parameters,
    );
});

// Guards against a row that isn't a claim, for example one that another program wrote, being accepted as one.
test("a claim row has a token and a known state, or is refused", () => {
    fc.assert(
        fc.property(fc.jsonValue(), value => {
            const row = parseClaimRow(value);
            assert.ok(row === undefined || ["claimed", "released", "done"].includes(row.state));
        }),
        parameters,
    );
});
