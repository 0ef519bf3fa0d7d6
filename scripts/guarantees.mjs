// Lists the tests that check each guarantee of docs/design.md, section 1.2, and summarizes their results.
const FAULT_INJECTION = /failing processes keep every guarantee/;
const CLAIM_TESTS = [/^claims under/, /^claim\.pml/, /^a release replaces/];
const GUARANTEES = {
    G1: ["no answer from partial or mixed weights", [
        /^activation\.pml/,
        /^lease\.pml/,
        /separate processes serve/,
        /^an answer whose engine reloads/,
        /^an engine that restarts/,
        /^checks before an order/,
        /^an agent that was stopped past/,
        FAULT_INJECTION,
    ]],
    G2: ["the whole answer to the own request", [
        /^a repeated call gets/,
        /separate processes serve/,
        /^a caller gets each token once/,
        /^the accepted frames of any sequence/,
        /^events are counted and passed on whole/,
        /^a broken stream resumes/,
        FAULT_INJECTION,
    ]],
    G3: ["notRun is true", [...CLAIM_TESTS, /combined verdict/, /unknown verdict/, FAULT_INJECTION]],
    G4: ["keyed and non-idempotent calls run at most once", [
        ...CLAIM_TESTS,
        /^the same key/,
        /^a row of a dead/,
        /^an answer that is too large/,
        /retried only after notRun/,
        FAULT_INJECTION,
    ]],
    G5: ["a leaving VM gets no new work", [
        /^leaving VMs get no new work/,
        /^a VM that the list calls leaving/,
        /^the list alone adds no trust/,
    ]],
    G6: ["a planned stop cuts off no request", [
        /^SIGTERM on an/,
        /^a drain refuses queued/,
        /^an entry drains/,
        FAULT_INJECTION,
    ]],
    G7: ["an accepted configuration stays in force", [
        /^configuration\.pml/,
        /^restarting every process in turn/,
        /^every accepted change is committed/,
        /^an outage before the write/,
    ]],
};

/** Returns one summary line per guarantee from the TAP output of a test run. */
export function summarizeGuarantees(tap) {
    const results = [...tap.matchAll(/^\s*(not )?ok \d+ - (.*?)( # SKIP.*)?$/gm)].map(([, failed, name, skipped]) => {
        return { name: name.replaceAll("\\", ""), state: skipped ? "skipped" : failed ? "failed" : "passed" };
    });
    return Object.entries(GUARANTEES).map(([id, [title, patterns]]) => {
        const matching = results.filter(({ name }) => patterns.some(pattern => pattern.test(name)));
        const counts = ["passed", "failed", "skipped"].map(state => {
            return `${matching.filter(result => result.state === state).length} ${state}`;
        });
        return `${id} ${title}: ${patterns.length === 0 ? "no test" : counts.join(", ")}`;
    });
}
