import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { agentSchema, checkSettings, entrySchema, formatProblem } from "../../lib/settings/index.js";

const entryText = readFileSync("examples/entry.jsonc", "utf8");
const agentText = readFileSync("examples/agent.jsonc", "utf8");

function problemsOf(text: string): string[] {
    const result = checkSettings("agent.jsonc", text, agentSchema);
    return result.kind === "valid" ? [] : result.problems.map(formatProblem);
}

// Guards against example files that no longer match the schema.
test("the example files are valid", () => {
    assert.equal(checkSettings("entry.jsonc", entryText, entrySchema).kind, "valid");
    assert.deepEqual(problemsOf(agentText), []);
});

// Guards against error messages that don't show the operator the location of the problem.
test("a problem names file, line, path, expected and found", () => {
    const [wrongType = ""] = problemsOf(agentText.replace("\"concurrency\": 8", "\"concurrency\": \"many\""));
    assert.match(wrongType, /^agent\.jsonc:20: backendServer\.concurrency: .*expected number.*, found "many"$/);
    const [unknownKey = ""] = problemsOf(agentText.replace("\"region\"", "\"regoin\": \"x\", \"region\""));
    assert.match(unknownKey, /^agent\.jsonc:\d+: .*"regoin"/);
    const [syntax = ""] = problemsOf(agentText.replace("\"service\": \"models\",", "\"service\": ,"));
    assert.match(syntax, /^agent\.jsonc:19: /);
});

// Guards against processes that communicate over a network without TLS.
test("TLS is required unless every address is on loopback", () => {
    const withoutTls = agentText.replace(/"tls": \{[^}]*\},/, "");
    assert.deepEqual(problemsOf(withoutTls).map(line => line.split(": ")[1]), [
        "rpc.host",
        "platform.tableUrl",
        "platform.weightStoreUrl",
        "platform.vmListUrl",
    ]);
    assert.deepEqual(problemsOf(withoutTls.replaceAll(/192\.0\.2\.\d+/g, "127.0.0.1")), []);
});

// Guards against a graceful stop that cuts off answers because its drain time is shorter than the longest answer.
test("an entry drains at least as long as a request can take", () => {
    const shortDrain = entryText.replace("\"process\"", "\"drainMs\": 30000, \"process\"");
    const result = checkSettings("entry.jsonc", shortDrain, entrySchema);
    assert.deepEqual(result.kind === "invalid" && result.problems.map(({ path }) => path), ["drainMs"]);
});
