import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { sendRequest } from "../../lib/clients/index.js";
import { DEMO_CLIENT_KEY, startLocalFleet } from "../../lib/local/index.js";

// Guards against metrics that docs/metrics.md lists but that never arrive at the StatsD server.
test("a request sends the documented metrics of entry and agent", { timeout: 20_000 }, async () => {
    const statsd = createSocket("udp4");
    let received = "";
    statsd.on("message", message => received += `${message.toString()}\n`);
    statsd.bind(0, "127.0.0.1");
    await once(statsd, "listening");
    const directory = await mkdtemp(join(tmpdir(), "endivewell-metrics-"));
    const metrics = { host: "127.0.0.1", port: statsd.address().port };
    const fleet = await startLocalFleet({ replicas: 0, directory, originBytesPerSecond: 1 << 28, port: 0, metrics });
    try {
        for (let status = 503; status === 503;) {
            await sleep(100);
            ({ status } = await sendRequest({
                method: "POST",
                url: `${fleet.url}/services/bookings/b`,
                headers: { authorization: `Bearer ${DEMO_CLIENT_KEY}` },
                body: JSON.stringify({ reference: "m" }),
            }));
        }
    }
    finally {
        await fleet.stop();
        await sleep(100);
        statsd.close();
        await rm(directory, { recursive: true, force: true });
    }
    assert.match(received, /^endivewell\.entry\.requests:1\|c\|#.*outcome:complete/m);
    assert.match(received, /^endivewell\.entry\.request_duration:\d+(\.\d+)?\|ms\|#.*rank:standard/m);
    assert.match(received, /^endivewell\.entry\.requests_in_progress:\d+\|g\|#process:entry-0/m);
    assert.match(received, /^endivewell\.agent\.attempts:1\|c\|#.*verdict:ran/m);
    assert.match(received, /^endivewell\.agent\.attempt_duration:\d+(\.\d+)?\|ms/m);
    assert.match(received, /^endivewell\.agent\.running:\d+\|g\|#process:bookings-0/m);
});
