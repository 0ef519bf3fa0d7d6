import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestKind } from "../../lib/core/serving/index.js";
import {
    forwardedRequestHeaders,
    parseCallerRequest,
    parseEventId,
    parseNamedWeights,
    parseResponseMetadata,
    parseRoutingConfiguration,
    parseServerRow,
    parseVmSettings,
} from "../../lib/platform/index.js";
import { configurationRow, serverRow } from "./fakeRunner.js";
import { SETTINGS_FILE } from "./settingsFile.js";

// Guards against settings that are read with wrong names or units.
test("the platform's settings are translated", () => {
    const settings = parseVmSettings("boot.toml", SETTINGS_FILE);
    assert.equal(settings.bounds.graceMs, 8000);
    assert.deepEqual(settings.seeds, ["10.1.0.41"]);
    assert.deepEqual(settings.bounds.retries, { ratio: 0.2, slack: 100, windowMs: 10_000 });
    assert.equal(settings.backendAddress, undefined);
});

// Guards against a process that starts with incomplete settings.
test("invalid settings are rejected with every problem listed", () => {
    const text = SETTINGS_FILE.replace("grace-s = 8", "grace-s = \"long\"").replace("node =", "name =");
    assert.throws(() => parseVmSettings("boot.toml", text), /boot\.toml: node:[\s\S]*boot\.toml: bounds\.grace-s:/);
    assert.throws(() => parseVmSettings("boot.toml", "= 1"), /isn't valid TOML/);
});

// Guards against a configuration that is applied in part.
test("a configuration is translated completely or rejected", () => {
    const configuration = parseRoutingConfiguration(JSON.stringify(configurationRow(7)));
    assert.equal(configuration?.version, 7);
    assert.deepEqual(configuration?.routes.map(({ kind }) => kind), [
        RequestKind.idempotent,
        RequestKind.nonIdempotent,
        RequestKind.stream,
        RequestKind.idempotent,
    ]);
    assert.equal(parseRoutingConfiguration(JSON.stringify(configurationRow(7, { routes: [{}] }))), undefined);
    assert.equal(parseRoutingConfiguration("{"), undefined);
    assert.equal(parseNamedWeights("config", "{\"model\":\"m\",\"version\":2}"), undefined);
    assert.deepEqual(parseNamedWeights("version/m", "{\"model\":\"m\",\"version\":2}"), { model: "m", version: 2 });
});

// Guards against requests to an address from an invalid row, and against requests to a runner without model layers.
test("an invalid row yields no server, and a runner without layers no weights", () => {
    const rowText = (changes: object) => JSON.stringify(serverRow("10.0.0.1:80", changes));
    assert.equal(parseServerRow("i", rowText({}))?.address, "10.0.0.1:80");
    assert.equal(parseServerRow("i", rowText({ state: "resting" })), undefined);
    assert.equal(parseServerRow("i", rowText({ slots: "8" })), undefined);
    assert.equal(parseServerRow("i", rowText({ address: undefined })), undefined);
    assert.equal(parseServerRow("i", rowText({ address: "10.0.0.1:99999" })), undefined);
    assert.equal(parseServerRow("i", "\u0000\u0001"), undefined);
    const models = [{ name: "m", version: 3, adapters: [] }];
    assert.equal(parseServerRow("i", rowText({ models, layers: null }))?.weights, undefined);
    const layers = { from: 0, to: 16, version: 3 };
    assert.deepEqual(parseServerRow("i", rowText({ models, layers }))?.weights, { model: "m", version: 3 });
    fc.assert(fc.property(fc.string(), value => void parseServerRow("i", value)), { seed: 1 });
});

// Guards against forwarding API keys, forged headers of callers, and hop-by-hop headers.
test("a forwarded request has the caller's headers without its key, and the entry's own headers", () => {
    const rawHeaders = ["Key", "k", "tenant", "forged", "X-Kept", "1", "Connection", "close, X-Hop", "X-Hop", "1"];
    const metadata = {
        serverId: "i",
        remainingMs: 99.9,
        account: "a",
        rank: 12,
        requiredWeightsVersion: 2,
        lastEventId: "5",
    };
    const headers = forwardedRequestHeaders(rawHeaders, metadata, 0);
    const pairs = headers.flatMap((name, index) => index % 2 === 0 ? [[name, headers[index + 1]]] : []);
    assert.deepEqual(pairs, [
        ["X-Kept", "1"],
        ["Expect-Instance", "i"],
        ["Deadline-Ms", "99"],
        ["Request-Priority", "9"],
        ["Tenant", "a"],
        ["Expect-Version", "2"],
        ["Last-Event-Id", "5"],
    ]);
});

// Guards against invalid numbers in headers that propagate as NaN.
test("invalid headers are treated as missing", () => {
    const caller = parseCallerRequest({ "attempt-id": "a", "deadline-ms": "soon", "token-usage": "x,y" });
    assert.deepEqual([caller.deadlineMs, caller.promptTokens, caller.maxOutputTokens], [undefined, 0, 0]);
    const response = parseResponseMetadata(503, {
        "not-executed": "1",
        "instance-load": "3,1,8",
        "weight-versions": "none",
    });
    assert.deepEqual([response.isNotRun, response.load, response.weightsVersion], [
        true,
        { running: 3, waiting: 1 },
        undefined,
    ]);
    const slowdownOf = (load: string) => parseResponseMetadata(200, { "instance-load": load }).slowdown;
    assert.deepEqual(
        ["3,1,8", "3,1,8,400", "3,1,8,80", "3,1,8,0", "3,1,8,x", ""].map(slowdownOf),
        [undefined, 4, 0.8, undefined, undefined, undefined],
    );
    const isLeaving = (value?: string) => parseResponseMetadata(200, { "server-leaving": value }).isLeaving;
    assert.deepEqual(["1", "0", "", undefined].map(isLeaving), [true, false, false, false]);
    const backoffMs = (value: string, status = 503) =>
        parseResponseMetadata(status, { "retry-after": value }).backoffMs;
    assert.deepEqual(["2", "0.25", `1${"0".repeat(400)}`].map(value => backoffMs(value)), [2000, 250, Infinity]);
    for (const value of ["0", "-1", "", "NaN", "Infinity", "1e3", "0x10", "1, 2", "Sat, 05 Dec 2026 02:00:00 GMT"]) {
        assert.equal(backoffMs(value), undefined, value);
    }
    assert.equal(backoffMs("2", 500), undefined, "another status");
    assert.equal(parseEventId("id: 12\ndata: x"), "12");
    assert.equal(parseEventId("data: id: 12"), undefined);
});

// Guards against prompts whose parts are taken for shared ones, or that can't be told apart.
test("the last part of a prompt is its own, also of a prompt with more than 32 parts", () => {
    const parse = (prefix: string | undefined) => parseCallerRequest({ "prompt-prefix": prefix }).sharedPromptParts;
    assert.deepEqual(parse("a1:800, b2:410,c3:250"), ["a1", "b2"]);
    assert.deepEqual(parse("c3:250"), []);
    assert.deepEqual(parse(undefined), []);
    const names = Array.from({ length: 33 }, (_, index) => String(index));
    assert.deepEqual(parse(names.map(name => `${name}:1`).join()), names.slice(0, -1));
});

// Guards against callers whose valid API key is taken for missing because it is long.
test("an API key of any length that the header limit allows is read", () => {
    const key = "k".repeat(8000);
    assert.equal(parseCallerRequest({ key }).key, key);
});

// Guards against prompts of many parts that pass the check for parts which crash servers.
test("the shared parts of long prompts are read", () => {
    const header = (count: number) => Array.from({ length: count }, (_, index) => `p${index}:10`).join(",");
    const partsOf = (count: number) => parseCallerRequest({ "prompt-prefix": header(count) }).sharedPromptParts;
    assert.equal(partsOf(40).length, 39);
    assert.ok(partsOf(40).includes("p38"));
    assert.equal(partsOf(1000).length, 999);
    assert.ok(partsOf(1000).includes("p998"));
    assert.equal(parseCallerRequest({ "prompt-prefix": header(1000) }).ownPromptPart, "p999");
});

// Guards against two parts with long identifiers that are taken for one, so that a sound one is refused for the other.
test("parts with long identifiers are told apart", () => {
    const long = "a".repeat(64);
    const partsOf = (prefix: string) => parseCallerRequest({ "prompt-prefix": prefix }).sharedPromptParts;
    const [first, second, third] = partsOf(`${long}:1,${long}b:1,${long}c:1,own:1`);
    assert.equal(first, long);
    assert.equal(new Set([first, second, third]).size, 3);
    assert.ok([second, third].every(part => part?.length === 64));
});
