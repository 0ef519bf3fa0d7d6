import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import * as http from "node:http";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { sendRequest } from "../../lib/clients/index.js";
import { type RunningEntry, startEntry } from "../../lib/entry/index.js";
import { type FakePlatform, startFakePlatform } from "../../lib/fakes/index.js";
import { entrySchema } from "../../lib/settings/index.js";

const MAIN = fileURLToPath(new URL("../../main.js", import.meta.url));
const BODY_BYTES = 4096;

/** Time after which Node closes an idle connection: the advertised 5 s and a second. */
const IDLE_TIMEOUT_MS = 6000;

let directory: string;
let platform: FakePlatform;
let entry: RunningEntry;

function settings(port: number) {
    const urls = { tableUrl: platform.url, weightStoreUrl: platform.url, vmListUrl: platform.url };
    return {
        process: "entry-0",
        failureDomain: "d",
        region: "r",
        rpc: { port: 0 },
        http: { port },
        platform: { ...urls, weightStoreRegion: "r" },
        accounts: [{ client: "c", keyFile: join(directory, "client") }],
        operators: [{ name: "v", tokenFile: join(directory, "viewer"), role: "viewer" }],
        limits: { bodyBytes: BODY_BYTES, headerBytes: 2048, requestMs: 1000 },
    };
}

before(async () => {
    directory = await mkdtemp(join(tmpdir(), "endivewell-entry-"));
    platform = await startFakePlatform({ directory, originBytesPerSecond: 1 << 28, seed: 1 });
    await writeFile(join(directory, "client"), "client");
    await writeFile(join(directory, "viewer"), "viewer");
    entry = await startEntry(entrySchema.parse(settings(0)));
});

after(async () => {
    await entry.stop();
    await platform.stop();
    await rm(directory, { recursive: true, force: true });
});

function send(method: string, path: string, key: string, body?: string, headers: http.OutgoingHttpHeaders = {}) {
    const authorization = `Bearer ${key}`;
    return sendRequest({
        method,
        url: `http://127.0.0.1:${entry.port}${path}`,
        headers: { authorization, ...headers },
        body,
    });
}

/** Sends raw bytes and resolves with everything that the entry sends before it closes the connection. */
function sendRaw(...fragments: string[]): Promise<string> {
    return new Promise((resolve, reject) => {
        const socket = connect(entry.port, "127.0.0.1");
        socket.setTimeout(
            5000,
            () => socket.destroy(new Error("the entry sent nothing and kept the connection open for 5 s")),
        );
        let response = "";
        socket.on("data", data => response += data.toString());
        socket.on("close", () => resolve(response));
        socket.on("error", reject);
        for (const fragment of fragments) socket.write(fragment);
    });
}

function expectProblem(status: number, contentType: string | undefined, body: string): void {
    assert.equal(contentType, "application/problem+json");
    const problem = JSON.parse(body);
    assert.equal(problem.status, status);
    assert.equal(problem.verdict, "notRun");
    assert.doesNotMatch(body, / at |node:/);
}

// Guards against a wrong status, a missing verdict and a crash of the process after an invalid request.
test("each mistake of a caller gets its status and a verdict", async () => {
    const chat = "/v1/chat/completions";
    const profile = "/admin/v1/profiles/p";
    const cases: [number, Awaited<ReturnType<typeof send>>][] = [
        [401, await send("POST", chat, "wrong", "{}")],
        [401, await send("GET", "/v1/models", "wrong")],
        [401, await send("POST", "/services/bookings/b", "wrong")],
        [401, await send("GET", "/admin/v1/status", "client")],
        [403, await send("PUT", profile, "viewer", "{}")],
        [403, await send("DELETE", profile, "viewer")],
        [400, await send("POST", chat, "client", "{broken")],
        [400, await send("POST", chat, "client", "[1]")],
        [404, await send("POST", chat, "client", "{\"model\":\"none\"}")],
        [404, await send("POST", chat, "client", "{\"model\":\"__proto__\"}")],
        [413, await send("POST", chat, "client", "x".repeat(BODY_BYTES + 1))],
        [413, await send("POST", chat, "client", "x".repeat(BODY_BYTES + 1), { "transfer-encoding": "chunked" })],
        [431, await send("GET", "/v1/models", "client", undefined, { padding: "x".repeat(4096) })],
        [417, await send("POST", chat, "client", "{}", { expect: "unknown" })],
        [404, await send("GET", "/nothing", "client")],
        [400, await send("GET", "/admin/v1/profiles/%zz", "viewer")],
        [503, await send("GET", "/services/none/x", "client")],
    ];
    for (const [status, response] of cases) {
        assert.equal(response.status, status, response.body.toString());
        expectProblem(status, response.headers["content-type"], response.body.toString());
    }
    assert.equal((await send("GET", "/healthz", "")).status, 200);
});

// Guards against missing responses, or ones without a problem document, to errors that Node's HTTP parser finds.
test("requests that the parser refuses get a problem document", async () => {
    const cases: [number, string[]][] = [
        [400, ["nonsense\r\n\r\n"]],
        [400, ["GET /healthz HTTP/1.1\r\nconnection: close\r\n\r\n"]],
        [400, [
            "POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\nauthorization: Bearer client\r\n" +
            "transfer-encoding: chunked\r\n\r\nnot-a-size\r\n",
        ]],
        [408, ["POST /v1/chat/completions HTTP/1.1\r\nhost: e\r\n"]],
    ];
    await Promise.all(cases.map(async ([status, fragments]) => {
        const response = await sendRaw(...fragments);
        const [head = "", body = ""] = response.split("\r\n\r\n");
        assert.match(head, new RegExp(`^HTTP/1.1 ${status} `), `${fragments.join("")}: ${response}`);
        assert.match(head, /endivewell-verdict: notRun/);
        expectProblem(status, /content-type: (\S+)/.exec(head)?.[1], body);
    }));
    assert.equal((await send("GET", "/healthz", "")).status, 200);
});

// Guards against a response in progress that is corrupted or cut off by bytes that follow its request.
test("a broken request behind a complete one does not disturb the first answer", async () => {
    const first = "GET /services/none/x HTTP/1.1\r\nhost: e\r\nauthorization: Bearer client\r\n\r\n";
    const response = await sendRaw(`${first}nonsense\r\n\r\n`);
    assert.match(response, /^HTTP\/1.1 503 /);
    assert.equal(response.split("HTTP/1.1").length, 2);
});

function runMain(role: string, file: string): Promise<{ code: number | null; err: string; }> {
    return new Promise(resolve => {
        const child = execFile(
            process.execPath,
            [MAIN, role, "--settings", file],
            { timeout: 10_000 },
            (_error, _out, err) => {
                resolve({ code: child.exitCode, err });
            },
        );
    });
}

// Guards against a startup that fails with a stack trace, or that continues without its port or directory.
test("a port in use and an unusable directory end the start with a clear error", async () => {
    const file = join(directory, "entry.json");
    await writeFile(file, JSON.stringify(settings(entry.port)));
    const inUse = await runMain("entry", file);
    assert.equal(inUse.code, 1, inUse.err);
    assert.match(inUse.err, /can't listen on 127\.0\.0\.1:\d+; choose .*EADDRINUSE/);
    assert.doesNotMatch(inUse.err, /^ {4}at /m);

    const { accounts: _accounts, operators: _operators, http: _http, limits: _limits, ...common } = settings(0);
    const agent = {
        ...common,
        service: "s",
        backendServer: { kind: "model", url: "http://127.0.0.1:9" },
        weightsPath: join(directory, "client", "weights"),
    };
    await writeFile(file, JSON.stringify(agent));
    const unusable = await runMain("agent", file);
    assert.equal(unusable.code, 2, unusable.err);
    assert.match(unusable.err, /weightsPath .*client\/weights/);
    assert.doesNotMatch(unusable.err, /^ {4}at /m);
});

// Guards against an idle connection that is closed although a request has arrived on it in time, which a pause of the
// entry kept from being read.
test("a request that arrives during a pause is read before its idle connection is closed", async () => {
    const socket = connect(entry.port, "127.0.0.1");
    let received = "";
    let isClosed = false;
    socket.on("data", data => received += data.toString());
    socket.on("close", () => isClosed = true);
    const sendRequest = () => socket.write("GET /healthz HTTP/1.1\r\nHost: entry\r\n\r\n");
    const responseCount = () => received.split("HTTP/1.1 200 OK").length - 1;
    sendRequest();
    await sleep(IDLE_TIMEOUT_MS - 200);
    sendRequest();
    const pauseEnd = performance.now() + 500;
    while (performance.now() < pauseEnd);
    await sleep(200);
    assert.equal(responseCount(), 2);
    await sleep(IDLE_TIMEOUT_MS + 500);
    assert.ok(isClosed, "the idle connection stays open");
});
