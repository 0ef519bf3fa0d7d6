import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { randomBytes } from "node:crypto";
import { mkdir, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { sendRequest } from "../../lib/clients/index.js";
import { DEMO_CLIENT_KEY, DEMO_SERVICE, type LocalFleet, startLocalFleet } from "../../lib/local/index.js";

const MAIN = fileURLToPath(new URL("../../main.js", import.meta.url));

interface CommandResult {
    readonly code: number;
    readonly out: string;
    readonly err: string;
}

let directory: string;
let fleet: LocalFleet;
let rootDigest: string;

function runCommand(...args: string[]): Promise<CommandResult> {
    const env = {
        ...process.env,
        ENDIVEWELL_ENTRY: fleet.url,
        ENDIVEWELL_TOKEN_FILE: join(directory, "operator.token"),
    };
    return new Promise(resolve => {
        const child = execFile(process.execPath, [MAIN, ...args], { env, maxBuffer: 1 << 26 }, (_error, out, err) => {
            resolve({ code: child.exitCode ?? -1, out, err });
        });
    });
}

before(async () => {
    directory = await mkdtemp(join(tmpdir(), "endivewell-cli-"));
    fleet = await startLocalFleet({ replicas: 2, directory, originBytesPerSecond: 1 << 28, port: 0 });
    const weights = join(directory, "weights");
    await mkdir(weights);
    await writeFile(join(weights, "model.bin"), randomBytes(1_000_000));
    const published = await runCommand("publish", weights, "--model", "desk", "--store", fleet.platform.url, "--json");
    assert.equal(published.code, 0, published.err);
    rootDigest = (JSON.parse(published.out) as { rootDigest: string; }).rootDigest;
});

after(async () => {
    await fleet.stop();
    await rm(directory, { recursive: true, force: true });
});

// Guards against a publish that sends all chunks again when it is repeated after an interruption.
test("a second publish of the same directory sends nothing", async () => {
    const secondPublish = await runCommand(
        "publish",
        join(directory, "weights"),
        "--model",
        "desk",
        "--store",
        fleet.platform.url,
        "--json",
    );
    assert.deepEqual(JSON.parse(secondPublish.out), { rootDigest, bytesSent: 0 });
});

// Guards against commands that lose a field, miss a conflict or report a failure as success.
test("profile commands create, change, show, list and retire, and report conflicts", async () => {
    const create = [
        "profile",
        "create",
        "repair",
        "--model",
        "desk",
        "--root-digest",
        rootDigest,
        "--service",
        DEMO_SERVICE,
    ];
    const created = await runCommand(
        ...create,
        "--floor",
        "urgent=0.6",
        "--floor",
        "standard=0.2",
        "--floor",
        "overnight=0.1",
        "--json",
    );
    assert.equal(created.code, 0, created.err);
    const { revision } = JSON.parse(created.out) as { revision: number; };
    const duplicate = await runCommand(...create);
    assert.equal(duplicate.code, 3, duplicate.err);
    assert.match(duplicate.err, /now in force: .*\nproposed: /);
    const watched = await runCommand("watch", "repair", "--timeout", "20");
    assert.equal(watched.code, 0, watched.err);
    assert.match(watched.out, /2 replicas serve/);
    const changed = await runCommand("profile", "change", "repair", "--client-weight", "workshop=2", "--json");
    assert.equal(changed.code, 0, changed.err);
    const stale = await runCommand("profile", "change", "repair", "--paused", "--revision", String(revision), "--json");
    assert.equal(stale.code, 3);
    assert.equal((JSON.parse(stale.out) as { proposed: { paused: boolean; }; }).proposed.paused, true);
    const shown = JSON.parse((await runCommand("profile", "show", "repair", "--json")).out);
    assert.deepEqual(shown.profile.clientWeights, { workshop: 2 });
    assert.equal(shown.profile.floors.urgent, 0.6);
    const invalid = await runCommand("profile", "change", "repair", "--floor", "standard=0.9");
    assert.equal(invalid.code, 2);
    assert.match(invalid.err, /floors/);
    assert.match((await runCommand("profile", "list")).out, /^repair: /);
    const dryRun = await runCommand("profile", "change", "repair", "--client-weight", "workshop=9", "--dry-run");
    assert.match(dryRun.out, /would get revision/);
    assert.equal((await runCommand("profile", "pause", "repair", "--reason", "wrong answers")).code, 0);
    const paused = JSON.parse((await runCommand("profile", "show", "repair", "--json")).out);
    assert.equal(paused.profile.pauseReason, "wrong answers");
    assert.deepEqual(paused.profile.clientWeights, { workshop: 2 });
    assert.equal((await runCommand("profile", "resume", "repair")).code, 0);
    assert.match((await runCommand("profile", "history", "repair")).out, new RegExp(`revision ${revision}: `));
    const rolledBack = await runCommand("profile", "rollback", "repair", "--to", String(revision));
    assert.equal(rolledBack.code, 0, rolledBack.err);
    const restored = JSON.parse((await runCommand("profile", "show", "repair", "--json")).out);
    assert.deepEqual(restored.profile.clientWeights, {});
    assert.equal((await runCommand("profile", "create", "spare", ...create.slice(3))).code, 0);
    const latest = await runCommand("profile", "change", "spare", "--root-digest", "latest");
    assert.equal(latest.code, 0, latest.err);
    const resolved = JSON.parse((await runCommand("profile", "show", "spare", "--json")).out);
    assert.equal(resolved.profile.rootDigest, rootDigest);
    assert.equal((await runCommand("profile", "retire", "spare")).code, 0);
    assert.equal((await runCommand("profile", "show", "spare")).code, 1);
});

// Guards against an evacuation whose result, warning or remaining work the operator doesn't see.
test("evacuate starts and withdraws evacuations, which status and watch show", async () => {
    const dryRun = await runCommand("evacuate", "local-1", "--dry-run");
    assert.match(dryRun.out, /^evacuating local-1 would get revision/);
    const evacuated = await runCommand("evacuate", "local-1");
    assert.deepEqual([evacuated.code, evacuated.err], [0, ""]);
    assert.match((await runCommand("evacuate", "local-1")).out, /local-1 is already evacuated; nothing changed/);
    assert.match((await runCommand("status")).out, /^local-1: evacuated, 3 agents, 0 requests in progress$/m);
    const status = JSON.parse((await runCommand("status", "--json")).out);
    assert.deepEqual(status.evacuatedDomains, [{ failureDomain: "local-1", agents: 3, requestsInProgress: 0 }]);
    assert.match((await runCommand("watch", "repair", "--timeout", "20")).out, /^runner-0: serving, evacuated, /m);
    const withdrawn = await runCommand("evacuate", "local-1", "--withdraw");
    assert.match(withdrawn.out, /^withdrew the evacuation of local-1 at revision/);
    const repeated = await runCommand("evacuate", "local-1", "--withdraw", "--json");
    assert.deepEqual([repeated.code, JSON.parse(repeated.out).unchanged], [0, true]);
    const unknown = await runCommand("evacuate", "nowhere");
    assert.equal(unknown.code, 0);
    assert.match(unknown.err, /warning: no VM of the VM list is in the failure domain nowhere/);
    assert.equal((await runCommand("evacuate", "nowhere", "--withdraw")).code, 0);
    for (const name of ["", " ", "hall 2"]) assert.equal((await runCommand("evacuate", name)).code, 2, name);
});

// Guards against a status or timeline that hides a process, an operator's change or an unreachable VM.
test("status and timeline merge all processes and name those that can't be reached", async () => {
    fleet.platform.setVm({
        name: "runner-gone",
        address: "127.0.0.1:9",
        role: "agent",
        service: DEMO_SERVICE,
        failureDomain: "local-1",
        region: "local",
        state: "live",
    });
    await new Promise(resolve => setTimeout(resolve, 500));
    const status = await runCommand("status", "--json");
    assert.equal((JSON.parse(status.out) as { agents: unknown[]; }).agents.length >= 3, true);
    const response = await sendRequest({
        method: "POST",
        url: `${fleet.url}/v1/chat/completions`,
        headers: { authorization: `Bearer ${DEMO_CLIENT_KEY}` },
        body: JSON.stringify({ model: "repair", max_tokens: 2, messages: [{ role: "user", content: "x" }] }),
    });
    assert.equal(response.status, 200, response.body.toString());
    const requestId = String(response.headers["endivewell-request-id"]);
    const timeline = await runCommand("timeline", "--json");
    const report = JSON.parse(timeline.out);
    assert.deepEqual(report.unreachable.map((vm: { process: string; }) => vm.process), ["runner-gone"]);
    const audit = report.events.find((event: { kind: string; }) => event.kind === "profile.accepted");
    assert.equal(audit.attributes.operator, "demo");
    const oneRequest = await runCommand("timeline", "--subject", requestId);
    const kinds = oneRequest.out.trim().split("\n").map(line => line.split(" ")[2]);
    assert.deepEqual(kinds, ["request.started", "attempt.started", "attempt.ended", "request.ended"]);
    assert.match(oneRequest.err, /not reached: runner-gone/);
    const file = join(directory, "trace.json");
    assert.equal((await runCommand("timeline", "--subject", rootDigest, "--trace", file)).code, 0);
    const { traceEvents } = JSON.parse(await readFile(file, "utf8"));
    assert.ok(traceEvents.some((event: { name: string; }) => event.name === "rollout.serving"));
});

// Guards against stack traces and wrong exit codes after common operator mistakes.
test("mistakes end with the documented exit code and without a stack trace", async () => {
    const badToken = join(directory, "bad.token");
    await writeFile(badToken, "wrong");
    const cases: [number, string[]][] = [
        [4, ["status", "--entry", "http://127.0.0.1:9"]],
        [1, ["status", "--token-file", badToken]],
        [2, ["status", "--token-file", join(directory, "missing")]],
        [2, ["status", "--entry", "nonsense"]],
        [2, ["status", "--colour"]],
        [2, ["no-such-command"]],
        [4, ["evacuate", "local-1", "--entry", "http://127.0.0.1:9"]],
        [1, ["publish", join(directory, "missing"), "--model", "m", "--store", fleet.platform.url]],
        [4, ["publish", join(directory, "weights"), "--model", "m", "--store", "http://127.0.0.1:9"]],
        [0, ["profile", "--help"]],
        [0, ["profile", "create", "--help"]],
        [0, ["--help"]],
    ];
    await Promise.all(cases.map(async ([code, args]) => {
        const result = await runCommand(...args);
        assert.equal(result.code, code, `${args.join(" ")}: ${result.code} ${result.err}`);
        assert.doesNotMatch(result.err, /^ {4}at /m);
        if (code !== 0) assert.notEqual(result.err.trim(), "");
    }));
});

// Guards against a role whose own argument parser accepts or misreports arguments that oclif refuses.
test("the roles refuse wrong arguments and settings with exit code 2 and print help", async () => {
    const settings = join(directory, "wrong.jsonc");
    await writeFile(settings, "{}");
    for (const role of ["agent", "entry"]) {
        const help = await runCommand(role, "--help");
        assert.equal(help.code, 0, help.err);
        assert.match(help.out, /--settings/);
        const cases: [string[], RegExp][] = [
            [[], /settings/],
            [["--settings"], /--settings/],
            [["--settings", settings, "--colour"], /--colour/],
            [["--settings", settings, "extra"], /extra/],
            [[`--settings=${settings}`], /wrong\.jsonc:1: process/],
            [["--settings", join(directory, "missing")], /can't read/],
        ];
        for (const [args, message] of cases) {
            const result = await runCommand(role, ...args);
            assert.equal(result.code, 2, `${role} ${args.join(" ")}: ${result.err}`);
            assert.match(result.err, message);
        }
    }
});
