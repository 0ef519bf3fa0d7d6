import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { createLogSearch } from "../../lib/observability/explain.js";

const MAIN = fileURLToPath(new URL("../../main.js", import.meta.url));

const line = (event: string, fields: object = {}) =>
    JSON.stringify({ level: "info", time: 10_000, process: "entry-1", role: "entry", event, ...fields });

const ended = (event: string, fields: object) =>
    line(event, { id: "r1", attempts: [], waitedMs: 0, tookMs: 5, targetMs: 400, ...fields });

function causeOf(...lines: string[]): string | undefined {
    const search = createLogSearch("r1");
    for (const text of lines) search.add(text);
    return search.explain()?.cause;
}

// Guards against an explanation that differs from the cause that the entry logged.
test("every outcome of a request is explained", () => {
    const cases: [string, object, RegExp][] = [
        ["request refused", { reason: "overloaded", status: 503, retryAfterMs: 900 }, /at once: .* after 900 ms/],
        ["request refused", { reason: "overloaded", status: 503, waitedMs: 250 }, /after waiting 250 ms/],
        ["request refused", { reason: "servers backing off", status: 503, retryAfterMs: 800 }, /pause .* after 800 ms/],
        ["request refused", { reason: "no server", status: 503 }, /no server of its service/],
        [
            "request refused",
            { reason: "no server in the allowed regions", status: 503, allowedRegions: ["north"] },
            /route and account allow \(north\)/,
        ],
        ["request refused", { reason: "overloaded", evacuated: ["a"], coldServers: 3 }, /a was evacuated .* 3 cold/],
        ["request refused", { reason: "quarantined prompt", status: 503 }, /part of its prompt is quarantined/],
        ["request failed", { reason: "quarantined prompt", status: 502, attempts: ["i-1 x"] }, /crashed \(i-1 x\)/],
        ["request refused", { reason: "unknown key", status: 401 }, /Refused with 401, unknown key/],
        ["request failed", { reason: "the time is over", status: 504, attempts: ["i-1 cancelled"] }, /i-1 cancelled/],
        ["request failed", { reason: "read ECONNRESET", status: 502, attempts: ["i-1 x"] }, /Not retried/],
        ["request failed", { reason: "failed with 500, passed on", attempts: ["i-1 x"] }, /itself failed/],
        ["request failed", { reason: "overloaded", attempts: ["i-1 x"] }, /interrupted .* overloaded/],
        [
            "request failed",
            { reason: "x", attempts: ["i-1 x"], retryDenial: "attempts used" },
            /resumed \(attempts used/,
        ],
        ["request failed", { reason: "x", status: 502, retryDenial: "budget spent" }, /Not retried \(budget spent\)/],
        [
            "request abandoned",
            { reason: "the caller left", tookMs: 70 },
            /disconnected after 70 ms while waiting for a server/,
        ],
        ["request abandoned", { reason: "the caller left", attempts: ["i-1 x"] }, /servers did not respond \(i-1 x\)/],
        ["request abandoned", { reason: "the caller left", firstEventMs: 9 }, /disconnected after its first event/],
        ["request abandoned", { reason: "the caller left before the end of its body" }, /before the end of its body/],
        ["request refused", { reason: "body not received in time", status: 408 }, /without having been executed: body/],
        ["request answered", { reason: "200", firstEventMs: 390 }, /on time/],
        ["request answered", { reason: "200", firstEventMs: 900, waitedMs: 700 }, /it waited 700 ms/],
        ["request answered", { reason: "200", firstEventMs: 900, attempts: ["i-1 x", "i-2 200"] }, /it was retried/],
        [
            "request answered",
            { reason: "200", firstEventMs: 900, attempts: ["i-1 200"], predictedMs: 200, actualMs: 890 },
            /i-1 took 890 ms where 200 ms were predicted/,
        ],
    ];
    for (const [event, fields, expected] of cases) assert.match(causeOf(ended(event, fields)) ?? "", expected);
});

// Guards against an explanation that omits the loss of the request's server or of the store.
test("failures of the servers and the store around the end of the request are part of the explanation", () => {
    const failed = ended("request failed", { reason: "read ECONNRESET", status: 502, attempts: ["i-1 x"] });
    const cause = causeOf(
        line("store lost", { time: 7000 }),
        line("server changed", { time: 9000, server: "i-1", state: "gone" }),
        line("server changed", { time: 9000, server: "i-2", state: "gone" }),
        line("server changed", { time: 1000, server: "i-1", state: "gone" }),
        "12.5 entry-1 not a line of the log {",
        `12.5 entry-1 ${failed}`,
    );
    assert.match(cause ?? "", /1 server became unavailable and the store was unreachable/);
    assert.equal(causeOf(line("store lost")), undefined);
    assert.match(causeOf(line("retry refused", { id: "r1" })) ?? "", /end was not logged/);
});

// Guards against an `explain` command that can't read the logs of several processes in one call.
test("explain reads several files and standard input", async () => {
    const directory = await mkdtemp(join(tmpdir(), "endivewell-explain-"));
    const files = [join(directory, "a.log"), join(directory, "b.log")];
    await writeFile(files[0] ?? "", line("process started", { time: 9000 }));
    await writeFile(files[1] ?? "", ended("request refused", { reason: "no server", status: 503 }));
    const run = (args: string[], input = "") =>
        new Promise<[number, string]>(resolve => {
            const child = execFile(process.execPath, [MAIN, "explain", ...args], (_error, out, err) => {
                resolve([child.exitCode ?? -1, out + err]);
            });
            child.stdin?.end(input);
        });
    const [code, out] = await run(["r1", ...files]);
    assert.equal(code, 0, out);
    assert.match(out, /process started[\s\S]*request refused[\s\S]*no server of its service/);
    assert.equal((await run(["r1"], ended("request answered", { reason: "200" })))[0], 0);
    assert.equal((await run(["r2", ...files]))[0], 1);
    await rm(directory, { recursive: true });
});
